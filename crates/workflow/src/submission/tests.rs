use super::*;
use crate::job::Defaults;

fn bundle(event: &str, team: &str) -> Bundle {
    Bundle {
        main: "alert.cwl".into(),
        files: [("alert.cwl".to_owned(), "text".to_owned())].into(),
        inputs: serde_json::json!({ "event": event }),
        defaults: Defaults {
            team: team.into(),
            class: "cwl".into(),
        },
    }
}

fn identity(key: &str, event: &str, team: &str) -> SubmissionIdentity {
    let key = key.parse().expect("a key");
    SubmissionIdentity::new(key, &bundle(event, team))
}

fn item(change: Change) -> Item {
    match change {
        Change::Put { key, value, .. } => Item {
            key,
            value,
            version: 4,
        },
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_repeat_gets_the_run_that_was_recorded_first() {
    let run = RunId {
        range: 3,
        number: 0xab,
    };
    let first = identity("once", "m6.1", "blue");
    let items = [item(first.put(run))];
    assert_eq!(first.answer(&items), Some(Answer::Started(run)));
    // The defaults are those of the instance, and may differ between instances.
    let repeat = identity("once", "m6.1", "red");
    assert_eq!(repeat.answer(&items), Some(Answer::Started(run)));
    let other = identity("once", "m7.0", "blue");
    assert_eq!(other.answer(&items), Some(Answer::KeyReused));
    // A read below a prefix also returns longer keys.
    assert_eq!(identity("onc", "m6.1", "blue").answer(&items), None);
}
