//! What has to hold once all troubles of a day are over.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::{
    JobId,
    job::{JobSpec, Shape},
};

use super::World;
use crate::{evidence::Cancelled, rules::RuleViolation, worker::Worker};

/// After so long without an answer to any question about it a job counts as
/// forgotten, and after so long beside room for it as left waiting, once troubles
/// are over.
const UNANSWERED_LIMIT: Duration = Duration::from_secs(75);
const WAITING_LIMIT: Duration = Duration::from_secs(90);
/// Seconds until an end is known to whoever decides: a report, then a write that
/// waits while others press. A team that was at its limit within them is not under
/// it: the next of its jobs in order is about to take what has got free.
const USAGE_WINDOW_SECONDS: usize = 12;

/// A job beside which there is room.
#[derive(Clone, Debug)]
pub(super) struct WaitingJob {
    since: Duration,
    /// How much of it was started or done by then.
    progress: u32,
}

/// When the jobs of users were heard of, and what waits beside room.
pub(super) type LastAnswers = BTreeMap<JobId, Duration>;
pub(super) type WaitingJobs = BTreeMap<JobId, WaitingJob>;
/// What each team's tasks take.
pub(super) type TeamUsage = BTreeMap<String, f64>;

impl World {
    /// A user has been told of a job's phase by a controller.
    pub(super) fn record_answer(&mut self, job: &JobId, cancelled: bool, by: usize) {
        let now = self.now;
        if cancelled && !self.evidence.cancelled.iter().any(|c| c.job == *job) {
            let on = self.rules.tasks_by_zone(job).values().sum::<u32>() as usize;
            let job = job.clone();
            let cancelled = Cancelled {
                at: now,
                job,
                by,
                on,
            };
            self.evidence.cancelled.push(cancelled);
        }
        let since = self.last_answers.insert(job.clone(), now).unwrap_or(now);
        let since = since.max(self.faults_end);
        if now > since {
            let longest = &mut self.evidence.longest_unanswered;
            *longest = (*longest).max(now - since);
        }
    }

    /// What has to hold once troubles are over, looked at each second.
    pub(super) fn check_progress(&mut self) {
        if self.now < self.faults_end {
            return;
        }
        let now = self.now;
        let teams = self.rules.limits.keys();
        let used = teams.map(|team| (team.clone(), self.rules.cpus_used(team)));
        let used: TeamUsage = used.collect();
        self.recent_usage.push_back(used);
        if self.recent_usage.len() > USAGE_WINDOW_SECONDS {
            self.recent_usage.pop_front();
        }
        let since = |job: &JobId| {
            self.last_answers
                .get(job)
                .map(|at| (*at).max(self.faults_end))
        };
        let users = self.users.iter().filter(|u| u.accepted);
        let unanswered =
            users.filter(|u| since(&u.spec.id).is_some_and(|at| now > at + UNANSWERED_LIMIT));
        let unanswered: Vec<_> = unanswered.map(|u| u.spec.id.clone()).collect();
        for job in unanswered {
            self.last_answers.insert(job.clone(), now);
            let what = format!("{job}: no question about it was answered");
            self.rules.report(now, RuleViolation::Forgotten, what);
        }
        let waiting: Vec<_> = self
            .users
            .iter()
            .map(|u| &u.spec)
            .filter(|spec| self.rules.is_runnable(&spec.id) && !self.rules.is_ended(&spec.id))
            .filter_map(|spec| Some((spec.id.clone(), self.machine_with_room(spec)?)))
            .collect();
        let mut before = std::mem::take(&mut self.waiting_jobs);
        for (job, machine) in waiting {
            let on: u32 = self.rules.tasks_by_zone(&job).values().sum();
            let progress = on + self.rules.done_tasks(&job);
            let fresh = WaitingJob {
                since: now,
                progress,
            };
            let waits = before.remove(&job);
            let waits = waits.filter(|w| w.progress == progress).unwrap_or(fresh);
            if now > waits.since + WAITING_LIMIT {
                let what = format!("{job}: {progress} on machines or done, {machine} has room");
                self.rules.report(now, RuleViolation::LeftWaiting, what);
                continue;
            }
            self.waiting_jobs.insert(job, waits);
        }
    }

    /// A machine on which some task of a job that is on none would fit, with its team
    /// under its limit.
    pub(super) fn machine_with_room(&self, spec: &JobSpec) -> Option<String> {
        let zones = self.rules.tasks_by_zone(&spec.id);
        let on: u32 = zones.values().sum();
        let done = match spec.shape {
            Shape::Service => 0,
            Shape::Array | Shape::Gang => self.rules.done_tasks(&spec.id),
        };
        if on + done >= spec.tasks || spec.shape == Shape::Gang {
            return None;
        }
        let limit = self.rules.limits.get(&spec.team).copied().unwrap_or(0.0);
        let used = self
            .recent_usage
            .iter()
            .filter_map(|used| used.get(&spec.team));
        if limit > 0.0 && used.fold(0.0, |a, b| b.max(a)) + spec.cpus > limit {
            return None;
        }
        let zone_ok = |zone: &str| {
            let here = zones.get(zone).copied().unwrap_or(0);
            spec.allows_zone(zone)
                && here < spec.max_tasks_per_zone()
                && (!spec.one_zone || on == 0 || here > 0)
        };
        let fits = |worker: &Worker| {
            let (cpus, memory) = worker.free(&self.rules);
            let site = &worker.site;
            !worker.faulty
                && worker.reclaim_at.is_none()
                && spec.allows_type(&site.kind)
                && zone_ok(&site.zone)
                && (spec.spot || !site.spot)
                && cpus >= spec.cpus
                && memory >= spec.memory_gb
        };
        let machine = self.workers.values().find(|worker| fits(worker));
        machine.map(|worker| worker.name.clone())
    }
}
