use super::*;
use oliveshift_wire::state::json_len;

#[test]
fn split_texts_fit_the_limit_and_join_to_the_original() {
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..200 {
        let alphabet = ['a', '"', '\\', '\n', '\u{1}', 'é', '木', '🌿'];
        let text: String = (0..rng.usize(0..400))
            .map(|_| alphabet[rng.usize(0..8)])
            .collect();
        let max_bytes = rng.usize(12..60);
        let pieces = split_text(&text, max_bytes);
        assert_eq!(pieces.concat(), text);
        assert!(
            pieces.iter().all(|p| json_len(p) <= max_bytes),
            "{pieces:?}"
        );
    }
}

#[test]
fn each_run_has_exactly_one_textual_id() {
    let id = RunId {
        range: 3,
        number: 0xab,
    };
    assert_eq!(id.to_string(), "run-3-00000000000000ab");
    assert_eq!(id.to_string().parse(), Ok(id));
    assert_eq!(run_id_of_key(&piece_key('t', id, 7)), Some(id));
    for bad in ["run-3-ab", "run-03-00000000000000ab", "3-ab", "run-3", ""] {
        assert_eq!(bad.parse::<RunId>(), Err(InvalidRunId), "{bad}");
    }
}
