use std::{path::Path, time::Duration};

use super::{
    repeat::{Options, Tally, arguments as repeat_arguments},
    *,
};

const LISTED: &str =
    "a_day: test\nmeetings::a_day: test\ntwice: test\ntwice: test\nfast: benchmark\n";

fn red(test: &str) -> Red {
    Red {
        test: test.into(),
        command: "cargo test a_day".into(),
        seen: "a cut lasts".into(),
        issue: 34,
    }
}

#[test]
fn a_line_names_a_test_its_command_what_was_seen_and_its_issue() {
    assert_eq!(parse(""), Ok(Vec::new()));
    let two = "a_day | cargo test a_day | a cut lasts | #34\n\n\
               meetings::a_day | cargo test a_day | a cut lasts | 34\n";
    assert_eq!(parse(two), Ok(vec![red("a_day"), red("meetings::a_day")]));
    for bad in [
        "a_day",
        "a_day | a cut lasts | 34",
        "a_day | cargo test a_day | a cut lasts",
        "a_day | cargo test a_day | a cut lasts | soon",
        "a_day | cargo test a_day | a cut lasts | -34",
        "a_day | cargo test a_day | a cut lasts |",
        "a_day | cargo test a_day |  | 34",
        "a_day |  | a cut lasts | 34",
        " | cargo test a_day | a cut lasts | 34",
        "two names | cargo test a_day | a cut lasts | 34",
        "a_day | cargo test a_day | a cut | lasts | 34",
    ] {
        let text = format!("b | c | d | 1\n{bad}\n");
        assert_eq!(parse(&text), Err(Failure::Malformed(2, bad.into())));
    }
}

/// There were three at most: a full list would have hidden the next finding.
#[test]
fn a_list_has_no_fixed_length() {
    let lines = "a | b | c | 1\n".repeat(40);
    assert_eq!(parse(&lines).map(|reds| reds.len()), Ok(40));
}

#[test]
fn a_name_has_to_be_that_of_one_test() {
    assert_eq!(
        check(&[red("a_day"), red("meetings::a_day")], LISTED),
        Ok(())
    );
    for (name, count) in [("day", 0), ("fast", 0), ("twice", 2)] {
        let bad = Err(Failure::Name(count, name.into()));
        assert_eq!(check(&[red("a_day"), red(name)], LISTED), bad);
    }
}

#[test]
fn exactly_these_are_passed_over() {
    assert_eq!(arguments(&[]), ["test", "--workspace", "--locked"]);
    assert_eq!(
        arguments(&[red("a_day"), red("b")])[3..],
        ["--", "--exact", "--skip", "a_day", "--skip", "b"]
    );
}

#[test]
fn ignored_tests_are_repeated_too_in_release_mode() {
    let arguments = repeat_arguments(&red("a_day"));
    assert_eq!(
        arguments[3..],
        [
            "--release",
            "--tests",
            "--",
            "--exact",
            "--include-ignored",
            "a_day"
        ]
    );
}

#[test]
fn a_tally_says_how_many_passed_and_how_long_they_took() {
    let mut tally = Tally::default();
    tally.add(true, Duration::from_millis(2500));
    tally.add(false, Duration::from_millis(1200));
    assert_eq!(tally.to_string(), "1 of 2 passed, 1.2 to 2.5 s each");
}

#[test]
fn no_runs_at_all_are_refused() {
    let options = Options { times: 0 };
    assert_eq!(repeat(Path::new("."), &options), Err(Failure::NoRuns));
}
