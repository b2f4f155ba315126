//! Checks the rules of the protocol from outside, by what users and machines observe.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_wire::{
    JobId, TaskId,
    job::{JobPhase, JobSpec, Shape},
};

/// A rule of the protocol that was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RuleViolation {
    /// A task started on one machine while it was still on another.
    RanTwice,
    /// A team used more processors than its limit.
    Quota,
    /// A task started on a machine type, in a zone or on a spot machine that its job does
    /// not allow.
    WrongPlace,
    /// A task of a cancelled job was on a machine after the cancellation time.
    RanCancelled,
    /// An accepted job was reported as nonexistent or impossible.
    Forgotten,
    /// A job that was never submitted was reported, or awaited by an accepted job.
    Invented,
    /// A job was reported done before all its tasks were, or is a service.
    NotDone,
    /// A job left a final phase, or was cancelled without a request.
    WentBack,
    /// A task started before all jobs that its job awaits were done.
    TooEarly,
    /// A job was reported open although a job that it depends on, or itself, had been
    /// reported cancelled for longer than the cancellation time.
    Orphaned,
    /// A job that cannot run or lacks a field was accepted, or rejected with the wrong
    /// status.
    Unfit,
    /// A worker started an attempt again that it had been told to forget.
    RanAnew,
    /// A controller detected a violation of its own invariants.
    Invariant,
    /// A job kept waiting after the last fault although a suitable machine had free capacity
    /// and the team was below its limit.
    LeftWaiting,
}

/// Properties of a machine that the rules depend on.
#[derive(Clone, Debug)]
pub struct Site {
    /// Name of the machine type.
    pub kind: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine; otherwise it is on-demand.
    pub spot: bool,
}

/// Follows the events of a run and records violations of the rules.
#[derive(Debug, Default)]
pub struct RuleChecker {
    /// All submitted jobs.
    pub jobs: BTreeMap<JobId, JobSpec>,
    /// Maximum processors of each team.
    pub limits: BTreeMap<String, f64>,
    /// Time within which the tasks of a cancelled job must have left their machines.
    pub cancel: Duration,
    /// Completed tasks.
    pub done: BTreeSet<TaskId>,
    /// Violations with their times and descriptions.
    pub violations: Vec<(Duration, RuleViolation, String)>,
    /// Number of tasks lost with their machine or with the lease of their worker.
    pub lost: usize,
    /// Number of task starts.
    pub started: u64,
    /// Started tasks with their start times.
    pub starts: Vec<(Duration, TaskId)>,
    /// Number of starts after a user was told that the job is cancelled.
    pub late_starts: usize,
    /// Start times of tasks on machines that had just booted.
    pub starts_on_new_machines: Vec<Duration>,
    /// Completed tasks with their completion times.
    pub ends: Vec<(Duration, TaskId)>,
    /// Times at which a start left a team without room for another task of that size.
    pub at_limit: Vec<(Duration, String)>,
    /// Completion time of the last task of each completed job.
    pub ended: BTreeMap<JobId, Duration>,
    /// Number of completed tasks of each job.
    done_counts: BTreeMap<JobId, u32>,
    /// Machines that each task is on.
    placements: BTreeMap<TaskId, BTreeMap<String, Site>>,
    /// Accepted jobs, and the time at which a user first learned of it.
    accepted: BTreeMap<JobId, Duration>,
    /// Last phase reported for each job, and its time.
    last_reported: BTreeMap<JobId, (Duration, JobPhase)>,
    /// Jobs that their users requested to cancel.
    pub cancel_requests: BTreeSet<JobId>,
    /// Cancelled jobs whose tasks are still checked, and the time of the first report.
    cancelled: BTreeMap<JobId, Duration>,
    /// Time at which each job was first reported as cancelled.
    reported_cancelled_at: BTreeMap<JobId, Duration>,
}

impl RuleChecker {
    /// Creates a checker for the given limits of teams and cancellation time.
    pub fn new(limits: BTreeMap<String, f64>, cancel: Duration) -> Self {
        Self {
            limits,
            cancel,
            ..Self::default()
        }
    }

    fn record_violation(&mut self, now: Duration, rule: RuleViolation, what: String) {
        self.violations.push((now, rule, what));
    }

    /// Records that a task starts running on a machine, and checks all rules on starts.
    pub fn task_started(&mut self, now: Duration, task: &TaskId, machine: &str, site: &Site) {
        self.started += 1;
        self.starts.push((now, task.clone()));
        self.late_starts += usize::from(self.reported_cancelled_at.contains_key(&task.job));
        let Some(spec) = self.jobs.get(&task.job).cloned() else {
            return;
        };
        let elsewhere = self.placements.get(task).is_some_and(|m| !m.is_empty());
        if elsewhere {
            let machines = format!("{task} on {machine} and {:?}", self.placements[task].keys());
            self.record_violation(now, RuleViolation::RanTwice, machines);
        }
        let on = self.placements.entry(task.clone()).or_default();
        on.insert(machine.to_owned(), site.clone());
        if !spec.allows_type(&site.kind)
            || !spec.allows_zone(&site.zone)
            || (site.spot && !spec.spot)
        {
            self.record_violation(
                now,
                RuleViolation::WrongPlace,
                format!("{task} on {machine}"),
            );
        }
        let early = spec.awaits.iter().find(|id| !self.is_done(id));
        if let Some(awaited) = early.cloned() {
            self.record_violation(
                now,
                RuleViolation::TooEarly,
                format!("{task} before {awaited}"),
            );
        }
        let zones = self.tasks_by_zone(&task.job);
        if zones.values().any(|n| *n > spec.max_tasks_per_zone())
            || (spec.one_zone && zones.len() > 1)
        {
            self.record_violation(
                now,
                RuleViolation::WrongPlace,
                format!("{task}: zones {zones:?}"),
            );
        }
        let used = self.cpus_used(&spec.team);
        let limit = self.limits.get(&spec.team).copied().unwrap_or(0.0);
        if limit > 0.0 && used > limit + 1e-6 {
            self.record_violation(
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

    /// Number of processors used by a team's tasks.
    pub fn cpus_used(&self, team: &str) -> f64 {
        let on = self.placements.iter().filter(|(_, m)| !m.is_empty());
        let specs = on.filter_map(|(t, _)| self.jobs.get(&t.job));
        specs.filter(|s| s.team == team).map(|s| s.cpus).sum()
    }

    /// Number of tasks of a job that are on machines, by zone.
    pub fn tasks_by_zone(&self, job: &JobId) -> BTreeMap<String, u32> {
        let mut zones = BTreeMap::new();
        for (_, machines) in self.placements.range(job.task(0)..=job.task(u32::MAX)) {
            if let Some(site) = machines.values().next() {
                *zones.entry(site.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// Whether a task is on a machine other than the given one.
    pub fn is_elsewhere(&self, task: &TaskId, machine: &str) -> bool {
        let on = self.placements.get(task);
        on.is_some_and(|on| on.keys().any(|name| name != machine))
    }

    /// Whether a user has been told that a job is cancelled.
    pub fn is_reported_cancelled(&self, job: &JobId) -> bool {
        self.reported_cancelled_at.contains_key(job)
    }

    /// Number of completed tasks of a job.
    pub fn done_tasks(&self, job: &JobId) -> u32 {
        self.done_counts.get(job).copied().unwrap_or(0)
    }

    /// Whether a job was accepted, all jobs that it awaits are done, and neither it nor a job
    /// that it depends on was requested to cancel.
    pub fn is_runnable(&self, job: &JobId) -> bool {
        let cancel_requested = !self
            .with_dependencies(job)
            .is_disjoint(&self.cancel_requests);
        let ready = |spec: &JobSpec| spec.awaits.iter().all(|id| self.is_done(id));
        self.accepted.contains_key(job)
            && !cancel_requested
            && self.jobs.get(job).is_some_and(ready)
    }

    /// Whether the last report to a user shows the job as done or cancelled.
    pub fn is_ended(&self, job: &JobId) -> bool {
        let told = self.last_reported.get(job).map(|(_, phase)| *phase);
        matches!(told, Some(JobPhase::Done | JobPhase::Cancelled))
    }

    /// Records a violation found by another check.
    pub fn report(&mut self, now: Duration, rule: RuleViolation, what: String) {
        self.record_violation(now, rule, what);
    }

    /// Records that a task has completed; repeated completions are ignored.
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

    /// The job itself and all jobs that it depends on, directly or indirectly.
    fn with_dependencies(&self, job: &JobId) -> BTreeSet<JobId> {
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

    /// Records that a task has left a machine.
    pub fn task_left(&mut self, task: &TaskId, machine: &str) {
        if let Some(on) = self.placements.get_mut(task) {
            on.remove(machine);
            if on.is_empty() {
                self.placements.remove(task);
            }
        }
    }

    /// Checks for tasks of cancelled jobs that are still on machines; called at every step.
    pub fn check_cancelled_jobs(&mut self, now: Duration) {
        let mut late = Vec::new();
        for (job, at) in &self.cancelled {
            let on = self
                .placements
                .range(job.task(0)..=job.task(u32::MAX))
                .next();
            if let Some((task, _)) = on
                && now > *at + self.cancel
            {
                late.push((job.clone(), task.clone()));
            }
        }
        for (job, task) in late {
            self.cancelled.remove(&job);
            self.record_violation(now, RuleViolation::RanCancelled, task.to_string());
        }
    }

    /// Records that a user requests to cancel a job.
    pub fn cancel_requested(&mut self, job: &JobId) {
        self.cancel_requests.insert(job.clone());
    }

    /// Records the phase of a job that a user is told in answer to a request sent at `asked`.
    pub fn phase_reported(&mut self, now: Duration, asked: Duration, job: &JobId, phase: JobPhase) {
        let Some(spec) = self.jobs.get(job).cloned() else {
            return self.record_violation(now, RuleViolation::Invented, job.to_string());
        };
        if !self.accepted.contains_key(job) {
            self.accepted.insert(job.clone(), now);
            let unknown = spec.awaits.iter().find(|id| !self.jobs.contains_key(*id));
            if let Some(unknown) = unknown {
                self.record_violation(
                    now,
                    RuleViolation::Invented,
                    format!("{job} awaits {unknown}"),
                );
            }
        }
        let is_final = |p| matches!(p, JobPhase::Done | JobPhase::Cancelled);
        let before = self
            .last_reported
            .get(job)
            .copied()
            .filter(|(_, b)| is_final(*b));
        if let Some((at, before)) = before
            && before != phase
        {
            if asked < at && !is_final(phase) {
                // Answers to concurrent requests may arrive out of order.
                return;
            }
            self.record_violation(
                now,
                RuleViolation::WentBack,
                format!("{job}: {before:?}, {phase:?}"),
            );
        }
        self.last_reported.insert(job.clone(), (now, phase));
        match phase {
            JobPhase::Done => {
                if !self.is_done(job) || spec.shape == Shape::Service {
                    self.record_violation(now, RuleViolation::NotDone, job.to_string());
                }
            }
            JobPhase::Cancelled => {
                if self
                    .with_dependencies(job)
                    .is_disjoint(&self.cancel_requests)
                {
                    self.record_violation(
                        now,
                        RuleViolation::WentBack,
                        format!("{job}: cancelled without a request"),
                    );
                }
                self.cancelled.entry(job.clone()).or_insert(now);
                self.reported_cancelled_at.entry(job.clone()).or_insert(now);
            }
            JobPhase::Pending | JobPhase::Running => {
                let needed = self.with_dependencies(job);
                let long = |at: &Duration| now > *at + self.cancel;
                let told = needed
                    .iter()
                    .filter_map(|id| self.reported_cancelled_at.get(id));
                if told.into_iter().any(long) {
                    self.record_violation(now, RuleViolation::Orphaned, job.to_string());
                }
            }
        }
    }

    /// Records that a user is told, in answer to a request sent at `asked`, that a job does
    /// not exist or is not possible.
    pub fn job_denied(&mut self, now: Duration, asked: Duration, job: &JobId) {
        // A request sent before the user learned of the acceptance may get an older answer.
        if self.accepted.get(job).is_some_and(|at| *at <= asked) {
            self.record_violation(now, RuleViolation::Forgotten, job.to_string());
        }
    }

    /// Accepted jobs, except services, that were not reported done or cancelled.
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
