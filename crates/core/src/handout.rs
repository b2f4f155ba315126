//! The leader's hand-out: which waiting tasks go to which block.
//!
//! Quota, zones and spread are decided here alone. Everything handed and not
//! recorded as done or given back counts as used, and so does every hand-out
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

/// The least time between two plans.
const PLAN_GAP: Duration = Duration::from_millis(40);
/// What each machine and each job that waits add to it: a plan costs time. With
/// thousands of jobs whoever leads otherwise does nothing but plan.
const PLAN_GAP_EACH: Duration = Duration::from_micros(100);
/// The time after which a plan is made even without news.
const PLAN_PERIOD: Duration = Duration::from_millis(500);
/// The least time between two hand-outs of a job that nobody looks at: each
/// is a write, and holds up those that record what is done.
const HANDOUT_GAP: Duration = Duration::from_millis(500);
/// How long a task that was asked to make room is expected to do so.
const ASKED: Duration = Duration::from_secs(8);

/// A plan in the making.
pub(crate) struct Plan {
    pub inventory: Inventory,
    /// All machines that can be used.
    fleet: Amounts,
    /// What each team uses, all that counts against its limit.
    pub used: BTreeMap<String, Amounts>,
    pub borrowed: HashSet<JobId>,
    wants: Vec<CapacityRequest>,
    /// Machine types kept for tasks that fit nowhere else and have waited.
    scarce: Rc<BTreeSet<String>>,
    /// The types that tasks of a kind fit.
    fitting: HashMap<Fitting, Rc<BTreeSet<String>>>,
    /// Needs for which no machine has room: rooms only shrink in a plan, so
    /// whoever needs the same need not look again.
    full: HashSet<Need>,
    /// How often machines were looked through for work to stop.
    pub searches: u32,
}

/// What decides on which machines a task fits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Need {
    amounts: [u64; 3],
    spot: bool,
    types: Option<Vec<String>>,
    zone: Option<String>,
    avoids: bool,
}

/// What decides on which types a task fits, and whether it has to leave the
/// scarce ones alone.
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

/// The machines that a job's tasks fit on.
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

/// The top scorer in a zone that is still open. Zones only close.
fn top(
    ranking: &mut Ranking,
    inventory: &[MachineView],
    zone_ok: impl Fn(&str) -> bool,
) -> Option<usize> {
    std::iter::from_fn(|| ranking.pop()).find(|at| zone_ok(&inventory[*at].zone))
}

impl Controller {
    /// Makes and carries out a plan, if we lead and there is reason to.
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

    /// The jobs with waiting tasks, in the order of serving.
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
                // It has others.
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

    /// The machine types that a job's tasks fit, the scarce ones aside or not.
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

    /// Types that are all that some job can use which has waited for a while.
    /// Without this, small tasks take every bit of room that gets free on a
    /// large machine, and a large task never finds enough of it.
    fn scarce(&self, plan: &mut Plan, queue: &[QueuedJob]) -> BTreeSet<String> {
        let patience = self.tuning.scarce_type_wait.as_secs_f64();
        let mut scarce = BTreeSet::new();
        for queued in queue {
            // One that its team's limit holds back would have them to itself for
            // nothing: others waited beside room for as long as it did.
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

    /// Hands out as many of a job's waiting tasks as there is room for.
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
            // The rest of it is still on machines; it starts as a whole.
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
        // The other conditions are on the leader, the chunk and the job.
        let most_blocks = limits.txn_conds().saturating_sub(3);
        for part in 0..job.chunk_count() {
            if left == 0 || may_hand == 0 || full || limited {
                break;
            }
            // A job of 100,000 tasks has hundreds of chunks that are done.
            let waits = |c: &Chunk| c.task_statuses.contains(&TaskStatus::Waiting);
            if self.chunk_writes.contains_key(&(id.clone(), part))
                || !job.chunks.get(&part).is_none_or(waits)
            {
                continue;
            }
            let (first, count) = job.chunk_span(part);
            let mut tasks = Vec::new();
            // A record has room for so many blocks and terms, and a write for
            // so many conditions: what goes beyond waits.
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
            // What its team gets free is kept for it, or smaller tasks would take it
            // bit by bit.
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

    /// Hands tasks of one chunk out, by one conditional write.
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
            // Room gets free bit by bit; its place in the queue is kept.
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
        if !self.write_chunk(id, part, txn, handed, Urgency::Handout) {
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

/// The blocks, with their terms, that tasks of a chunk are handed to.
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

/// The zone in which most of a job's tasks have room.
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
