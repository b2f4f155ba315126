//! Reference for how many jobs the existing machines could complete: a slow and simple
//! offline allocation that knows all arrivals in advance.
//!
//! The processors of all machines form one divisible resource: tasks can be stopped and
//! moved at no cost, and images are present everywhere. No real scheduler reaches these
//! counts; they show how close the scheduler gets.

use std::{collections::BTreeMap, time::Duration};

/// A submitted job that runs to completion (not a service).
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Class of the job.
    pub class: String,
    /// Team that owns the job.
    pub team: String,
    /// Time of submission.
    pub at: Duration,
    /// Deadline: the job is in time if it is done by then.
    pub due: Duration,
    /// Number of tasks.
    pub tasks: u32,
    /// Processors per task.
    pub cpus: f64,
    /// Run time of each task.
    pub run_time: Duration,
}

impl Arrival {
    fn work(&self) -> f64 {
        f64::from(self.tasks) * self.cpus * self.run_time.as_secs_f64()
    }
}

/// Machines of one size.
#[derive(Clone, Debug, PartialEq)]
pub struct MachinePool {
    /// Processors of each machine: a task that needs more does not fit.
    pub cpus_per_machine: f64,
    /// Total processors of these machines, less those that services use.
    pub cpus: f64,
}

/// Counts of jobs of one class or team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobCounts {
    /// Submitted jobs.
    pub submitted: u32,
    /// Jobs that can be done by the end of the run.
    pub done: u32,
    /// Jobs that can be done by their deadline.
    pub in_time: u32,
}

/// Counts the jobs that can be done by `end`, keyed by class and by `team NAME`. A team
/// uses at most as many processors as `limits` gives it.
pub fn achievable_jobs(
    jobs: &[Arrival],
    pools: &[MachinePool],
    limits: &BTreeMap<String, f64>,
    end: Duration,
) -> BTreeMap<String, JobCounts> {
    let mut sums: BTreeMap<String, JobCounts> = BTreeMap::new();
    let mut add = |job: &Arrival, what: fn(&mut JobCounts)| {
        what(sums.entry(job.class.clone()).or_default());
        what(sums.entry(format!("team {}", job.team)).or_default());
    };
    for job in jobs {
        add(job, |best| best.submitted += 1);
    }
    for at in feasible_jobs(jobs, pools, limits, |job| job.due.min(end)) {
        add(&jobs[at], |best| best.in_time += 1);
    }
    for at in feasible_jobs(jobs, pools, limits, |_| end) {
        add(&jobs[at], |best| best.done += 1);
    }
    sums
}

/// Whether a job belongs to a group of jobs that share a processor limit.
type GroupFilter = Box<dyn Fn(&Arrival) -> bool>;

/// Selects jobs that can be done by the time that `deadline` gives, greedily in order of
/// increasing work: a job is selected if all jobs selected so far still meet theirs.
fn feasible_jobs(
    jobs: &[Arrival],
    pools: &[MachinePool],
    limits: &BTreeMap<String, f64>,
    deadline: impl Fn(&Arrival) -> Duration,
) -> Vec<usize> {
    let mut by_work: Vec<usize> = (0..jobs.len()).collect();
    by_work.sort_by(|a, b| jobs[*a].work().total_cmp(&jobs[*b].work()));
    // Groups with a common limit: jobs that need machines of at least some size, and
    // jobs of a team with a limit.
    let sizes: Vec<f64> = pools.iter().map(|p| p.cpus_per_machine).collect();
    let mut groups: Vec<(GroupFilter, f64)> = Vec::new();
    for size in sizes {
        let larger = pools.iter().filter(move |p| p.cpus_per_machine >= size);
        let cpus = larger.map(|p| p.cpus).sum();
        let smaller = pools
            .iter()
            .map(|p| p.cpus_per_machine)
            .filter(|each| *each < size);
        let smaller = smaller.fold(0.0, f64::max);
        // Jobs whose tasks fit no smaller machine can use only these machines.
        groups.push((Box::new(move |job| job.cpus > smaller), cpus));
    }
    for (team, limit) in limits {
        let team = team.clone();
        groups.push((Box::new(move |job| job.team == team), *limit));
    }
    let mut plans: Vec<Vec<usize>> = vec![Vec::new(); groups.len()];
    let mut chosen = Vec::new();
    for at in by_work {
        let job = &jobs[at];
        if deadline(job) < job.at + job.run_time {
            continue;
        }
        let job_groups: Vec<usize> = (0..groups.len()).filter(|g| groups[*g].0(job)).collect();
        let fits = job_groups.iter().all(|group| {
            let mut with = plans[*group].clone();
            with.push(at);
            all_meet_deadlines(jobs, &with, groups[*group].1, &deadline)
        });
        if fits {
            job_groups.iter().for_each(|group| plans[*group].push(at));
            chosen.push(at);
        }
    }
    chosen
}

/// Whether all `selected` jobs can be done by their deadlines on `cpus` processors under
/// preemptive earliest-deadline-first scheduling.
fn all_meet_deadlines(
    jobs: &[Arrival],
    selected: &[usize],
    cpus: f64,
    deadline: impl Fn(&Arrival) -> Duration,
) -> bool {
    let mut arrivals = selected.to_vec();
    arrivals.sort_by_key(|at| std::cmp::Reverse(jobs[*at].at));
    let mut remaining_work: BTreeMap<(Duration, usize), f64> = BTreeMap::new();
    let mut now = 0.0;
    loop {
        while let Some(at) = arrivals.last().copied() {
            if !remaining_work.is_empty() && jobs[at].at.as_secs_f64() > now {
                break;
            }
            arrivals.pop();
            now = f64::max(now, jobs[at].at.as_secs_f64());
            remaining_work.insert((deadline(&jobs[at]), at), jobs[at].work());
        }
        let Some(mut first) = remaining_work.first_entry() else {
            return true;
        };
        let next = arrivals.last().map(|at| jobs[*at].at.as_secs_f64());
        let ends = now + *first.get() / cpus.max(f64::MIN_POSITIVE);
        let (due, _) = *first.key();
        if let Some(next) = next.filter(|next| *next < ends) {
            *first.get_mut() -= (next - now).max(0.0) * cpus;
            now = now.max(next);
            if now > due.as_secs_f64() {
                return false;
            }
        } else {
            if ends > due.as_secs_f64() + 1e-9 {
                return false;
            }
            now = ends;
            first.remove();
        }
    }
}

#[cfg(test)]
mod tests;
