//! Simulated worker of a machine.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::{
    TaskId,
    cloud::MachineType,
    job::Shape,
    worker::{DirectOrders, EndCause, Order, Report, ReportAnswer, TaskReport, TaskState},
};

use crate::{
    contacts::{ContactHistory, ReportOutcome},
    rules::{RuleChecker, RuleViolation, Site},
};

/// Time after its start for which a machine counts as new.
const NEW_MACHINE_AGE: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Fetching(Duration),
    Running(Option<Duration>),
    Saving(Duration),
    Exited(EndCause),
}

/// A worker and the tasks on its machine.
#[derive(Debug)]
pub struct Worker {
    /// Name of the machine, also used as its address.
    pub name: String,
    /// Properties of the machine that the rules depend on.
    pub site: Site,
    /// Whether every task on it fails.
    pub faulty: bool,
    /// Time at which the cloud reclaims the machine, if that has been announced.
    pub reclaim_at: Option<Duration>,
    /// Index of the controller that it reports to.
    pub target: usize,
    /// Identifier of the report in flight, and the time at which it was sent.
    pub in_flight: Option<(u64, Duration)>,
    /// Time of the next report.
    pub report_at: Duration,
    /// Its last reports and their outcomes.
    pub contacts: ContactHistory,
    kind: MachineType,
    started_at: Duration,
    session: u64,
    seq: u64,
    token: u64,
    lease: Duration,
    lease_renewed_at: Duration,
    tasks: BTreeMap<(TaskId, u64), Stage>,
    /// Attempts of this session that were forgotten on command, and how they had ended.
    forgotten: BTreeMap<(TaskId, u64), EndCause>,
    images: Vec<String>,
}

impl Worker {
    /// Creates a worker that starts now, with a full lease.
    pub fn new(
        name: String,
        site: Site,
        kind: MachineType,
        lease: Duration,
        now: Duration,
    ) -> Self {
        Self {
            name,
            site,
            faulty: false,
            reclaim_at: None,
            target: 0,
            in_flight: None,
            report_at: now,
            contacts: ContactHistory::default(),
            kind,
            started_at: now,
            session: 1,
            seq: 0,
            token: 0,
            lease,
            lease_renewed_at: now,
            tasks: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            images: Vec::new(),
        }
    }

    /// Number of processors of the machine.
    pub fn cpus(&self) -> f64 {
        self.kind.cpus
    }

    /// Unused processors, and unused memory in GB.
    pub fn free(&self, rules: &RuleChecker) -> (f64, f64) {
        let (cpus, memory) = self.used(rules);
        (self.kind.cpus - cpus, self.kind.memory_gb - memory)
    }

    /// Number of tasks on the machine; exited tasks do not count.
    pub fn tasks(&self) -> usize {
        let on = |s: &&Stage| !matches!(s, Stage::Exited(_));
        self.tasks.values().filter(on).count()
    }

    /// Advances time while the machine hangs: its tasks make no progress, but are dropped
    /// when its lease expires.
    pub fn check_lease_while_hung(&mut self, now: Duration, rules: &mut RuleChecker) {
        if now > self.lease_renewed_at + self.lease {
            self.drop_tasks(rules);
        }
    }

    /// Resumes after a hang; the end times of its tasks move by the duration of the hang.
    pub fn resume(&mut self, hang_time: Duration) {
        for stage in self.tasks.values_mut() {
            match stage {
                Stage::Fetching(until) | Stage::Running(Some(until)) | Stage::Saving(until) => {
                    *until += hang_time;
                }
                Stage::Running(None) | Stage::Exited(_) => {}
            }
        }
    }

    /// Current session number.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// Highest fencing token that it has seen.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// How an attempt of this session has ended, listed or forgotten on command.
    pub fn end_of(&self, task: &TaskId, attempt: u64) -> Option<EndCause> {
        let key = (task.clone(), attempt);
        match self.tasks.get(&key) {
            Some(Stage::Exited(cause)) => Some(*cause),
            Some(_) => None,
            None => self.forgotten.get(&key).copied(),
        }
    }

    /// Whether an attempt was forgotten on command in this session.
    pub fn has_forgotten(&self, task: &TaskId, attempt: u64) -> bool {
        self.forgotten.contains_key(&(task.clone(), attempt))
    }

    /// Builds the next report.
    pub fn report(&mut self, now: Duration) -> Report {
        self.seq += 1;
        let tasks = self.tasks.iter().map(|((task, attempt), stage)| {
            let (state, cause) = match stage {
                Stage::Fetching(_) => (TaskState::Fetching, None),
                Stage::Running(_) => (TaskState::Running, None),
                Stage::Saving(_) => (TaskState::Saving, None),
                Stage::Exited(cause) => (TaskState::Exited, Some(*cause)),
            };
            TaskReport {
                task: task.clone(),
                attempt: *attempt,
                state,
                cause,
                saved: None,
            }
        });
        Report {
            machine: self.name.clone(),
            addr: self.name.clone(),
            kind: self.site.kind.clone(),
            zone: self.site.zone.clone(),
            spot: self.site.spot,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: self
                .reclaim_at
                .map(|at| at.saturating_sub(now).as_secs_f64()),
            tasks: tasks.collect(),
        }
    }

    /// Handles an answer to a report of this session that was sent at `sent`. The lease is
    /// renewed from `sent`, unless the fencing token is stale.
    pub fn handle_report_answer(
        &mut self,
        now: Duration,
        sent: Duration,
        answer: ReportAnswer,
        rules: &mut RuleChecker,
    ) {
        if answer.token < self.token || answer.token == 0 {
            self.contacts.answered(ReportOutcome::Stale);
            return;
        }
        self.contacts.answered(ReportOutcome::Renewed);
        self.token = answer.token;
        self.lease_renewed_at = self.lease_renewed_at.max(sent);
        self.execute(now, answer.orders, rules);
    }

    /// Executes direct orders, unless token or session is stale; returns the HTTP status.
    pub fn handle_direct_orders(
        &mut self,
        now: Duration,
        orders: DirectOrders,
        rules: &mut RuleChecker,
    ) -> u16 {
        // A machine that hung for longer than its lease must drop its tasks before it
        // executes orders that waited meanwhile.
        self.advance(now, rules);
        let stale = orders.token < self.token;
        self.token = self.token.max(orders.token);
        if stale || orders.session != self.session {
            return 409;
        }
        self.execute(now, orders.orders, rules);
        200
    }

    fn used(&self, rules: &RuleChecker) -> (f64, f64) {
        let on = self
            .tasks
            .iter()
            .filter(|(_, s)| !matches!(s, Stage::Exited(_)));
        let specs = on.filter_map(|((t, _), _)| rules.jobs.get(&t.job));
        specs.fold((0.0, 0.0), |(c, m), s| (c + s.cpus, m + s.memory_gb))
    }

    fn execute(&mut self, now: Duration, orders: Vec<Order>, rules: &mut RuleChecker) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => self.start(now, task, attempt, rules),
                Order::Stop {
                    task,
                    attempt,
                    grace_s,
                } => self.stop(now, task, attempt, grace_s, rules),
                Order::Forget { task, attempt } => {
                    let key = (task, attempt);
                    if let Some(Stage::Exited(cause)) = self.tasks.get(&key) {
                        self.forgotten.insert(key.clone(), *cause);
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn start(&mut self, now: Duration, task: TaskId, attempt: u64, rules: &mut RuleChecker) {
        let key = (task.clone(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        if let Some(cause) = self.forgotten.remove(&key) {
            let what = format!(
                "{task} attempt {attempt} on {}, ended: {cause:?}",
                self.name
            );
            rules.report(now, RuleViolation::RanAnew, what);
        }
        let stage = match rules.jobs.get(&task.job) {
            None => Stage::Exited(EndCause::Unknown),
            Some(spec) => {
                let (cpus, memory) = self.used(rules);
                let on = |((t, _), s): (&(TaskId, u64), &Stage)| {
                    *t == task && !matches!(s, Stage::Exited(_))
                };
                if self.tasks.iter().any(on) {
                    Stage::Exited(EndCause::Busy)
                } else if cpus + spec.cpus > self.kind.cpus + 1e-6
                    || memory + spec.memory_gb > self.kind.memory_gb + 1e-6
                {
                    Stage::Exited(EndCause::NoRoom)
                } else if self.images.contains(&spec.image) {
                    Stage::Fetching(now)
                } else {
                    let fetch = spec.image_gb / self.kind.fetch_gb_per_s;
                    Stage::Fetching(now + Duration::from_secs_f64(fetch))
                }
            }
        };
        self.tasks.insert(key, stage);
        self.schedule_early_report(now);
        self.advance(now, rules);
    }

    fn stop(
        &mut self,
        now: Duration,
        task: TaskId,
        attempt: u64,
        grace_s: f64,
        rules: &mut RuleChecker,
    ) {
        let Some(stage) = self.tasks.get_mut(&(task.clone(), attempt)) else {
            return;
        };
        let spec = rules.jobs.get(&task.job);
        let saves = spec.is_some_and(|s| s.can_save() && grace_s >= s.save_s);
        match stage {
            Stage::Exited(_) => return,
            Stage::Running(_) if saves => {
                let save = spec.map(|s| s.save_time()).unwrap_or_default();
                *stage = Stage::Saving(now + save);
            }
            Stage::Saving(_) if grace_s > 0.0 => return,
            _ => {
                *stage = Stage::Exited(EndCause::Stopped);
                rules.task_left(&task, &self.name);
            }
        }
        self.schedule_early_report(now);
    }

    /// Brings the next report forward to at most 500 ms from now, because a task changed.
    fn schedule_early_report(&mut self, now: Duration) {
        self.report_at = self.report_at.min(now + Duration::from_millis(500));
    }

    /// Advances time: expires the lease, and moves tasks to their next stage.
    pub fn advance(&mut self, now: Duration, rules: &mut RuleChecker) {
        if now > self.lease_renewed_at + self.lease {
            if self.tasks() > 0 {
                log::debug!(
                    "{}: lease expired at {:.2} s with {} tasks, token {};{}",
                    self.name,
                    (self.lease_renewed_at + self.lease).as_secs_f64(),
                    self.tasks(),
                    self.token,
                    self.contacts
                );
            }
            self.drop_tasks(rules);
            self.session += 1;
            self.lease_renewed_at = now;
            self.schedule_early_report(now);
        }
        let mut changed = false;
        for ((task, _), stage) in &mut self.tasks {
            match stage {
                Stage::Fetching(until) if *until <= now => {
                    let spec = &rules.jobs[&task.job];
                    let run = Duration::from_secs_f64(spec.estimate_s);
                    if !self.images.contains(&spec.image) {
                        self.images.push(spec.image.clone());
                    }
                    let service = spec.shape == Shape::Service;
                    rules.task_started(now, task, &self.name, &self.site);
                    if now < self.started_at + NEW_MACHINE_AGE {
                        rules.starts_on_new_machines.push(now);
                    }
                    *stage = Stage::Running((!service).then_some(now + run));
                    if self.faulty {
                        rules.task_left(task, &self.name);
                        *stage = Stage::Exited(EndCause::Error);
                    } else if rules.done.contains(task) {
                        rules.task_left(task, &self.name);
                        *stage = Stage::Exited(EndCause::Done);
                    }
                    changed = true;
                }
                Stage::Running(Some(until)) if *until <= now => {
                    rules.task_completed(now, task);
                    rules.task_left(task, &self.name);
                    *stage = Stage::Exited(EndCause::Done);
                    changed = true;
                }
                Stage::Saving(until) if *until <= now => {
                    rules.task_left(task, &self.name);
                    *stage = Stage::Exited(EndCause::Stopped);
                    changed = true;
                }
                _ => {}
            }
        }
        if changed {
            self.schedule_early_report(now);
        }
    }

    /// Drops all tasks and begins anew, as a machine that is back at once.
    /// Goes on with the next session if it remembers its session, and with the first otherwise.
    pub fn restart(&mut self, now: Duration, remembers_session: bool, rules: &mut RuleChecker) {
        self.drop_tasks(rules);
        let session = match remembers_session {
            true => self.session + 1,
            false => 1,
        };
        let site = self.site.clone();
        let (kind, lease) = (self.kind.clone(), self.lease);
        *self = Self {
            session,
            faulty: self.faulty,
            reclaim_at: self.reclaim_at,
            ..Self::new(self.name.clone(), site, kind, lease, now)
        };
    }

    /// Drops all tasks, which count as lost.
    pub fn drop_tasks(&mut self, rules: &mut RuleChecker) {
        let on = self.tasks.values();
        rules.lost += on.filter(|s| !matches!(s, Stage::Exited(_))).count();
        for (task, _) in self.tasks.keys() {
            rules.task_left(task, &self.name);
        }
        self.tasks.clear();
        self.forgotten.clear();
    }
}
