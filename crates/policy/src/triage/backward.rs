//! Smith's backward rule: of the orders in which all jobs meet their objectives, the one
//! with the smallest average end time (Smith, "Various optimizers for single-stage
//! production", 1956).
//!
//! The last place goes to the largest of the jobs whose objective allows it, then the last
//! but one is filled, and so on. With one kind of capacity, no order that meets all
//! objectives has a smaller sum of end times.

use std::collections::{BinaryHeap, HashMap, HashSet};

use super::{JobByWork, Load, SharedResource, WaitingJob, remove_load};

/// Orders jobs that all meet their objective of a tier in the order of `kept`. `loads`
/// holds these jobs and all that go before them. A job without an objective in this tier
/// keeps its place.
pub(super) fn order(
    jobs: &[WaitingJob],
    resources: &[SharedResource],
    loads: &[Load],
    tier: usize,
    kept: Vec<usize>,
) -> Vec<usize> {
    let has_objective = |at: &usize| jobs[*at].latest_starts_s.len() > tier;
    let with_objective: Vec<usize> = kept.iter().copied().filter(has_objective).collect();
    let backward = Backward::new(jobs, resources, loads, tier, &with_objective);
    let mut ordered = backward.order(&with_objective).into_iter();
    let place = |at: usize| match has_objective(&at) {
        true => ordered.next(),
        false => Some(at),
    };
    kept.into_iter().filter_map(place).collect()
}

/// Fills the places, the last first.
struct Backward<'a> {
    jobs: &'a [WaitingJob],
    resources: &'a [SharedResource],
    tier: usize,
    /// Load of the jobs without a place and of all jobs that go before them.
    loads: Vec<Load>,
    /// By resource, the jobs that would be too late in the last free place, as far as is
    /// known; the one with the latest allowed start at the end.
    too_late: Vec<Vec<usize>>,
    /// Number of its resources on which each job would be too late.
    too_late_in: HashMap<usize, usize>,
    /// The jobs that may take the last free place.
    eligible: BinaryHeap<JobByWork>,
}

impl<'a> Backward<'a> {
    fn new(
        jobs: &'a [WaitingJob],
        resources: &'a [SharedResource],
        loads: &[Load],
        tier: usize,
        with_objective: &[usize],
    ) -> Self {
        let mut by_latest = with_objective.to_vec();
        by_latest.sort_by(|a, b| {
            jobs[*a].latest_starts_s[tier].total_cmp(&jobs[*b].latest_starts_s[tier])
        });
        let mut too_late: Vec<Vec<usize>> = vec![Vec::new(); resources.len()];
        for at in &by_latest {
            for (resource, _) in &jobs[*at].resources {
                too_late[*resource].push(*at);
            }
        }
        let too_late_in = with_objective
            .iter()
            .map(|at| (*at, jobs[*at].resources.len()));
        Self {
            jobs,
            resources,
            tier,
            loads: loads.to_vec(),
            too_late,
            too_late_in: too_late_in.collect(),
            eligible: BinaryHeap::new(),
        }
    }

    /// Returns the jobs in their order. Jobs for which rounding errors leave no place come
    /// first, in their former order.
    fn order(mut self, with_objective: &[usize]) -> Vec<usize> {
        for resource in 0..self.resources.len() {
            self.update_resource(resource);
        }
        let mut last_to_first = Vec::with_capacity(with_objective.len());
        while let Some(JobByWork { job, .. }) = self.eligible.pop() {
            last_to_first.push(job);
            remove_load(&mut self.loads, &self.jobs[job]);
            for (resource, _) in &self.jobs[job].resources {
                self.update_resource(*resource);
            }
        }
        let placed: HashSet<usize> = last_to_first.iter().copied().collect();
        let unplaced = with_objective
            .iter()
            .copied()
            .filter(|at| !placed.contains(at));
        unplaced.chain(last_to_first.into_iter().rev()).collect()
    }

    /// Finds the jobs on a resource that would no longer be too late on it.
    fn update_resource(&mut self, resource: usize) {
        while let Some(at) = self.too_late[resource].last().copied() {
            let job = &self.jobs[at];
            if self.loads[resource]
                .is_too_late(&self.resources[resource], job.latest_starts_s[self.tier])
            {
                return;
            }
            self.too_late[resource].pop();
            let Some(resources) = self.too_late_in.get_mut(&at) else {
                continue;
            };
            *resources -= 1;
            if *resources == 0 {
                let work = job.work();
                self.eligible.push(JobByWork { work, job: at });
            }
        }
    }
}
