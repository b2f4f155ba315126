use super::*;
use crate::job::Defaults;

#[test]
fn the_same_document_is_read_once() {
    let bundle = |word: &str| {
        Bundle {
            main: "t.cwl".into(),
            files: [(
                "t.cwl".to_owned(),
                format!("cwlVersion: v1.2\nclass: CommandLineTool\nbaseCommand: {word}\ninputs: []\noutputs: []\n"),
            )]
            .into(),
            inputs: serde_json::Value::Null,
            defaults: Defaults {
                team: "t".into(),
                class: "c".into(),
            },
        }
    };
    let mut documents = DocumentCache::default();
    let tool = |process: Process| match process {
        Process::Tool(tool) => tool,
        other => panic!("{other:?}"),
    };
    let first = tool(documents.read(&bundle("echo")).expect("good"));
    for i in 0..MAX_CACHED_DOCUMENTS - 1 {
        documents.read(&bundle(&format!("w{i}"))).expect("good");
    }
    let again = tool(documents.read(&bundle("echo")).expect("good"));
    assert!(Arc::ptr_eq(&first, &again));
    for i in 0..MAX_CACHED_DOCUMENTS {
        documents.read(&bundle(&format!("v{i}"))).expect("good");
    }
    let reloaded = tool(documents.read(&bundle("echo")).expect("good"));
    assert!(!Arc::ptr_eq(&first, &reloaded));
    assert_eq!(reloaded.command, ["echo"]);
    assert!(documents.read(&bundle("[")).is_err());
}
