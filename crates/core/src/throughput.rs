//! How fast work really goes: tasks take longer than their owners say, as they
//! fetch images, wait for their turn on the way and are estimated wrongly.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::JobId;

use crate::minimum_shares::Flow;

/// For how long what was seen counts.
const MEMORY_S: f64 = 45.0;
/// How much has to be seen until it counts half: seconds of one task's run.
const ENOUGH_S: f64 = 300.0;
/// However it looks, work is not taken to go more than this much slower or
/// faster than its owners say.
const LEAST: f64 = 0.4;
const MOST: f64 = 1.25;

/// What there is to see of a job.
#[derive(Clone, Debug)]
pub(crate) struct JobProgress {
    pub flow: Flow,
    /// What a task takes, in seconds of the whole fleet.
    pub task_work_s: f64,
    /// How many of its tasks are done.
    pub done: u32,
    /// How many are handed out.
    pub assigned_count: u32,
    /// What its owner says of a task.
    pub estimate_s: f64,
}

/// The pace of all work that ends.
#[derive(Debug, Default)]
pub(crate) struct Throughput {
    jobs: BTreeMap<JobId, JobProgress>,
    at: Duration,
    /// Seconds of work by the owners' word that got done, and seconds that
    /// tasks were out, of late.
    expected_s: f64,
    out_s: f64,
    /// What got done of each flow of late, in seconds of the whole fleet.
    done: BTreeMap<Flow, f64>,
    /// What was handed out of each flow since the look before, in the same
    /// unit.
    pub assigned: BTreeMap<Flow, f64>,
}

impl Throughput {
    /// Looks at all open jobs again. `ended` tells how many tasks a job has
    /// done that is not open any more.
    pub fn update(
        &mut self,
        now: Duration,
        open: BTreeMap<JobId, JobProgress>,
        ended: impl Fn(&JobId) -> Option<u32>,
    ) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        let fade = (-passed / MEMORY_S).exp();
        self.done.retain(|_, done| {
            *done *= fade;
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
        let mut out = 0.0;
        for (id, before) in &self.jobs {
            let done = open.get(id).map(|p| p.done).or_else(|| ended(id));
            let more = done.unwrap_or(before.done).saturating_sub(before.done);
            done_s += f64::from(more) * before.estimate_s;
            out += f64::from(before.assigned_count);
            if more > 0 {
                let done = self.done.entry(before.flow.clone()).or_default();
                *done += f64::from(more) * before.task_work_s;
            }
        }
        self.expected_s = self.expected_s * fade + done_s;
        self.out_s = self.out_s * fade + out * passed;
        self.jobs = open;
    }

    /// How fast a flow drains: seconds of the whole fleet in a second.
    pub fn drain_rate(&self, flow: &Flow) -> f64 {
        self.done.get(flow).map_or(0.0, |done| done / MEMORY_S)
    }

    /// Seconds of work, by its owners' word, that a task gets done in a
    /// second.
    pub fn execution_speed(&self) -> f64 {
        let pace = (self.expected_s + ENOUGH_S) / (self.out_s + ENOUGH_S);
        pace.clamp(LEAST, MOST)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Tasks of 10 s that take 20 s: the pace comes to a half, and what ended
    /// between two looks counts.
    #[test]
    fn the_pace_is_what_is_seen() {
        let mut throughput = Throughput::default();
        assert!((throughput.execution_speed() - 1.0).abs() < 1e-9);
        for round in 0..200u32 {
            let id: JobId = format!("j-{round:06}").parse().expect("an id");
            let flow = Flow {
                team: "a".into(),
                class: "b".into(),
            };
            let progress = JobProgress {
                flow,
                task_work_s: 0.1,
                done: 0,
                assigned_count: 50,
                estimate_s: 10.0,
            };
            let now = Duration::from_secs(20 * u64::from(round));
            let open = BTreeMap::from([(id, progress)]);
            throughput.update(now, open, |_| Some(50));
        }
        let flow = throughput.done.keys().next().cloned().expect("a flow");
        // 50 tasks of 0.1 in 20 s.
        assert!(
            (throughput.drain_rate(&flow) - 0.25).abs() < 0.1,
            "{}",
            throughput.drain_rate(&flow)
        );
        assert!(
            (throughput.execution_speed() - 0.5).abs() < 0.15,
            "{}",
            throughput.execution_speed()
        );
    }
}
