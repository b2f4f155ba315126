use clap::Parser;

use super::*;

fn check(arguments: &[&str]) -> Result<(), String> {
    let program = std::env::current_exe().expect("this program");
    let program = program.to_string_lossy().into_owned();
    let all = ["soak", "--program", &program];
    let arguments = all.iter().chain(arguments);
    let options = Options::try_parse_from(arguments).expect("they can be read");
    options.check().map_err(|e| e.to_string())
}

#[test]
fn bad_numbers_and_a_missing_program_are_named() {
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
    for (arguments, named) in bad {
        let arguments: Vec<_> = match arguments[0] {
            "--program" => vec!["soak", arguments[0], arguments[1]],
            _ => {
                let error = check(&arguments).expect_err("refused");
                assert!(error.contains(named), "{error}");
                continue;
            }
        };
        let options = Options::try_parse_from(arguments).expect("they can be read");
        let error = options.check().expect_err("refused").to_string();
        assert!(error.contains(named), "{error}");
    }
    assert!(Options::try_parse_from(["soak", "--what"]).is_err());
}
