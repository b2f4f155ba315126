use super::*;

fn entry(text: &str) -> Entry {
    Entry::parse("a test's", text).expect("an entry")
}

fn score(figure: &str, rules: &str) -> Entry {
    entry(&format!(
        r#"{{"v":1,"id":"0a1b","cmd":"score","argv":["x.toml"],"head":"c0ffee","dirty":false,
        "site":"x","ok":true,"error":null,"score":{figure},"days":[{{"G":0.8,"name":"calm",
        "rules":{rules},"fault":null,"restarts":1.0,"aims":[["up: 0.9 (aim 1)",0.5]]}}]}}"#
    ))
}

fn reference(figure: f64) -> Reference {
    Reference {
        figure,
        journal: "old".into(),
        commit: "older".into(),
    }
}

#[test]
fn a_fall_beyond_scatter_and_a_broken_rule_speak_against_a_landing() {
    let judge = |figure: &str, rules: &str, before: f64| {
        Row::judge("x", &score(figure, rules), Some(&reference(before))).against
    };
    assert_eq!(judge("0.70", "{}", 0.73), Vec::<String>::new());
    assert_eq!(judge("0.80", "{}", 0.73), Vec::<String>::new());
    assert_eq!(judge("0.699", "{}", 0.73), ["fell"]);
    assert_eq!(judge("0.8", r#"{"quota":2}"#, 0.7), ["quota (calm)"]);
    assert_eq!(judge("null", "{}", 0.7), ["no score"]);
    let new = Row::judge("x", &score("0.1", "{}"), None);
    assert!(new.is_good() && new.ended == 1.0, "{new:?}");
    let mut failed = score("0.8", "{}");
    failed.days[0].figure = Some(0.0);
    let failed = Row::judge("x", &failed, None);
    assert_eq!(failed.against, ["calm failed"]);
    let mut torn = score("0.8", "{}");
    (torn.ok, torn.error) = (false, Some("the run did not finish".into()));
    let torn = Row::judge("x", &torn, None);
    assert_eq!(torn.against, ["not ended: the run did not finish"]);
}

#[test]
fn the_table_says_what_is_wrong() {
    let good = Row::judge("x", &score("0.7", "{}"), Some(&reference(0.72)));
    let bad = Row::judge("x", &score("0.6", "{}"), Some(&reference(0.72)));
    let text = table(&[good, bad]);
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[1].contains("-0.020") && lines[1].contains("good"));
    assert!(lines[2].contains("-0.120") && lines[2].contains("fell"));
}

#[test]
fn references_come_from_full_scores_only() {
    let old = References::from([
        ("x".to_owned(), reference(0.9)),
        ("y".to_owned(), reference(0.5)),
    ]);
    let full = score("0.7", "{}");
    let new = accept(&old, &[("x".into(), full.clone())], &[]).expect("it is full");
    assert_eq!((new["x"].figure, new["y"].figure), (0.7, 0.5));
    assert_eq!((&*new["x"].journal, &*new["x"].commit), ("0a1b", "c0ffee"));
    let text = toml::to_string(&new).expect("it can be written");
    assert_eq!(toml::from_str::<References>(&text).expect("and read"), new);
    let quick = Entry {
        argv: vec!["--quick".into()],
        ..full.clone()
    };
    // Of several scores of a commit the mean; others don't count.
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
    let mean = accept(&old, &[("x".into(), full.clone())], &all).expect("it is full");
    assert_eq!(mean["x"].figure, 0.75);
    let dirty = Entry {
        dirty: true,
        ..full.clone()
    };
    let broken = score("0.7", r#"{"ran_twice":1}"#);
    for bad in [quick, dirty, broken] {
        assert!(accept(&old, &[("x".into(), bad)], &[]).is_err());
    }
}

#[test]
fn a_kit_without_a_site_is_named() {
    let kit = std::env::temp_dir().join(format!("oliveshift-kit-{}", std::process::id()));
    let site = kit.join(SITES[0]);
    std::fs::create_dir_all(site.parent().expect("a folder")).expect("a temporary folder");
    std::fs::write(&site, "").expect("a file");
    let found = sites(&kit, &SITES, Some("rabat-ops"));
    let missing = sites(&kit, &SITES, None).expect_err("the others are missing");
    let unknown = sites(&kit, &SITES, Some("nowhere")).expect_err("no such site");
    std::fs::remove_dir_all(&kit).expect("it can be removed");
    assert_eq!(found.expect("it is there"), [site]);
    assert!(missing.to_string().contains(SITES[1]), "{missing}");
    assert!(unknown.to_string().contains("nowhere"), "{unknown}");
}

#[test]
fn a_hunt_is_judged_by_rules_and_failed_days_alone() {
    let hunted = |rules: &str| Entry {
        cmd: "hunt".into(),
        score: None,
        ..score("0.1", rules)
    };
    assert_eq!(judge_hunt(&hunted("{}")), Vec::<String>::new());
    assert_eq!(judge_hunt(&hunted(r#"{"quota":1}"#)), ["quota (calm)"]);
    let mut failed = hunted("{}");
    failed.days[0].figure = Some(0.0);
    assert_eq!(judge_hunt(&failed), ["calm failed"]);
    let none = Entry {
        days: Vec::new(),
        ..hunted("{}")
    };
    assert_eq!(judge_hunt(&none), ["not ended: no day was played"]);
}
