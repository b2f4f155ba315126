//! A cache of parsed documents.
//!
//! Clients submit the same document with different inputs, and the service loads
//! a run from its records again after a failure. Runs share the parsed document: without the cache
//! an open run took 138 KiB, most of it a copy of the same document.

use std::{collections::VecDeque, sync::Arc};

use oliveshift_cwl::{document::Process, load};

use crate::records::Bundle;

/// Least recently used documents above this number are evicted.
const MAX_CACHED_DOCUMENTS: usize = 64;

/// The files of a document and the process parsed from them.
#[derive(Debug)]
struct CachedDocument {
    main: String,
    files: std::collections::BTreeMap<String, String>,
    process: Process,
}

/// Parsed documents, most recently used first.
#[derive(Debug, Default)]
pub struct DocumentCache {
    documents: VecDeque<Arc<CachedDocument>>,
}

impl DocumentCache {
    /// Returns the parsed main document of a bundle, from the cache if it is there.
    ///
    /// # Errors
    /// The message of the first fault found in the document.
    pub fn read(&mut self, bundle: &Bundle) -> Result<Process, String> {
        let is_same = |d: &Arc<CachedDocument>| d.main == bundle.main && d.files == bundle.files;
        let document = match self.documents.iter().position(is_same) {
            Some(i) => self.documents.remove(i),
            None => None,
        };
        let document = match document {
            Some(document) => document,
            None => Arc::new(CachedDocument {
                process: load::load(bundle, &bundle.main).map_err(|f| f.to_string())?,
                main: bundle.main.clone(),
                files: bundle.files.clone(),
            }),
        };
        let process = document.process.clone();
        self.documents.push_front(document);
        self.documents.truncate(MAX_CACHED_DOCUMENTS);
        Ok(process)
    }
}

#[cfg(test)]
mod tests;
