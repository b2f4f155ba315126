//! Planning by the leader: it assigns waiting tasks to blocks.
//!
//! Quotas, zone constraints and spread are decided only here. Every task that is assigned
//! and not recorded as done or given back counts as used, and so does every assignment
//! whose write may still take effect.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use oliveshift_policy::{
    Candidate, Task, Weights,
    fleet::{CapacityRequest, count_fitting},
    ranking::Ranking,
    score::{fits, plus},
};
use oliveshift_wire::{
    JobId,
    cloud::MachineType,
    job::{JobSpec, Priority, Resources, Shape},
    state::{Cond, Txn},
};

use crate::{
    controller::Controller,
    inventory::{Inventory, MachineView},
    minimum_shares::Flow,
    queue_order::{QueuedJob, dominant_share, latest_starts, waited_s},
    records::{BlockId, Key, Phase, TaskStatus, Term, max_block_terms},
    store::Urgency,
    throughput::JobProgress,
    view::{Chunk, Job},
};

/// Minimum interval between two plans.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(40);
/// Added to the minimum interval for each machine and each waiting job. A plan costs
/// processor time: with thousands of jobs a leader would otherwise do nothing but plan.
const PLAN_INTERVAL_PER_ITEM: Duration = Duration::from_micros(100);
/// Interval after which a plan is made even without changes.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between two assignments of a job that is not in production, while
/// writes are scarce. Each assignment is a write, and delays the writes that record
/// finished tasks.
const MIN_ASSIGNMENT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a task that was asked to stop is expected to do so. After that it may be asked
/// again.
const PREEMPTION_TIMEOUT: Duration = Duration::from_secs(8);

/// A plan in progress.
pub(crate) struct Plan {
    pub inventory: Inventory,
    /// Total capacity of the usable machines.
    fleet: Resources,
    /// What each team uses, as counted against its limit.
    pub used: BTreeMap<String, Resources>,
    pub borrowed: HashSet<JobId>,
    capacity_requests: Vec<CapacityRequest>,
    /// Machine types that are left to jobs that have waited for long and can't use all
    /// types.
    scarce_types: Rc<BTreeSet<String>>,
    /// Machine types that fit, by task requirements.
    fitting_types: HashMap<FittingKey, Rc<BTreeSet<String>>>,
    /// Requirements for which no machine has enough free capacity. Capacity only shrinks
    /// during a plan, so other jobs with the same requirements skip the search.
    unplaceable: HashSet<Requirements>,
    /// How often all machines were searched for tasks to preempt.
    pub searches: u32,
}

/// What determines on which machines a task fits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Requirements {
    resources: [u64; 3],
    spot: bool,
    types: Option<Vec<String>>,
    zone: Option<String>,
    avoids: bool,
}

/// What determines which machine types a task fits, and whether the scarce types are left
/// out.
type FittingKey = ([u64; 3], Option<Vec<String>>, bool);

fn bits(need: &Resources) -> [u64; 3] {
    [need.cpus, need.gpus, need.memory_gb].map(f64::to_bits)
}

impl Requirements {
    fn new(spec: &JobSpec, avoids: bool) -> Self {
        Self {
            resources: bits(&spec.resources()),
            spot: spec.spot,
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            avoids,
        }
    }
}

/// A machine as a candidate for a job's tasks.
fn candidate(machine: &MachineView, spec: &JobSpec) -> Candidate {
    Candidate {
        cached_gb: machine.cached_gb(spec),
        ..machine.candidate.clone()
    }
}

/// Ranks the machines that a job's tasks fit on.
fn ranking(
    machines: &[MachineView],
    spec: &JobSpec,
    avoid: &BTreeSet<String>,
    weights: &Weights,
) -> Ranking {
    let need = spec.resources();
    let all = machines.iter().enumerate();
    let open = all.filter(|(_, r)| {
        fits(&need, &r.candidate.free) && r.accepts(spec) && !avoid.contains(&r.kind)
    });
    let candidates = open.map(|(at, machine)| (at, candidate(machine, spec)));
    Ranking::new(Task::from(spec), candidates, weights)
}

/// Takes the best machine in a zone for which `zone_ok` holds. Machines of other zones are
/// dropped: a zone that is closed to a job stays closed during a plan.
fn take_best(
    ranking: &mut Ranking,
    machines: &[MachineView],
    zone_ok: impl Fn(&str) -> bool,
) -> Option<usize> {
    std::iter::from_fn(|| ranking.pop()).find(|at| zone_ok(&machines[*at].zone))
}

impl Controller {
    /// Makes a plan and submits its assignments, if this controller leads and a plan is
    /// due.
    pub(crate) fn assign_tasks(&mut self) {
        let now = self.now;
        let contact = self.in_contact() && !self.machine_types.is_empty();
        let Some(leader) = &mut self.leader else {
            return;
        };
        let due = leader.plan_due || now >= leader.last_plan_at + MAX_PLAN_INTERVAL;
        let item_count = leader.inventory.list.len() + leader.waiting_jobs;
        let interval = MIN_PLAN_INTERVAL + PLAN_INTERVAL_PER_ITEM * item_count as u32;
        if !due || now < leader.last_plan_at + interval || !contact {
            return;
        }
        leader.plan_due = false;
        leader.last_plan_at = now;
        leader
            .stop_requested_at
            .retain(|_, at| now < *at + PREEMPTION_TIMEOUT);
        let mut plan = Plan {
            inventory: std::mem::take(&mut leader.inventory),
            fleet: Resources::default(),
            used: BTreeMap::new(),
            borrowed: HashSet::new(),
            capacity_requests: Vec::new(),
            scarce_types: Rc::default(),
            fitting_types: HashMap::new(),
            unplaceable: HashSet::new(),
            searches: 0,
        };
        self.refresh_inventory(&mut plan.inventory);
        for machine in &mut plan.inventory.list {
            machine.candidate.free = machine.free;
            machine.candidate.service_share = machine.service_share;
            machine.closed = false;
        }
        plan.fleet = plan.inventory.usable_capacity();
        self.count_team_usage(&mut plan);
        let queue = self.queue(&mut plan);
        if let Some(leader) = &mut self.leader {
            leader.waiting_jobs = queue.len();
        }
        for queued in queue {
            self.assign_job(&mut plan, &queued);
        }
        self.fleet
            .set_capacity_requests(now, plan.capacity_requests);
        if let Some(leader) = &mut self.leader {
            leader.inventory = plan.inventory;
        }
    }

    /// The jobs with waiting tasks, in serving order.
    fn queue(&mut self, plan: &mut Plan) -> Vec<QueuedJob> {
        let now = self.now;
        let mut open: Vec<_> = self
            .view
            .active
            .iter()
            .filter_map(|id| self.view.jobs.get(id).map(|j| (j.ready_ms, id, j)))
            .filter(|(_, _, job)| job.phase == Phase::Open)
            .collect();
        open.sort_by_key(|(at, id, _)| (*at, *id));
        let mut team_claims: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut queue = Vec::new();
        let speed = self
            .leader
            .as_ref()
            .map_or(1.0, |l| l.queue_order.execution_speed());
        let mut progress = BTreeMap::new();
        for (at, id, job) in open {
            let Some(spec) = &job.spec else { continue };
            self.fleet.record_job(now, id, spec);
            let left = f64::from(job.tasks.saturating_sub(job.done));
            let need = spec.resources();
            let team_claim = team_claims.entry(&spec.team).or_default();
            team_claim.cpus += need.cpus * left;
            team_claim.gpus += need.gpus * left;
            let quota = self.team_quota(&spec.team).unwrap_or_default();
            let guaranteed = quota.guarantees(team_claim);
            if !guaranteed {
                plan.borrowed.insert(id.clone());
            }
            let flow = job.flow.clone().unwrap_or_else(|| Flow::of(spec));
            if spec.shape != Shape::Service {
                let seen = JobProgress {
                    flow: flow.clone(),
                    task_work_s: dominant_share(&need, &plan.fleet) * spec.estimate_s,
                    done: job.done,
                    assigned_count: job.assigned_total(),
                    estimate_s: spec.estimate_s,
                };
                progress.insert(id.clone(), seen);
            }
            #[cfg(feature = "sabotage")]
            if self.sabotage == Some(crate::Sabotage::SkippedJobs)
                && crate::Sabotage::affects_job(id)
            {
                continue;
            }
            if job.waiting() > 0 {
                let latest = self
                    .view
                    .effective_priority(id)
                    .and_then(|c| c.latest_start);
                let length_s = spec.estimate_s / speed;
                let takes_s = length_s + self.image_fetch_s(spec);
                let objectives = self.settings.deployment.objectives_of(&spec.class);
                queue.push(QueuedJob {
                    id: id.clone(),
                    spec: spec.clone(),
                    flow,
                    tasks: job.waiting(),
                    types: Rc::default(),
                    avoid: Rc::default(),
                    limit_cpus: quota.limit.0,
                    guaranteed,
                    priority: self.view.priority(id, spec),
                    order_ms: latest.map_or(at, |at| at.as_millis() as u64),
                    waited_s: waited_s(self.wall_clock, job.ready_ms),
                    latest_starts_s: latest_starts(objectives, job, spec, self.wall_clock, takes_s),
                    started: job.assigned_total() > 0,
                    length_s,
                    starved_turn: false,
                });
            }
        }
        plan.scarce_types = Rc::new(self.scarce_types(plan, &queue));
        for queued in &mut queue {
            let spec = &queued.spec;
            let types = self.types_for(plan, spec, false);
            if spec.priority == Priority::Production || types.is_subset(&plan.scarce_types) {
                queued.types = types;
            } else {
                // Other types fit, too.
                queued.types = self.types_for(plan, spec, true);
                queued.avoid = plan.scarce_types.clone();
            }
        }
        let Some(leader) = &mut self.leader else {
            return queue;
        };
        #[cfg(feature = "sabotage")]
        leader.queue_order.sabotage(self.sabotage);
        let jobs = &self.view.jobs;
        let done = |id: &JobId| jobs.get(id).map(|j| j.done);
        leader.queue_order.update(now, progress, done);
        leader
            .queue_order
            .order(now, &plan.inventory.list, &plan.used, queue)
    }

    /// Machine types that a job's tasks fit, with or without the scarce ones.
    fn types_for(
        &self,
        plan: &mut Plan,
        spec: &JobSpec,
        without_scarce: bool,
    ) -> Rc<BTreeSet<String>> {
        let need = spec.resources();
        let scarce_types = &plan.scarce_types;
        let known = plan
            .fitting_types
            .entry((bits(&need), spec.types.clone(), without_scarce));
        let types = known.or_insert_with(|| {
            let fit = |t: &&MachineType| {
                spec.allows_type(&t.name)
                    && fits(&need, &t.resources())
                    && !(without_scarce && scarce_types.contains(&t.name))
            };
            let types = self.machine_types.values().filter(fit);
            Rc::new(types.map(|t| t.name.clone()).collect())
        });
        types.clone()
    }

    /// Machine types that a job fits which can't use all types and has waited longer than
    /// `scarce_type_wait`. Without this, small tasks take all capacity that is freed on a
    /// large machine, and a large task never finds enough of it.
    fn scarce_types(&self, plan: &mut Plan, queue: &[QueuedJob]) -> BTreeSet<String> {
        let max_wait_s = self.tuning.scarce_type_wait.as_secs_f64();
        let mut scarce_types = BTreeSet::new();
        for queued in queue {
            // A job held back by its team's limit could not use the machines reserved for
            // it, while others would wait beside free capacity.
            let team = &queued.spec.team;
            let used = plan.used.get(team).copied().unwrap_or_default();
            let more = plus(&used, &queued.spec.resources());
            let quota = self.team_quota(team).unwrap_or_default();
            let held_back = !quota.allows(&more);
            #[cfg(feature = "sabotage")]
            let held_back =
                held_back && self.sabotage != Some(crate::Sabotage::ReservedForBlockedWork);
            if queued.waited_s > max_wait_s && !held_back {
                let fits = self.types_for(plan, &queued.spec, false);
                if fits.len() < self.machine_types.len() {
                    scarce_types.extend(fits.iter().cloned());
                }
            }
        }
        scarce_types
    }

    /// Assigns as many of a job's waiting tasks as there is capacity for.
    fn assign_job(&mut self, plan: &mut Plan, queued: &QueuedJob) {
        let id = &queued.id;
        let Some(job) = self.view.jobs.get(id) else {
            return;
        };
        let Some(spec) = job.spec.clone() else { return };
        let quota = self.team_quota(&spec.team).unwrap_or_default();
        let ready_s = job.ready_ms as f64 / 1e3;
        let need = spec.resources();
        let in_doubt = self.in_doubt(id, job);
        let mut zone_counts: BTreeMap<String, u32> = BTreeMap::new();
        for (block, n) in &job.assigned {
            if let Some(b) = self.view.blocks.get(block) {
                *zone_counts.entry(b.record.zone.clone()).or_default() += n;
            }
        }
        for (_, block) in &in_doubt {
            if let Some(b) = self.view.blocks.get(block) {
                *zone_counts.entry(b.record.zone.clone()).or_default() += 1;
            }
        }
        let mut only_zone = None;
        if spec.one_zone {
            let taken = zone_counts
                .iter()
                .find(|(_, n)| **n > 0)
                .map(|(z, _)| z.clone());
            only_zone = taken.or_else(|| zone_with_most_capacity(plan, &spec));
        }
        let cap = spec.max_tasks_per_zone();
        let avoid = &queued.avoid;
        let mut left = job.waiting().saturating_sub(in_doubt.len() as u32);
        let mut may_assign = if queued.starved_turn { 1 } else { u32::MAX };
        let gang = spec.shape == Shape::Gang;
        if gang && left < job.tasks.saturating_sub(job.done) {
            // Other tasks of the gang are still assigned; it starts as a whole.
            return;
        }
        let before = gang.then(|| {
            let machines = plan.inventory.list.iter();
            let candidates: Vec<_> = machines.map(|r| r.candidate.clone()).collect();
            (candidates, plan.used.clone())
        });
        let requirements = Requirements::new(&spec, !avoid.is_empty());
        let mut scored = None;
        let mut assignments: Vec<(u32, Vec<(u32, usize)>)> = Vec::new();
        let mut full = false;
        let mut limit_reached = false;
        let limits = self.limits();
        let max_terms = |count| max_block_terms(self.level(), limits.value_bytes(), count);
        // The other three conditions are on the leader, the chunk and the job.
        let max_blocks = limits.txn_conds().saturating_sub(3);
        for part in 0..job.chunk_count() {
            if left == 0 || may_assign == 0 || full || limit_reached {
                break;
            }
            // Skips finished chunks: a job of 100,000 tasks has hundreds of them.
            let has_waiting = |c: &Chunk| c.task_statuses.contains(&TaskStatus::Waiting);
            if self.chunk_writes.contains_key(&(id.clone(), part))
                || !job.chunks.get(&part).is_none_or(has_waiting)
            {
                continue;
            }
            let (first, count) = job.chunk_span(part);
            let mut tasks = Vec::new();
            // A record holds a limited number of block terms, and a write a limited number
            // of conditions. Tasks beyond that wait for a later plan.
            let mut block_terms = assigned_blocks(job, part);
            let mut blocks: BTreeSet<BlockId> = BTreeSet::new();
            let mut skipped = Vec::new();
            let mut crowded = |machine: &MachineView| {
                let pair = (machine.block, machine.term);
                let crowded = (!block_terms.contains(&pair)
                    && block_terms.len() >= max_terms(count))
                    || (!blocks.contains(&machine.block) && blocks.len() >= max_blocks);
                if !crowded {
                    block_terms.insert(pair);
                    blocks.insert(machine.block);
                }
                crowded
            };
            for index in first..first + count as u32 {
                if may_assign == 0 {
                    break;
                }
                if job.task_status(index) != TaskStatus::Waiting {
                    continue;
                }
                let used = plan.used.entry(spec.team.clone()).or_default();
                let more = plus(used, &need);
                if !quota.allows(&more) {
                    limit_reached = true;
                    break;
                }
                let zone_ok = |zone: &str| {
                    zone_counts.get(zone).copied().unwrap_or(0) < cap
                        && only_zone.as_deref().is_none_or(|z| z == zone)
                };
                let weights = &self.tuning.weights;
                let scored = scored.get_or_insert_with(|| {
                    let none = plan.unplaceable.contains(&requirements);
                    let machines = if none { &[] } else { &plan.inventory.list[..] };
                    let scored = ranking(machines, &spec, avoid, weights);
                    if scored.is_empty() {
                        plan.unplaceable.insert(requirements.clone());
                    }
                    scored
                });
                let at = loop {
                    match take_best(scored, &plan.inventory.list, zone_ok) {
                        Some(at) if crowded(&plan.inventory.list[at]) => skipped.push(at),
                        found => break found,
                    }
                };
                let Some(at) = at else {
                    full = skipped.is_empty();
                    break;
                };
                if let Some(used) = plan.used.get_mut(&spec.team) {
                    *used = more;
                }
                let machine = &mut plan.inventory.list[at];
                machine.reserve(&spec);
                scored.put(at, &candidate(machine, &spec), weights);
                *zone_counts.entry(machine.zone.clone()).or_default() += 1;
                tasks.push((index, at));
                left -= 1;
                may_assign -= 1;
            }
            if let Some(scored) = &mut scored {
                for at in skipped {
                    let machine = &plan.inventory.list[at];
                    scored.put(at, &candidate(machine, &spec), &self.tuning.weights);
                }
            }
            if !tasks.is_empty() {
                assignments.push((part, tasks));
            }
        }
        if let Some((candidates, used)) = before
            && left > 0
        {
            for (machine, candidate) in plan.inventory.list.iter_mut().zip(candidates) {
                machine.candidate = candidate;
            }
            plan.used = used;
            assignments.clear();
            left = job.waiting();
        }
        if limit_reached && queued.starved_turn && assignments.is_empty() {
            // The team's limit is reserved for this job as it is freed, or smaller tasks
            // would use it up.
            let used = plan.used.entry(spec.team.clone()).or_default();
            *used = plus(used, &need);
        }
        for (part, tasks) in assignments {
            self.assign_chunk(plan, id, part, &tasks);
        }
        if full && left > 0 {
            let zones = self.settings.deployment.zones.iter();
            let open: BTreeMap<String, u32> = zones
                .filter(|z| spec.allows_zone(z))
                .filter(|z| only_zone.as_ref().is_none_or(|o| o == *z))
                .map(|z| {
                    (
                        z,
                        cap.saturating_sub(zone_counts.get(z).copied().unwrap_or(0)),
                    )
                })
                .filter(|(_, left)| *left > 0)
                .map(|(z, left)| (z.clone(), left))
                .collect();
            let zones = open.keys().cloned().collect();
            let by_limit = |limit: f64, used: f64, need: f64| {
                if limit > 0.0 && need > 0.0 {
                    ((limit - used) / need).max(0.0) as u32
                } else {
                    u32::MAX
                }
            };
            let used = plan.used.get(&spec.team).copied().unwrap_or_default();
            let tasks = left
                .min(by_limit(quota.limit.0, used.cpus, need.cpus))
                .min(by_limit(quota.limit.1, used.gpus, need.gpus));
            self.preempt_tasks(plan, queued, &spec, tasks, open);
            let waited = self.wall_clock.as_millis() as f64 / 1e3 - ready_s;
            let max_wait_s = self.max_spot_wait_s(&spec);
            plan.capacity_requests.push(CapacityRequest {
                spot_only: spec.spot && waited < max_wait_s,
                need,
                tasks,
                spot: spec.spot,
                types: if avoid.is_empty() {
                    spec.types.clone()
                } else {
                    Some(queued.types.iter().cloned().collect())
                },
                zones,
            });
        }
    }

    /// Assigns tasks of one chunk in one conditional write.
    fn assign_chunk(&mut self, plan: &Plan, id: &JobId, part: u32, tasks: &[(u32, usize)]) {
        let Some(lead) = self.leader_cond() else {
            return;
        };
        let save_writes = !self.has_spare_writes();
        let Some(job) = self.view.jobs.get(id) else {
            return;
        };
        let recent = self
            .leader
            .as_ref()
            .and_then(|l| l.last_assigned_at.get(id));
        let is_production = job.spec.as_ref().map(|s| s.priority) == Some(Priority::Production);
        let recent = recent.is_some_and(|at| self.now < *at + MIN_ASSIGNMENT_INTERVAL);
        if !is_production && recent && save_writes {
            // Capacity is freed little by little. The job is served by a later plan and
            // keeps its place in the queue.
            if let Some(leader) = &mut self.leader {
                leader.plan_due = true;
            }
            return;
        }
        let (first, count) = job.chunk_span(part);
        let mut statuses = match job.chunks.get(&part) {
            Some(chunk) => chunk.task_statuses.clone(),
            None => vec![TaskStatus::Waiting; count],
        };
        let key = Key::Chunk(id.clone(), part).path();
        let mut conds = vec![
            lead,
            Cond {
                key: key.clone(),
                version: self.view.chunk_version(id, part),
            },
            Cond {
                key: Key::Job(id.clone()).path(),
                version: job.version,
            },
        ];
        let mut blocks = BTreeSet::new();
        let mut assigned = Vec::new();
        for (index, at) in tasks {
            let machine = &plan.inventory.list[*at];
            let (block, term) = (machine.block, machine.term);
            if let Some(status) = statuses.get_mut((index - first) as usize) {
                *status = TaskStatus::Assigned { block, term };
            }
            assigned.push((*index, block));
            if blocks.insert(block) {
                conds.push(Cond {
                    key: Key::Block(block).path(),
                    version: term,
                });
            }
        }
        let Some(put) = self.put_chunk(key, first, statuses) else {
            return;
        };
        let changes = vec![put];
        let txn = Txn { conds, changes };
        if !self.write_chunk(id, part, txn, assigned, Urgency::Assignment) {
            if let Some(leader) = &mut self.leader {
                leader.plan_due = true;
            }
            return;
        }
        let now = self.now;
        if let Some(leader) = &mut self.leader {
            leader
                .last_assigned_at
                .retain(|_, at| now < *at + MIN_ASSIGNMENT_INTERVAL);
            leader.last_assigned_at.insert(id.clone(), now);
        }
        for (index, at) in tasks {
            let task = id.task(*index);
            let machine_name = plan.inventory.list[*at].name.clone();
            log::debug!("{task}: planned for {machine_name}");
            if let Some(leader) = &mut self.leader {
                leader.planned_machines.insert(task, machine_name);
            }
        }
    }
}

/// The blocks, with their terms, to which tasks of a chunk are assigned.
fn assigned_blocks(job: &Job, part: u32) -> BTreeSet<(BlockId, Term)> {
    let chunk = job.chunks.get(&part);
    let statuses = chunk.into_iter().flat_map(|c| &c.task_statuses);
    statuses
        .filter_map(|status| match status {
            TaskStatus::Assigned { block, term } => Some((*block, *term)),
            _ => None,
        })
        .collect()
}

/// The zone with capacity for most of a job's tasks.
fn zone_with_most_capacity(plan: &Plan, spec: &JobSpec) -> Option<String> {
    let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
    for machine in plan.inventory.list.iter().filter(|r| r.accepts(spec)) {
        let n = count_fitting(&spec.resources(), &machine.candidate.free).min(spec.tasks);
        let sum = zones.entry(&machine.zone).or_default();
        *sum = sum.saturating_add(n);
    }
    let most = zones.into_iter().max_by_key(|(_, n)| *n)?;
    (most.1 > 0).then(|| most.0.to_owned())
}
