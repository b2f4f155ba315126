//! A run that is under way: its jobs, and what is to be done for it next.
//!
//! What matters is written before it is done: ids before they are used, the
//! reason of a failure before what runs is ended, the end before it is told.
//! Everything else is worked out again from what is written, the answers of the
//! users' API and what tasks have left behind.

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
        JobRecord, RunId, RunRecord, RunState, StoredRun, piece_key, pieces, put, put_text, run_key,
    },
};

/// How often a job is asked after.
pub const JOB_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// How long to wait before something that did not work is tried again.
const RETRY: Duration = Duration::from_secs(1);
/// The digits of a job's id. So many that nobody else draws the same.
const DIGITS: usize = 36;

/// What the users' API says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobReply {
    /// The job was taken just now.
    Created,
    /// The job is known; this is its phase.
    Known(JobPhase),
    /// There is no such job.
    Unknown,
    /// It can't be taken, ever.
    Refused(String),
    /// Not now, or no answer came: come back after this time.
    RetryAfter(Option<Duration>),
}

/// Ways to break the code on purpose, so that tests can show that they would
/// notice.
#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Writes go without the conditions that fence them.
    NoFence,
    /// Ids are used without being written.
    UnrecordedIds,
    /// A run ends without its jobs being ended.
    JobsLeftRunning,
    /// A job that is somebody else's is taken for ours.
    ForeignJobAdopted,
}

/// What is to be done for a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Write this, if the run is still ours and as we know it. The last change
    /// is the run's own record, which makes the others count.
    Write(Vec<Change>),
    /// Submit a job.
    Submit(JobKey, Box<JobSpec>),
    /// Ask how it is.
    Poll(JobKey, JobId),
    /// Cancel it.
    Abort(JobKey, JobId),
    /// Get what its tasks, so many, have left behind.
    Results(JobKey, JobId, u32),
    /// Get the beginning of a file.
    Text(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobState {
    /// Its id is not written yet.
    New,
    /// To be submitted.
    Written,
    /// The users' API has it.
    Accepted,
    /// All its tasks are done, what they left is to be fetched.
    Done,
    /// Nothing more is to be done for it.
    Over,
}

#[derive(Debug)]
struct Job {
    /// What it awaits; none: it is known from before a crash, and the flow has
    /// not come as far again. What it left would mean nothing yet.
    awaits: Option<Vec<JobKey>>,
    spec: JobSpec,
    state: JobState,
    /// No request for it has ever been sent: if it is known all the same, its
    /// id is somebody else's.
    unsent: bool,
    /// A request for it is under way.
    busy: bool,
    next: Duration,
}

/// A run that is under way.
#[derive(Debug)]
pub struct ActiveRun {
    id: RunId,
    /// As it is written.
    record: RunRecord,
    /// As it is being written.
    writing: Option<RunRecord>,
    defaults: Defaults,
    flow: Run,
    jobs: BTreeMap<JobKey, Job>,
    /// How many pieces its jobs take, those being written included.
    job_pieces: usize,
    /// Files that were asked for.
    texts: BTreeSet<String>,
    cancel: bool,
    piece_bytes: usize,
    rng: fastrand::Rng,
    #[cfg(feature = "sabotage")]
    sabotage: Option<Sabotage>,
}

impl ActiveRun {
    /// A run of a process as its records have it.
    ///
    /// # Errors
    /// The inputs don't fit, in words.
    pub fn new(
        id: RunId,
        process: &Process,
        whole: StoredRun,
        piece_bytes: usize,
        seed: u64,
    ) -> Result<Self, String> {
        let StoredRun {
            record,
            bundle,
            jobs,
            job_pieces,
            ..
        } = whole;
        let flow = Run::new(process, &bundle.inputs, Engine::default());
        let flow = flow.map_err(|f| f.to_string())?;
        let jobs = jobs.into_iter().map(|record| {
            let job = Job {
                awaits: None,
                spec: record.spec.clone(),
                state: JobState::Written,
                // It may have been, by whoever wrote it.
                unsent: false,
                busy: false,
                next: Duration::ZERO,
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

    /// Breaks it on purpose.
    #[cfg(feature = "sabotage")]
    pub fn break_by(&mut self, sabotage: Option<Sabotage>) {
        self.sabotage = sabotage;
    }

    #[cfg(feature = "sabotage")]
    fn is_broken_by(&self, sabotage: Sabotage) -> bool {
        self.sabotage == Some(sabotage)
    }

    /// As it is written.
    pub fn record(&self) -> &RunRecord {
        &self.record
    }

    /// Where it stands, for people.
    pub fn describe(&self) -> String {
        let jobs = self.jobs.iter().map(|(key, job)| {
            let busy = if job.busy { ", busy" } else { "" };
            format!("{}#{} {:?}{busy}", key.step, key.group, job.state)
        });
        let jobs: Vec<_> = jobs.collect();
        let writing = if self.writing.is_some() {
            ", writing"
        } else {
            ""
        };
        format!("{:?}{writing}: {}", self.record.state, jobs.join("; "))
    }

    /// Somebody wants it cancelled.
    pub fn cancel(&mut self) {
        self.cancel = true;
    }

    /// What is to be done now: at most so many requests, and a write only if it
    /// may be. `unix_s` is the time of day in seconds since 1970.
    pub fn next_actions(
        &mut self,
        now: Duration,
        unix_s: u64,
        most: usize,
        may_write: bool,
    ) -> Vec<Act> {
        if self.record.state.is_final() {
            return Vec::new();
        }
        let mut acts = Vec::new();
        if self.record.state == RunState::Running {
            self.advance(unix_s);
        }
        if may_write && self.writing.is_none() {
            acts.extend(self.write(unix_s));
        }
        if self.record.state == RunState::Running {
            self.go_on(now, most, &mut acts);
        } else {
            self.wind_up(now, most, &mut acts);
        }
        acts
    }

    /// Lets the flow go on and takes up the work that comes of it.
    fn advance(&mut self, unix_s: u64) {
        for JobRequest {
            key,
            requirements,
            tasks,
            awaits,
        } in self.flow.advance()
        {
            if let Some(job) = self.jobs.get_mut(&key) {
                // Written before a crash.
                job.awaits = Some(awaits);
                continue;
            }
            let Some(id) = self.draw_id() else { continue };
            let ids = awaits.iter().filter_map(|k| self.jobs.get(k));
            let ids = ids.map(|job| job.spec.id.clone()).collect();
            let gone = unix_s.saturating_sub(self.record.begun_s) as f64;
            let spec = job_spec(id, &requirements, tasks, ids, &self.defaults, gone);
            let job = Job {
                awaits: Some(awaits),
                spec,
                state: JobState::New,
                unsent: true,
                busy: false,
                next: Duration::ZERO,
            };
            self.jobs.insert(key, job);
        }
    }

    /// What has to be written before anything else is done.
    fn write(&mut self, unix_s: u64) -> Option<Act> {
        let mut record = self.record.clone();
        let mut changes = Vec::new();
        match record.state {
            RunState::Running => {
                if let Some(failure) = self.flow.failure() {
                    record.state = RunState::Failing;
                    record.failure = Some((failure.step.clone(), failure.reason.clone()));
                } else if let Some(outputs) = self.flow.outputs() {
                    let text = outputs.to_string();
                    let pieces = pieces(&text, self.piece_bytes);
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
            RunState::Failing if self.is_wound_up() => record.state = RunState::ExecutorError,
            RunState::Canceling if self.is_wound_up() => record.state = RunState::Canceled,
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
            changes = self.new_jobs();
            if changes.is_empty() {
                return None;
            }
        }
        // Written in any case: its version tells whoever has lost the run.
        changes.push(put(run_key('r', self.id), &record));
        self.writing = Some(record);
        Some(Act::Write(changes))
    }

    /// The records of new jobs.
    fn new_jobs(&mut self) -> Vec<Change> {
        #[cfg(feature = "sabotage")]
        if self.is_broken_by(Sabotage::UnrecordedIds) {
            for job in self.jobs.values_mut().filter(|j| j.state == JobState::New) {
                job.state = JobState::Written;
            }
            return Vec::new();
        }
        let mut records: Vec<Vec<JobRecord>> = Vec::new();
        let mut size = 0;
        for (key, job) in &mut self.jobs {
            if job.state != JobState::New || job.busy {
                continue;
            }
            job.busy = true;
            let record = JobRecord {
                step: key.step.clone(),
                group: key.group,
                spec: job.spec.clone(),
            };
            // Records are texts, in which quotes are escaped.
            let takes = 2 * json_len(&record) + 1;
            match records.last_mut() {
                Some(last) if size + takes <= self.piece_bytes => last.push(record),
                _ => {
                    records.push(vec![record]);
                    size = 4;
                }
            }
            size += takes;
        }
        let first = self.job_pieces;
        self.job_pieces += records.len();
        let records = records.into_iter().enumerate();
        let put = records.map(|(i, list)| put(piece_key('j', self.id, first + i), &list));
        put.collect()
    }

    /// What was to be written is.
    pub fn written(&mut self) {
        if let Some(record) = self.writing.take() {
            self.record = record;
        }
        for job in self.jobs.values_mut() {
            if job.state == JobState::New && job.busy {
                job.state = JobState::Written;
                job.busy = false;
            }
        }
    }

    /// Submits, polls and fetches.
    fn go_on(&mut self, now: Duration, most: usize, acts: &mut Vec<Act>) {
        let wanted: Vec<_> = self.flow.files_to_read().cloned().collect();
        for location in wanted {
            if acts.len() < most && self.texts.insert(location.clone()) {
                acts.push(Act::Text(location));
            }
        }
        let state = |jobs: &BTreeMap<JobKey, Job>, key: &JobKey| jobs.get(key).map(|j| j.state);
        let ready: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.busy && now >= job.next)
            .filter(|(_, job)| {
                let Some(awaits) = &job.awaits else {
                    return false;
                };
                let all = |wanted: &dyn Fn(JobState) -> bool| {
                    let mut awaits = awaits.iter();
                    awaits.all(|k| state(&self.jobs, k).is_some_and(wanted))
                };
                match job.state {
                    JobState::New | JobState::Over => false,
                    // What it awaits must be known there.
                    JobState::Written => all(&|s| !matches!(s, JobState::New | JobState::Written)),
                    // It can't be done before them, and what it leaves means
                    // nothing without what they left.
                    JobState::Accepted | JobState::Done => all(&|s| s == JobState::Over),
                }
            })
            .map(|(key, _)| key.clone())
            .take(most.saturating_sub(acts.len()))
            .collect();
        for key in ready {
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            job.busy = true;
            let (id, tasks) = (job.spec.id.clone(), job.spec.tasks);
            acts.push(match job.state {
                JobState::Written => Act::Submit(key, Box::new(job.spec.clone())),
                JobState::Accepted => Act::Poll(key, id),
                _ => Act::Results(key, id, tasks),
            });
        }
    }

    /// Ends what runs.
    fn wind_up(&mut self, now: Duration, most: usize, acts: &mut Vec<Act>) {
        let unknown: BTreeSet<JobId> = self
            .jobs
            .values()
            .filter(|job| job.state == JobState::Written && !job.unsent)
            .map(|job| job.spec.id.clone())
            .collect();
        for (key, job) in &mut self.jobs {
            if acts.len() >= most {
                return;
            }
            match job.state {
                JobState::New => job.state = JobState::Over,
                JobState::Written if job.unsent && !job.busy => job.state = JobState::Over,
                // Nothing of it runs.
                JobState::Done if !job.busy => job.state = JobState::Over,
                _ => {}
            }
            if job.busy || now < job.next || job.state == JobState::Over {
                continue;
            }
            // What it awaits must be known there; once that is cancelled, it
            // is cancelled with it and never starts.
            if job.spec.awaits.iter().any(|id| unknown.contains(id)) {
                continue;
            }
            job.busy = true;
            acts.push(match job.state {
                // A submission that was lost may arrive any time later. Only
                // one that has been answered can be cancelled for good.
                JobState::Written => Act::Submit(key.clone(), Box::new(job.spec.clone())),
                _ => Act::Abort(key.clone(), job.spec.id.clone()),
            });
        }
    }

    fn is_wound_up(&self) -> bool {
        #[cfg(feature = "sabotage")]
        if self.is_broken_by(Sabotage::JobsLeftRunning) {
            return true;
        }
        self.jobs.values().all(|j| j.state == JobState::Over)
    }

    /// What the users' API says to a submission, question or cancellation.
    pub fn job_replied(&mut self, now: Duration, key: &JobKey, what: JobReply, aborted: bool) {
        let running = self.record.state == RunState::Running;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.busy = false;
        let unsent = std::mem::replace(&mut job.unsent, false);
        match (job.state, what) {
            (_, JobReply::RetryAfter(after)) => {
                job.next = now + after.unwrap_or(RETRY).max(RETRY);
            }
            (JobState::Written, JobReply::Known(_)) if unsent => {
                // Somebody else's.
                #[cfg(feature = "sabotage")]
                if self.sabotage == Some(Sabotage::ForeignJobAdopted) {
                    job.state = JobState::Accepted;
                    return;
                }
                self.rename(key);
            }
            (JobState::Written, JobReply::Created) => {
                job.state = JobState::Accepted;
                job.next = now
                    + if running {
                        JOB_POLL_INTERVAL
                    } else {
                        Duration::ZERO
                    };
            }
            (JobState::Written, JobReply::Refused(reason)) => {
                job.state = JobState::Over;
                let reason = format!("its job was refused: {reason}");
                self.flow.job_failed(key, reason);
            }
            (JobState::Written, JobReply::Unknown) => job.next = now + RETRY,
            (JobState::Written | JobState::Accepted, JobReply::Known(phase)) => {
                job.state = JobState::Accepted;
                job.next = now + JOB_POLL_INTERVAL;
                match phase {
                    // In the end it does not matter how it ended.
                    JobPhase::Done | JobPhase::Cancelled if aborted => job.state = JobState::Over,
                    JobPhase::Done => job.state = JobState::Done,
                    JobPhase::Cancelled => {
                        job.state = JobState::Over;
                        self.flow
                            .job_failed(key, "its job was cancelled".to_owned());
                    }
                    JobPhase::Pending | JobPhase::Running => {}
                }
                if matches!(job.state, JobState::Done) || !running {
                    job.next = now;
                }
            }
            (JobState::Accepted, JobReply::Unknown) if aborted => job.next = now + RETRY,
            (JobState::Accepted, JobReply::Unknown | JobReply::Refused(_)) => {
                job.next = now + JOB_POLL_INTERVAL;
            }
            _ => {}
        }
    }

    /// A job gets another id, which is written before it is used. So does
    /// whatever awaits it: it can't have been submitted yet.
    fn rename(&mut self, key: &JobKey) {
        let Some(id) = self.draw_id() else { return };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let before = std::mem::replace(&mut job.spec.id, id.clone());
        log::warn!("{}: the id {before} was taken", self.id);
        job.state = JobState::New;
        job.unsent = true;
        for job in self.jobs.values_mut() {
            for awaited in &mut job.spec.awaits {
                if *awaited == before {
                    *awaited = id.clone();
                    job.state = JobState::New;
                }
            }
        }
    }

    fn draw_id(&mut self) -> Option<JobId> {
        let digits: String = (0..DIGITS).map(|_| self.rng.digit(10)).collect();
        JobId::from_digits(&digits).ok()
    }

    /// What the tasks of a job have left behind; none: it can't be had now.
    pub fn results(&mut self, now: Duration, key: &JobKey, results: Option<Vec<TaskResult>>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.busy = false;
        match results {
            Some(results) => {
                job.state = JobState::Over;
                self.flow.job_done(key, &results);
            }
            None => job.next = now + RETRY,
        }
    }

    /// The beginning of a file; none: there is no such file.
    pub fn text(&mut self, location: &str, text: Option<String>) {
        self.flow.file_read(location, text);
    }
}
