use super::*;

#[test]
fn plain_scalars_follow_the_core_schema() {
    let text = "a: [1, -2, 1.5, 1e3, .5, true, ~, 0x1f, 1.2.3, '1', v1.2]\nb: {c: &x hi, d: *x}\n";
    let value = parse("f", text).expect("good").to_value();
    let expected = serde_json::json!({
        "a": [1, -2, 1.5, 1000.0, 0.5, true, null, "0x1f", "1.2.3", "1", "v1.2"],
        "b": {"c": "hi", "d": "hi"},
    });
    assert_eq!(value, expected);
}

#[test]
fn documents_beyond_the_limits_are_refused() {
    // Nested aliases, ten at each of eight levels: 10^8 values in 400 bytes.
    let mut text = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n".to_owned();
    for i in 1..8 {
        let before = format!("*a{}, ", i - 1).repeat(10);
        text += &format!("a{i}: &a{i} [{}]\n", before.trim_end_matches(", "));
    }
    let deep = "[".repeat(100_000);
    let maps = "{a: ".repeat(200);
    let cases = [
        (text.as_str(), "more than 200000 values"),
        (deep.as_str(), ""),
        (maps.as_str(), "nested deeper than 64"),
        ("a: &a [*a]", "alias"),
        ("a: 1\nb: 2\na: 3", "duplicate key `a`"),
        ("--- 1\n--- 2\n", "second document"),
        ("a: !!binary aGk=", "tag"),
        ("", "empty"),
        ("? [a]\n: 1", "a map key must be"),
    ];
    for (text, why) in cases {
        let fault = parse("f.cwl", text).expect_err(why);
        assert!(fault.to_string().contains(why), "{fault}");
    }
    // Checks for duplicate keys take no linear search, so a map with very many keys parses
    // quickly.
    let many: String = (0..90_000).map(|i| format!("k{i}: 1\n")).collect();
    assert!(parse("f.cwl", &many).is_ok());
    let fault = parse("f.cwl", "a: 1\nb: [\n").expect_err("open");
    assert_eq!((fault.file.as_str(), fault.line >= 2), ("f.cwl", true));
}
