//! Documents that were read lately.
//!
//! Partners hand the same document in with other inputs, and a run is read
//! again after each trouble. Read documents are shared: an open run took
//! 138 KiB, most of it its own copy of the same document.

use std::{collections::VecDeque, sync::Arc};

use oliveshift_cwl::{document::Process, load};

use crate::records::Bundle;

/// The most that are kept.
const MAX_CACHED_DOCUMENTS: usize = 64;

/// A document and what it was read as.
#[derive(Debug)]
struct CachedDocument {
    main: String,
    files: std::collections::BTreeMap<String, String>,
    process: Process,
}

/// Documents, the last used first.
#[derive(Debug, Default)]
pub struct DocumentCache {
    known: VecDeque<Arc<CachedDocument>>,
}

impl DocumentCache {
    /// What a bundle runs.
    ///
    /// # Errors
    /// The first fault of its document, in words.
    pub fn read(&mut self, bundle: &Bundle) -> Result<Process, String> {
        let same = |k: &Arc<CachedDocument>| k.main == bundle.main && k.files == bundle.files;
        let known = match self.known.iter().position(same) {
            Some(i) => self.known.remove(i),
            None => None,
        };
        let known = match known {
            Some(known) => known,
            None => Arc::new(CachedDocument {
                process: load::load(bundle, &bundle.main).map_err(|f| f.to_string())?,
                main: bundle.main.clone(),
                files: bundle.files.clone(),
            }),
        };
        let process = known.process.clone();
        self.known.push_front(known);
        self.known.truncate(MAX_CACHED_DOCUMENTS);
        Ok(process)
    }
}

#[cfg(test)]
mod tests {
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
        let anew = tool(documents.read(&bundle("echo")).expect("good"));
        assert!(!Arc::ptr_eq(&first, &anew));
        assert_eq!(anew.command, ["echo"]);
        assert!(documents.read(&bundle("[")).is_err());
    }
}
