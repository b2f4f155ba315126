use super::*;

fn entry(text: &str) -> Entry {
    Entry::parse("test entry", text).expect("an entry")
}

fn score(score: &str, rules: &str) -> Entry {
    entry(&format!(
        r#"{{"v":1,"id":"0a1b","cmd":"score","argv":["x.toml"],"head":"c0ffee","dirty":false,
        "site":"x","ok":true,"error":null,"score":{score},"days":[{{"G":0.8,"name":"calm",
        "rules":{rules},"fault":null,"restarts":1.0,"aims":[["up: 0.9 (aim 1)",0.5]]}}]}}"#
    ))
}

fn reference(score: f64) -> Reference {
    Reference {
        score,
        journal: "old".into(),
        commit: "older".into(),
    }
}

#[test]
fn score_drops_beyond_noise_and_broken_rules_are_problems() {
    let problems = |figure: &str, rules: &str, before: f64| {
        Row::compare("x", &score(figure, rules), Some(&reference(before))).problems
    };
    assert_eq!(problems("0.70", "{}", 0.73), Vec::<String>::new());
    assert_eq!(problems("0.80", "{}", 0.73), Vec::<String>::new());
    assert_eq!(problems("0.699", "{}", 0.73), ["score dropped"]);
    assert_eq!(problems("0.8", r#"{"quota":2}"#, 0.7), ["quota (calm)"]);
    assert_eq!(problems("null", "{}", 0.7), ["no score"]);
    let new = Row::compare("x", &score("0.1", "{}"), None);
    assert!(new.passes() && new.unexpected_exits == 1.0, "{new:?}");
    let mut failed = score("0.8", "{}");
    failed.days[0].score = Some(0.0);
    let failed = Row::compare("x", &failed, None);
    assert_eq!(failed.problems, ["calm failed"]);
    let mut incomplete = score("0.8", "{}");
    (incomplete.ok, incomplete.error) = (false, Some("the run did not finish".into()));
    let incomplete = Row::compare("x", &incomplete, None);
    assert_eq!(
        incomplete.problems,
        ["run incomplete: the run did not finish"]
    );
}

#[test]
fn the_table_shows_problems() {
    let good = Row::compare("x", &score("0.7", "{}"), Some(&reference(0.72)));
    let bad = Row::compare("x", &score("0.6", "{}"), Some(&reference(0.72)));
    let text = table(&[good, bad]);
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[1].contains("-0.020") && lines[1].contains("good"));
    assert!(lines[2].contains("-0.120") && lines[2].contains("score dropped"));
}

#[test]
fn references_come_from_full_scores_only() {
    let old = References::from([
        ("x".to_owned(), reference(0.9)),
        ("y".to_owned(), reference(0.5)),
    ]);
    let full = score("0.7", "{}");
    let new = updated_references(&old, &[("x".into(), full.clone())], &[]).expect("it is full");
    assert_eq!((new["x"].score, new["y"].score), (0.7, 0.5));
    assert_eq!((&*new["x"].journal, &*new["x"].commit), ("0a1b", "c0ffee"));
    let text = toml::to_string(&new).expect("it can be written");
    assert_eq!(toml::from_str::<References>(&text).expect("and read"), new);
    let quick = Entry {
        argv: vec!["--quick".into()],
        ..full.clone()
    };
    // The mean of all scores of the commit; scores of other commits are ignored.
    let other = |score, head: &str| Entry {
        score: Some(score),
        head: Some(head.into()),
        site: Some("x".into()),
        ..full.clone()
    };
    let all = [
        other(0.7, "c0ffee"),
        other(0.8, "c0ffee"),
        other(0.1, "bad"),
    ];
    let mean = updated_references(&old, &[("x".into(), full.clone())], &all).expect("it is full");
    assert_eq!(mean["x"].score, 0.75);
    let dirty = Entry {
        dirty: true,
        ..full.clone()
    };
    let broken = score("0.7", r#"{"ran_twice":1}"#);
    for bad in [quick, dirty, broken] {
        assert!(updated_references(&old, &[("x".into(), bad)], &[]).is_err());
    }
}

#[test]
fn missing_site_files_are_named_in_the_error() {
    let kit = std::env::temp_dir().join(format!("oliveshift-kit-{}", std::process::id()));
    let site = kit.join(SITES[0]);
    std::fs::create_dir_all(site.parent().expect("a folder")).expect("a temporary folder");
    std::fs::write(&site, "").expect("a file");
    let found = site_files(&kit, &SITES, Some("rabat-ops"));
    let missing = site_files(&kit, &SITES, None).expect_err("the others are missing");
    let unknown = site_files(&kit, &SITES, Some("nowhere")).expect_err("no such site");
    std::fs::remove_dir_all(&kit).expect("it can be removed");
    assert_eq!(found.expect("it is there"), [site]);
    assert!(missing.to_string().contains(SITES[1]), "{missing}");
    assert!(unknown.to_string().contains("nowhere"), "{unknown}");
}

#[test]
fn hunt_problems_are_broken_rules_failed_days_and_incomplete_runs() {
    let hunt_entry = |rules: &str| Entry {
        cmd: "hunt".into(),
        score: None,
        ..score("0.1", rules)
    };
    assert_eq!(hunt_problems(&hunt_entry("{}")), Vec::<String>::new());
    assert_eq!(
        hunt_problems(&hunt_entry(r#"{"quota":1}"#)),
        ["quota (calm)"]
    );
    let mut failed = hunt_entry("{}");
    failed.days[0].score = Some(0.0);
    assert_eq!(hunt_problems(&failed), ["calm failed"]);
    let none = Entry {
        days: Vec::new(),
        ..hunt_entry("{}")
    };
    assert_eq!(hunt_problems(&none), ["run incomplete: no day was run"]);
}
