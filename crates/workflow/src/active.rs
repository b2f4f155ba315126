//! A run in progress: its jobs, and the next actions for it.
//!
//! State is recorded before it takes effect: job ids before they are used, the reason of a failure
//! before the jobs are ended, the final state before it is reported. Everything else is derived
//! again from the records, the answers of the user API and the results of tasks.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_cwl::{Engine, document::Process};
use oliveshift_wire::{
    JobId,
    job::{JobPhase, JobSpec},
    state::{Change, json_len},
};

use crate::{
    flow::{JobKey, JobRequest, Run},
    job::{Defaults, TaskResult, job_spec},
    records::{
        JobRecord, RunId, RunRecord, RunState, StoredRun, piece_key, put_record, put_text, run_key,
        split_text,
    },
};

/// Interval between status requests for a job.
pub const JOB_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum delay before a failed request is retried.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Number of random digits in a job id, large enough that no other submitter draws the same id.
const JOB_ID_DIGITS: usize = 36;

/// Reply of the user API to a request about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobReply {
    /// The submission was accepted and created the job.
    Created,
    /// The job exists and is in this phase.
    Known(JobPhase),
    /// The user API does not know the job.
    Unknown,
    /// The request is invalid, for this reason; a retry cannot succeed.
    Refused(String),
    /// Temporary refusal or no answer: retry after this time, or after the default delay.
    RetryAfter(Option<Duration>),
}

/// Faults that tests inject to show that they would detect them.
#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Writes are sent without the fencing conditions.
    NoFence,
    /// Job ids are used before they are recorded.
    UnrecordedIds,
    /// A run ends while its jobs are still running.
    JobsLeftRunning,
    /// A job of another submitter with the same id is treated as the run's own.
    ForeignJobAdopted,
    /// Idempotency keys of submissions are ignored.
    KeysIgnored,
}

/// Next action for a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write these changes, on the condition that this instance still holds the run and its
    /// record is unchanged. The last change is the run's own record, which commits the others.
    Write(Vec<Change>),
    /// Submit a job to the user API.
    Submit(JobKey, Box<JobSpec>),
    /// Request the status of a job.
    Poll(JobKey, JobId),
    /// Cancel a job.
    Abort(JobKey, JobId),
    /// Fetch the results of a job with this number of tasks.
    Results(JobKey, JobId, u32),
    /// Fetch the beginning of a file.
    Text(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobState {
    /// Its id is not recorded yet.
    New,
    /// Its id is recorded; it is to be submitted.
    Recorded,
    /// The user API has accepted it.
    Accepted,
    /// All of its tasks have ended; their results are to be fetched.
    Done,
    /// No further action is needed.
    Finished,
}

#[derive(Debug)]
struct Job {
    /// Jobs that it awaits. `None` for a job loaded from its record that the flow has not
    /// reached again; its results cannot be interpreted until then.
    awaits: Option<Vec<JobKey>>,
    spec: JobSpec,
    state: JobState,
    /// No request for it has been answered or timed out yet, and it was not loaded from a record.
    /// If the user API knows the id all the same, the id belongs to another submitter's job.
    never_sent: bool,
    /// A write or request for it is in flight.
    in_flight: bool,
    next_request_at: Duration,
}

/// A run in progress.
#[derive(Debug)]
pub struct ActiveRun {
    id: RunId,
    /// The run's record as last written.
    record: RunRecord,
    /// The record of the write in flight, if any.
    writing: Option<RunRecord>,
    defaults: Defaults,
    flow: Run,
    jobs: BTreeMap<JobKey, Job>,
    /// Number of records that hold its jobs, including those being written.
    job_pieces: usize,
    /// Locations of files that were requested.
    texts: BTreeSet<String>,
    cancel: bool,
    piece_bytes: usize,
    rng: fastrand::Rng,
    #[cfg(feature = "sabotage")]
    sabotage: Option<Sabotage>,
}

impl ActiveRun {
    /// Restores a run of a process from its records. Outputs and job records are split at
    /// `piece_bytes`.
    ///
    /// # Errors
    /// A description of the mismatch if the inputs do not fit the process.
    pub fn new(
        id: RunId,
        process: &Process,
        whole: StoredRun,
        piece_bytes: usize,
        seed: u64,
    ) -> Result<Self, String> {
        let StoredRun {
            mut record,
            bundle,
            jobs,
            job_pieces,
            ..
        } = whole;
        record.job_pieces = Some(job_pieces as u32);
        let flow = Run::new(process, &bundle.inputs, Engine::default());
        let flow = flow.map_err(|f| f.to_string())?;
        let jobs = jobs.into_iter().map(|record| {
            let job = Job {
                awaits: None,
                spec: record.spec.clone(),
                state: JobState::Recorded,
                // The instance that wrote the record may have submitted the job.
                never_sent: false,
                in_flight: false,
                next_request_at: Duration::ZERO,
            };
            (record.key(), job)
        });
        Ok(Self {
            id,
            record,
            writing: None,
            defaults: bundle.defaults,
            flow,
            jobs: jobs.collect(),
            job_pieces,
            texts: BTreeSet::new(),
            cancel: false,
            piece_bytes,
            rng: fastrand::Rng::with_seed(seed),
            #[cfg(feature = "sabotage")]
            sabotage: None,
        })
    }

    /// Injects a fault for tests.
    #[cfg(feature = "sabotage")]
    pub fn set_sabotage(&mut self, sabotage: Option<Sabotage>) {
        self.sabotage = sabotage;
    }

    #[cfg(feature = "sabotage")]
    fn has_sabotage(&self, sabotage: Sabotage) -> bool {
        self.sabotage == Some(sabotage)
    }

    /// The run's record as last written.
    pub fn record(&self) -> &RunRecord {
        &self.record
    }

    /// Current state in readable form, for diagnostics.
    pub fn describe(&self) -> String {
        let jobs = self.jobs.iter().map(|(key, job)| {
            let request = if job.in_flight { ", in flight" } else { "" };
            format!("{}#{} {:?}{request}", key.step, key.group, job.state)
        });
        let jobs: Vec<_> = jobs.collect();
        let writing = if self.writing.is_some() {
            ", writing"
        } else {
            ""
        };
        format!("{:?}{writing}: {}", self.record.state, jobs.join("; "))
    }

    /// Requests that the run is cancelled.
    pub fn cancel(&mut self) {
        self.cancel = true;
    }

    /// Actions to take now: at most `max_requests` requests, and a write only if `may_write`.
    /// `unix_s` is the wall-clock time in seconds since the Unix epoch.
    pub fn next_actions(
        &mut self,
        now: Duration,
        unix_s: u64,
        max_requests: usize,
        may_write: bool,
    ) -> Vec<Action> {
        if self.record.state.is_final() {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if self.record.state == RunState::Running {
            self.advance(unix_s);
        }
        if may_write && self.writing.is_none() {
            actions.extend(self.next_write(unix_s));
        }
        if self.record.state == RunState::Running {
            self.advance_jobs(now, max_requests, &mut actions);
        } else {
            self.end_jobs(now, max_requests, &mut actions);
        }
        actions
    }

    /// Advances the flow and adds the jobs that became ready.
    fn advance(&mut self, unix_s: u64) {
        for JobRequest {
            key,
            requirements,
            tasks,
            awaits,
        } in self.flow.advance()
        {
            if let Some(job) = self.jobs.get_mut(&key) {
                // The job was recorded before this run was loaded.
                job.awaits = Some(awaits);
                continue;
            }
            let Some(id) = self.draw_id() else { continue };
            let ids = awaits.iter().filter_map(|k| self.jobs.get(k));
            let ids = ids.map(|job| job.spec.id.clone()).collect();
            let elapsed_s = unix_s.saturating_sub(self.record.begun_s) as f64;
            let spec = job_spec(id, &requirements, tasks, ids, &self.defaults, elapsed_s);
            let job = Job {
                awaits: Some(awaits),
                spec,
                state: JobState::New,
                never_sent: true,
                in_flight: false,
                next_request_at: Duration::ZERO,
            };
            self.jobs.insert(key, job);
        }
    }

    /// Next write: a new state of the run, otherwise the records of new jobs.
    fn next_write(&mut self, unix_s: u64) -> Option<Action> {
        let mut record = self.record.clone();
        let mut changes = Vec::new();
        match record.state {
            RunState::Running => {
                if let Some(failure) = self.flow.failure() {
                    record.state = RunState::Failing;
                    record.failure = Some((failure.step.clone(), failure.reason.clone()));
                } else if let Some(outputs) = self.flow.outputs() {
                    let text = outputs.to_string();
                    let pieces = split_text(&text, self.piece_bytes);
                    let first = record.pieces as usize;
                    record.outputs = pieces.len() as u32;
                    for (i, piece) in pieces.into_iter().enumerate() {
                        let key = piece_key('t', self.id, first + i);
                        changes.push(put_text(key, piece));
                    }
                    record.state = RunState::Complete;
                } else if self.cancel {
                    record.state = RunState::Canceling;
                }
            }
            RunState::Failing if self.all_jobs_finished() => record.state = RunState::ExecutorError,
            RunState::Canceling if self.all_jobs_finished() => record.state = RunState::Canceled,
            _ => {}
        }
        if record.state.is_final() {
            record.ended_s = Some(unix_s);
            if self.cancel {
                let key = run_key('c', self.id);
                changes.push(Change::Delete { key });
            }
        }
        if record == self.record {
            changes = self.new_job_records();
            if changes.is_empty() {
                return None;
            }
        }
        record.job_pieces = Some(self.job_pieces as u32);
        // The run's record is part of every write. Its new version makes later writes of an
        // instance that has lost the run fail.
        changes.push(put_record(run_key('r', self.id), &record));
        self.writing = Some(record);
        Some(Action::Write(changes))
    }

    /// Changes that record new jobs. Jobs share a record as long as it takes at most `piece_bytes`.
    fn new_job_records(&mut self) -> Vec<Change> {
        #[cfg(feature = "sabotage")]
        if self.has_sabotage(Sabotage::UnrecordedIds) {
            for job in self.jobs.values_mut().filter(|j| j.state == JobState::New) {
                job.state = JobState::Recorded;
            }
            return Vec::new();
        }
        let mut records: Vec<Vec<JobRecord>> = Vec::new();
        let mut size = 0;
        for (key, job) in &mut self.jobs {
            if job.state != JobState::New || job.in_flight {
                continue;
            }
            job.in_flight = true;
            let record = JobRecord {
                step: key.step.clone(),
                group: key.group,
                spec: job.spec.clone(),
            };
            // Records are stored as JSON texts, in which quotes are escaped; the factor of 2 is
            // an upper bound.
            let bytes = 2 * json_len(&record) + 1;
            match records.last_mut() {
                Some(last) if size + bytes <= self.piece_bytes => last.push(record),
                _ => {
                    records.push(vec![record]);
                    size = 4;
                }
            }
            size += bytes;
        }
        let first = self.job_pieces;
        self.job_pieces += records.len();
        let records = records.into_iter().enumerate();
        let put = records.map(|(i, list)| put_record(piece_key('j', self.id, first + i), &list));
        put.collect()
    }

    /// Applies the write in flight after it was committed.
    pub fn write_committed(&mut self) {
        if let Some(record) = self.writing.take() {
            self.record = record;
        }
        for job in self.jobs.values_mut() {
            if job.state == JobState::New && job.in_flight {
                job.state = JobState::Recorded;
                job.in_flight = false;
            }
        }
    }

    /// Fetches requested files, and submits, polls and fetches the results of jobs.
    fn advance_jobs(&mut self, now: Duration, max_requests: usize, actions: &mut Vec<Action>) {
        let wanted: Vec<_> = self.flow.files_to_read().cloned().collect();
        for location in wanted {
            if actions.len() < max_requests && self.texts.insert(location.clone()) {
                actions.push(Action::Text(location));
            }
        }
        let state = |jobs: &BTreeMap<JobKey, Job>, key: &JobKey| jobs.get(key).map(|j| j.state);
        let ready: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.in_flight && now >= job.next_request_at)
            .filter(|(_, job)| {
                let Some(awaits) = &job.awaits else {
                    return false;
                };
                let all = |wanted: &dyn Fn(JobState) -> bool| {
                    let mut awaits = awaits.iter();
                    awaits.all(|k| state(&self.jobs, k).is_some_and(wanted))
                };
                match job.state {
                    JobState::New | JobState::Finished => false,
                    // The user API must know the jobs that it awaits.
                    JobState::Recorded => {
                        all(&|s| !matches!(s, JobState::New | JobState::Recorded))
                    }
                    // The job cannot finish before the jobs that it awaits, and its results can
                    // be interpreted only after theirs.
                    JobState::Accepted | JobState::Done => all(&|s| s == JobState::Finished),
                }
            })
            .map(|(key, _)| key.clone())
            .take(max_requests.saturating_sub(actions.len()))
            .collect();
        for key in ready {
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            job.in_flight = true;
            let (id, tasks) = (job.spec.id.clone(), job.spec.tasks);
            actions.push(match job.state {
                JobState::Recorded => Action::Submit(key, Box::new(job.spec.clone())),
                JobState::Accepted => Action::Poll(key, id),
                _ => Action::Results(key, id, tasks),
            });
        }
    }

    /// Ends all jobs of a run that failed or was cancelled.
    fn end_jobs(&mut self, now: Duration, max_requests: usize, actions: &mut Vec<Action>) {
        let unknown: BTreeSet<JobId> = self
            .jobs
            .values()
            .filter(|job| job.state == JobState::Recorded && !job.never_sent)
            .map(|job| job.spec.id.clone())
            .collect();
        for (key, job) in &mut self.jobs {
            if actions.len() >= max_requests {
                return;
            }
            match job.state {
                JobState::New => job.state = JobState::Finished,
                JobState::Recorded if job.never_sent && !job.in_flight => {
                    job.state = JobState::Finished
                }
                // All of its tasks have ended.
                JobState::Done if !job.in_flight => job.state = JobState::Finished,
                _ => {}
            }
            if job.in_flight || now < job.next_request_at || job.state == JobState::Finished {
                continue;
            }
            // The user API must know the jobs that it awaits. When one of those is cancelled,
            // this job is cancelled with it and never starts.
            if job.spec.awaits.iter().any(|id| unknown.contains(id)) {
                continue;
            }
            job.in_flight = true;
            actions.push(match job.state {
                // A submission whose answer was lost may still arrive at any later time. A job can
                // be cancelled reliably only after a submission of it has been answered.
                JobState::Recorded => Action::Submit(key.clone(), Box::new(job.spec.clone())),
                _ => Action::Abort(key.clone(), job.spec.id.clone()),
            });
        }
    }

    fn all_jobs_finished(&self) -> bool {
        #[cfg(feature = "sabotage")]
        if self.has_sabotage(Sabotage::JobsLeftRunning) {
            return true;
        }
        self.jobs.values().all(|j| j.state == JobState::Finished)
    }

    /// Applies the reply of the user API to a submission, status request or cancellation.
    /// `cancel_sent` is set if it answers a cancellation.
    pub fn job_answered(
        &mut self,
        now: Duration,
        key: &JobKey,
        reply: JobReply,
        cancel_sent: bool,
    ) {
        let running = self.record.state == RunState::Running;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.in_flight = false;
        let never_sent = std::mem::replace(&mut job.never_sent, false);
        match (job.state, reply) {
            (_, JobReply::RetryAfter(after)) => {
                job.next_request_at = now + after.unwrap_or(RETRY_INTERVAL).max(RETRY_INTERVAL);
            }
            (JobState::Recorded, JobReply::Known(_)) if never_sent => {
                // The id belongs to a job of another submitter.
                #[cfg(feature = "sabotage")]
                if self.sabotage == Some(Sabotage::ForeignJobAdopted) {
                    job.state = JobState::Accepted;
                    return;
                }
                self.replace_id(key);
            }
            (JobState::Recorded, JobReply::Created) => {
                job.state = JobState::Accepted;
                job.next_request_at = now
                    + if running {
                        JOB_POLL_INTERVAL
                    } else {
                        Duration::ZERO
                    };
            }
            (JobState::Recorded, JobReply::Refused(reason)) => {
                job.state = JobState::Finished;
                let reason = format!("the step's job was refused: {reason}");
                self.flow.job_failed(key, reason);
            }
            (JobState::Recorded, JobReply::Unknown) => job.next_request_at = now + RETRY_INTERVAL,
            (JobState::Recorded | JobState::Accepted, JobReply::Known(phase)) => {
                job.state = JobState::Accepted;
                job.next_request_at = now + JOB_POLL_INTERVAL;
                match phase {
                    // After a cancellation, either final phase ends the job.
                    JobPhase::Done | JobPhase::Cancelled if cancel_sent => {
                        job.state = JobState::Finished
                    }
                    JobPhase::Done => job.state = JobState::Done,
                    JobPhase::Cancelled => {
                        job.state = JobState::Finished;
                        self.flow
                            .job_failed(key, "the step's job was cancelled".to_owned());
                    }
                    JobPhase::Pending | JobPhase::Running => {}
                }
                if matches!(job.state, JobState::Done) || !running {
                    job.next_request_at = now;
                }
            }
            (JobState::Accepted, JobReply::Unknown) if cancel_sent => {
                job.next_request_at = now + RETRY_INTERVAL
            }
            (JobState::Accepted, JobReply::Unknown | JobReply::Refused(_)) => {
                job.next_request_at = now + JOB_POLL_INTERVAL;
            }
            _ => {}
        }
    }

    /// Gives a job a new id, which is recorded before it is used. Jobs that await it are recorded
    /// again with the new id; they cannot have been submitted yet.
    fn replace_id(&mut self, key: &JobKey) {
        let Some(id) = self.draw_id() else { return };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let old_id = std::mem::replace(&mut job.spec.id, id.clone());
        log::warn!(
            "{}: job id {old_id} is already used by another job; drawing a new id",
            self.id
        );
        job.state = JobState::New;
        job.never_sent = true;
        for job in self.jobs.values_mut() {
            for awaited in &mut job.spec.awaits {
                if *awaited == old_id {
                    *awaited = id.clone();
                    job.state = JobState::New;
                }
            }
        }
    }

    fn draw_id(&mut self) -> Option<JobId> {
        let digits: String = (0..JOB_ID_DIGITS).map(|_| self.rng.digit(10)).collect();
        JobId::from_digits(&digits).ok()
    }

    /// Applies the results of a job's tasks; `None` if they are not available now.
    pub fn results_fetched(
        &mut self,
        now: Duration,
        key: &JobKey,
        results: Option<Vec<TaskResult>>,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.in_flight = false;
        match results {
            Some(results) => {
                job.state = JobState::Finished;
                self.flow.job_done(key, &results);
            }
            None => job.next_request_at = now + RETRY_INTERVAL,
        }
    }

    /// Passes the beginning of a file to the flow; `None` if there is no such file.
    pub fn text_fetched(&mut self, location: &str, text: Option<String>) {
        self.flow.file_read(location, text);
    }
}
