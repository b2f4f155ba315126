//! Starvation guard for jobs that their team's limit holds back.
//!
//! The jobs of a team near its limit are served by priority, so its least urgent jobs may
//! wait without a single task as long as more urgent ones arrive, although machines have
//! free capacity. For each such team, the waiting jobs that have been without a task for
//! longest each get one task ahead of the team's other borrowed work, as far as a small
//! share of the team's limit pays for it.
//!
//! Jobs are compared by the time since they last had a task assigned, not by age. By age,
//! an old job of short tasks was first again as soon as a task of it had ended, and took
//! turn after turn from younger jobs that had never had a task.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_wire::JobId;

use crate::near_limit::NEAR_LIMIT_SHARE;

/// Time without a task after which a job counts as starved.
const STARVED_AFTER_S: f64 = 45.0;
/// Share of a team's limit that starved jobs may use. With a share of 0.1, and jobs starved
/// after 40 s, 2% fewer jobs were completed under overload.
const STARVED_JOBS_SHARE: f64 = 0.06;
/// Time over which a team's unused share accumulates.
const CREDIT_WINDOW_S: f64 = 1.0;
/// Duration of a turn while the team's limit leaves enough for its task. It ends because
/// there may be no machine that fits.
const TURN_DURATION: Duration = Duration::from_secs(3);
/// Maximum duration of a turn, including the time in which it waits for its team's limit.
const MAX_TURN_DURATION: Duration = Duration::from_secs(30);

/// A waiting job that may be starved.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The job.
    pub id: JobId,
    /// Its team.
    pub team: String,
    /// Time for which it could have been started, in seconds.
    pub waited_s: f64,
    /// Processors that one of its tasks uses.
    pub task_cpus: f64,
    /// Work of one of its tasks, in processor seconds.
    pub task_work: f64,
    /// Processors that the team uses.
    pub team_used: f64,
    /// Processors that the team may use; 0: no limit.
    pub team_limit: f64,
}

impl Candidate {
    /// Whether its team is near its limit.
    fn is_held_back(&self) -> bool {
        self.team_limit > 0.0 && self.team_used >= NEAR_LIMIT_SHARE * self.team_limit
    }

    /// Whether one more of its tasks would exceed its team's limit.
    fn waits_for_limit(&self) -> bool {
        self.team_used + self.task_cpus > self.team_limit
    }
}

/// A job that has been without a task for too long.
#[derive(Clone, Debug)]
struct Starved {
    candidate: Candidate,
    /// Time without a task, in seconds.
    without_task_s: f64,
}

/// Tasks of an open job that are assigned and done, as the leader sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobTasks {
    /// Whether any are assigned.
    pub any_assigned: bool,
    /// Number of tasks done.
    pub done: u32,
}

/// Service that a job has received.
#[derive(Clone, Copy, Debug)]
struct ReceivedService {
    tasks: JobTasks,
    /// Since when it has been without a task; none: since it could first be started.
    without_task_since: Option<Duration>,
}

impl ReceivedService {
    /// Updates the record with the job's present tasks. A task that was lost before it was
    /// done does not count as service: the job keeps its earlier waiting time, but at most
    /// the time after which a job is starved. Otherwise a job whose tasks always fail would
    /// always come first.
    fn updated(self, now: Duration, tasks: JobTasks) -> Self {
        let lost = self.tasks.any_assigned && !tasks.any_assigned && tasks.done == self.tasks.done;
        let just_starved = now.saturating_sub(Duration::from_secs_f64(STARVED_AFTER_S));
        let without_task_since = match lost {
            true => Some(
                self.without_task_since
                    .unwrap_or_default()
                    .max(just_starved),
            ),
            false if tasks.done > self.tasks.done => Some(now),
            false => self.without_task_since,
        };
        Self {
            tasks,
            without_task_since,
        }
    }
}

/// The turn of a job, which lasts until a task of it is assigned or the time is over.
#[derive(Debug)]
struct Turn {
    task_work: f64,
    ends_at: Duration,
    latest_end: Duration,
}

impl Turn {
    fn new(now: Duration, task_work: f64) -> Self {
        Self {
            task_work,
            ends_at: now + TURN_DURATION,
            latest_end: now + MAX_TURN_DURATION,
        }
    }

    /// Extends the turn by time in which the team's limit left no room for the task.
    fn extend(&mut self, passed: Duration) {
        self.ends_at = (self.ends_at + passed).min(self.latest_end);
    }
}

/// Credit and turns of a team's starved jobs.
#[derive(Debug, Default)]
struct Account {
    /// Credit in processor seconds; below 0 if work was started in advance.
    credit: f64,
    /// The team's limit in processors, as last seen.
    team_limit: f64,
    turns: BTreeMap<JobId, Turn>,
    /// When jobs last had a turn that they could not use.
    unused_turns: BTreeMap<JobId, Duration>,
}

/// Accounts of all teams.
#[derive(Debug, Default)]
pub struct Starvation {
    accounts: BTreeMap<String, Account>,
    /// Service that open jobs have received.
    received: BTreeMap<JobId, ReceivedService>,
    updated_at: Duration,
    /// The fault injected by a test.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<crate::Sabotage>,
}

impl Starvation {
    /// Updates the service records from the present tasks of all open jobs.
    pub fn update<'a>(&mut self, now: Duration, open: impl Iterator<Item = (&'a JobId, JobTasks)>) {
        let before = std::mem::take(&mut self.received);
        let received = open.map(|(id, tasks)| {
            let first_seen = ReceivedService {
                tasks,
                without_task_since: None,
            };
            let received = before
                .get(id)
                .map_or(first_seen, |received| received.updated(now, tasks));
            (id.clone(), received)
        });
        self.received = received.collect();
    }

    /// Time that a job has been without a task although it could have had one.
    fn without_task_s(&self, now: Duration, candidate: &Candidate) -> f64 {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::TurnsByAge) {
            return candidate.waited_s;
        }
        let since = self
            .received
            .get(&candidate.id)
            .and_then(|received| received.without_task_since);
        let since_s = since.map(|at| now.saturating_sub(at).as_secs_f64());
        since_s.unwrap_or(f64::INFINITY).min(candidate.waited_s)
    }

    /// Whether a job has been without a task for too long while its team is near its limit.
    pub fn is_starved(&self, now: Duration, candidate: &Candidate) -> bool {
        candidate.is_held_back() && self.without_task_s(now, candidate) >= STARVED_AFTER_S
    }

    /// The jobs that go ahead of others now, with one task each. `waiting` are the jobs
    /// that have no task assigned.
    pub fn turns(&mut self, now: Duration, waiting: Vec<Candidate>) -> BTreeSet<JobId> {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoStarvationGuard) {
            return BTreeSet::new();
        }
        let passed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        let waited = passed;
        #[cfg(feature = "sabotage")]
        let waited = match self.sabotage {
            Some(crate::Sabotage::ShortTurns) => Duration::ZERO,
            _ => waited,
        };
        let mut starved: BTreeMap<String, Vec<Starved>> = BTreeMap::new();
        for candidate in waiting {
            if self.is_starved(now, &candidate) {
                let without_task_s = self.without_task_s(now, &candidate);
                let of_team = starved.entry(candidate.team.clone()).or_default();
                of_team.push(Starved {
                    candidate,
                    without_task_s,
                });
            }
        }
        for team in starved.keys() {
            self.accounts.entry(team.clone()).or_default();
        }
        for (team, account) in &mut self.accounts {
            let jobs = starved.get(team).map_or(&[][..], Vec::as_slice);
            account.extend_turns(waited, jobs);
            account.end_turns(now, &self.received);
            account.give_turns(now, passed.as_secs_f64(), jobs);
        }
        self.accounts
            .retain(|team, account| starved.contains_key(team) || account.is_in_use());
        let turns = self.accounts.values().flat_map(|a| a.turns.keys());
        turns.cloned().collect()
    }
}

impl Account {
    /// Whether the account is in debt or a job has a turn.
    fn is_in_use(&self) -> bool {
        self.credit < 0.0 || !self.turns.is_empty()
    }

    /// Extends the turns that wait for the team's limit. In a team whose tasks are long,
    /// often no task ends during an unextended turn, or too few for a task that needs many
    /// processors.
    fn extend_turns(&mut self, passed: Duration, jobs: &[Starved]) {
        let waiting = jobs.iter().map(|job| &job.candidate);
        for candidate in waiting.filter(|candidate| candidate.waits_for_limit()) {
            if let Some(turn) = self.turns.get_mut(&candidate.id) {
                turn.extend(passed);
            }
        }
    }

    /// Ends the turns that have been used, and those whose time is over. The latter are
    /// refunded.
    fn end_turns(&mut self, now: Duration, received: &BTreeMap<JobId, ReceivedService>) {
        let any_assigned = |id: &JobId| {
            received
                .get(id)
                .is_some_and(|received| received.tasks.any_assigned)
        };
        self.unused_turns
            .retain(|id, _| received.contains_key(id) && !any_assigned(id));
        let (credit, unused_turns) = (&mut self.credit, &mut self.unused_turns);
        self.turns.retain(|id, turn| {
            let is_used = any_assigned(id);
            let is_over = now >= turn.ends_at;
            if !is_used && is_over {
                log::debug!("{id}: starvation turn ended unused");
                *credit += turn.task_work;
                unused_turns.insert(id.clone(), now);
            }
            !is_used && !is_over
        });
    }

    /// Adds credit for the time passed, then gives turns as long as there is no debt. Jobs
    /// without a task for longest come first, but jobs that could not use a turn come last.
    fn give_turns(&mut self, now: Duration, passed_s: f64, jobs: &[Starved]) {
        if let Some(job) = jobs.first() {
            self.team_limit = job.candidate.team_limit;
        }
        let rate = STARVED_JOBS_SHARE * self.team_limit;
        self.credit = (self.credit + rate * passed_s).min(rate * CREDIT_WINDOW_S);
        let mut next: Vec<&Starved> = jobs
            .iter()
            .filter(|job| !self.turns.contains_key(&job.candidate.id))
            .collect();
        next.sort_by(|a, b| {
            let unused_turns = |job: &Starved| self.unused_turns.get(&job.candidate.id).copied();
            let longest = b.without_task_s.total_cmp(&a.without_task_s);
            let by_id = a.candidate.id.cmp(&b.candidate.id);
            unused_turns(a)
                .cmp(&unused_turns(b))
                .then(longest)
                .then(by_id)
        });
        for job in next {
            if self.credit < 0.0 {
                return;
            }
            log::debug!(
                "{}: starvation turn given after {:.0} s without a task",
                job.candidate.id,
                job.without_task_s
            );
            self.credit -= job.candidate.task_work;
            let turn = Turn::new(now, job.candidate.task_work);
            self.turns.insert(job.candidate.id.clone(), turn);
        }
    }
}

#[cfg(test)]
mod tests;
