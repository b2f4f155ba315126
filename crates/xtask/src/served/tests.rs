use super::*;

/// Counting tasks hides an underserved class: on one day, half of the tasks were done, but
/// only 233 of 610 relocation jobs, and no other check failed.
#[test]
fn a_day_with_an_underserved_class_fails() {
    let report = |done: u64| {
        format!(
            r#"{{"scenario":"over","seed":1,"targets":[
                {{"kind":"finished","class":"a","within_s":150.0,"value":0.235}}],
                "classes":{{"a":{{"jobs":610,"accepted":610,"started":515,"done":{done},"cancelled":20}},
                "b":{{"jobs":10,"accepted":10,"started":9,"done":0,"up":1.0}}}},
                "teams":{{"t":{{"jobs":620,"started":524}}}}}}"#
        )
    };
    let all = rows("r", &report(233)).expect("a report");
    let underserved: Vec<_> = all.iter().filter(|r| r.is_underserved()).collect();
    assert_eq!(underserved.len(), 1);
    assert_eq!(
        (underserved[0].group.as_str(), underserved[0].done),
        ("a", Some(233))
    );
    assert_eq!(underserved[0].in_time, "0.235 in 150 s");
    let all = rows("r", &report(300)).expect("a report");
    assert!(!all.iter().any(Row::is_underserved));
    assert!(rows("r", "{}").is_err());
}
