//! Fair division of scarce capacity.

/// Max-min fair division: the largest amounts that sum up to at most `whole`, none larger
/// than asked for. No amount could grow without lessening one that is not larger.
pub fn max_min(asked: &[f64], whole: f64) -> Vec<f64> {
    let mut by_size: Vec<usize> = (0..asked.len()).collect();
    by_size.sort_by(|a, b| asked[*a].total_cmp(&asked[*b]));
    let mut allocated = vec![0.0; asked.len()];
    let mut remaining = whole.max(0.0);
    for (position, index) in by_size.iter().enumerate() {
        // Smaller requests are already met; the others share the rest equally.
        let equal_share = remaining / (by_size.len() - position) as f64;
        allocated[*index] = asked[*index].clamp(0.0, equal_share);
        remaining -= allocated[*index];
    }
    allocated
}
