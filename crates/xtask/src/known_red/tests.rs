use std::{path::Path, time::Duration};

use super::{
    repeat::{Options, RunStats, arguments as repeat_arguments},
    *,
};

const LISTED: &str =
    "a_day: test\nmeetings::a_day: test\ntwice: test\ntwice: test\nfast: benchmark\n";

fn known_failure(test: &str) -> KnownFailure {
    KnownFailure {
        test: test.into(),
        command: "cargo test a_day".into(),
        observed: "a partition lasts".into(),
        issue: 34,
    }
}

#[test]
fn entries_have_a_test_a_command_an_observation_and_an_issue() {
    assert_eq!(parse(""), Ok(Vec::new()));
    let two = "a_day | cargo test a_day | a partition lasts | #34\n\n\
               meetings::a_day | cargo test a_day | a partition lasts | 34\n";
    assert_eq!(
        parse(two),
        Ok(vec![
            known_failure("a_day"),
            known_failure("meetings::a_day")
        ])
    );
    for bad in [
        "a_day",
        "a_day | a partition lasts | 34",
        "a_day | cargo test a_day | a partition lasts",
        "a_day | cargo test a_day | a partition lasts | soon",
        "a_day | cargo test a_day | a partition lasts | -34",
        "a_day | cargo test a_day | a partition lasts |",
        "a_day | cargo test a_day |  | 34",
        "a_day |  | a partition lasts | 34",
        " | cargo test a_day | a partition lasts | 34",
        "two names | cargo test a_day | a partition lasts | 34",
        "a_day | cargo test a_day | a partition | lasts | 34",
    ] {
        let text = format!("b | c | d | 1\n{bad}\n");
        assert_eq!(parse(&text), Err(Failure::Malformed(2, bad.into())));
    }
}

/// A maximum length, once three entries, would hide the next known failure when the list is
/// full.
#[test]
fn list_length_is_not_limited() {
    let lines = "a | b | c | 1\n".repeat(40);
    assert_eq!(
        parse(&lines).map(|known_failures| known_failures.len()),
        Ok(40)
    );
}

#[test]
fn each_name_must_match_exactly_one_test() {
    assert_eq!(
        check_test_names(
            &[known_failure("a_day"), known_failure("meetings::a_day")],
            LISTED
        ),
        Ok(())
    );
    for (name, count) in [("day", 0), ("fast", 0), ("twice", 2)] {
        let bad = Err(Failure::TestCount(count, name.into()));
        assert_eq!(
            check_test_names(&[known_failure("a_day"), known_failure(name)], LISTED),
            bad
        );
    }
}

#[test]
fn only_listed_tests_are_skipped() {
    assert_eq!(arguments(&[]), ["test", "--workspace", "--locked"]);
    assert_eq!(
        arguments(&[known_failure("a_day"), known_failure("b")])[3..],
        ["--", "--exact", "--skip", "a_day", "--skip", "b"]
    );
}

#[test]
fn repeats_include_ignored_tests_and_use_release_mode() {
    let arguments = repeat_arguments(&known_failure("a_day"));
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
fn run_stats_show_passes_and_durations() {
    let mut stats = RunStats::default();
    stats.add(true, Duration::from_millis(2500));
    stats.add(false, Duration::from_millis(1200));
    assert_eq!(stats.to_string(), "1 of 2 passed, 1.2 to 2.5 s each");
}

#[test]
fn zero_runs_are_rejected() {
    let options = Options { times: 0 };
    assert_eq!(repeat(Path::new("."), &options), Err(Failure::NoRuns));
}
