//! Work of the leader other than assigning tasks: leasing blocks, registering machines,
//! publishing admission shares and compacting finished jobs.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

use oliveshift_wire::{
    JobId, TaskId,
    state::{Change, Cond, Txn},
    worker::Report,
};

use crate::{
    admission_shares::{FleetLoad, SharePlanner},
    call::ConnId,
    controller::Controller,
    inventory::Inventory,
    machine_lists::MachineListWrite,
    queue_order::QueueOrder,
    records::{BlockId, BlockRecord, FormatLevel, Key, Phase, to_list, to_map},
    store::{Outcome, Purpose, Urgency},
    verdict::RefusalStatus,
    view::Job,
};

/// How long a report waits for its machine's record to be written.
const REPORT_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long a leader write without an answer counts as pending before it may be sent again.
const WRITE_RETRY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum number of compaction writes started at a time.
const MAX_COMPACTION_WRITES: usize = 4;
/// Minimum uptime of every controller before blocks are moved between them.
const MIN_MEMBER_UPTIME: Duration = Duration::from_secs(8);

/// Purpose of a write that only the leader makes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LeaderWrite {
    /// Leases a block to a controller.
    LeaseBlock(BlockId),
    /// Compacts the records of jobs that are over.
    CompactJobs(Vec<JobId>),
    /// Publishes how much work each controller may admit.
    PublishAdmission,
    /// Gives up leadership.
    Resign,
}

/// State that a controller keeps only while it is the leader.
#[derive(Debug)]
pub(crate) struct Leader {
    /// Version of our `leader` record. Every write of the leader is conditional on it.
    pub version: u64,
    pub plan_due: bool,
    pub last_plan_at: Duration,
    /// Number of jobs with waiting tasks at the last plan.
    pub waiting_jobs: usize,
    /// Writes in progress, and when each may be sent again.
    pending_writes: BTreeMap<LeaderWrite, Duration>,
    /// Reports of machines that have no record yet, and when each arrived.
    pub reports: Vec<(ConnId, Report, Duration)>,
    /// Incarnation of each member, and since when the leader has seen it.
    up_since: BTreeMap<String, (u64, Duration)>,
    /// The leader's view of all machines.
    pub inventory: Inventory,
    /// Computes the admission shares.
    pub share_planner: SharePlanner,
    /// State that determines the order in which jobs are served.
    pub queue_order: QueueOrder,
    /// When team usage was last logged.
    pub usage_logged_at: Duration,
    /// When each task was last asked to stop for another.
    pub stop_requested_at: BTreeMap<TaskId, Duration>,
    /// When tasks of each job were last assigned.
    pub last_assigned_at: BTreeMap<JobId, Duration>,
    /// Machine on whose capacity each task was counted when it was assigned.
    pub planned_machines: BTreeMap<TaskId, String>,
    /// Write of machine lists in progress.
    pub list_write: Option<MachineListWrite>,
    /// When machine lists were last written.
    pub lists_written_at: Duration,
    /// Blocks that are being created, with their zones.
    blocks_in_creation: BTreeMap<BlockId, String>,
    next_cleanup_at: Duration,
    /// Jobs whose tasks are all done but whose records are still open.
    pub complete_jobs: BTreeSet<JobId>,
}

/// Why the leader leases a block to a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LeaseReason {
    /// The block is new.
    NewBlock,
    /// The holder is no longer a member.
    HolderGone,
    /// The new holder is in the block's zone, the former one is not.
    Nearer,
    /// The new holder has fewer machines than the former one.
    LessLoaded,
    /// The holder does not reach its workers; the text says how that was found out.
    Unreachable(String),
}

impl fmt::Display for LeaseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NewBlock => f.write_str("a new block"),
            Self::HolderGone => f.write_str("its holder is no longer a member"),
            Self::Nearer => f.write_str("it is in the new holder's zone"),
            Self::LessLoaded => f.write_str("its former holder has more machines"),
            Self::Unreachable(why) => f.write_str(why),
        }
    }
}

impl Controller {
    /// Condition that a leader write depends on; none if this controller does not lead.
    pub(crate) fn leader_cond(&self) -> Option<Cond> {
        let leader = self.leader.as_ref()?;
        Some(Cond {
            key: Key::Leader.path(),
            version: leader.version,
        })
    }

    /// Handles a change of the leader or of the members.
    pub(crate) fn members_changed(&mut self) {
        let mine = self.view.leader.as_ref().filter(|l| {
            l.record.node == self.settings.node && l.record.incarnation == self.incarnation
        });
        let version = mine.map(|l| l.version);
        if version == self.leader.as_ref().map(|l| l.version) {
            return self.update_request_budgets();
        }
        match version {
            Some(version) => {
                log::info!("this controller is now the leader");
                let active = self.view.active.iter();
                let complete = active.filter(|id| {
                    let job = self.view.jobs.get(*id);
                    job.is_some_and(Job::is_complete)
                });
                let complete_jobs = complete.cloned().collect();
                self.leader = Some(Leader {
                    version,
                    plan_due: true,
                    last_plan_at: self.now,
                    waiting_jobs: 0,
                    pending_writes: BTreeMap::new(),
                    reports: Vec::new(),
                    up_since: BTreeMap::new(),
                    inventory: Inventory::default(),
                    share_planner: SharePlanner::default(),
                    queue_order: QueueOrder::default(),
                    stop_requested_at: BTreeMap::new(),
                    last_assigned_at: BTreeMap::new(),
                    usage_logged_at: Duration::ZERO,
                    planned_machines: BTreeMap::new(),
                    list_write: None,
                    lists_written_at: Duration::ZERO,
                    blocks_in_creation: BTreeMap::new(),
                    next_cleanup_at: self.now,
                    complete_jobs,
                });
            }
            None => {
                log::info!("this controller is no longer the leader");
                let reports = self.leader.take().map(|l| l.reports);
                for (conn, ..) in reports.into_iter().flatten() {
                    self.redirect(conn, None);
                }
            }
        }
        self.update_request_budgets();
    }

    /// Handles a report of a machine that has no record: the leader keeps it until the
    /// machine is registered, other controllers forward or redirect it to the leader.
    pub(crate) fn report_of_unknown_machine(&mut self, conn: ConnId, report: Report) {
        let now = self.now;
        if let Some(leader) = &mut self.leader {
            leader.reports.push((conn, report, now));
            return;
        }
        if self.forwarding.is_forwarded(conn) {
            return self.refuse(
                conn,
                RefusalStatus::Unavailable,
                "this controller is no longer the leader",
            );
        }
        if !self.forward_to_leader(conn, &report) {
            self.redirect_to_leader(conn);
        }
    }

    /// Redirects a worker to the leader.
    pub(crate) fn redirect_to_leader(&mut self, conn: ConnId) {
        let leader = self.view.leader.as_ref().map(|l| l.record.node.clone());
        self.redirect(conn, leader.filter(|l| *l != self.settings.node));
    }

    /// Answers the reports that waited for this machine's record.
    pub(crate) fn answer_waiting_reports(&mut self, name: &str) {
        if !self.view.machines.contains_key(name) {
            return;
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let (ready, wait): (Vec<_>, Vec<_>) = std::mem::take(&mut leader.reports)
            .into_iter()
            .partition(|(_, report, _)| report.machine == name);
        leader.reports = wait;
        for (conn, report, _) in ready {
            self.process_report(conn, report);
        }
    }

    /// Does the periodic work of the leader.
    pub(crate) fn leader_tick(&mut self) {
        self.advance_chunk_writes();
        let now = self.now;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let (late, wait): (Vec<_>, Vec<_>) = std::mem::take(&mut leader.reports)
            .into_iter()
            .partition(|(_, _, since)| now > *since + REPORT_TIMEOUT);
        leader.reports = wait;
        leader.pending_writes.retain(|_, at| *at > now);
        let members = &self.view.members;
        leader
            .up_since
            .retain(|n, (i, _)| members.get(n).is_some_and(|m| m.record.incarnation == *i));
        for (name, member) in members {
            let new = (member.record.incarnation, now);
            leader.up_since.entry(name.clone()).or_insert(new);
        }
        let cleanup_due = now >= leader.next_cleanup_at;
        if cleanup_due {
            leader.next_cleanup_at = now + Duration::from_millis(500);
        }
        for (conn, ..) in late {
            self.refuse(
                conn,
                RefusalStatus::Unavailable,
                "the machine could not be registered in time",
            );
        }
        if !self.in_contact() {
            return;
        }
        self.lease_blocks(cleanup_due);
        self.move_unreachable_blocks();
        self.update_machine_lists();
        self.compact_complete_jobs();
        if cleanup_due {
            self.publish_admission();
            self.compact_closed_jobs();
        }
        self.fleet_tick();
    }

    /// Sends a leader write unless the same one is pending. Returns whether it was sent.
    pub(crate) fn submit_leader_write(
        &mut self,
        write: LeaderWrite,
        txn: Txn,
        urgency: Urgency,
    ) -> bool {
        let retry_at = self.now + WRITE_RETRY_TIMEOUT;
        let is_pending = |l: &Leader| l.pending_writes.contains_key(&write);
        if self.leader.as_ref().is_none_or(is_pending)
            || !self.send_txn(txn, Purpose::LeaderWrite(write.clone()), urgency)
        {
            return false;
        }
        if let Some(leader) = &mut self.leader {
            leader.pending_writes.insert(write, retry_at);
        }
        true
    }

    /// Handles the outcome of a leader write.
    pub(crate) fn leader_write_done(&mut self, write: LeaderWrite, outcome: Outcome) {
        let retry_at = self.now + Duration::from_millis(300);
        if let Some(leader) = &mut self.leader
            && !matches!(outcome, Outcome::Unknown)
        {
            // The view shows the outcome within this time.
            leader.pending_writes.insert(write, retry_at);
        }
    }

    /// Leases blocks whose holder is gone. If there are none and `may_move` is set, moves
    /// at most one block to a better holder.
    fn lease_blocks(&mut self, may_move: bool) {
        let unheld: Vec<_> = self
            .view
            .blocks
            .iter()
            .filter(|(_, b)| !self.view.holder_is_up(&b.record))
            .map(|(id, b)| (*id, b.version, b.record.zone.clone()))
            .collect();
        if unheld.is_empty() {
            if may_move {
                self.rebalance_one_block();
            }
            return;
        }
        let mut loads = self.loads();
        for (id, version, zone) in unheld {
            if let Some(holder) = self.best_holder(&zone, &loads, None) {
                let size = self.view.machine_count(&id) + 1;
                *loads.entry(holder.clone()).or_default() += size;
                self.lease_block(id, version, zone, &holder, &LeaseReason::HolderGone);
            }
        }
    }

    pub(crate) fn lease_block(
        &mut self,
        id: BlockId,
        version: u64,
        zone: String,
        holder: &str,
        reason: &LeaseReason,
    ) -> bool {
        let Some(member) = self.view.members.get(holder) else {
            return false;
        };
        let record = BlockRecord {
            zone,
            holder: holder.to_owned(),
            incarnation: member.record.incarnation,
        };
        let key = Key::Block(id).path();
        let Some(leader_cond) = self.leader_cond() else {
            return false;
        };
        let txn = Txn {
            conds: vec![
                leader_cond,
                Cond {
                    key: key.clone(),
                    version,
                },
            ],
            changes: vec![Change::Put {
                key,
                value: to_list(&record),
                lease: None,
            }],
        };
        let sent = self.submit_leader_write(LeaderWrite::LeaseBlock(id), txn, Urgency::Safety);
        if sent {
            log::info!(
                "block {id} in {}: leased to {holder}, replaces version {version}: {reason}",
                record.zone
            );
        }
        sent
    }

    /// Load of each controller: the machines in its blocks, plus one for each block.
    pub(crate) fn loads(&self) -> BTreeMap<String, usize> {
        let mut loads = BTreeMap::new();
        for (id, block) in &self.view.blocks {
            if self.view.holder_is_up(&block.record) {
                let size = self.view.machine_count(id) + 1;
                *loads.entry(block.record.holder.clone()).or_default() += size;
            }
        }
        loads
    }

    /// The best holder for a block of a zone. Controllers that reach the workers of the
    /// zone come first, then those not suspected of being unreachable, those in the zone,
    /// and those with the fewest machines. With `instead_of`, only other controllers that
    /// reach the workers qualify.
    pub(crate) fn best_holder(
        &self,
        zone: &str,
        loads: &BTreeMap<String, usize>,
        instead_of: Option<&str>,
    ) -> Option<String> {
        let members = self.view.members.iter();
        let load = |name: &String| loads.get(name).copied().unwrap_or(0);
        let us = &self.settings.node;
        let serves = |name: &str| self.reachability.can_serve_zone(self.now, us, name, zone);
        let fits = |name: &str| match instead_of {
            Some(other) => name != other && serves(name),
            None => true,
        };
        members
            .filter(|(name, _)| fits(name))
            .min_by_key(|(name, m)| {
                let suspect = self.reachability.is_suspect(us, name);
                let far = m.record.zone != zone;
                (!serves(name), suspect, far, load(name), *name)
            })
            .map(|(name, _)| name.clone())
    }

    /// Moves a block into its own zone or to a controller with fewer machines, if one
    /// needs it and all members have been up for long enough.
    fn rebalance_one_block(&mut self) {
        let Some(leader) = &self.leader else { return };
        let up_long_enough = |name: &str| {
            leader
                .up_since
                .get(name)
                .is_some_and(|(_, at)| self.now > *at + MIN_MEMBER_UPTIME)
        };
        let busy = leader
            .pending_writes
            .keys()
            .any(|d| matches!(d, LeaderWrite::LeaseBlock(_)));
        // While controllers restart one after the other, a block would move twice.
        let settled = self.view.members.keys().all(|name| up_long_enough(name));
        if busy || !settled {
            return;
        }
        // Moves into a block's own zone come first, as they change the loads on which the
        // other moves are decided.
        let nearer = self.better_holder(|near_now, near_then, _, _| near_then && !near_now);
        let chosen = nearer
            .map(|found| (found, LeaseReason::Nearer))
            .or_else(|| {
                let less_loaded = self.better_holder(|near_now, near_then, gap, size| {
                    near_then >= near_now && gap > 2 * size + 2
                })?;
                Some((less_loaded, LeaseReason::LessLoaded))
            });
        if let Some(((id, holder), reason)) = chosen
            && let Some(block) = self.view.blocks.get(&id)
        {
            let zone = block.record.zone.clone();
            self.lease_block(id, block.version, zone, &holder, &reason);
        }
    }

    /// Finds the first block for which `better` prefers another controller to its holder.
    /// `better` gets whether the holder and the other controller are in the block's zone,
    /// how much higher the holder's load is, and the block's load.
    fn better_holder(
        &self,
        better: impl Fn(bool, bool, usize, usize) -> bool,
    ) -> Option<(BlockId, String)> {
        let loads = self.loads();
        let load_of = |name: &String| loads.get(name).copied().unwrap_or(0);
        self.view.blocks.iter().find_map(|(id, block)| {
            let holder = &block.record.holder;
            let near = |node: &str| {
                let member = self.view.members.get(node);
                member.is_some_and(|m| m.record.zone == block.record.zone)
            };
            let size = self.view.machine_count(id) + 1;
            let load = load_of(holder);
            let node = self.view.members.keys().find(|node| {
                let gap = load.saturating_sub(load_of(node));
                let us = &self.settings.node;
                let serves =
                    self.reachability
                        .can_serve_zone(self.now, us, node, &block.record.zone);
                serves && *node != holder && better(near(holder), near(node), gap, size)
            })?;
            Some((*id, node.clone()))
        })
    }

    /// Creates a block in a zone, unless one is being created there.
    pub(crate) fn create_block(&mut self, zone: String) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let (pending_writes, blocks) = (&leader.pending_writes, &self.view.blocks);
        leader.blocks_in_creation.retain(|id, _| {
            !blocks.contains_key(id) && pending_writes.contains_key(&LeaderWrite::LeaseBlock(*id))
        });
        if leader.blocks_in_creation.values().any(|z| *z == zone) {
            return;
        }
        let newest = blocks.keys().chain(leader.blocks_in_creation.keys()).max();
        let id = newest.map_or(0, |id| id + 1);
        if let Some(holder) = self.best_holder(&zone, &self.loads(), None)
            && self.lease_block(id, 0, zone.clone(), &holder, &LeaseReason::NewBlock)
            && let Some(leader) = &mut self.leader
        {
            leader.blocks_in_creation.insert(id, zone);
        }
    }

    /// Publishes the admission shares when the planner has new ones.
    fn publish_admission(&mut self) {
        let grows = self.is_fleet_growing();
        let Some(leader) = &mut self.leader else {
            return;
        };
        let all = leader.inventory.usable_capacity();
        let fleet = [all.cpus, all.gpus, all.memory_gb];
        let mut fleet_load =
            FleetLoad::from_view(&self.view, &leader.queue_order, fleet, self.tuning.horizon);
        fleet_load.is_growing = grows;
        #[cfg(feature = "sabotage")]
        {
            leader.share_planner.sabotage = self.sabotage;
        }
        let current = self.view.admission.as_ref();
        let version = current.map_or(0, |r| r.version);
        let current = current.map(|r| (r.version, &r.record));
        let Some(next) = leader
            .share_planner
            .next_record(self.now, current, &fleet_load)
        else {
            return;
        };
        // Programs of an older format level don't know this record.
        if self.level() < FormatLevel::PIPELINES {
            return;
        }
        let Some(leader_cond) = self.leader_cond() else {
            return;
        };
        let key = Key::Admission.path();
        let conds = vec![
            leader_cond,
            Cond {
                key: key.clone(),
                version,
            },
        ];
        let changes = vec![Change::Put {
            key,
            value: to_map(&next),
            lease: None,
        }];
        if self.submit_leader_write(
            LeaderWrite::PublishAdmission,
            Txn { conds, changes },
            Urgency::Safety,
        ) {
            log::info!(
                "admission shares of each of {} controllers: {:?}",
                next.nodes.len(),
                next.flows
            );
        }
    }

    /// Records jobs as done whose last tasks were recorded by controllers that could not
    /// see that they were the last. Users and dependent jobs wait for this record.
    fn compact_complete_jobs(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        for id in std::mem::take(&mut leader.complete_jobs) {
            let job = self.view.jobs.get(&id);
            if !job.is_some_and(Job::is_complete) {
                continue;
            }
            if let Some((conds, changes)) = self.compaction(&id) {
                self.compact(vec![id.clone()], conds, changes, Urgency::Safety);
            }
            // Tried again until the view shows the job as done.
            if let Some(leader) = &mut self.leader {
                leader.complete_jobs.insert(id);
            }
        }
    }

    /// Changes that compact a job that is over: they remove its description and chunks.
    /// None if the job is not over, or if a task of it may still be on a machine.
    fn compaction(&self, id: &JobId) -> Option<(Vec<Cond>, Vec<Change>)> {
        let job = self.view.jobs.get(id)?;
        let complete = job.done >= job.tasks;
        let phase = match job.phase {
            Phase::Open if complete => Phase::Done,
            Phase::Open => return None,
            phase => phase,
        };
        let busy = |part: &u32| self.chunk_writes.contains_key(&(id.clone(), *part));
        if job.assigned_total() > 0 || job.chunks.keys().any(busy) {
            return None;
        }
        let mut conds = vec![Cond {
            key: Key::Job(id.clone()).path(),
            version: job.version,
        }];
        let mut changes = Vec::new();
        if job.spec.is_some() {
            changes.push(self.put_final(id, job, phase));
        }
        let chunks = job.chunks.iter();
        let chunks = chunks.map(|(part, chunk)| (Key::Chunk(id.clone(), *part), chunk.version));
        let pieces = job.spec_overflow.iter();
        let pieces = pieces.map(|(k, piece)| (Key::SpecOverflow(id.clone(), *k), piece.version));
        let most = self.limits().txn_ops;
        for (key, version) in chunks.chain(pieces).take(most - changes.len()) {
            let key = key.path();
            conds.push(Cond {
                key: key.clone(),
                version,
            });
            changes.push(Change::Delete { key });
        }
        Some((conds, changes))
    }

    fn compact(
        &mut self,
        ids: Vec<JobId>,
        mut conds: Vec<Cond>,
        changes: Vec<Change>,
        urgency: Urgency,
    ) {
        if let Some(leader_cond) = self.leader_cond() {
            conds.insert(0, leader_cond);
            self.submit_leader_write(
                LeaderWrite::CompactJobs(ids),
                Txn { conds, changes },
                urgency,
            );
        }
    }

    /// Compacts jobs that are over. Several go into one write, as many jobs may have been
    /// cancelled together.
    fn compact_closed_jobs(&mut self) {
        let Some(leader) = &self.leader else { return };
        let under_way: BTreeSet<&JobId> = leader
            .pending_writes
            .keys()
            .filter_map(|write| match write {
                LeaderWrite::CompactJobs(ids) => Some(ids),
                LeaderWrite::LeaseBlock(_)
                | LeaderWrite::PublishAdmission
                | LeaderWrite::Resign => None,
            })
            .flatten()
            .collect();
        let limits = self.limits();
        let mut batches: Vec<(Vec<JobId>, Vec<Cond>, Vec<Change>)> = Vec::new();
        for id in self.view.active.iter().filter(|id| !under_way.contains(id)) {
            let Some((conds, changes)) = self.compaction(id) else {
                continue;
            };
            let count = batches.len();
            let last = batches.last_mut().filter(|(_, c, ch)| {
                c.len() + conds.len() < limits.txn_conds()
                    && ch.len() + changes.len() <= limits.txn_ops
            });
            match last {
                Some((ids, all_conds, all_changes)) => {
                    ids.push(id.clone());
                    all_conds.extend(conds);
                    all_changes.extend(changes);
                }
                None if count >= MAX_COMPACTION_WRITES => break,
                None => batches.push((vec![id.clone()], conds, changes)),
            }
        }
        for (ids, conds, changes) in batches {
            self.compact(ids, conds, changes, Urgency::Cleanup);
        }
    }
}
