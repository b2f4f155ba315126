//! The order in which the leader serves waiting jobs, and the measurements that it
//! depends on: execution speed, throughput of each flow, minimum shares, starvation.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use oliveshift_policy::{
    score::{fits, plus},
    triage,
};
use oliveshift_wire::{
    JobId,
    job::{JobSpec, Priority, Resources, Shape},
    settings::Objective,
};

use crate::{
    inventory::MachineView,
    minimum_shares::{Flow, MinimumShares, OldestJob},
    starvation::{self, Starvation},
    throughput::{JobProgress, Throughput},
    view::Job,
};

/// Wait after which a job of a class without aims counts as late, in seconds.
const DEFAULT_MAX_WAIT_S: f64 = 60.0;

/// A job in the queue.
#[derive(Debug)]
pub(crate) struct QueuedJob {
    pub id: JobId,
    pub spec: Rc<JobSpec>,
    pub flow: Flow,
    /// Number of waiting tasks.
    pub tasks: u32,
    /// The machine types that it may use now.
    pub types: Rc<BTreeSet<String>>,
    /// Scarce machine types that it must leave to other jobs now.
    pub avoid: Rc<BTreeSet<String>>,
    /// Processor limit of its team; 0 means no limit.
    pub limit_cpus: f64,
    /// Whether its team's guarantee covers it.
    pub guaranteed: bool,
    /// Its own priority, or that of a job that depends on it.
    pub priority: Priority,
    /// Its place by time of arrival, or by the latest start that a deadline allows.
    pub order_ms: u64,
    /// How long it has been ready to start, in seconds.
    pub waited_s: f64,
    /// The latest starts that its aims allow, in seconds from now, ascending.
    pub latest_starts_s: Vec<f64>,
    /// Whether some of its tasks are assigned.
    pub started: bool,
    /// Expected run time of a task, in seconds.
    pub length_s: f64,
    /// Whether one of its tasks goes ahead of other jobs because the job is starved.
    pub starved_turn: bool,
}

impl QueuedJob {
    /// Whether minimum shares apply: production and guaranteed work goes before them.
    fn borrows(&self) -> bool {
        !self.guaranteed && self.priority != Priority::Production
    }

    /// Seconds until an aim is missed; negative once it is missed.
    fn time_left_s(&self, aim: Option<&f64>) -> f64 {
        aim.copied().unwrap_or(DEFAULT_MAX_WAIT_S - self.waited_s)
    }
}

/// How long a job has been ready to start, in seconds, by the wall clock.
pub(crate) fn waited_s(day: Duration, since_ms: u64) -> f64 {
    let day_ms = day.as_millis() as u64;
    day_ms.saturating_sub(since_ms) as f64 / 1e3
}

/// The latest starts of a job's tasks, which take `takes_s` seconds each, that keep
/// each of its aims, in seconds from now, ascending. A deadline counts from the job's
/// submission, other aims from when the job is ready to start.
pub(crate) fn latest_starts<'a>(
    aims: impl Iterator<Item = &'a Objective>,
    job: &Job,
    spec: &JobSpec,
    day: Duration,
    takes_s: f64,
) -> Vec<f64> {
    if spec.priority == Priority::Production {
        return Vec::new();
    }
    let waited = waited_s(day, job.ready_ms);
    let dependency_wait_s = job.ready_ms.saturating_sub(job.accepted_ms) as f64 / 1e3;
    let latest = aims.filter_map(|aim| match aim.kind.as_str() {
        "wait" => aim.within_s,
        "finished" => Some(aim.within_s? - takes_s),
        "deadline" => {
            let due = spec.deadline_s? * aim.times.unwrap_or(1.0);
            Some(due - dependency_wait_s - takes_s)
        }
        _ => None,
    });
    let mut latest: Vec<_> = latest.map(|at| at - waited).collect();
    latest.sort_by(f64::total_cmp);
    latest
}

/// The measurements that the order of the queue depends on, besides the jobs.
#[derive(Debug, Default)]
pub(crate) struct QueueOrder {
    throughput: Throughput,
    minimum_shares: MinimumShares,
    starvation: Starvation,
}

impl QueueOrder {
    /// Seconds of estimated run time that a task completes per second.
    pub fn execution_speed(&self) -> f64 {
        self.throughput.execution_speed()
    }

    /// Rate at which a flow's work completes: seconds of the whole fleet per second.
    pub fn drain_rate(&self, flow: &Flow) -> f64 {
        self.throughput.drain_rate(flow)
    }

    /// Injects a fault into minimum shares and starvation turns.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, by: Option<crate::Sabotage>) {
        self.minimum_shares.sabotage = by;
        self.starvation.sabotage = by;
    }

    /// Updates all measurements from the open jobs; see [`Throughput::update`].
    pub fn update(
        &mut self,
        now: Duration,
        open: BTreeMap<JobId, JobProgress>,
        ended: impl Fn(&JobId) -> Option<u32>,
    ) {
        let tasks = open.iter().map(|(id, seen)| {
            let tasks = starvation::JobTasks {
                any_assigned: seen.assigned_count > 0,
                done: seen.done,
            };
            (id, tasks)
        });
        self.starvation.update(now, tasks);
        self.throughput.update(now, open, ended);
    }

    /// Sorts waiting jobs into the order in which they are served. `used` is the usage
    /// of each team.
    pub fn order(
        &mut self,
        now: Duration,
        machine_views: &[MachineView],
        used: &BTreeMap<String, Resources>,
        mut queue: Vec<QueuedJob>,
    ) -> Vec<QueuedJob> {
        let mut shared = SharedResources::new(machine_views, used);
        let waiting = queue.iter().map(|queued| triage::WaitingJob {
            band: triage::PriorityBand {
                behind_production: queued.priority != Priority::Production,
                borrowed: !queued.guaranteed,
                turn: triage::Turn::None,
                priority: queued.priority,
            },
            order_ms: queued.order_ms,
            latest_starts_s: queued.latest_starts_s.clone(),
            started: queued.started,
            resources: shared.demands(queued),
            length_s: queued.length_s,
        });
        let mut jobs: Vec<_> = waiting.collect();
        let order = triage::order(&jobs, &shared.resources);
        let order = if self.mark_turns(now, (machine_views, used), &mut queue, &mut jobs, &order) {
            triage::order(&jobs, &shared.resources)
        } else {
            order
        };
        let mut queue: Vec<_> = queue.into_iter().map(Some).collect();
        let take = |at: usize| queue.get_mut(at)?.take();
        order.into_iter().filter_map(take).collect()
    }

    /// Marks the jobs that go ahead of other borrowers, by a minimum share or because
    /// they are starved, and returns whether there are any. `order` is the order
    /// without them.
    fn mark_turns(
        &mut self,
        now: Duration,
        (machine_views, used): (&[MachineView], &BTreeMap<String, Resources>),
        queue: &mut [QueuedJob],
        jobs: &mut [triage::WaitingJob],
        order: &[usize],
    ) -> bool {
        let mut late: BTreeMap<Flow, (f64, OldestJob)> = BTreeMap::new();
        let mut long_waiting: BTreeSet<Flow> = BTreeSet::new();
        for (queued, job) in queue.iter().zip(&*jobs).filter(|(q, _)| q.borrows()) {
            let flow = &queued.flow;
            // Low priority only uses otherwise idle capacity and has no minimum share: a
            // batch of thousands of tasks made urgent work wait for 3 s on average.
            let entitled = queued.priority != Priority::Low;
            if entitled && queued.waited_s > queued.time_left_s(queued.latest_starts_s.first()) {
                long_waiting.insert(flow.clone());
            }
            let older = |(waited, _): &(f64, OldestJob)| *waited >= queued.waited_s;
            if queued.time_left_s(queued.latest_starts_s.last()) < 0.0
                && !late.get(flow).is_some_and(older)
            {
                let oldest = OldestJob {
                    id: queued.id.clone(),
                    work: job.work(),
                };
                late.insert(flow.clone(), (queued.waited_s, oldest));
            }
        }
        let late = late.into_iter().map(|(flow, (_, o))| (flow, o)).collect();
        let waits = |id: &JobId| queue.iter().any(|q| q.id == *id);
        let turns = self.minimum_shares.turns(now, &late, waits);
        let mut below_share =
            self.minimum_shares
                .flows_below_share(now, &long_waiting, &self.throughput.assigned);
        let waiting = limit_blocked_jobs(&self.starvation, now, queue, machine_views, used);
        let starved = self.starvation.turns(now, waiting);
        let mut ahead = false;
        for at in order {
            let queued = &mut queue[*at];
            // The first borrowing job of each flow that is below its minimum share.
            let first = queued.borrows() && below_share.remove(&queued.flow);
            let by_minimum_share = first || turns.contains(&queued.id);
            queued.starved_turn = starved.contains(&queued.id);
            if by_minimum_share || queued.starved_turn {
                jobs[*at].band.turn = match queued.starved_turn {
                    true => triage::Turn::Starved,
                    false => triage::Turn::MinimumShare,
                };
                ahead = true;
            }
        }
        ahead
    }
}

/// Starved jobs that borrow, have no assigned task, and fit on a machine with enough
/// free capacity, so that only their team's limit holds them back. Where machines are
/// short, each turn takes the place of another job: with turns for all starved jobs,
/// fewer jobs completed.
fn limit_blocked_jobs(
    starvation: &Starvation,
    now: Duration,
    queue: &[QueuedJob],
    machine_views: &[MachineView],
    used: &BTreeMap<String, Resources>,
) -> Vec<starvation::Candidate> {
    let waiting = queue
        .iter()
        .filter(|q| q.borrows() && !q.started && q.spec.shape != Shape::Gang);
    let candidates = waiting.filter_map(|queued| {
        let candidate = starvation::Candidate {
            id: queued.id.clone(),
            team: queued.spec.team.clone(),
            waited_s: queued.waited_s,
            task_cpus: queued.spec.cpus,
            task_work: queued.spec.cpus * queued.length_s,
            team_used: used.get(&queued.spec.team).map_or(0.0, |u| u.cpus),
            team_limit: queued.limit_cpus,
        };
        let need = queued.spec.resources();
        let has_capacity = |machine: &MachineView| {
            machine.accepts(&queued.spec)
                && fits(&need, &machine.candidate.free)
                && !queued.avoid.contains(&machine.kind)
        };
        (starvation.is_starved(now, &candidate) && machine_views.iter().any(has_capacity))
            .then_some(candidate)
    });
    candidates.collect()
}

/// The resources that jobs compete for, and the ones that each job needs: machines by
/// the types that a job may use, and the limits of teams.
struct SharedResources<'a> {
    machine_views: &'a [MachineView],
    used: &'a BTreeMap<String, Resources>,
    resources: Vec<triage::SharedResource>,
    /// Total capacity of the machines of a set of types, without services.
    machines: BTreeMap<Rc<BTreeSet<String>>, (usize, Resources)>,
    teams: BTreeMap<String, usize>,
}

impl<'a> SharedResources<'a> {
    fn new(machine_views: &'a [MachineView], used: &'a BTreeMap<String, Resources>) -> Self {
        Self {
            machine_views,
            used,
            resources: Vec::new(),
            machines: BTreeMap::new(),
            teams: BTreeMap::new(),
        }
    }

    /// The resources that a job needs, with the fraction of each that its waiting tasks
    /// would use.
    fn demands(&mut self, queued: &QueuedJob) -> Vec<(usize, f64)> {
        let need = queued.spec.resources();
        let tasks = f64::from(queued.tasks);
        let (machine_views, resources) = (self.machine_views, &mut self.resources);
        let machines = self.machines.entry(queued.types.clone());
        let (resource, all) = machines.or_insert_with(|| {
            let (free, all) = machines_of(machine_views, &queued.types);
            resources.push(triage::SharedResource {
                free: smallest_share(&free, &all),
            });
            (resources.len() - 1, all)
        });
        let mut demands = vec![(*resource, dominant_share(&need, all) * tasks)];
        let limit = queued.limit_cpus;
        if limit > 0.0 {
            let team = &queued.spec.team;
            let used = self.used.get(team).map_or(0.0, |u| u.cpus);
            let resource = *self.teams.entry(team.clone()).or_insert_with(|| {
                resources.push(triage::SharedResource {
                    free: (1.0 - used / limit).max(0.0),
                });
                resources.len() - 1
            });
            demands.push((resource, need.cpus * tasks / limit));
        }
        demands
    }
}

/// Free and total capacity of the usable machines of some types, without the part that
/// services use.
fn machines_of(machine_views: &[MachineView], types: &BTreeSet<String>) -> (Resources, Resources) {
    let usable = machine_views
        .iter()
        .filter(|r| r.usable && types.contains(&r.kind));
    let mut sums = (Resources::default(), Resources::default());
    for machine in usable {
        let total = &machine.candidate.total;
        let rest = (1.0 - machine.candidate.service_share).max(0.0);
        let all = Resources {
            cpus: total.cpus * rest,
            gpus: total.gpus * rest,
            memory_gb: total.memory_gb * rest,
        };
        sums = (plus(&sums.0, &machine.candidate.free), plus(&sums.1, &all));
    }
    sums
}

/// Each amount of `part` as a fraction of `all`, where `all` has any.
fn fractions(part: &Resources, all: &Resources) -> impl Iterator<Item = f64> {
    let pairs = [
        (part.cpus, all.cpus),
        (part.gpus, all.gpus),
        (part.memory_gb, all.memory_gb),
    ];
    let some = pairs.into_iter().filter(|(_, all)| *all > 0.0);
    some.map(|(part, all)| part / all)
}

/// The largest fraction that any amount of `part` is of `all` (the dominant share).
pub(crate) fn dominant_share(part: &Resources, all: &Resources) -> f64 {
    fractions(part, all).fold(0.0, f64::max)
}

/// The smallest fraction that any amount of `part` is of `all`, between 0 and 1.
fn smallest_share(part: &Resources, all: &Resources) -> f64 {
    fractions(part, all).fold(1.0, f64::min).max(0.0)
}
