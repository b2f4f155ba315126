//! Reads a stored run page by page.

use oliveshift_wire::state::Item;

use crate::{
    records::{JobRecord, RunId, RunRecord, StoredRun, parse_record, run_key},
    service::{StoreCall, StoreReply},
};

/// How much of a stored run has been read.
#[derive(Debug)]
pub(crate) enum LoadStage {
    Record,
    Texts(RunRecord, u64, Vec<Item>),
    Jobs(Box<StoredRun>, Vec<Item>),
}

/// Result of reading one more page of a stored run.
pub(crate) enum LoadProgress {
    /// This request comes next.
    More(LoadStage, StoreCall),
    /// The read failed; it has to start again later.
    Retry,
    /// The run does not exist.
    Missing,
    /// The stored document or jobs cannot be parsed, for this reason.
    Invalid(RunRecord, u64, String),
    /// The whole run was read.
    Complete(Box<StoredRun>),
}

impl LoadStage {
    /// Adds a page and returns how to continue.
    pub fn next(self, id: RunId, reply: StoreReply) -> LoadProgress {
        let StoreReply::Page(items, more) = reply else {
            return LoadProgress::Retry;
        };
        let page = |kind: char, after: Option<String>| StoreCall::Page {
            prefix: format!("{}/", run_key(kind, id)),
            after,
        };
        let last = items.last().map(|i| i.key.clone());
        match self {
            Self::Record => {
                let key = run_key('r', id);
                let item = items.iter().find(|i| i.key == key);
                match item.and_then(|i| Some((parse_record::<RunRecord>(i)?, i.version))) {
                    Some((record, version)) => LoadProgress::More(
                        Self::Texts(record, version, Vec::new()),
                        page('t', None),
                    ),
                    None => LoadProgress::Missing,
                }
            }
            Self::Texts(record, version, mut texts) => {
                texts.extend(items);
                if more {
                    return LoadProgress::More(
                        Self::Texts(record, version, texts),
                        page('t', last),
                    );
                }
                let join = |texts: &[Item]| -> String {
                    texts.iter().filter_map(|i| i.value.as_str()).collect()
                };
                let (first, rest) = texts.split_at(texts.len().min(record.pieces as usize));
                let bundle = match serde_json::from_str(&join(first)) {
                    Ok(bundle) => bundle,
                    Err(e) => {
                        return LoadProgress::Invalid(
                            record,
                            version,
                            format!("the stored document cannot be parsed: {e}"),
                        );
                    }
                };
                let outputs = match record.outputs {
                    0 => None,
                    n => serde_json::from_str(&join(&rest[..rest.len().min(n as usize)])).ok(),
                };
                let stored_run = StoredRun {
                    version,
                    outputs: outputs.unwrap_or_default(),
                    ..StoredRun::new(record, bundle)
                };
                LoadProgress::More(
                    Self::Jobs(Box::new(stored_run), Vec::new()),
                    page('j', None),
                )
            }
            Self::Jobs(mut stored_run, mut all) => {
                all.extend(items);
                if more {
                    return LoadProgress::More(Self::Jobs(stored_run, all), page('j', last));
                }
                if let Some(count) = stored_run.record.job_pieces {
                    all.truncate(count as usize);
                }
                let jobs: Option<Vec<Vec<JobRecord>>> = all.iter().map(parse_record).collect();
                let Some(jobs) = jobs else {
                    let reason = "the stored job records cannot be parsed".to_owned();
                    return LoadProgress::Invalid(stored_run.record, stored_run.version, reason);
                };
                stored_run.job_pieces = all.len();
                stored_run.jobs = jobs.into_iter().flatten().collect();
                LoadProgress::Complete(stored_run)
            }
        }
    }
}
