//! Recognizes the repeats of a submission by its idempotency key.
//!
//! The record of the key is written in the transaction that records the run, on the condition that
//! it does not exist. So whatever becomes of the answers, and whichever instances the repeats reach,
//! one run is recorded for a key.

use oliveshift_wire::{
    IdempotencyKey,
    state::{Change, Cond, Item},
};

use crate::{
    records::{Bundle, RunId, SubmissionRecord, parse_record, put_record, submission_key},
    service::Answer,
};

/// What a submission with an idempotency key is recognized by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SubmissionIdentity {
    key: IdempotencyKey,
    digest: String,
}

impl SubmissionIdentity {
    /// Identity of the submission of a bundle with this key.
    pub fn new(key: IdempotencyKey, bundle: &Bundle) -> Self {
        let digest = bundle.digest();
        Self { key, digest }
    }

    /// The key that the client chose.
    pub fn key(&self) -> &IdempotencyKey {
        &self.key
    }

    /// Key of the submission's record in the state service.
    pub fn record_key(&self) -> String {
        submission_key(&self.key)
    }

    /// Condition that no run is recorded for the key.
    pub fn absent(&self) -> Cond {
        Cond {
            key: self.record_key(),
            version: 0,
        }
    }

    /// Change that records the run of the key.
    pub fn put(&self, run: RunId) -> Change {
        let record = SubmissionRecord {
            run,
            digest: self.digest.clone(),
        };
        put_record(self.record_key(), &record)
    }

    /// Answer that follows from the items of a read below [`Self::record_key`]; `None` if the key
    /// has no record among them.
    pub fn answer(&self, items: &[Item]) -> Option<Answer> {
        let item = items.iter().find(|i| i.key == self.record_key())?;
        let record: SubmissionRecord = parse_record(item)?;
        Some(match record.digest == self.digest {
            true => Answer::Started(record.run),
            false => Answer::KeyReused,
        })
    }
}

#[cfg(test)]
mod tests;
