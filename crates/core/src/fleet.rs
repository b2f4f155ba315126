//! Fleet scaling: the leader rents machines for waiting work and returns those that
//! are idle, have failed, never boot or are gone.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use oliveshift_policy::{
    fleet::{CapacityRequest, FreeCapacity, Offer, machines_to_rent, offer_allowed},
    score::fits,
};
use oliveshift_wire::{
    JobId,
    cloud::{ListedMachine, MachineList, MachinePhase, RentRequest},
    job::JobSpec,
    settings::Settings,
};

use crate::{
    budget::Budget, call::Method, cloud::CloudCall, controller::Controller, inventory::MachineView,
};

/// Interval at which the leader reads the cloud's machine list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// How long an offer is not rented again after the cloud has refused it.
const REFUSED_OFFER_BACKOFF: Duration = Duration::from_secs(15);
/// Maximum number of machines in one page of the list.
const LIST_PAGE_SIZE: usize = 500;
/// A machine that takes longer than this many usual boot times to boot is returned.
const BOOT_TIMEOUT_FACTOR: f64 = 3.5;
/// How long a job's size is used to predict the size of the next jobs of its class.
const RECENT_JOB_TTL: Duration = Duration::from_secs(300);
/// Within this interval, at most two machines, or one in this many if that is more, are
/// returned before their lease has expired.
const EARLY_RETURN_INTERVAL: Duration = Duration::from_secs(60);
const MACHINES_PER_EARLY_RETURN: usize = 8;
/// Boot time of slow but normal boots, in usual boot times.
const SLOW_BOOT_FACTOR: f64 = 1.5;
/// The fleet counts as growing while more than its size divided by this is booting.
const GROWING_FLEET_DIVISOR: usize = 50;
/// Interval at which a summary of the fleet is logged.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which the leader looks for machines to return.
const RETURNS_INTERVAL: Duration = Duration::from_millis(250);
/// One in this many idle machines is returned at a time, at least one.
const IDLE_MACHINES_PER_RETURN: usize = 8;
/// Maximum number of machines in one return call.
const MAX_RETURNS_PER_CALL: usize = 50;

/// State of the calls to the cloud, and the machines as the cloud lists them.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// Budget of requests to the cloud.
    pub budget: Budget,
    /// When to read the machine types next.
    pub types_at: Duration,
    /// When to read the machine list next, and whether a read is in flight.
    list_at: Duration,
    listing: bool,
    /// The pages of the list that have been read so far.
    page: Vec<ListedMachine>,
    /// The last complete machine list, and when the last of its pages was requested.
    list: BTreeMap<String, ListedMachine>,
    list_requested_at: Option<Duration>,
    /// Machines rented by this controller that are not in the list yet.
    unlisted: BTreeMap<String, (Offer, Duration)>,
    /// Rent requests that are in flight or got no answer.
    pending_rentals: BTreeMap<String, (Offer, u32, Duration)>,
    /// Offers that the cloud has refused, and when to try them again.
    refused_offers: BTreeMap<Offer, Duration>,
    /// Number of rent requests sent by this incarnation.
    rent_requests: u64,
    /// Waiting work without capacity.
    capacity_requests: Vec<CapacityRequest>,
    /// Recent jobs and when they were first seen.
    recent_jobs: BTreeMap<JobId, (Duration, Rc<JobSpec>)>,
    /// Since when there has been waiting work without capacity.
    capacity_requested_since: Option<Duration>,
    /// Machines to be returned, and whether the call has been sent.
    pending_returns: BTreeMap<String, bool>,
    /// Times at which machines were returned before their lease had expired.
    early_returns: Vec<Duration>,
    /// Machines whose return the cloud has confirmed, and when; their records are
    /// deleted next. The list, which lags, shows them for a while longer.
    pub returned_machines: BTreeMap<String, Duration>,
    /// How far the cloud's list lags behind.
    lag: Duration,
    rent_at: Duration,
    returns_at: Duration,
    logged_at: Duration,
}

impl Fleet {
    pub fn new(settings: &Settings) -> Self {
        let nodes = settings.controller_count() as f64;
        // Followers call the cloud rarely, so the leader may use most of the limit.
        let share = if nodes > 1.0 { 0.7 } else { 0.95 };
        let limits = &settings.deployment.cloud;
        Self {
            budget: Budget::new(limits.rps * share, 1.0),
            types_at: Duration::ZERO,
            list_at: Duration::ZERO,
            listing: false,
            page: Vec::new(),
            list: BTreeMap::new(),
            list_requested_at: None,
            unlisted: BTreeMap::new(),
            pending_rentals: BTreeMap::new(),
            refused_offers: BTreeMap::new(),
            rent_requests: 0,
            capacity_requests: Vec::new(),
            returns_at: Duration::ZERO,
            logged_at: Duration::ZERO,
            recent_jobs: BTreeMap::new(),
            capacity_requested_since: None,
            pending_returns: BTreeMap::new(),
            early_returns: Vec::new(),
            returned_machines: BTreeMap::new(),
            lag: Duration::from_secs_f64(limits.list_lag_s),
            rent_at: Duration::ZERO,
        }
    }

    /// Records a job, to predict the size of the next jobs of its class.
    pub fn record_job(&mut self, now: Duration, id: &JobId, spec: &Rc<JobSpec>) {
        if self.recent_jobs.contains_key(id) {
            return;
        }
        self.recent_jobs
            .retain(|_, (at, _)| now < *at + RECENT_JOB_TTL);
        self.recent_jobs.insert(id.clone(), (now, spec.clone()));
    }

    /// Whether a machine is being returned or has been returned.
    pub fn is_returning(&self, name: &str) -> bool {
        self.pending_returns.contains_key(name) || self.returned_machines.contains_key(name)
    }

    /// Takes the capacity requests of the last plan.
    pub fn set_capacity_requests(
        &mut self,
        now: Duration,
        capacity_requests: Vec<CapacityRequest>,
    ) {
        if capacity_requests.is_empty() {
            self.capacity_requested_since = None;
        } else if self.capacity_requested_since.is_none() {
            self.capacity_requested_since = Some(now);
        }
        self.capacity_requests = capacity_requests;
    }
}

impl Controller {
    pub(crate) fn fleet_tick(&mut self) {
        self.read_list();
        self.rent();
        self.choose_returns();
        self.send_returns();
        if self.now >= self.fleet.logged_at + SUMMARY_INTERVAL {
            self.fleet.logged_at = self.now;
            self.log_fleet();
        }
        let (now, machines) = (self.now, &self.view.machines);
        let shown = self.fleet.lag * 4 + LIST_INTERVAL * 3;
        self.fleet
            .returned_machines
            .retain(|name, at| machines.contains_key(name) || now < *at + shown);
    }

    /// Logs a summary of the fleet.
    fn log_fleet(&self) {
        let mut kinds: BTreeMap<(&str, bool), [f64; 6]> = BTreeMap::new();
        for machine in self.leader.iter().flat_map(|l| &l.inventory.list) {
            let sums = kinds.entry((&machine.kind, machine.spot)).or_default();
            let services = machine.service_share * machine.candidate.total.cpus;
            sums[0] += 1.0;
            sums[1] += machine.candidate.total.cpus;
            sums[2] += machine.candidate.total.cpus - machine.free.cpus;
            sums[3] += services;
            sums[4] += f64::from(machine.idle_since.is_some());
            sums[5] += f64::from(!machine.usable);
        }
        for ((kind, spot), [machines, total, used, services, idle, unusable]) in kinds {
            let spot = if spot { "spot" } else { "ordinary" };
            log::debug!(
                "fleet: {kind} {spot}: {machines} machines, {total} processors, {used} in use, \
                 {services} by services; {idle} idle, {unusable} not usable"
            );
        }
        let rented = self.rented_offers().len();
        let tasks: u32 = self.fleet.capacity_requests.iter().map(|w| w.tasks).sum();
        log::debug!(
            "fleet: {rented} machines rented and not up yet, {tasks} tasks without capacity"
        );
    }

    fn read_list(&mut self) {
        let now = self.now;
        if self.fleet.listing || now < self.fleet.list_at {
            return;
        }
        if !self.fleet.budget.take(now, 1.0, 0.0) {
            return;
        }
        self.fleet.listing = true;
        self.fleet.list_at = now + LIST_INTERVAL;
        self.fleet.page.clear();
        self.list_from("");
    }

    fn list_from(&mut self, after: &str) {
        let path = if after.is_empty() {
            format!("/hosts?most={LIST_PAGE_SIZE}")
        } else {
            format!("/hosts?after={after}&most={LIST_PAGE_SIZE}")
        };
        self.cloud_call(Method::Get, &path, Vec::new(), CloudCall::List);
    }

    pub(crate) fn list_answered(&mut self, page: Option<MachineList>, sent: Duration) {
        self.fleet.listing = false;
        let Some(page) = page else { return };
        let more = page.more;
        self.fleet.page.extend(page.machines);
        if more && let Some(last) = self.fleet.page.last().map(|m| m.name.clone()) {
            self.fleet.listing = true;
            self.fleet.budget.charge(self.now, 1.0);
            self.list_from(&last);
            return;
        }
        let machines = std::mem::take(&mut self.fleet.page).into_iter();
        self.fleet.list = machines.map(|m| (m.name.clone(), m)).collect();
        self.fleet.list_requested_at = Some(sent);
        let (now, lag) = (self.now, self.fleet.lag);
        let list = &self.fleet.list;
        // Rented machines appear in the list after its lag, unless they are gone
        // already.
        self.fleet
            .unlisted
            .retain(|name, (_, at)| !list.contains_key(name) && now < *at + lag * 3);
    }

    /// Offers that are rented or requested and whose machines are not up yet.
    fn rented_offers(&self) -> Vec<Offer> {
        let mut rented = Vec::new();
        let mut add = |offer: Offer, count: u32| {
            if self.machine_types.contains_key(&offer.kind) {
                rented.extend((0..count).map(|_| offer.clone()));
            }
        };
        for (name, machine) in &self.fleet.list {
            let up = self.view.machines.contains_key(name) || self.fleet.is_returning(name);
            let late = machine.age_s > 2.0 * self.boot_s(&machine.kind) + 10.0;
            let failed = machine.phase == MachinePhase::Failed;
            if !up && !late && !failed {
                add(offer_of(machine), 1);
            }
        }
        for (name, (offer, _)) in &self.fleet.unlisted {
            let known = self.fleet.list.contains_key(name)
                || self.view.machines.contains_key(name)
                || self.fleet.is_returning(name);
            if !known {
                add(offer.clone(), 1);
            }
        }
        for (offer, count, _) in self.fleet.pending_rentals.values() {
            add(offer.clone(), *count);
        }
        rented
    }

    /// Whether enough machines are still booting that the fleet counts as growing.
    pub(crate) fn is_fleet_growing(&self) -> bool {
        self.rented_offers().len() > self.view.machines.len() / GROWING_FLEET_DIVISOR
    }

    /// Time until a task starts on a machine that is rented for it, if nothing fails:
    /// a slow boot and the fetch of the image.
    fn fresh_start_s(&self, spec: &JobSpec) -> f64 {
        self.shortest_boot_s() * SLOW_BOOT_FACTOR + self.image_fetch_s(spec)
    }

    /// Fetch time of a job's image on the machine type that fetches fastest.
    pub(crate) fn image_fetch_s(&self, spec: &JobSpec) -> f64 {
        let rate = self.machine_types.values().map(|t| t.fetch_gb_per_s);
        spec.image_gb / rate.fold(f64::MIN_POSITIVE, f64::max)
    }

    /// How long work that may use spot machines waits for them before on-demand machines
    /// are rented for it: less if an aim limits the wait.
    pub(crate) fn max_spot_wait_s(&self, spec: &JobSpec) -> f64 {
        let aims = self.settings.deployment.objectives_of(&spec.class);
        let waits = aims.filter(|a| a.kind == "wait");
        let within = waits.filter_map(|a| a.within_s).reduce(f64::min);
        let most = self.tuning.max_spot_wait_boots * self.shortest_boot_s();
        match within {
            Some(within) => (within - self.fresh_start_s(spec)).clamp(0.0, most),
            None => most,
        }
    }

    /// Capacity to be kept free. A class whose wait limit is shorter than the start on a
    /// newly rented machine gets a reserve for one job, of the size that covers the
    /// fraction of its jobs that the aim names. Only spot capacity is reserved:
    /// on-demand capacity is freed by preemption, and a reserve of it would cost money
    /// all the time.
    fn reserve(&self) -> Vec<CapacityRequest> {
        let zones = &self.settings.deployment.zones;
        let mut capacity_requests = Vec::new();
        for aim in &self.settings.deployment.objectives {
            let within = aim.within_s.filter(|_| aim.kind == "wait");
            let (Some(class), Some(within)) = (&aim.class, within) else {
                continue;
            };
            let recent_jobs = self.fleet.recent_jobs.values().map(|(_, spec)| spec);
            let mut jobs: Vec<_> = recent_jobs.filter(|s| s.class == *class).collect();
            jobs.sort_by_key(|s| s.tasks);
            let share = aim.share.unwrap_or(1.0).clamp(0.0, 1.0);
            let at = (share * jobs.len() as f64).ceil() as usize;
            let Some(spec) = jobs.get(at.saturating_sub(1)).filter(|s| s.spot) else {
                continue;
            };
            if within >= self.fresh_start_s(spec) {
                continue;
            }
            capacity_requests.push(CapacityRequest {
                need: spec.resources(),
                tasks: spec.tasks,
                spot: spec.spot,
                spot_only: spec.spot,
                types: spec.types.clone(),
                zones: zones.clone(),
            });
        }
        capacity_requests
    }

    /// Whether waiting work without capacity could use the machine if it were empty.
    fn is_wanted(&self, machine: &MachineView) -> bool {
        let offer = machine.offer();
        let total = &machine.candidate.total;
        let mut capacity_requests = self.fleet.capacity_requests.iter();
        capacity_requests.any(|w| w.tasks > 0 && fits(&w.need, total) && offer_allowed(w, &offer))
    }

    fn usable_machines(&self) -> impl Iterator<Item = &MachineView> {
        let rooms = self.leader.iter().flat_map(|l| &l.inventory.list);
        rooms.filter(|r| r.usable && !r.closed)
    }

    /// Whether the reserve still fits without these machines.
    fn reserve_fits_without(&self, without: &[String], reserve: &[CapacityRequest]) -> bool {
        if reserve.is_empty() {
            return true;
        }
        let mut stock = FreeCapacity::default();
        for machine in self
            .usable_machines()
            .filter(|r| !without.contains(&r.name))
        {
            machine.add_free_to(&mut stock, false);
        }
        reserve.iter().all(|request| stock.allocate(request) == 0)
    }

    /// How long a machine may be idle. On-demand machines cost more than spot machines.
    fn idle_limit(&self, spot: bool) -> Duration {
        if spot {
            self.tuning.spot_idle_timeout
        } else {
            self.tuning.on_demand_idle_timeout
        }
    }

    /// The shortest usual boot time of all machine types.
    pub(crate) fn shortest_boot_s(&self) -> f64 {
        let boot = self.machine_types.values().map(|t| t.boot_s);
        boot.fold(f64::INFINITY, f64::min)
    }

    fn boot_s(&self, kind: &str) -> f64 {
        self.machine_types.get(kind).map_or(60.0, |k| k.boot_s)
    }

    /// Free capacity of the usable machines and the machines that are rented.
    fn stock(&self, rented: &[Offer], with_freed_soon: bool) -> FreeCapacity {
        let mut stock = FreeCapacity::default();
        for machine in self.usable_machines() {
            machine.add_free_to(&mut stock, with_freed_soon);
        }
        for offer in rented {
            self.add_whole(&mut stock, offer);
        }
        stock
    }

    /// Adds the whole capacity of a machine that is not up yet.
    fn add_whole(&self, stock: &mut FreeCapacity, offer: &Offer) {
        if let Some(kind) = self.machine_types.get(&offer.kind) {
            stock.add_machine(&offer.kind, &offer.zone, offer.spot, kind.resources());
        }
    }

    /// Rents what the waiting work and the reserve need beyond the machines that are
    /// rented already.
    fn rent(&mut self) {
        let now = self.now;
        self.fleet.refused_offers.retain(|_, at| *at > now);
        let rent_timeout = Duration::from_secs(20);
        self.fleet
            .pending_rentals
            .retain(|_, (.., at)| now < *at + rent_timeout);
        // Without a recent list, machines that are booting would be rented twice.
        let has_recent_list = self
            .fleet
            .list_requested_at
            .is_some_and(|at| now < at + LIST_INTERVAL * 4);
        let waiting = self
            .fleet
            .capacity_requested_since
            .is_some_and(|at| now > at + Duration::from_millis(600));
        let waiting = waiting || self.fleet.capacity_requested_since.is_none();
        if !has_recent_list
            || !waiting
            || now < self.fleet.rent_at
            || !self.fleet.pending_rentals.is_empty()
        {
            return;
        }
        self.fleet.rent_at = now + Duration::from_millis(500);
        let rented = self.rented_offers();
        let mut stock = self.stock(&rented, true);
        let types: Vec<_> = self.machine_types.values().cloned().collect();
        let is_refused = |offer: &Offer| self.fleet.refused_offers.contains_key(offer);
        let mut loads: BTreeMap<&str, u32> = BTreeMap::new();
        for machine in self.view.machines.values() {
            *loads.entry(&machine.zone).or_default() += 1;
        }
        let load = |zone: &str| loads.get(zone).copied().unwrap_or(0);
        let capacity_requests = std::mem::take(&mut self.fleet.capacity_requests);
        let most = self.tuning.max_rent_batch;
        let mut offers = machines_to_rent(
            &capacity_requests,
            &mut stock,
            &types,
            is_refused,
            load,
            most,
        );
        let reserve = self.reserve();
        if !reserve.is_empty() {
            let mut stock = self.stock(&rented, false);
            for offer in &offers {
                self.add_whole(&mut stock, offer);
            }
            for request in &capacity_requests {
                stock.allocate(request);
            }
            let most = most.saturating_sub(offers.len());
            offers.extend(machines_to_rent(
                &reserve, &mut stock, &types, is_refused, load, most,
            ));
        }
        self.fleet.capacity_requests = capacity_requests;
        let mut counts: BTreeMap<Offer, u32> = BTreeMap::new();
        for offer in offers {
            *counts.entry(offer).or_default() += 1;
        }
        for (offer, count) in counts {
            if !self.fleet.budget.take(now, 1.0, 0.0) {
                return;
            }
            self.fleet.rent_requests += 1;
            // The incarnation makes the request id unique across restarts.
            let request = format!(
                "{}-{}-{}",
                self.settings.node, self.incarnation, self.fleet.rent_requests
            );
            log::info!(
                "renting {count} {} in {} ({})",
                offer.kind,
                offer.zone,
                if offer.spot { "spot" } else { "on-demand" }
            );
            let rent = RentRequest {
                request: request.clone(),
                kind: offer.kind.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                count: count.min(50),
            };
            self.fleet
                .pending_rentals
                .insert(request, (offer, count, now));
            self.cloud_rent(rent);
        }
    }

    pub(crate) fn rent_answered(
        &mut self,
        rent: RentRequest,
        names: Option<Vec<String>>,
        refused: bool,
    ) {
        let now = self.now;
        let Some((offer, ..)) = self.fleet.pending_rentals.get(&rent.request).cloned() else {
            return;
        };
        match names {
            Some(names) => {
                self.fleet.pending_rentals.remove(&rent.request);
                if (names.len() as u32) < rent.count {
                    self.fleet
                        .refused_offers
                        .insert(offer.clone(), now + REFUSED_OFFER_BACKOFF);
                }
                for name in names {
                    self.fleet.unlisted.insert(name, (offer.clone(), now));
                }
            }
            None if refused => {
                self.fleet.pending_rentals.remove(&rent.request);
                self.fleet
                    .refused_offers
                    .insert(offer, now + REFUSED_OFFER_BACKOFF);
            }
            // No answer: repeating the request with the same id gets the same machines.
            None => {
                if self.fleet.budget.take(now, 1.0, 0.0) {
                    self.cloud_rent(rent);
                }
            }
        }
    }

    fn return_machine(&mut self, name: &str, why: &str) {
        if self.fleet.is_returning(name) {
            return;
        }
        log::info!("{name}: returned: {why}");
        self.fleet.pending_returns.insert(name.to_owned(), false);
        self.draining.insert(name.to_owned());
        self.drain_changed(name);
    }

    /// Chooses the machines to return.
    fn choose_returns(&mut self) {
        let now = self.now;
        let Some(list_requested_at) = self
            .fleet
            .list_requested_at
            .filter(|_| now >= self.fleet.returns_at)
        else {
            return;
        };
        self.fleet.returns_at = now + RETURNS_INTERVAL;
        let mut returns: Vec<(String, &str)> = Vec::new();
        for (name, machine) in &self.fleet.list {
            let registered = self.view.machines.contains_key(name);
            let boot = self.boot_s(&machine.kind);
            match machine.phase {
                MachinePhase::Failed => {
                    returns.push((name.clone(), "the cloud lists it as failed"))
                }
                _ if registered => {}
                MachinePhase::Booting if machine.age_s > boot * BOOT_TIMEOUT_FACTOR => {
                    returns.push((name.clone(), "it did not boot in time"));
                }
                _ if machine.age_s > boot * BOOT_TIMEOUT_FACTOR + 60.0 => {
                    returns.push((name.clone(), "its worker has not reported in time"));
                }
                _ => {}
            }
        }
        let mut idle = Vec::new();
        let mut early = Vec::new();
        for machine in self.leader.iter().flat_map(|l| &l.inventory.list) {
            let name = &machine.name;
            if !machine.fresh {
                continue;
            }
            let silent = machine
                .silent_since
                .map_or(Duration::ZERO, |at| now.saturating_sub(at));
            let lost_after = self.settings.lease_limit() + Duration::from_secs(2);
            // A machine that is silent and missing from a list that was read later than
            // the silence began, by more than the lag, is gone. Returning it proves that.
            let unlisted = !self.fleet.list.contains_key(name)
                && !self.fleet.unlisted.contains_key(name)
                && silent > self.silence_limit()
                && now.saturating_sub(silent) + self.fleet.lag * 2 < list_requested_at;
            if self.fleet.is_returning(name) {
                continue;
            }
            if silent > lost_after {
                returns.push((name.clone(), "it has been silent longer than its lease"));
            } else if silent > self.early_return_limit()
                && !machine.tasks.is_empty()
                // A controller hears none of the block's workers: a network cut, which may end.
                && !self.reachability.is_reported_unheard(machine.block)
                // The machine reported to other controllers, so its tasks are alive.
                && !self.reported_to_non_holder(name)
            {
                early.push(name.clone());
            } else if unlisted {
                returns.push((
                    name.clone(),
                    "it is silent and no longer in the cloud's list",
                ));
            } else if machine.faulty {
                returns.push((name.clone(), "its tasks fail repeatedly"));
            } else if let Some(since) = machine.idle_since
                && now.saturating_sub(since) > self.idle_limit(machine.spot)
                && machine.usable
                && !self.is_wanted(machine)
            {
                idle.push((now.saturating_sub(since), name.clone()));
            }
        }
        // Once a machine is returned, its tasks can start elsewhere without waiting for
        // its lease to expire. Only a few machines are returned early: when many fall
        // silent, the network is probably cut, which may end, and a whole zone must not
        // be returned for it.
        self.fleet
            .early_returns
            .retain(|at| now < *at + EARLY_RETURN_INTERVAL);
        let quota = (self.view.machines.len() / MACHINES_PER_EARLY_RETURN).max(2);
        if early.len() + self.fleet.early_returns.len() <= quota {
            self.fleet.early_returns.extend(early.iter().map(|_| now));
            let early = early.into_iter();
            returns.extend(early.map(|name| {
                (
                    name,
                    "it is silent and its tasks wait for its lease to expire",
                )
            }));
        }
        for (name, why) in returns {
            self.return_machine(&name, why);
        }
        // The longest idle machines first, and only a few at a time, because the others
        // may be needed once these are returned.
        idle.sort();
        let reserve = self.reserve();
        let unplaced = self.unplaced_tasks();
        let most = idle.len() / IDLE_MACHINES_PER_RETURN + 1;
        let mut spare: Vec<String> = Vec::new();
        for (_, name) in idle.into_iter().rev() {
            if spare.len() >= most {
                break;
            }
            let machine = self.leader.as_ref().and_then(|l| l.inventory.get(&name));
            if machine.is_some_and(|machine| unplaced.may_be_on(machine)) {
                continue;
            }
            spare.push(name);
            if !self.reserve_fits_without(&spare, &reserve) {
                spare.pop();
                break;
            }
        }
        for name in spare {
            self.return_machine(&name, "it is idle");
        }
    }

    fn send_returns(&mut self) {
        let now = self.now;
        let names: Vec<_> = self
            .fleet
            .pending_returns
            .iter()
            .filter(|(_, sent)| !**sent)
            .map(|(name, _)| name.clone())
            .take(MAX_RETURNS_PER_CALL)
            .collect();
        if names.is_empty() || !self.fleet.budget.take(now, 1.0, 0.0) {
            return;
        }
        for name in &names {
            self.fleet.pending_returns.insert(name.clone(), true);
        }
        self.cloud_return(names);
    }

    pub(crate) fn return_answered(&mut self, names: Vec<String>, gone: bool) {
        let now = self.now;
        for name in names {
            if gone {
                self.fleet.pending_returns.remove(&name);
                self.fleet.list.remove(&name);
                self.fleet.unlisted.remove(&name);
                self.draining.remove(&name);
                self.drain_changed(&name);
                self.fleet.returned_machines.insert(name, now);
            } else if let Some(sent) = self.fleet.pending_returns.get_mut(&name) {
                *sent = false;
            }
        }
    }
}

fn offer_of(machine: &ListedMachine) -> Offer {
    Offer {
        kind: machine.kind.clone(),
        zone: machine.zone.clone(),
        spot: machine.spot,
    }
}
