use super::*;

const LISTED: &str =
    "a_day: test\nmeetings::a_day: test\ntwice: test\ntwice: test\nfast: benchmark\n";

fn red(test: &str) -> Red {
    Red {
        test: test.into(),
        cause: "a cut lasts".into(),
        issue: 34,
    }
}

#[test]
fn a_line_names_a_test_its_cause_and_its_issue() {
    assert_eq!(parse(""), Ok(Vec::new()));
    let two = "a_day | a cut lasts | #34\n\nmeetings::a_day | a cut lasts | 34\n";
    assert_eq!(parse(two), Ok(vec![red("a_day"), red("meetings::a_day")]));
    for bad in [
        "a_day",
        "a_day | a cut lasts",
        "a_day | a cut lasts | soon",
        "a_day |  | 34",
        " | a cut lasts | 34",
        "two names | a cut lasts | 34",
        "a_day | a cut | lasts | 34",
    ] {
        let text = format!("b | c | 1\n{bad}\n");
        assert_eq!(parse(&text), Err(Failure::Malformed(2, bad.into())));
    }
}

#[test]
fn a_fourth_line_is_one_too_many() {
    let lines = |n: usize| "a | b | 1\n".repeat(n);
    assert_eq!(parse(&lines(3)).map(|reds| reds.len()), Ok(3));
    assert_eq!(parse(&lines(4)), Err(Failure::TooMany(4)));
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
