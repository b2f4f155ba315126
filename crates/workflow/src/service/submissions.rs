//! Submissions: an instance records the submitted runs and recognizes repeats.

use std::time::Duration;

use oliveshift_wire::state::{Cond, Txn};

#[cfg(feature = "sabotage")]
use crate::active::Sabotage;
use crate::{
    active::ActiveRun,
    creation::{CreationProgress, RunCreation},
    records::{
        Bundle, RunId, RunRecord, RunState, StoredRun, piece_key, put_record, put_text, run_key,
        split_text,
    },
    submission::SubmissionIdentity,
};

use super::{
    Answer, HeldRun, MAX_BUNDLE_BYTES, Output, Pending, RETRY_AFTER, Service, StoreCall,
    StoreReply, Submission, UserRequestId,
};

impl Service {
    /// Starts to record a submitted run, unless it is recognized as a repeat.
    pub(super) fn submit(
        &mut self,
        now: Duration,
        unix_s: u64,
        request_id: UserRequestId,
        submission: Submission,
    ) {
        let Submission {
            bundle,
            idempotency_key,
        } = submission;
        let identity = idempotency_key.map(|key| SubmissionIdentity::new(key, &bundle));
        #[cfg(feature = "sabotage")]
        let identity = identity.filter(|_| self.sabotage != Some(Sabotage::KeysIgnored));
        if let Some(identity) = &identity
            && self.join_creation(request_id, identity)
        {
            return;
        }
        let held_ranges: Vec<u32> = self.ranges.held().collect();
        let full = self.runs.len() + self.creating.len() >= self.settings.max_runs;
        let Some(range) = self.rng.choice(held_ranges).filter(|_| !full) else {
            return self.find_submission(now, request_id, identity);
        };
        let id = RunId {
            range,
            number: self.rng.u64(..),
        };
        log::info!("{id}: submission received as request {request_id}");
        self.begin_creation(now, unix_s, request_id, id, bundle, identity);
    }

    /// Adds a request to the creation of a run that was submitted with the same key. Returns false
    /// if there is none.
    fn join_creation(&mut self, request_id: UserRequestId, identity: &SubmissionIdentity) -> bool {
        let has_key = |c: &RunCreation| c.identity().is_some_and(|i| i.key() == identity.key());
        let Some((id, creation)) = self.creating.iter_mut().find(|(_, c)| has_key(c)) else {
            return false;
        };
        if creation.identity() == Some(identity) {
            log::info!("{id}: request {request_id} repeats its submission");
            creation.add_request(request_id);
        } else {
            let answer = Answer::KeyReused;
            self.outputs.push(Output::Answer(request_id, answer));
        }
        true
    }

    /// Answers a submission that cannot be recorded now: a repeat gets the run that was recorded
    /// before.
    fn find_submission(
        &mut self,
        now: Duration,
        request_id: UserRequestId,
        identity: Option<SubmissionIdentity>,
    ) {
        let identity = identity.filter(|_| self.store_budget.available(now) > 0);
        let Some(identity) = identity else {
            let answer = Answer::RetryAfter(RETRY_AFTER);
            return self.outputs.push(Output::Answer(request_id, answer));
        };
        let call = StoreCall::Page {
            prefix: identity.record_key(),
            after: None,
        };
        self.call_store(Pending::FindSubmission(request_id, identity), call);
    }

    /// Checks a submitted document and prepares the writes for its run: first the document and
    /// inputs, then the run's record.
    fn begin_creation(
        &mut self,
        now: Duration,
        unix_s: u64,
        request_id: UserRequestId,
        id: RunId,
        bundle: Bundle,
        identity: Option<SubmissionIdentity>,
    ) {
        let text = serde_json::to_string(&bundle).unwrap_or_default();
        let piece_bytes = self.settings.value_bytes;
        let mut record = RunRecord {
            state: RunState::Running,
            begun_s: unix_s,
            ended_s: None,
            pieces: 0,
            outputs: 0,
            failure: None,
            job_pieces: Some(0),
            idempotency_key: identity.as_ref().map(|i| i.key().clone()),
        };
        let invalid_reason = if text.len() > MAX_BUNDLE_BYTES {
            Some(format!(
                "the document and its inputs are larger than {MAX_BUNDLE_BYTES} bytes"
            ))
        } else {
            let process = self.documents.read(&bundle);
            let stored_run = StoredRun::new(record.clone(), bundle);
            let run = process.and_then(|p| ActiveRun::new(id, &p, stored_run, piece_bytes, 0));
            run.err()
        };
        if let Some(invalid_reason) = invalid_reason {
            return self
                .outputs
                .push(Output::Answer(request_id, Answer::Invalid(invalid_reason)));
        }
        let pieces = split_text(&text, piece_bytes);
        record.pieces = pieces.len() as u32;
        let changes: Vec<_> = pieces
            .into_iter()
            .enumerate()
            .map(|(i, text)| put_text(piece_key('t', id, i), text))
            .collect();
        let mut conds = Vec::new();
        let claim_version = self.ranges.version(id.range);
        let Some(claim_version) = claim_version.filter(|_| self.add_fence(id.range, &mut conds))
        else {
            let answer = Answer::RetryAfter(RETRY_AFTER);
            return self.outputs.push(Output::Answer(request_id, answer));
        };
        conds.extend(identity.as_ref().map(SubmissionIdentity::absent));
        let mut txns: Vec<Txn> = changes
            .chunks(self.max_txn_changes())
            .map(|changes| Txn {
                conds: conds.clone(),
                changes: changes.to_vec(),
            })
            .collect();
        conds.push(Cond {
            key: run_key('r', id),
            version: 0,
        });
        let submission_record = identity.as_ref().map(|identity| identity.put(id));
        let changes = [put_record(run_key('r', id), &record)].into_iter();
        let changes = changes.chain(submission_record).collect();
        txns.push(Txn { conds, changes });
        let creation = RunCreation::new(now, request_id, identity, claim_version, txns);
        self.creating.insert(id, creation);
    }

    pub(super) fn creation_answered(&mut self, now: Duration, id: RunId, reply: &StoreReply) {
        let Some(creation) = self.creating.get_mut(&id) else {
            return;
        };
        match creation.write_answered(reply) {
            CreationProgress::Incomplete => {}
            CreationProgress::Recorded => {
                if let Some(creation) = self.creating.remove(&id) {
                    self.run_recorded(now, id, &creation);
                }
            }
            CreationProgress::ConditionFailed => self.settle_creation(id),
        }
    }

    /// Answers a submission whose run is recorded.
    fn run_recorded(&mut self, now: Duration, id: RunId, creation: &RunCreation) {
        // The run is loaded from its records, as after a crash.
        self.runs.entry(id).or_insert(HeldRun::ToLoad(now));
        self.answer_submission(id, creation, &Answer::Started(id));
    }

    /// Answers the requests that submitted a run.
    fn answer_submission(&mut self, id: RunId, creation: &RunCreation, answer: &Answer) {
        for request_id in creation.request_ids() {
            log::info!("{id}: request {request_id} is answered {answer:?}");
            self.outputs
                .push(Output::Answer(*request_id, answer.clone()));
        }
    }

    /// Ends a creation whose conditions no longer hold. A read decides if an earlier write of the
    /// run's record may have been executed, or if the key may be that of a run recorded before.
    fn settle_creation(&mut self, id: RunId) {
        let Some(creation) = self.creating.remove(&id) else {
            return;
        };
        let prefix = match creation.identity() {
            Some(identity) => identity.record_key(),
            None if creation.may_be_recorded() => run_key('r', id),
            None => return self.abandon_creation(id, &creation),
        };
        let call = StoreCall::Page {
            prefix,
            after: None,
        };
        self.call_store(Pending::SettleCreation(id, creation), call);
    }

    /// Applies the read of a submission's records after its creation has ended.
    pub(super) fn creation_settled(
        &mut self,
        now: Duration,
        id: RunId,
        creation: &RunCreation,
        reply: StoreReply,
    ) {
        let StoreReply::Page(items, _) = reply else {
            return self.abandon_creation(id, creation);
        };
        let answer = match creation.identity() {
            Some(identity) => identity.answer(&items),
            None => {
                let key = run_key('r', id);
                let mut items = items.iter();
                items.find(|i| i.key == key).map(|_| Answer::Started(id))
            }
        };
        match answer {
            Some(Answer::Started(recorded)) if recorded == id => {
                self.run_recorded(now, id, creation);
            }
            Some(answer) => self.answer_submission(id, creation, &answer),
            None => self.abandon_creation(id, creation),
        }
    }

    /// Answers a submission whose run could not be recorded. If its record was written all the
    /// same, the next scan of the range finds the run.
    fn abandon_creation(&mut self, id: RunId, creation: &RunCreation) {
        let answer = creation.answer_when_abandoned();
        self.answer_submission(id, creation, &answer);
    }

    pub(super) fn advance_creations(&mut self, now: Duration) {
        // Oldest first, so that as few as possible are given up with a part of their pieces written.
        let mut ids: Vec<_> = self.creating.keys().copied().collect();
        ids.sort_by_key(|id| self.creating.get(id).map(RunCreation::deadline));
        for id in ids {
            let Some(creation) = self.creating.get_mut(&id) else {
                continue;
            };
            if creation.is_expired(now) && !creation.is_in_flight() {
                if let Some(creation) = self.creating.remove(&id) {
                    self.abandon_creation(id, &creation);
                }
                continue;
            }
            if creation.is_in_flight() {
                continue;
            }
            if self.ranges.version(id.range) != Some(creation.claim_version()) {
                self.settle_creation(id);
                continue;
            }
            // Submitters wait, so their writes come before those of runs, on credit.
            let within_budget = self.store_budget.available(now) > 0
                && self.write_budget.available(now) > 0
                && self.creation_budget.available(now) > 0;
            if within_budget && let Some(txn) = creation.next_txn() {
                self.creation_budget.charge(txn.changes.len());
                self.call_store(Pending::Create(id), StoreCall::Txn(txn));
            }
        }
    }
}
