//! Dividing what is too little for all.

/// The largest amounts that sum up to at most `whole`, none of them more than
/// is asked for: max-min fair, so that nobody could get more without taking it
/// from one who has as little.
pub fn max_min(asked: &[f64], whole: f64) -> Vec<f64> {
    let mut by_size: Vec<usize> = (0..asked.len()).collect();
    by_size.sort_by(|a, b| asked[*a].total_cmp(&asked[*b]));
    let mut given = vec![0.0; asked.len()];
    let mut left = whole.max(0.0);
    for (before, at) in by_size.iter().enumerate() {
        // Those that ask for less have theirs; the rest share alike.
        let alike = left / (by_size.len() - before) as f64;
        given[*at] = asked[*at].clamp(0.0, alike);
        left -= given[*at];
    }
    given
}
