//! The protocol's rules, watched from outside.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_wire::{
    JobId, TaskId,
    job::{JobPhase, JobSpec, Shape},
};

/// A broken rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RuleViolation {
    /// A task started on one machine while it was on another.
    RanTwice,
    /// A team used more than its limit.
    Quota,
    /// A task started where its job does not allow.
    WrongPlace,
    /// A cancelled job's task was on a machine too late.
    RanCancelled,
    /// An accepted job was denied.
    Forgotten,
    /// A job that nobody submitted was shown.
    Invented,
    /// A job was called done before its tasks were.
    NotDone,
    /// A final phase was taken back.
    WentBack,
    /// A task started before all jobs that its job awaits were done.
    TooEarly,
    /// A job was called open although one before it had been cancelled for
    /// long.
    Orphaned,
    /// A job was accepted that can't run or lacks a field, or was refused with
    /// another status than that calls for.
    Unfit,
    /// A controller has found an invariant of its own violated.
    Invariant,
    /// A job was left waiting though a machine that fits had room and its team was
    /// under its limit, with no trouble left.
    LeftWaiting,
}

/// A machine as the rules see it.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
}

/// Watches what happens and notes what must not.
#[derive(Debug, Default)]
pub struct RuleChecker {
    /// All jobs ever submitted.
    pub jobs: BTreeMap<JobId, JobSpec>,
    /// Most processors of each team.
    pub limits: BTreeMap<String, f64>,
    /// Time until a cancelled job's tasks have to be gone.
    pub cancel: Duration,
    /// Completed tasks.
    pub done: BTreeSet<TaskId>,
    /// What was broken, and when.
    pub violations: Vec<(Duration, RuleViolation, String)>,
    /// Tasks that ended with their machine or with the lease of their worker.
    pub lost: usize,
    /// Tasks started.
    pub started: u64,
    /// Which, and when.
    pub starts: Vec<(Duration, TaskId)>,
    /// How many of them after their user was told that the job is cancelled.
    pub late_starts: usize,
    /// When tasks started on machines that had just come up.
    pub starts_on_new: Vec<Duration>,
    /// When each task that is done was.
    pub ends: Vec<(Duration, TaskId)>,
    /// When a team was within one task of its limit.
    pub at_limit: Vec<(Duration, String)>,
    /// When the last task of each job that is done was.
    pub ended: BTreeMap<JobId, Duration>,
    /// How many tasks of each job are done.
    done_counts: BTreeMap<JobId, u32>,
    on: BTreeMap<TaskId, BTreeMap<String, Site>>,
    /// Accepted jobs, and when their users first heard so.
    accepted: BTreeMap<JobId, Duration>,
    /// What was told of each job last, and when.
    told: BTreeMap<JobId, (Duration, JobPhase)>,
    /// Jobs that their users asked to cancel.
    pub asked_to_cancel: BTreeSet<JobId>,
    cancelled: BTreeMap<JobId, Duration>,
    /// When each user was first told that a job is cancelled.
    told_cancelled: BTreeMap<JobId, Duration>,
}

impl RuleChecker {
    /// RuleChecker for teams with these limits.
    pub fn new(limits: BTreeMap<String, f64>, cancel: Duration) -> Self {
        Self {
            limits,
            cancel,
            ..Self::default()
        }
    }

    fn broke(&mut self, now: Duration, rule: RuleViolation, what: String) {
        self.violations.push((now, rule, what));
    }

    /// A task has its image on a machine.
    pub fn task_started(&mut self, now: Duration, task: &TaskId, machine: &str, site: &Site) {
        self.started += 1;
        self.starts.push((now, task.clone()));
        self.late_starts += usize::from(self.told_cancelled.contains_key(&task.job));
        let Some(spec) = self.jobs.get(&task.job).cloned() else {
            return;
        };
        let elsewhere = self.on.get(task).is_some_and(|m| !m.is_empty());
        if elsewhere {
            let where_ = format!("{task} on {machine} and {:?}", self.on[task].keys());
            self.broke(now, RuleViolation::RanTwice, where_);
        }
        let on = self.on.entry(task.clone()).or_default();
        on.insert(machine.to_owned(), site.clone());
        if !spec.allows_type(&site.kind)
            || !spec.allows_zone(&site.zone)
            || (site.spot && !spec.spot)
        {
            self.broke(
                now,
                RuleViolation::WrongPlace,
                format!("{task} on {machine}"),
            );
        }
        let early = spec.awaits.iter().find(|id| !self.is_done(id));
        if let Some(awaited) = early.cloned() {
            self.broke(
                now,
                RuleViolation::TooEarly,
                format!("{task} before {awaited}"),
            );
        }
        let zones = self.tasks_by_zone(&task.job);
        if zones.values().any(|n| *n > spec.max_tasks_per_zone())
            || (spec.one_zone && zones.len() > 1)
        {
            self.broke(
                now,
                RuleViolation::WrongPlace,
                format!("{task}: zones {zones:?}"),
            );
        }
        let used = self.cpus_used(&spec.team);
        let limit = self.limits.get(&spec.team).copied().unwrap_or(0.0);
        if limit > 0.0 && used > limit + 1e-6 {
            self.broke(
                now,
                RuleViolation::Quota,
                format!("{} uses {used}", spec.team),
            );
        }
        if limit > 0.0 && used + spec.cpus > limit {
            self.at_limit.push((now, spec.team.clone()));
        }
        self.check_cancelled_jobs(now);
    }

    /// The processors that a team's tasks take.
    pub fn cpus_used(&self, team: &str) -> f64 {
        let on = self.on.iter().filter(|(_, m)| !m.is_empty());
        let specs = on.filter_map(|(t, _)| self.jobs.get(&t.job));
        specs.filter(|s| s.team == team).map(|s| s.cpus).sum()
    }

    /// How many tasks of a job are on machines, by zone.
    pub fn tasks_by_zone(&self, job: &JobId) -> BTreeMap<String, u32> {
        let mut zones = BTreeMap::new();
        for (_, machines) in self.on.range(job.task(0)..=job.task(u32::MAX)) {
            if let Some(site) = machines.values().next() {
                *zones.entry(site.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// How many tasks of a job are done.
    pub fn done_tasks(&self, job: &JobId) -> u32 {
        self.done_counts.get(job).copied().unwrap_or(0)
    }

    /// Whether a job was accepted, runs until it is done and was not called off.
    pub fn is_runnable(&self, job: &JobId) -> bool {
        let called_off = !self.with_needed(job).is_disjoint(&self.asked_to_cancel);
        let ready = |spec: &JobSpec| spec.awaits.iter().all(|id| self.is_done(id));
        self.accepted.contains_key(job) && !called_off && self.jobs.get(job).is_some_and(ready)
    }

    /// Whether a user has been told of the job's end.
    pub fn is_ended(&self, job: &JobId) -> bool {
        let told = self.told.get(job).map(|(_, phase)| *phase);
        matches!(told, Some(JobPhase::Done | JobPhase::Cancelled))
    }

    /// Notes what somebody else who watches has found.
    pub fn report(&mut self, now: Duration, rule: RuleViolation, what: String) {
        self.broke(now, rule, what);
    }

    /// A task has completed.
    pub fn task_completed(&mut self, now: Duration, task: &TaskId) {
        if !self.done.insert(task.clone()) {
            return;
        }
        self.ends.push((now, task.clone()));
        let count = self.done_counts.entry(task.job.clone()).or_default();
        *count += 1;
        if self.jobs.get(&task.job).is_some_and(|j| j.tasks == *count) {
            self.ended.insert(task.job.clone(), now);
        }
    }

    /// Whether all tasks of a job have completed.
    fn is_done(&self, job: &JobId) -> bool {
        let all = |spec: &JobSpec| (0..spec.tasks).all(|i| self.done.contains(&job.task(i)));
        self.jobs.get(job).is_some_and(all)
    }

    /// All jobs that a job needs, directly or through others, and itself.
    fn with_needed(&self, job: &JobId) -> BTreeSet<JobId> {
        let mut all = BTreeSet::new();
        let mut next = vec![job.clone()];
        while let Some(id) = next.pop() {
            if let Some(spec) = self.jobs.get(&id) {
                next.extend(spec.awaits.iter().cloned());
            }
            all.insert(id);
        }
        all
    }

    /// A task has left a machine.
    pub fn task_left(&mut self, task: &TaskId, machine: &str) {
        if let Some(on) = self.on.get_mut(task) {
            on.remove(machine);
            if on.is_empty() {
                self.on.remove(task);
            }
        }
    }

    /// Looks for tasks of cancelled jobs; called often.
    pub fn check_cancelled_jobs(&mut self, now: Duration) {
        let mut late = Vec::new();
        for (job, at) in &self.cancelled {
            let on = self.on.range(job.task(0)..=job.task(u32::MAX)).next();
            if let Some((task, _)) = on
                && now > *at + self.cancel
            {
                late.push((job.clone(), task.clone()));
            }
        }
        for (job, task) in late {
            self.cancelled.remove(&job);
            self.broke(now, RuleViolation::RanCancelled, task.to_string());
        }
    }

    /// A user asks to cancel.
    pub fn cancel_requested(&mut self, job: &JobId) {
        self.asked_to_cancel.insert(job.clone());
    }

    /// A user, who asked at some time, has been told of a job's phase.
    pub fn phase_reported(&mut self, now: Duration, asked: Duration, job: &JobId, phase: JobPhase) {
        let Some(spec) = self.jobs.get(job).cloned() else {
            return self.broke(now, RuleViolation::Invented, job.to_string());
        };
        if !self.accepted.contains_key(job) {
            self.accepted.insert(job.clone(), now);
            let unknown = spec.awaits.iter().find(|id| !self.jobs.contains_key(*id));
            if let Some(unknown) = unknown {
                self.broke(
                    now,
                    RuleViolation::Invented,
                    format!("{job} awaits {unknown}"),
                );
            }
        }
        let is_final = |p| matches!(p, JobPhase::Done | JobPhase::Cancelled);
        let before = self.told.get(job).copied().filter(|(_, b)| is_final(*b));
        if let Some((at, before)) = before
            && before != phase
        {
            if asked < at && !is_final(phase) {
                // Two answers on their way at once may overtake each other.
                return;
            }
            self.broke(
                now,
                RuleViolation::WentBack,
                format!("{job}: {before:?}, {phase:?}"),
            );
        }
        self.told.insert(job.clone(), (now, phase));
        match phase {
            JobPhase::Done => {
                if !self.is_done(job) || spec.shape == Shape::Service {
                    self.broke(now, RuleViolation::NotDone, job.to_string());
                }
            }
            JobPhase::Cancelled => {
                if self.with_needed(job).is_disjoint(&self.asked_to_cancel) {
                    self.broke(
                        now,
                        RuleViolation::WentBack,
                        format!("{job}: not its user's wish"),
                    );
                }
                self.cancelled.entry(job.clone()).or_insert(now);
                self.told_cancelled.entry(job.clone()).or_insert(now);
            }
            JobPhase::Pending | JobPhase::Running => {
                let needed = self.with_needed(job);
                let long = |at: &Duration| now > *at + self.cancel;
                let told = needed.iter().filter_map(|id| self.told_cancelled.get(id));
                if told.into_iter().any(long) {
                    self.broke(now, RuleViolation::Orphaned, job.to_string());
                }
            }
        }
    }

    /// A user, who asked at some time, has been told that there is no such job, or
    /// that it can't be.
    pub fn job_denied(&mut self, now: Duration, asked: Duration, job: &JobId) {
        // Whoever asked before the acceptance was heard may hear the older answer.
        if self.accepted.get(job).is_some_and(|at| *at <= asked) {
            self.broke(now, RuleViolation::Forgotten, job.to_string());
        }
    }

    /// Accepted jobs whose users have not been told of an end.
    pub fn open_jobs(&self) -> Vec<JobId> {
        let ended = |j: &&JobId| !self.is_ended(j);
        let arrays = |j: &&JobId| self.jobs[*j].shape != Shape::Service;
        self.accepted
            .keys()
            .filter(ended)
            .filter(arrays)
            .cloned()
            .collect()
    }
}
