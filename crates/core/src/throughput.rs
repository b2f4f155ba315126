//! Measured throughput: tasks take longer than their estimates, because they fetch
//! images, wait before they start, and are estimated wrongly.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::JobId;

use crate::minimum_shares::Flow;

/// Time constant of the exponential decay of past measurements.
const DECAY_TIME_S: f64 = 45.0;
/// Task run time assumed to have gone as estimated; the measured speed counts half
/// once this much run time has been measured.
const PRIOR_RUN_TIME_S: f64 = 300.0;
/// Bounds of the execution speed, as a factor of the estimated one.
const MIN_SPEED: f64 = 0.4;
const MAX_SPEED: f64 = 1.25;

/// Progress of an open job.
#[derive(Clone, Debug)]
pub(crate) struct JobProgress {
    pub flow: Flow,
    /// Work of one task, in seconds of the whole fleet.
    pub task_work_s: f64,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that are assigned to a block.
    pub assigned_count: u32,
    /// Run time of a task as estimated by the job's owner, in seconds.
    pub estimate_s: f64,
}

/// Measured speed of all work, and completion rate by flow.
#[derive(Debug, Default)]
pub(crate) struct Throughput {
    jobs: BTreeMap<JobId, JobProgress>,
    at: Duration,
    /// Estimated run time of the tasks that completed recently, and the time that
    /// tasks were assigned recently, both decayed.
    expected_s: f64,
    assigned_s: f64,
    /// Recently completed work of each flow, decayed, in seconds of the whole fleet.
    done: BTreeMap<Flow, f64>,
    /// Work of each flow that was assigned between the last two updates, in the same
    /// unit.
    pub assigned: BTreeMap<Flow, f64>,
}

impl Throughput {
    /// Updates the measurements from all open jobs. `ended` returns the number of
    /// completed tasks of a job that is no longer open.
    pub fn update(
        &mut self,
        now: Duration,
        open: BTreeMap<JobId, JobProgress>,
        ended: impl Fn(&JobId) -> Option<u32>,
    ) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        let decay = (-passed / DECAY_TIME_S).exp();
        self.done.retain(|_, done| {
            *done *= decay;
            *done > 1e-9
        });
        self.assigned.clear();
        for (id, seen) in &open {
            let before = self.jobs.get(id).map_or(0, |b| b.done + b.assigned_count);
            let more = (seen.done + seen.assigned_count).saturating_sub(before);
            if more > 0 {
                let assigned = self.assigned.entry(seen.flow.clone()).or_default();
                *assigned += f64::from(more) * seen.task_work_s;
            }
        }
        let mut done_s = 0.0;
        let mut assigned_tasks = 0.0;
        for (id, before) in &self.jobs {
            let done = open.get(id).map(|p| p.done).or_else(|| ended(id));
            let more = done.unwrap_or(before.done).saturating_sub(before.done);
            done_s += f64::from(more) * before.estimate_s;
            assigned_tasks += f64::from(before.assigned_count);
            if more > 0 {
                let done = self.done.entry(before.flow.clone()).or_default();
                *done += f64::from(more) * before.task_work_s;
            }
        }
        self.expected_s = self.expected_s * decay + done_s;
        self.assigned_s = self.assigned_s * decay + assigned_tasks * passed;
        self.jobs = open;
    }

    /// Rate at which a flow's work completes: seconds of the whole fleet per second.
    pub fn drain_rate(&self, flow: &Flow) -> f64 {
        self.done.get(flow).map_or(0.0, |done| done / DECAY_TIME_S)
    }

    /// Execution speed: seconds of estimated run time that a task completes per second.
    pub fn execution_speed(&self) -> f64 {
        let speed = (self.expected_s + PRIOR_RUN_TIME_S) / (self.assigned_s + PRIOR_RUN_TIME_S);
        speed.clamp(MIN_SPEED, MAX_SPEED)
    }
}

#[cfg(test)]
mod tests;
