//! What is wrong with a document.

use thiserror::Error;

/// A fault of a document: where it is and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {}{message}", self.place())]
pub struct Fault {
    /// The file, as the resolver knows it.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The place in the document, `steps.split.in.sheet`; empty: as a whole.
    pub path: String,
    /// What is wrong.
    pub message: String,
}

impl Fault {
    fn place(&self) -> String {
        match self.path.as_str() {
            "" => String::new(),
            path => format!("{path}: "),
        }
    }
}
