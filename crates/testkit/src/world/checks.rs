//! Progress checks that apply once all faults of a run have ended.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::{
    JobId,
    job::{JobSpec, Shape},
};

use super::World;
use crate::{evidence::Cancelled, rules::RuleViolation, worker::Worker};

/// A job without an answer to any request about it for this long counts as forgotten,
/// once all faults have ended.
const UNANSWERED_LIMIT: Duration = Duration::from_secs(75);
/// A job without progress for this long, although a machine has capacity for it, counts
/// as left waiting, once all faults have ended.
const WAITING_LIMIT: Duration = Duration::from_secs(90);
/// Seconds until the end of a task is known to the leader: a report, then a write that
/// may be delayed by other writes. A team that was at its limit within this window does
/// not count as under it, because the next of its jobs in order is about to take the
/// freed share.
const USAGE_WINDOW_SECONDS: usize = 12;

/// A job without progress although a machine has capacity for it.
#[derive(Clone, Debug)]
pub(super) struct WaitingJob {
    since: Duration,
    /// Number of its tasks that were running or done at `since`.
    progress: u32,
}

/// When users last received an answer about each job.
pub(super) type LastAnswers = BTreeMap<JobId, Duration>;
pub(super) type WaitingJobs = BTreeMap<JobId, WaitingJob>;
/// Processors that the tasks of each team use.
pub(super) type TeamUsage = BTreeMap<String, f64>;

impl World {
    /// Records that a controller has reported the phase of a job to a user.
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

    /// Checks once a second that requests are answered and that jobs make progress,
    /// after all faults have ended.
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
            let what = format!("{job}: no request about it was answered in time");
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
                let what = format!(
                    "{job}: stays at {progress} tasks running or done, {machine} has capacity"
                );
                self.rules.report(now, RuleViolation::LeftWaiting, what);
                continue;
            }
            self.waiting_jobs.insert(job, waits);
        }
    }

    /// Returns a machine that could run one more task of the job with its team under
    /// its limit. None for gangs and for jobs whose tasks are all running or done.
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
