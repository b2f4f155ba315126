//! Properties that the limits derived from valid settings have to have.

use std::time::Duration;

use oliveshift_wire::settings::{BadSettings, Settings};

/// The largest relative drift between the clocks of two machines.
const MAX_CLOCK_DRIFT: f64 = 0.0005;

fn settings(lease_s: &str, cancel_s: &str) -> Result<Settings, BadSettings> {
    let text = format!(
        r#"{{"member":"n-0","site":"a","bind":"10.0.0.1:80","internal_addr":"10.0.0.1:81","members":[],
        "outside":{{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"}},"deployment":{{"zones":["a"],"teams":[],
        "workers":{{"report_s":2,"lease_s":{lease_s},"cancel_s":{cancel_s}}},
        "state":{{"rps":100,"write_rps":50,"value_kb":16,"txn_ops":20}},
        "cloud":{{"rps":6,"list_lag_s":3}},"limits":{{"max_sockets":100}}}}}}"#
    );
    Settings::parse(&text)
}

/// Guards against limits that ignore the drift of the clocks they are measured on: a takeover
/// limit that did not include the drift over the contact limit was too short with contact
/// limits above 2,000 s.
#[test]
fn limits_hold_on_clocks_that_drift() {
    let times = [
        2.0, 6.0, 16.0, 28.0, 41.0, 120.0, 3_000.0, 50_000.0, 900_000.0,
    ];
    let mut checked = 0;
    for lease_s in times {
        for cancel_s in times.map(|t| lease_s + t) {
            let Ok(settings) = settings(&lease_s.to_string(), &cancel_s.to_string()) else {
                continue;
            };
            checked += 1;
            let lease = Duration::from_secs_f64(lease_s);
            // With slow clocks a previous holder acts until the contact limit, and the worker
            // then goes on until its lease expires.
            let last_stop = settings.contact_limit() + lease;
            let on_fast_clock = |limit: Duration| limit.div_f64(1.0 + MAX_CLOCK_DRIFT);
            let case = format!("{lease_s} {cancel_s}");
            assert!(
                on_fast_clock(settings.takeover_limit()) >= last_stop,
                "{case}"
            );
            assert!(on_fast_clock(settings.lease_limit()) >= lease, "{case}");
            let cancel = Duration::from_secs_f64(cancel_s);
            assert!(last_stop.mul_f64(1.0 + MAX_CLOCK_DRIFT) <= cancel, "{case}");
        }
    }
    assert!(checked > 60, "{checked}");
}

#[test]
fn settings_without_a_safe_contact_limit_state_the_required_values() {
    let refused = |lease: &str, cancel: &str| {
        let error = settings(lease, cancel).expect_err("no safe limit");
        let line = error.to_string();
        assert!(!line.contains('\n'), "{line}");
        line
    };
    let line = refused("28", "29");
    assert!(line.contains("`workers.cancel_s` (29)"), "{line}");
    assert!(line.contains("at least 31.53"), "{line}");
    assert!(line.contains("`workers.lease_s` at most 25.47"), "{line}");
    assert!(settings("28", "31.54").is_ok() && settings("25.46", "29").is_ok());
    assert!(settings("28", "31.52").is_err() && settings("25.48", "29").is_err());
    let line = refused("1", "1");
    assert!(line.contains("at least 4.50"), "{line}");
    assert!(!line.contains("or `workers.lease_s`"), "{line}");
    for (lease, cancel, field) in [
        ("0", "30", "workers.lease_s"),
        ("-1", "30", "workers.lease_s"),
        ("12", "0", "workers.cancel_s"),
        ("1e9", "30", "workers.lease_s"),
    ] {
        let line = refused(lease, cancel);
        assert!(line.contains(&format!("`{field}`")), "{line}");
    }
    for no_number in ["null", "\"12\"", "NaN"] {
        refused(no_number, "30");
    }
}
