use super::*;

const SCALED: Changes = Changes {
    factor: 1.5,
    restart_s: None,
    lease_s: None,
    cancel_s: None,
};
const SITE: &str = r#"
    name = "x"
    wire = "wire.json"
    [nodes]
    count = 3
    restart_delay_s = 5.0
    [workers]
    lease_s = 31.0
    cancel_s = 56.0
    [[capacity]]
    type = "small"
    count = 5
    spot = 4
    [[machines]]
    type = "small"
    count = 3
    [[teams]]
    name = "t"
    cpus = 10.0
    cpus_max = 0.0
    [[jobs]]
    name = "a"
    initial = 2
    arrivals = { rate = 0.5, swing = 0.3 }
    tasks = { median = 12.0 }
    [[day]]
    name = "d"
    jobs = [{ name = "b", arrivals = { rate = 2.0, start_s = 3.0 } }]
    faults = [{ kind = "machine_die", count = 8 }, { kind = "node_crash", count = 3 }]
"#;

#[test]
fn load_and_machine_faults_scale_with_the_machines() {
    let fast_restart = Changes {
        restart_s: Some(0.2),
        ..SCALED
    };
    let (name, text) = widen("x.toml", SITE, &fast_restart).expect("a site");
    assert_eq!(name, "x-wide");
    let site: Value = toml::from_str(&text).expect("it can be read");
    let number = |value: &Value| match value {
        Value::Integer(n) => *n as f64,
        value => value.as_float().unwrap_or(f64::NAN),
    };
    assert_eq!(number(&site["nodes"]["restart_delay_s"]), 0.2);
    assert_eq!(number(&site["nodes"]["count"]), 3.0);
    let offer = &site["capacity"][0];
    assert_eq!(
        (number(&offer["count"]), number(&offer["spot"])),
        (8.0, 6.0)
    );
    assert_eq!(number(&site["machines"][0]["count"]), 5.0);
    assert_eq!(number(&site["teams"][0]["cpus"]), 15.0);
    assert_eq!(number(&site["teams"][0]["cpus_max"]), 0.0);
    let job = &site["jobs"][0];
    assert_eq!(number(&job["initial"]), 3.0);
    assert_eq!(number(&job["arrivals"]["rate"]), 0.75);
    assert_eq!(number(&job["tasks"]["median"]), 12.0);
    let day = &site["day"][0];
    assert_eq!(number(&day["jobs"][0]["arrivals"]["rate"]), 3.0);
    assert_eq!(number(&day["jobs"][0]["arrivals"]["start_s"]), 3.0);
    assert_eq!(number(&day["faults"][0]["count"]), 12.0);
    assert_eq!(number(&day["faults"][1]["count"]), 3.0);
}

#[test]
fn errors_name_the_bad_input() {
    for factor in [0.0, -1.0, f64::NAN] {
        let error = widen("x.toml", SITE, &Changes { factor, ..SCALED }).expect_err("no factor");
        assert!(error.to_string().contains("--machines"), "{error}");
    }
    let at_once = Changes {
        restart_s: Some(0.0),
        ..SCALED
    };
    let error = widen("x.toml", SITE, &at_once).expect_err("no time");
    assert!(error.to_string().contains("--restart"), "{error}");
    for text in ["name = 3", "name = \"x\"", "{", "name = \"x\"\n[nodes]\n"] {
        let error = widen("x.toml", text, &SCALED).expect_err("no site");
        let line = error.to_string();
        assert!(line.contains("x.toml") && !line.contains('\n'), "{line}");
    }
}

#[test]
fn lease_settings_are_applied_only_if_controllers_accept_them() {
    let with = |lease_s, cancel_s| Changes {
        lease_s,
        cancel_s,
        ..SCALED
    };
    let (_, text) = widen("x.toml", SITE, &with(Some(16.0), Some(41.0))).expect("a site");
    let site: Value = toml::from_str(&text).expect("it can be read");
    assert_eq!(site["workers"]["lease_s"].as_float(), Some(16.0));
    assert_eq!(site["workers"]["cancel_s"].as_float(), Some(41.0));
    for (lease_s, cancel_s, named) in [
        (Some(0.0), None, "--lease"),
        (None, Some(f64::NAN), "--cancel"),
        (Some(-3.0), None, "--lease"),
        (Some(53.0), None, "--cancel"),
        (None, Some(30.0), "--cancel"),
    ] {
        let error = widen("x.toml", SITE, &with(lease_s, cancel_s)).expect_err("no lease");
        let line = error.to_string();
        assert!(line.contains(named) && !line.contains('\n'), "{line}");
    }
    let without = SITE.replace("lease_s", "other_s");
    let error = widen("x.toml", &without, &with(Some(16.0), None)).expect_err("no workers");
    assert!(error.to_string().contains("[workers]"), "{error}");
}
