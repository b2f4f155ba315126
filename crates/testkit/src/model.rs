//! The policy once more, slow and plain, for the real one to be compared with.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_policy::{
    Candidate, Task, Weights,
    graph::{Claim, Named, Own, Standing},
};
use oliveshift_wire::job::Priority;

/// The score by the words of the paper and of our additions, each computed by
/// itself.
pub fn score(task: &Task, on: &Candidate, w: &Weights) -> Option<f64> {
    let roomy = task.need.cpus - on.free.cpus < 1e-6
        && task.need.gpus - on.free.gpus < 1e-6
        && task.need.memory_gb - on.free.memory_gb < 1e-6;
    if !roomy {
        return None;
    }
    let used_cpu = 1.0 - on.free.cpus / on.total.cpus;
    let used_memory = 1.0 - on.free.memory_gb / on.total.memory_gb;
    let mut sum = 0.0;
    if on.cached_gb > 0.0 {
        let light = used_cpu < w.max_cpu;
        let balanced = (used_cpu - used_memory).abs() / 2.0 < w.max_gap;
        let enough = on.cached_gb * 1000.0 > w.min_cached_mb;
        let layer = on.cached_gb / task.image_gb * 100.0;
        sum += layer
            * if light && balanced && enough {
                w.open
            } else {
                w.shut
            };
    }
    sum += (1.0 - used_cpu) * 50.0;
    sum += (1.0 - used_memory) * 50.0;
    if on.spot && task.spot {
        sum += w.spot;
    }
    if task.service {
        sum += w.pack * on.kept;
    } else {
        sum += w.snug * task.need.cpus / on.total.cpus;
    }
    Some(sum)
}

/// The top scorer, by trying each against all others.
pub fn best(task: &Task, all: &[Candidate], w: &Weights) -> Option<usize> {
    (0..all.len()).find(|i| {
        let Some(mine) = score(task, &all[*i], w) else {
            return false;
        };
        all.iter().enumerate().all(|(j, other)| {
            let theirs = score(task, other, w);
            theirs.is_none_or(|t| t < mine - 1e-9 || (t - mine).abs() <= 1e-9 && j >= *i)
        })
    })
}

/// A job by its own record.
#[derive(Clone, Debug)]
pub struct PlainJob {
    /// What it asks for.
    pub own: Own,
    /// The jobs that it awaits.
    pub awaits: Vec<u32>,
    /// What its record says.
    pub recorded: Named,
}

/// Jobs by their numbers.
pub type PlainJobs = BTreeMap<u32, PlainJob>;

/// Whether a job is cancelled, by its record or with one before it.
fn is_cancelled(jobs: &PlainJobs, id: u32) -> bool {
    let job = &jobs[&id];
    job.recorded == Named::Cancelled || job.awaits.iter().any(|a| is_cancelled(jobs, *a))
}

/// How an open job stands, by looking at all that it needs.
pub fn standing(jobs: &PlainJobs, id: u32) -> Standing {
    if is_cancelled(jobs, id) {
        return Standing::Cancelled;
    }
    let mut since = jobs[&id].own.arrived;
    for awaited in &jobs[&id].awaits {
        match jobs[awaited].recorded {
            Named::Done(at) => since = since.max(at),
            _ => return Standing::Waits,
        }
    }
    Standing::Ready(since)
}

/// What an open job may claim, by looking at all that need it.
pub fn claim(jobs: &PlainJobs, id: u32) -> Option<Claim> {
    if is_cancelled(jobs, id) {
        return None;
    }
    let own = jobs[&id].own;
    let mut priority = own.priority;
    let mut due = own.due;
    for (other, job) in jobs {
        let open = job.recorded == Named::Open && job.awaits.contains(&id);
        if let Some(theirs) = open.then(|| claim(jobs, *other)).flatten() {
            priority = priority.min(theirs.priority.max(Priority::High));
            due = match (due, theirs.latest_start) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
        }
    }
    let before = |at: Duration| at.saturating_sub(own.length);
    Some(Claim {
        priority,
        latest_start: due.map(before),
    })
}
