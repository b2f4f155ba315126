//! Fair division of scarce capacity.

/// Max-min fair division: the largest amounts that sum up to at most `whole`, none larger
/// than asked for. No amount could grow without lessening one that is not larger.
pub fn max_min(asked: &[f64], whole: f64) -> Vec<f64> {
    let mut by_size: Vec<usize> = (0..asked.len()).collect();
    by_size.sort_by(|a, b| asked[*a].total_cmp(&asked[*b]));
    let mut given = vec![0.0; asked.len()];
    let mut left = whole.max(0.0);
    for (before, at) in by_size.iter().enumerate() {
        // Smaller requests are already met; the others share the rest equally.
        let alike = left / (by_size.len() - before) as f64;
        given[*at] = asked[*at].clamp(0.0, alike);
        left -= given[*at];
    }
    given
}
