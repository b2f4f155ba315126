use super::*;

const VALID: &str = r#"
name = "wf-0"
listen = "127.0.0.1:8090"
state = "127.0.0.1:4001"
users = ["127.0.0.1:8080"]
objects = "/tmp"
defaults = { team = "partners", class = "cwl" }
limits = { value_kb = 4 }
"#;

#[test]
fn invalid_settings_are_rejected_with_a_one_line_error() {
    let config = Config::parse("f", VALID).expect("valid settings");
    assert_eq!(config.settings().value_bytes, 4096);
    let cases = [
        (VALID.replace("wf-0", "wf 0"), "f: `name` must be"),
        (
            VALID.replace("listen", "lisen"),
            "line 3: unknown field `lisen`",
        ),
        (VALID.replace("127.0.0.1:4001", "nowhere"), "line 4: "),
        (
            VALID.replace("[\"127.0.0.1:8080\"]", "[]"),
            "f: `users` needs at least one address",
        ),
        (
            VALID.replace("/tmp", "/no/such/dir"),
            "f: `objects` must be a directory",
        ),
        (
            VALID.replace("value_kb = 4", "value_kb = 1"),
            "f: `limits.value_kb` must be at least 2",
        ),
        (
            VALID.replace("value_kb = 4", "ranges = 0"),
            "f: `limits.ranges` must be",
        ),
        (
            VALID.replace("team = \"partners\", ", ""),
            "missing field `team`",
        ),
    ];
    for (text, expected) in cases {
        let error = Config::parse("f", &text).expect_err(expected).to_string();
        assert!(
            error.contains(expected) && error.lines().count() == 1,
            "{error}"
        );
    }
}
