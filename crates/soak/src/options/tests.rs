use clap::Parser;

use super::*;

fn check(arguments: &[&str]) -> Result<(), String> {
    let program = std::env::current_exe().expect("path of the test program");
    let program = program.to_string_lossy().into_owned();
    let all = ["soak", "--program", &program];
    let arguments = all.iter().chain(arguments);
    let options = Options::try_parse_from(arguments).expect("arguments parse");
    options.check().map_err(|e| e.to_string())
}

#[test]
fn errors_name_the_invalid_option_or_missing_program() {
    assert_eq!(check(&[]), Ok(()));
    let bad = [
        (["--machines", "0"], "--machines"),
        (["--controllers", "0"], "--controllers"),
        (["--controllers", "10"], "--controllers"),
        (["--seeds", "0"], "--seeds"),
        (["--minutes", "0"], "--minutes"),
        (["--minutes", "NaN"], "--minutes"),
        (["--machines", "40000000"], "--machines"),
        (["--program", "/nowhere"], "/nowhere"),
    ];
    for (arguments, expected) in bad {
        let arguments: Vec<_> = match arguments[0] {
            "--program" => vec!["soak", arguments[0], arguments[1]],
            _ => {
                let error = check(&arguments).expect_err("options are rejected");
                assert!(error.contains(expected), "{error}");
                continue;
            }
        };
        let options = Options::try_parse_from(arguments).expect("arguments parse");
        let error = options
            .check()
            .expect_err("options are rejected")
            .to_string();
        assert!(error.contains(expected), "{error}");
    }
    assert!(Options::try_parse_from(["soak", "--what"]).is_err());
}
