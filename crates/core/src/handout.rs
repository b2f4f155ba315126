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
    job::{Amounts, JobSpec, Priority, Shape},
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
const PLAN_GAP: Duration = Duration::from_millis(40);
/// Added to the minimum interval for each machine and each waiting job. A plan costs
/// processor time: with thousands of jobs a leader would otherwise do nothing but plan.
const PLAN_GAP_EACH: Duration = Duration::from_micros(100);
/// Interval after which a plan is made even without changes.
const PLAN_PERIOD: Duration = Duration::from_millis(500);
/// Minimum interval between two assignments of a job that is not in production. Each is a
/// write, and delays the writes that record finished tasks.
const HANDOUT_GAP: Duration = Duration::from_millis(500);
/// How long a task that was asked to stop is expected to do so. After that it may be asked
/// again.
const ASKED: Duration = Duration::from_secs(8);

/// A plan in progress.
pub(crate) struct Plan {
    pub inventory: Inventory,
    /// Total capacity of the usable machines.
    fleet: Amounts,
    /// What each team uses, as counted against its limit.
    pub used: BTreeMap<String, Amounts>,
    pub borrowed: HashSet<JobId>,
    wants: Vec<CapacityRequest>,
    /// Machine types reserved for waiting tasks that fit no other type.
    scarce: Rc<BTreeSet<String>>,
    /// Machine types that fit, by task requirements.
    fitting: HashMap<Fitting, Rc<BTreeSet<String>>>,
    /// Requirements for which no machine has enough free capacity. Capacity only shrinks
    /// during a plan, so other jobs with the same requirements skip the search.
    full: HashSet<Need>,
    /// How often all machines were searched for tasks to preempt.
    pub searches: u32,
}

/// What determines on which machines a task fits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Need {
    amounts: [u64; 3],
    spot: bool,
    types: Option<Vec<String>>,
    zone: Option<String>,
    avoids: bool,
}

/// What determines which machine types a task fits, and whether the reserved types are left
/// out.
type Fitting = ([u64; 3], Option<Vec<String>>, bool);

fn bits(need: &Amounts) -> [u64; 3] {
    [need.cpus, need.gpus, need.memory_gb].map(f64::to_bits)
}

impl Need {
    fn new(spec: &JobSpec, avoids: bool) -> Self {
        Self {
            amounts: bits(&spec.amounts()),
            spot: spec.spot,
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            avoids,
        }
    }
}

/// A machine as a candidate for a job's tasks.
fn candidate(room: &MachineView, spec: &JobSpec) -> Candidate {
    Candidate {
        cached_gb: room.cached_gb(spec),
        ..room.candidate.clone()
    }
}

/// Ranks the machines that a job's tasks fit on.
fn ranking(
    inventory: &[MachineView],
    spec: &JobSpec,
    avoid: &BTreeSet<String>,
    weights: &Weights,
) -> Ranking {
    let need = spec.amounts();
    let all = inventory.iter().enumerate();
    let open = all.filter(|(_, r)| {
        fits(&need, &r.candidate.free) && r.accepts(spec) && !avoid.contains(&r.kind)
    });
    let candidates = open.map(|(at, room)| (at, candidate(room, spec)));
    Ranking::new(Task::from(spec), candidates, weights)
}

/// Takes the best machine in a zone for which `zone_ok` holds. Machines of other zones are
/// dropped: a zone that is closed to a job stays closed during a plan.
fn top(
    ranking: &mut Ranking,
    inventory: &[MachineView],
    zone_ok: impl Fn(&str) -> bool,
) -> Option<usize> {
    std::iter::from_fn(|| ranking.pop()).find(|at| zone_ok(&inventory[*at].zone))
}

impl Controller {
    /// Makes a plan and submits its assignments, if this controller leads and a plan is
    /// due.
    pub(crate) fn hand_out(&mut self) {
        let now = self.now;
        let contact = self.in_contact() && !self.machine_types.is_empty();
        let Some(leader) = &mut self.leader else {
            return;
        };
        let due = leader.plan_due || now >= leader.plan_at + PLAN_PERIOD;
        let looked_at = leader.inventory.list.len() + leader.waiting;
        let gap = PLAN_GAP + PLAN_GAP_EACH * looked_at as u32;
        if !due || now < leader.plan_at + gap || !contact {
            return;
        }
        leader.plan_due = false;
        leader.plan_at = now;
        leader.asked.retain(|_, at| now < *at + ASKED);
        let mut plan = Plan {
            inventory: std::mem::take(&mut leader.inventory),
            fleet: Amounts::default(),
            used: BTreeMap::new(),
            borrowed: HashSet::new(),
            wants: Vec::new(),
            scarce: Rc::default(),
            fitting: HashMap::new(),
            full: HashSet::new(),
            searches: 0,
        };
        self.refresh_inventory(&mut plan.inventory);
        for room in &mut plan.inventory.list {
            room.candidate.free = room.free;
            room.candidate.service_share = room.service_share;
            room.closed = false;
        }
        plan.fleet = plan.inventory.usable_capacity();
        self.count_team_usage(&mut plan);
        let queue = self.queue(&mut plan);
        if let Some(leader) = &mut self.leader {
            leader.waiting = queue.len();
        }
        for queued in queue {
            self.hand_job(&mut plan, &queued);
        }
        self.fleet.set_capacity_requests(now, plan.wants);
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
        let mut claimed: BTreeMap<&str, Amounts> = BTreeMap::new();
        let mut queue = Vec::new();
        let pace = self
            .leader
            .as_ref()
            .map_or(1.0, |l| l.queue_order.execution_speed());
        let mut progress = BTreeMap::new();
        for (at, id, job) in open {
            let Some(spec) = &job.spec else { continue };
            self.fleet.record_job(now, id, spec);
            let left = f64::from(job.tasks.saturating_sub(job.done));
            let need = spec.amounts();
            let claim = claimed.entry(&spec.team).or_default();
            claim.cpus += need.cpus * left;
            claim.gpus += need.gpus * left;
            let share = self.team_quota(&spec.team).unwrap_or_default();
            let guaranteed = share.guarantees(claim);
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
                let latest = self.view.claim(id).and_then(|c| c.latest_start);
                let length_s = spec.estimate_s / pace;
                let takes_s = length_s + self.image_fetch_s(spec);
                let aims = self.settings.params.aims_of(&spec.class);
                queue.push(QueuedJob {
                    id: id.clone(),
                    spec: spec.clone(),
                    flow,
                    tasks: job.waiting(),
                    types: Rc::default(),
                    avoid: Rc::default(),
                    limit_cpus: share.limit.0,
                    guaranteed,
                    priority: self.view.priority(id, spec),
                    order_ms: latest.map_or(at, |at| at.as_millis() as u64),
                    waited_s: waited_s(self.wall_clock, job.ready_ms),
                    latest_starts_s: latest_starts(aims, job, spec, self.wall_clock, takes_s),
                    started: job.assigned_total() > 0,
                    length_s,
                    starved_turn: false,
                });
            }
        }
        plan.scarce = Rc::new(self.scarce(plan, &queue));
        for queued in &mut queue {
            let spec = &queued.spec;
            let types = self.types_for(plan, spec, false);
            if spec.priority == Priority::Production || types.is_subset(&plan.scarce) {
                queued.types = types;
            } else {
                // Other types fit, too.
                queued.types = self.types_for(plan, spec, true);
                queued.avoid = plan.scarce.clone();
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
    fn types_for(&self, plan: &mut Plan, spec: &JobSpec, aside: bool) -> Rc<BTreeSet<String>> {
        let need = spec.amounts();
        let scarce = &plan.scarce;
        let known = plan.fitting.entry((bits(&need), spec.types.clone(), aside));
        let types = known.or_insert_with(|| {
            let fit = |t: &&MachineType| {
                spec.allows_type(&t.name)
                    && fits(&need, &t.amounts())
                    && !(aside && scarce.contains(&t.name))
            };
            let types = self.machine_types.values().filter(fit);
            Rc::new(types.map(|t| t.name.clone()).collect())
        });
        types.clone()
    }

    /// Machine types that are the only ones for some job that has waited longer than
    /// `scarce_after`. Without this, small tasks take all capacity that is freed on a large
    /// machine, and a large task never finds enough of it.
    fn scarce(&self, plan: &mut Plan, queue: &[QueuedJob]) -> BTreeSet<String> {
        let patience = self.tuning.scarce_type_wait.as_secs_f64();
        let mut scarce = BTreeSet::new();
        for queued in queue {
            // A job held back by its team's limit would reserve machines that it can't use,
            // while others wait beside free capacity.
            let team = &queued.spec.team;
            let used = plan.used.get(team).copied().unwrap_or_default();
            let more = plus(&used, &queued.spec.amounts());
            let share = self.team_quota(team).unwrap_or_default();
            let held_back = !share.allows(&more);
            #[cfg(feature = "sabotage")]
            let held_back =
                held_back && self.sabotage != Some(crate::Sabotage::ReservedForBlockedWork);
            if queued.waited_s > patience && !held_back {
                let fits = self.types_for(plan, &queued.spec, false);
                if fits.len() < self.machine_types.len() {
                    scarce.extend(fits.iter().cloned());
                }
            }
        }
        scarce
    }

    /// Assigns as many of a job's waiting tasks as there is capacity for.
    fn hand_job(&mut self, plan: &mut Plan, queued: &QueuedJob) {
        let id = &queued.id;
        let Some(job) = self.view.jobs.get(id) else {
            return;
        };
        let Some(spec) = job.spec.clone() else { return };
        let share = self.team_quota(&spec.team).unwrap_or_default();
        let job_at = job.ready_ms as f64 / 1e3;
        let need = spec.amounts();
        let doubt = self.in_doubt(id, job);
        let mut in_zone: BTreeMap<String, u32> = BTreeMap::new();
        for (block, n) in &job.assigned {
            if let Some(b) = self.view.blocks.get(block) {
                *in_zone.entry(b.record.zone.clone()).or_default() += n;
            }
        }
        for (_, block) in &doubt {
            if let Some(b) = self.view.blocks.get(block) {
                *in_zone.entry(b.record.zone.clone()).or_default() += 1;
            }
        }
        let mut only = None;
        if spec.one_zone {
            let taken = in_zone
                .iter()
                .find(|(_, n)| **n > 0)
                .map(|(z, _)| z.clone());
            only = taken.or_else(|| roomiest_zone(plan, &spec));
        }
        let cap = spec.zone_cap();
        let avoid = &queued.avoid;
        let mut left = job.waiting().saturating_sub(doubt.len() as u32);
        let mut may_hand = if queued.starved_turn { 1 } else { u32::MAX };
        let gang = spec.shape == Shape::Gang;
        if gang && left < job.tasks.saturating_sub(job.done) {
            // Other tasks of the gang are still assigned; it starts as a whole.
            return;
        }
        let before = gang.then(|| {
            let inventory = plan.inventory.list.iter();
            let inventory: Vec<_> = inventory.map(|r| r.candidate.clone()).collect();
            (inventory, plan.used.clone())
        });
        let signature = Need::new(&spec, !avoid.is_empty());
        let mut scored = None;
        let mut parts: Vec<(u32, Vec<(u32, usize)>)> = Vec::new();
        let mut full = false;
        let mut limited = false;
        let limits = self.limits();
        let most_pairs = |count| max_block_terms(self.level(), limits.value_bytes(), count);
        // The other three conditions are on the leader, the chunk and the job.
        let most_blocks = limits.txn_conds().saturating_sub(3);
        for part in 0..job.chunk_count() {
            if left == 0 || may_hand == 0 || full || limited {
                break;
            }
            // Skips finished chunks: a job of 100,000 tasks has hundreds of them.
            let waits = |c: &Chunk| c.task_statuses.contains(&TaskStatus::Waiting);
            if self.chunk_writes.contains_key(&(id.clone(), part))
                || !job.chunks.get(&part).is_none_or(waits)
            {
                continue;
            }
            let (first, count) = job.chunk_span(part);
            let mut tasks = Vec::new();
            // A record holds a limited number of block terms, and a write a limited number
            // of conditions. Tasks beyond that wait for a later plan.
            let mut pairs = handed_to(job, part);
            let mut blocks: BTreeSet<BlockId> = BTreeSet::new();
            let mut aside = Vec::new();
            let mut crowded = |room: &MachineView| {
                let pair = (room.block, room.term);
                let crowded = (!pairs.contains(&pair) && pairs.len() >= most_pairs(count))
                    || (!blocks.contains(&room.block) && blocks.len() >= most_blocks);
                if !crowded {
                    pairs.insert(pair);
                    blocks.insert(room.block);
                }
                crowded
            };
            for index in first..first + count as u32 {
                if may_hand == 0 {
                    break;
                }
                if job.task_status(index) != TaskStatus::Waiting {
                    continue;
                }
                let used = plan.used.entry(spec.team.clone()).or_default();
                let more = plus(used, &need);
                if !share.allows(&more) {
                    limited = true;
                    break;
                }
                let zone_ok = |zone: &str| {
                    in_zone.get(zone).copied().unwrap_or(0) < cap
                        && only.as_deref().is_none_or(|z| z == zone)
                };
                let weights = &self.tuning.weights;
                let scored = scored.get_or_insert_with(|| {
                    let none = plan.full.contains(&signature);
                    let inventory = if none { &[] } else { &plan.inventory.list[..] };
                    let scored = ranking(inventory, &spec, avoid, weights);
                    if scored.is_empty() {
                        plan.full.insert(signature.clone());
                    }
                    scored
                });
                let at = loop {
                    match top(scored, &plan.inventory.list, zone_ok) {
                        Some(at) if crowded(&plan.inventory.list[at]) => aside.push(at),
                        found => break found,
                    }
                };
                let Some(at) = at else {
                    full = aside.is_empty();
                    break;
                };
                if let Some(used) = plan.used.get_mut(&spec.team) {
                    *used = more;
                }
                let room = &mut plan.inventory.list[at];
                room.reserve(&spec);
                scored.put(at, &candidate(room, &spec), weights);
                *in_zone.entry(room.zone.clone()).or_default() += 1;
                tasks.push((index, at));
                left -= 1;
                may_hand -= 1;
            }
            if let Some(scored) = &mut scored {
                for at in aside {
                    let room = &plan.inventory.list[at];
                    scored.put(at, &candidate(room, &spec), &self.tuning.weights);
                }
            }
            if !tasks.is_empty() {
                parts.push((part, tasks));
            }
        }
        if let Some((inventory, used)) = before
            && left > 0
        {
            for (room, candidate) in plan.inventory.list.iter_mut().zip(inventory) {
                room.candidate = candidate;
            }
            plan.used = used;
            parts.clear();
            left = job.waiting();
        }
        if limited && queued.starved_turn && parts.is_empty() {
            // The team's limit is reserved for this job as it is freed, or smaller tasks
            // would use it up.
            let used = plan.used.entry(spec.team.clone()).or_default();
            *used = plus(used, &need);
        }
        for (part, tasks) in parts {
            self.hand_chunk(plan, id, part, &tasks);
        }
        if full && left > 0 {
            let zones = self.settings.params.zones.iter();
            let open: BTreeMap<String, u32> = zones
                .filter(|z| spec.allows_zone(z))
                .filter(|z| only.as_ref().is_none_or(|o| o == *z))
                .map(|z| (z, cap.saturating_sub(in_zone.get(z).copied().unwrap_or(0))))
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
                .min(by_limit(share.limit.0, used.cpus, need.cpus))
                .min(by_limit(share.limit.1, used.gpus, need.gpus));
            self.preempt_tasks(plan, queued, &spec, tasks, open);
            let waited = self.wall_clock.as_millis() as f64 / 1e3 - job_at;
            let patience = self.max_spot_wait_s(&spec);
            plan.wants.push(CapacityRequest {
                spot_only: spec.spot && waited < patience,
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
    fn hand_chunk(&mut self, plan: &Plan, id: &JobId, part: u32, tasks: &[(u32, usize)]) {
        let Some(lead) = self.leader_cond() else {
            return;
        };
        let spare = !self.has_spare_writes();
        let Some(job) = self.view.jobs.get(id) else {
            return;
        };
        let recent = self.leader.as_ref().and_then(|l| l.handed_at.get(id));
        let people_wait = job.spec.as_ref().map(|s| s.priority) == Some(Priority::Production);
        let recent = recent.is_some_and(|at| self.now < *at + HANDOUT_GAP);
        if !people_wait && recent && spare {
            // Capacity is freed little by little. The job is served by a later plan and
            // keeps its place in the queue.
            if let Some(leader) = &mut self.leader {
                leader.plan_due = true;
            }
            return;
        }
        let (first, count) = job.chunk_span(part);
        let mut places = match job.chunks.get(&part) {
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
        let mut handed = Vec::new();
        for (index, at) in tasks {
            let room = &plan.inventory.list[*at];
            let (block, term) = (room.block, room.term);
            if let Some(place) = places.get_mut((index - first) as usize) {
                *place = TaskStatus::Assigned { block, term };
            }
            handed.push((*index, block));
            if blocks.insert(block) {
                conds.push(Cond {
                    key: Key::Block(block).path(),
                    version: term,
                });
            }
        }
        let Some(put) = self.put_chunk(key, first, places) else {
            return;
        };
        let changes = vec![put];
        let txn = Txn { conds, changes };
        if !self.write_chunk(id, part, txn, handed, Urgency::Assignment) {
            if let Some(leader) = &mut self.leader {
                leader.plan_due = true;
            }
            return;
        }
        let now = self.now;
        if let Some(leader) = &mut self.leader {
            leader.handed_at.retain(|_, at| now < *at + HANDOUT_GAP);
            leader.handed_at.insert(id.clone(), now);
        }
        for (index, at) in tasks {
            let task = id.task(*index);
            let machine = plan.inventory.list[*at].name.clone();
            log::debug!("{task}: planned for {machine}");
            if let Some(leader) = &mut self.leader {
                leader.planned_machines.insert(task, machine);
            }
        }
    }
}

/// The blocks, with their terms, to which tasks of a chunk are assigned.
fn handed_to(job: &Job, part: u32) -> BTreeSet<(BlockId, Term)> {
    let chunk = job.chunks.get(&part);
    let places = chunk.into_iter().flat_map(|c| &c.task_statuses);
    places
        .filter_map(|place| match place {
            TaskStatus::Assigned { block, term } => Some((*block, *term)),
            _ => None,
        })
        .collect()
}

/// The zone with capacity for most of a job's tasks.
fn roomiest_zone(plan: &Plan, spec: &JobSpec) -> Option<String> {
    let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
    for room in plan.inventory.list.iter().filter(|r| r.accepts(spec)) {
        let n = count_fitting(&spec.amounts(), &room.candidate.free).min(spec.tasks);
        let sum = zones.entry(&room.zone).or_default();
        *sum = sum.saturating_add(n);
    }
    let most = zones.into_iter().max_by_key(|(_, n)| *n)?;
    (most.1 > 0).then(|| most.0.to_owned())
}
