//! The error type for CWL documents.

use thiserror::Error;

/// An error in a document, with its location.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {}{message}", self.path_prefix())]
pub struct Fault {
    /// The file's path, as passed to the resolver.
    pub file: String,
    /// The line number, counted from 1.
    pub line: usize,
    /// The path in the document, such as `steps.split.in.sheet`; empty for the whole document.
    pub path: String,
    /// A description of the error.
    pub message: String,
}

impl Fault {
    fn path_prefix(&self) -> String {
        match self.path.as_str() {
            "" => String::new(),
            path => format!("{path}: "),
        }
    }
}
