//! Starvation guard for jobs that their team's limit holds back.
//!
//! A team near its limit is served by priority, so its least urgent jobs may
//! wait without a single task for as long as more urgent ones come, although
//! machines have room. Of each such team the waiting jobs that have been without a
//! task for longest get one each ahead of the team's other borrowed work, as far as
//! a small share of the team's limit pays for them.
//!
//! What counts is the time since a job last had a task out, not its age. By age an
//! old job of short tasks was the first again as soon as its task had ended, and
//! took turn after turn from younger jobs that had never had a task.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_wire::JobId;

use crate::near_limit::NEAR_LIMIT;

/// A job counts as starved once it has been without a task for so long.
const STARVED_AFTER_S: f64 = 45.0;
/// The share of a team's limit that starved jobs may take. With a tenth, and after
/// 40 s, 2% fewer jobs got done on crowded days.
const SHARE: f64 = 0.06;
/// A team's unused share is saved up for so long.
const SAVED_S: f64 = 1.0;
/// How long a turn lasts while the limit has room for its task: there may be no
/// machine that fits.
const TURN: Duration = Duration::from_secs(3);
/// How long a turn lasts at most, with the time in which it waits for its team's
/// limit to have room.
const LONGEST_TURN: Duration = Duration::from_secs(30);

/// A waiting job that may be starved.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The job.
    pub id: JobId,
    /// Its team.
    pub team: String,
    /// For how long it could have been started, in seconds.
    pub waited_s: f64,
    /// What one of its tasks takes, in processors.
    pub task_cpus: f64,
    /// The same, in processor seconds.
    pub task_work: f64,
    /// What the team uses, in processors.
    pub team_used: f64,
    /// What it may use; 0: no limit.
    pub team_limit: f64,
}

impl Candidate {
    /// Whether its team is near its limit.
    fn is_held_back(&self) -> bool {
        self.team_limit > 0.0 && self.team_used >= NEAR_LIMIT * self.team_limit
    }

    /// Whether its team may not use as much more as one of its tasks takes.
    fn waits_for_limit(&self) -> bool {
        self.team_used + self.task_cpus > self.team_limit
    }
}

/// A job that has been without a task for too long.
#[derive(Clone, Debug)]
struct Starved {
    candidate: Candidate,
    /// For how long, in seconds.
    without_task_s: f64,
}

/// What an open job has out and done, as far as the leader has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tasks {
    /// Whether some are handed out.
    pub any_out: bool,
    /// How many are done.
    pub done: u32,
}

/// What a job has had.
#[derive(Clone, Copy, Debug)]
struct Had {
    tasks: Tasks,
    /// Since when it has been without a task; none: since it could be started.
    without_since: Option<Duration>,
}

impl Had {
    /// What follows from what is seen now. A task that was lost before it was done is
    /// no service: its job goes on waiting from before, but behind all that have waited
    /// for longer than it takes to be starved, or one whose tasks always fail would be
    /// the first for ever.
    fn then(self, now: Duration, tasks: Tasks) -> Self {
        let lost = self.tasks.any_out && !tasks.any_out && tasks.done == self.tasks.done;
        let just_starved = now.saturating_sub(Duration::from_secs_f64(STARVED_AFTER_S));
        let without_since = match lost {
            true => Some(self.without_since.unwrap_or_default().max(just_starved)),
            false if tasks.done > self.tasks.done => Some(now),
            false => self.without_since,
        };
        Self {
            tasks,
            without_since,
        }
    }
}

/// A job that has a turn, until a task of it is out.
#[derive(Debug)]
struct Turn {
    task_work: f64,
    until: Duration,
    at_most_until: Duration,
}

impl Turn {
    fn new(now: Duration, task_work: f64) -> Self {
        Self {
            task_work,
            until: now + TURN,
            at_most_until: now + LONGEST_TURN,
        }
    }

    /// Time has passed in which the team's limit had no room for the task.
    fn extend(&mut self, passed: Duration) {
        self.until = (self.until + passed).min(self.at_most_until);
    }
}

/// What a team's starved jobs may have.
#[derive(Debug, Default)]
struct Account {
    /// In processor seconds; below 0: had before its time.
    credit: f64,
    /// What the team may use, as last seen.
    team_limit: f64,
    turns: BTreeMap<JobId, Turn>,
    /// When jobs had a turn that they could not use.
    unused: BTreeMap<JobId, Duration>,
}

/// One account for each team.
#[derive(Debug, Default)]
pub struct Starvation {
    accounts: BTreeMap<String, Account>,
    /// What open jobs have had.
    had: BTreeMap<JobId, Had>,
    at: Duration,
    /// What is broken on purpose.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<crate::Sabotage>,
}

impl Starvation {
    /// Takes in what open jobs have out and done.
    pub fn look<'a>(&mut self, now: Duration, open: impl Iterator<Item = (&'a JobId, Tasks)>) {
        let before = std::mem::take(&mut self.had);
        let had = open.map(|(id, tasks)| {
            let new = Had {
                tasks,
                without_since: None,
            };
            let had = before.get(id).map_or(new, |had| had.then(now, tasks));
            (id.clone(), had)
        });
        self.had = had.collect();
    }

    /// For how long a job has been without a task, though it could have had one.
    fn without_task_s(&self, now: Duration, candidate: &Candidate) -> f64 {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::TurnsByAge) {
            return candidate.waited_s;
        }
        let since = self
            .had
            .get(&candidate.id)
            .and_then(|had| had.without_since);
        let since_s = since.map(|at| now.saturating_sub(at).as_secs_f64());
        since_s.unwrap_or(f64::INFINITY).min(candidate.waited_s)
    }

    /// Whether a job has been without a task for too long and its team's limit may be
    /// why.
    pub fn is_starved(&self, now: Duration, candidate: &Candidate) -> bool {
        candidate.is_held_back() && self.without_task_s(now, candidate) >= STARVED_AFTER_S
    }

    /// The jobs that go ahead of others now, with one task each. `waiting` are the
    /// jobs without a task out.
    pub fn turns(&mut self, now: Duration, waiting: Vec<Candidate>) -> BTreeSet<JobId> {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoStarvationGuard) {
            return BTreeSet::new();
        }
        let passed = now.saturating_sub(self.at);
        self.at = now;
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
            account.end_turns(now, &self.had);
            account.give_turns(now, passed.as_secs_f64(), jobs);
        }
        self.accounts
            .retain(|team, account| starved.contains_key(team) || account.is_in_use());
        let turns = self.accounts.values().flat_map(|a| a.turns.keys());
        turns.cloned().collect()
    }
}

impl Account {
    /// Whether something was had before its time, or is being had.
    fn is_in_use(&self) -> bool {
        self.credit < 0.0 || !self.turns.is_empty()
    }

    /// Extends the turns that wait for the team's limit. In the time of a turn often
    /// nothing of a team ends whose tasks are long, and seldom enough for a wide task.
    fn extend_turns(&mut self, passed: Duration, jobs: &[Starved]) {
        let waiting = jobs.iter().map(|job| &job.candidate);
        for candidate in waiting.filter(|candidate| candidate.waits_for_limit()) {
            if let Some(turn) = self.turns.get_mut(&candidate.id) {
                turn.extend(passed);
            }
        }
    }

    /// Ends the turns that have been used, and those whose time is over, which cost
    /// nothing.
    fn end_turns(&mut self, now: Duration, had: &BTreeMap<JobId, Had>) {
        let any_out = |id: &JobId| had.get(id).is_some_and(|had| had.tasks.any_out);
        self.unused
            .retain(|id, _| had.contains_key(id) && !any_out(id));
        let (credit, unused) = (&mut self.credit, &mut self.unused);
        self.turns.retain(|id, turn| {
            let is_used = any_out(id);
            let is_over = now >= turn.until;
            if !is_used && is_over {
                log::debug!("{id}: could not use its turn");
                *credit += turn.task_work;
                unused.insert(id.clone(), now);
            }
            !is_used && !is_over
        });
    }

    /// Time has passed; as long as the last turn is paid for, the next goes to the job
    /// that has been without a task for longest, those that could not use theirs last.
    fn give_turns(&mut self, now: Duration, passed_s: f64, jobs: &[Starved]) {
        if let Some(job) = jobs.first() {
            self.team_limit = job.candidate.team_limit;
        }
        let rate = SHARE * self.team_limit;
        self.credit = (self.credit + rate * passed_s).min(rate * SAVED_S);
        let mut next: Vec<&Starved> = jobs
            .iter()
            .filter(|job| !self.turns.contains_key(&job.candidate.id))
            .collect();
        next.sort_by(|a, b| {
            let unused = |job: &Starved| self.unused.get(&job.candidate.id).copied();
            let longest = b.without_task_s.total_cmp(&a.without_task_s);
            let by_id = a.candidate.id.cmp(&b.candidate.id);
            unused(a).cmp(&unused(b)).then(longest).then(by_id)
        });
        for job in next {
            if self.credit < 0.0 {
                return;
            }
            log::debug!(
                "{}: a turn, after {:.0} s without a task",
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
