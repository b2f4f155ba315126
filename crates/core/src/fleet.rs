//! The fleet follows the queue: the leader rents what waiting work needs and
//! returns what stands idle, fails, never boots or is gone.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use oliveshift_policy::{
    fleet::{Offer, Stock, Want, suits, to_rent},
    score::fits,
};
use oliveshift_wire::{
    JobId,
    cloud::{Listed, MachineList, MachinePhase, Rent},
    job::JobSpec,
    settings::Settings,
};

use crate::{
    budget::Budget, call::Method, cloud::CloudCall, controller::Controller, inventory::MachineView,
};

/// How often the leader reads the cloud's list.
const LIST_PERIOD: Duration = Duration::from_secs(2);
/// How long an offer that was refused is left alone.
const CLOSED: Duration = Duration::from_secs(15);
/// Most machines that one list call returns.
const PAGE: usize = 500;
/// A machine that takes this many times the usual boot time is given up.
const BOOT_PATIENCE: f64 = 3.5;
/// For how long a job's size says something about the next ones.
const RECENT: Duration = Duration::from_secs(300);
/// Within this time, at most one in so many machines is returned before its
/// lease is over.
const EARLY_SPAN: Duration = Duration::from_secs(60);
const EARLY_SHARE: usize = 8;
/// What the slower ones of the usual boots take, in usual boot times.
const SLOW_BOOT: f64 = 1.5;
/// It grows as long as one in so many machines is on its way.
const GROWS: usize = 50;
/// How often the fleet is summed up in the log.
const SAY_PERIOD: Duration = Duration::from_secs(5);
/// How often the leader looks for machines to return.
const RETURNS_PERIOD: Duration = Duration::from_millis(250);
/// Of the idle machines, one in so many is returned at a time.
const IDLE_SHARE: usize = 8;
/// Most machines in one call to return.
const RETURN_MOST: usize = 50;

/// The leader's dealings with the cloud.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub budget: Budget,
    pub types_at: Duration,
    list_at: Duration,
    listing: bool,
    page: Vec<Listed>,
    /// The list as last read whole, and when its reading began.
    list: BTreeMap<String, Listed>,
    list_age: Option<Duration>,
    /// Rented by us and not seen in the list yet.
    fresh: BTreeMap<String, (Offer, Duration)>,
    /// Rentals under way or without answer.
    asked: BTreeMap<String, (Offer, u32, Duration)>,
    /// Offers that were refused, and when to ask again.
    closed: BTreeMap<Offer, Duration>,
    claims: u64,
    wants: Vec<Want>,
    /// Jobs of late.
    noted: BTreeMap<JobId, (Duration, Rc<JobSpec>)>,
    wanting_since: Option<Duration>,
    /// Machines to be returned, and whether a call is under way.
    leaving: BTreeMap<String, bool>,
    /// When machines were returned before their lease was over.
    early: Vec<Duration>,
    /// Returned for sure, and when: their records go next. The lagging list
    /// shows them for a while longer.
    pub returned_machines: BTreeMap<String, Duration>,
    lag: Duration,
    rent_at: Duration,
    returns_at: Duration,
    said_at: Duration,
}

impl Fleet {
    pub fn new(settings: &Settings) -> Self {
        let nodes = settings.peers_and_me() as f64;
        // Followers call once in a while, so the leader may have most of it.
        let share = if nodes > 1.0 { 0.7 } else { 0.95 };
        let limits = &settings.params.cloud;
        Self {
            budget: Budget::new(limits.rps * share, 1.0),
            types_at: Duration::ZERO,
            list_at: Duration::ZERO,
            listing: false,
            page: Vec::new(),
            list: BTreeMap::new(),
            list_age: None,
            fresh: BTreeMap::new(),
            asked: BTreeMap::new(),
            closed: BTreeMap::new(),
            claims: 0,
            wants: Vec::new(),
            returns_at: Duration::ZERO,
            said_at: Duration::ZERO,
            noted: BTreeMap::new(),
            wanting_since: None,
            leaving: BTreeMap::new(),
            early: Vec::new(),
            returned_machines: BTreeMap::new(),
            lag: Duration::from_secs_f64(limits.list_lag_s),
            rent_at: Duration::ZERO,
        }
    }

    /// Remembers what size the jobs of each class have.
    pub fn record_job(&mut self, now: Duration, id: &JobId, spec: &Rc<JobSpec>) {
        if self.noted.contains_key(id) {
            return;
        }
        self.noted.retain(|_, (at, _)| now < *at + RECENT);
        self.noted.insert(id.clone(), (now, spec.clone()));
    }

    /// Whether a machine is on its way back to the cloud.
    pub fn is_returning(&self, name: &str) -> bool {
        self.leaving.contains_key(name) || self.returned_machines.contains_key(name)
    }

    /// Takes the plan's wants.
    pub fn set_capacity_requests(&mut self, now: Duration, wants: Vec<Want>) {
        if wants.is_empty() {
            self.wanting_since = None;
        } else if self.wanting_since.is_none() {
            self.wanting_since = Some(now);
        }
        self.wants = wants;
    }
}

impl Controller {
    pub(crate) fn fleet_tick(&mut self) {
        self.read_list();
        self.rent();
        self.choose_returns();
        self.send_returns();
        if self.now >= self.fleet.said_at + SAY_PERIOD {
            self.fleet.said_at = self.now;
            self.say_fleet();
        }
        let (now, machines) = (self.now, &self.view.machines);
        let shown = self.fleet.lag * 4 + LIST_PERIOD * 3;
        self.fleet
            .returned_machines
            .retain(|name, at| machines.contains_key(name) || now < *at + shown);
    }

    /// Sums up the fleet for the log.
    fn say_fleet(&self) {
        let mut kinds: BTreeMap<(&str, bool), [f64; 6]> = BTreeMap::new();
        for room in self.leader.iter().flat_map(|l| &l.inventory.list) {
            let sums = kinds.entry((&room.kind, room.spot)).or_default();
            let services = room.service_share * room.candidate.total.cpus;
            sums[0] += 1.0;
            sums[1] += room.candidate.total.cpus;
            sums[2] += room.candidate.total.cpus - room.free.cpus;
            sums[3] += services;
            sums[4] += f64::from(room.idle_since.is_some());
            sums[5] += f64::from(!room.usable);
        }
        for ((kind, spot), [machines, total, used, services, idle, unusable]) in kinds {
            let spot = if spot { "spot" } else { "ordinary" };
            log::debug!(
                "fleet: {kind} {spot}: {machines} machines, {total} processors, {used} in use, \
                 {services} by services; {idle} idle, {unusable} not usable"
            );
        }
        let coming = self.coming().len();
        let wants: u32 = self.fleet.wants.iter().map(|w| w.tasks).sum();
        log::debug!("fleet: {coming} coming, {wants} tasks without room");
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
        self.fleet.list_at = now + LIST_PERIOD;
        self.fleet.page.clear();
        self.list_from("");
    }

    fn list_from(&mut self, after: &str) {
        let path = if after.is_empty() {
            format!("/hosts?most={PAGE}")
        } else {
            format!("/hosts?after={after}&most={PAGE}")
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
        self.fleet.list_age = Some(sent);
        let (now, lag) = (self.now, self.fleet.lag);
        let list = &self.fleet.list;
        // Machines that we rented are listed sooner or later, unless they are
        // gone already.
        self.fleet
            .fresh
            .retain(|name, (_, at)| !list.contains_key(name) && now < *at + lag * 3);
    }

    /// What is rented and not up yet.
    fn coming(&self) -> Vec<Offer> {
        let mut coming = Vec::new();
        let mut add = |offer: Offer, count: u32| {
            if self.machine_types.contains_key(&offer.kind) {
                coming.extend((0..count).map(|_| offer.clone()));
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
        for (name, (offer, _)) in &self.fleet.fresh {
            let known = self.fleet.list.contains_key(name)
                || self.view.machines.contains_key(name)
                || self.fleet.is_returning(name);
            if !known {
                add(offer.clone(), 1);
            }
        }
        for (offer, count, _) in self.fleet.asked.values() {
            add(offer.clone(), *count);
        }
        coming
    }

    /// Whether a good part of the fleet is on its way: it is not yet what it
    /// can be.
    pub(crate) fn is_fleet_growing(&self) -> bool {
        self.coming().len() > self.view.machines.len() / GROWS
    }

    /// How long a task takes to start on a machine rented for it, if nothing
    /// goes wrong: it boots and fetches the image.
    fn fresh_start_s(&self, spec: &JobSpec) -> f64 {
        self.shortest_boot_s() * SLOW_BOOT + self.image_fetch_s(spec)
    }

    /// How long the fetch of a job's image takes where that is fastest.
    pub(crate) fn image_fetch_s(&self, spec: &JobSpec) -> f64 {
        let rate = self.machine_types.values().map(|t| t.fetch_gb_per_s);
        spec.image_gb / rate.fold(f64::MIN_POSITIVE, f64::max)
    }

    /// How long work that may use spot machines waits for them before it gets
    /// ordinary ones: less where an aim says how soon it has to start.
    pub(crate) fn max_spot_wait_s(&self, spec: &JobSpec) -> f64 {
        let aims = self.settings.params.aims_of(&spec.class);
        let waits = aims.filter(|a| a.kind == "wait");
        let within = waits.filter_map(|a| a.within_s).reduce(f64::min);
        let most = self.tuning.max_spot_wait_boots * self.shortest_boot_s();
        match within {
            Some(within) => (within - self.fresh_start_s(spec)).clamp(0.0, most),
            None => most,
        }
    }

    /// Room to be kept free: for classes that have to start sooner than any
    /// machine rented for them could serve them, a job of the size that covers
    /// the aim's share of them. Only spot room is kept so: ordinary room is made by preemption, and a
    /// reserve of it would be paid for at all hours.
    fn reserve(&self) -> Vec<Want> {
        let zones = &self.settings.params.zones;
        let mut wants = Vec::new();
        for aim in &self.settings.params.objectives {
            let within = aim.within_s.filter(|_| aim.kind == "wait");
            let (Some(class), Some(within)) = (&aim.class, within) else {
                continue;
            };
            let noted = self.fleet.noted.values().map(|(_, spec)| spec);
            let mut jobs: Vec<_> = noted.filter(|s| s.class == *class).collect();
            jobs.sort_by_key(|s| s.tasks);
            let share = aim.share.unwrap_or(1.0).clamp(0.0, 1.0);
            let at = (share * jobs.len() as f64).ceil() as usize;
            let Some(spec) = jobs.get(at.saturating_sub(1)).filter(|s| s.spot) else {
                continue;
            };
            if within >= self.fresh_start_s(spec) {
                continue;
            }
            wants.push(Want {
                need: spec.amounts(),
                tasks: spec.tasks,
                spot: spec.spot,
                spot_only: spec.spot,
                types: spec.types.clone(),
                zones: zones.clone(),
            });
        }
        wants
    }

    /// Whether some work without room could use the machine if it were empty.
    fn is_wanted(&self, room: &MachineView) -> bool {
        let offer = room.offer();
        let total = &room.candidate.total;
        let mut wants = self.fleet.wants.iter();
        wants.any(|w| w.tasks > 0 && fits(&w.need, total) && suits(w, &offer))
    }

    fn usable_rooms(&self) -> impl Iterator<Item = &MachineView> {
        let rooms = self.leader.iter().flat_map(|l| &l.inventory.list);
        rooms.filter(|r| r.usable && !r.closed)
    }

    /// Whether the reserve has room without one machine.
    fn spares(&self, without: &[String], reserve: &[Want]) -> bool {
        if reserve.is_empty() {
            return true;
        }
        let mut stock = Stock::default();
        for room in self.usable_rooms().filter(|r| !without.contains(&r.name)) {
            room.add_free_to(&mut stock, false);
        }
        reserve.iter().all(|want| stock.count_on(want) == 0)
    }

    /// How long a machine may stand idle: an ordinary one costs more.
    fn idle_limit(&self, spot: bool) -> Duration {
        if spot {
            self.tuning.spot_idle_timeout
        } else {
            self.tuning.on_demand_idle_timeout
        }
    }

    /// The usual boot time of the type that is up soonest.
    pub(crate) fn shortest_boot_s(&self) -> f64 {
        let boot = self.machine_types.values().map(|t| t.boot_s);
        boot.fold(f64::INFINITY, f64::min)
    }

    fn boot_s(&self, kind: &str) -> f64 {
        self.machine_types.get(kind).map_or(60.0, |k| k.boot_s)
    }

    /// All room that work may be counted on.
    fn stock(&self, rented: &[Offer], with_freed_soon: bool) -> Stock {
        let mut stock = Stock::default();
        for room in self.usable_rooms() {
            room.add_free_to(&mut stock, with_freed_soon);
        }
        for offer in rented {
            self.add_whole(&mut stock, offer);
        }
        stock
    }

    /// A machine that is not up yet.
    fn add_whole(&self, stock: &mut Stock, offer: &Offer) {
        if let Some(kind) = self.machine_types.get(&offer.kind) {
            stock.add(&offer.kind, &offer.zone, offer.spot, kind.amounts());
        }
    }

    /// Rents what the waiting work needs beyond what is coming.
    fn rent(&mut self) {
        let now = self.now;
        self.fleet.closed.retain(|_, at| *at > now);
        let patience = Duration::from_secs(20);
        self.fleet.asked.retain(|_, (.., at)| now < *at + patience);
        // Without a list, machines that are coming would be rented twice.
        let fresh_list = self
            .fleet
            .list_age
            .is_some_and(|at| now < at + LIST_PERIOD * 4);
        let waiting = self
            .fleet
            .wanting_since
            .is_some_and(|at| now > at + Duration::from_millis(600));
        let waiting = waiting || self.fleet.wanting_since.is_none();
        if !fresh_list || !waiting || now < self.fleet.rent_at || !self.fleet.asked.is_empty() {
            return;
        }
        self.fleet.rent_at = now + Duration::from_millis(500);
        let rented = self.coming();
        let mut stock = self.stock(&rented, true);
        let types: Vec<_> = self.machine_types.values().cloned().collect();
        let closed = |offer: &Offer| self.fleet.closed.contains_key(offer);
        let mut loads: BTreeMap<&str, u32> = BTreeMap::new();
        for machine in self.view.machines.values() {
            *loads.entry(&machine.zone).or_default() += 1;
        }
        let load = |zone: &str| loads.get(zone).copied().unwrap_or(0);
        let wants = std::mem::take(&mut self.fleet.wants);
        let most = self.tuning.max_rent_batch;
        let mut offers = to_rent(&wants, &mut stock, &types, closed, load, most);
        let reserve = self.reserve();
        if !reserve.is_empty() {
            let mut stock = self.stock(&rented, false);
            for offer in &offers {
                self.add_whole(&mut stock, offer);
            }
            for want in &wants {
                stock.count_on(want);
            }
            let most = most.saturating_sub(offers.len());
            offers.extend(to_rent(&reserve, &mut stock, &types, closed, load, most));
        }
        self.fleet.wants = wants;
        let mut counts: BTreeMap<Offer, u32> = BTreeMap::new();
        for offer in offers {
            *counts.entry(offer).or_default() += 1;
        }
        for (offer, count) in counts {
            if !self.fleet.budget.take(now, 1.0, 0.0) {
                return;
            }
            self.fleet.claims += 1;
            // The incarnation makes the name one that nobody ever used.
            let request = format!(
                "{}-{}-{}",
                self.settings.node, self.incarnation, self.fleet.claims
            );
            log::info!(
                "renting {count} {} in {} ({})",
                offer.kind,
                offer.zone,
                if offer.spot { "spot" } else { "ordinary" }
            );
            let rent = Rent {
                request: request.clone(),
                kind: offer.kind.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                count: count.min(50),
            };
            self.fleet.asked.insert(request, (offer, count, now));
            self.cloud_rent(rent);
        }
    }

    pub(crate) fn rent_answered(&mut self, rent: Rent, names: Option<Vec<String>>, refused: bool) {
        let now = self.now;
        let Some((offer, ..)) = self.fleet.asked.get(&rent.request).cloned() else {
            return;
        };
        match names {
            Some(names) => {
                self.fleet.asked.remove(&rent.request);
                if (names.len() as u32) < rent.count {
                    self.fleet.closed.insert(offer.clone(), now + CLOSED);
                }
                for name in names {
                    self.fleet.fresh.insert(name, (offer.clone(), now));
                }
            }
            None if refused => {
                self.fleet.asked.remove(&rent.request);
                self.fleet.closed.insert(offer, now + CLOSED);
            }
            // No answer: the same request again gets the same machines.
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
        self.fleet.leaving.insert(name.to_owned(), false);
        self.draining.insert(name.to_owned());
        self.drain_changed(name);
    }

    /// Decides which machines go back.
    fn choose_returns(&mut self) {
        let now = self.now;
        let Some(list_age) = self.fleet.list_age.filter(|_| now >= self.fleet.returns_at) else {
            return;
        };
        self.fleet.returns_at = now + RETURNS_PERIOD;
        let mut returns: Vec<(String, &str)> = Vec::new();
        for (name, machine) in &self.fleet.list {
            let registered = self.view.machines.contains_key(name);
            let boot = self.boot_s(&machine.kind);
            match machine.phase {
                MachinePhase::Failed => returns.push((name.clone(), "it has failed")),
                _ if registered => {}
                MachinePhase::Booting if machine.age_s > boot * BOOT_PATIENCE => {
                    returns.push((name.clone(), "it does not come up"));
                }
                _ if machine.age_s > boot * BOOT_PATIENCE + 60.0 => {
                    returns.push((name.clone(), "it never reports"));
                }
                _ => {}
            }
        }
        let mut idle = Vec::new();
        let mut early = Vec::new();
        for room in self.leader.iter().flat_map(|l| &l.inventory.list) {
            let name = &room.name;
            if !room.fresh {
                continue;
            }
            let silent = room
                .silent_since
                .map_or(Duration::ZERO, |at| now.saturating_sub(at));
            let lost = self.settings.lease_limit() + Duration::from_secs(2);
            // A list begun after the machine fell silent, lag included, that
            // does not have it: it is gone, and returning it proves that.
            let unlisted = !self.fleet.list.contains_key(name)
                && !self.fleet.fresh.contains_key(name)
                && silent > self.silence_limit()
                && now.saturating_sub(silent) + self.fleet.lag * 2 < list_age;
            if self.fleet.is_returning(name) {
                continue;
            }
            if silent > lost {
                returns.push((name.clone(), "it is silent"));
            } else if silent > self.early_return_limit()
                && !room.tasks.is_empty()
                // A cut, which may end.
                && !self.reachability.is_reported_unheard(room.block)
                // It came to somebody else: the tasks on it live.
                && !self.reported_to_non_holder(name)
            {
                early.push(name.clone());
            } else if unlisted {
                returns.push((name.clone(), "it is gone"));
            } else if room.faulty {
                returns.push((name.clone(), "its tasks fail"));
            } else if let Some(since) = room.idle_since
                && now.saturating_sub(since) > self.idle_limit(room.spot)
                && room.usable
                && !self.is_wanted(room)
            {
                idle.push((now.saturating_sub(since), name.clone()));
            }
        }
        // Once a machine is back with the cloud, its tasks can start elsewhere
        // without waiting for its lease to run out. Only for a few at a time:
        // when many fall silent, it is a cut that may end, and a zone must not
        // be given away for it.
        self.fleet.early.retain(|at| now < *at + EARLY_SPAN);
        let quota = (self.view.machines.len() / EARLY_SHARE).max(2);
        if early.len() + self.fleet.early.len() <= quota {
            self.fleet.early.extend(early.iter().map(|_| now));
            let early = early.into_iter();
            returns.extend(early.map(|name| (name, "it is silent, and its tasks wait")));
        }
        for (name, why) in returns {
            self.return_machine(&name, why);
        }
        // The longest idle first, and few at a time, as the others may be
        // needed the more for it.
        idle.sort();
        let reserve = self.reserve();
        let unplaced = self.unplaced_tasks();
        let most = idle.len() / IDLE_SHARE + 1;
        let mut spare: Vec<String> = Vec::new();
        for (_, name) in idle.into_iter().rev() {
            if spare.len() >= most {
                break;
            }
            let room = self.leader.as_ref().and_then(|l| l.inventory.get(&name));
            if room.is_some_and(|room| unplaced.may_be_on(room)) {
                continue;
            }
            spare.push(name);
            if !self.spares(&spare, &reserve) {
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
            .leaving
            .iter()
            .filter(|(_, sent)| !**sent)
            .map(|(name, _)| name.clone())
            .take(RETURN_MOST)
            .collect();
        if names.is_empty() || !self.fleet.budget.take(now, 1.0, 0.0) {
            return;
        }
        for name in &names {
            self.fleet.leaving.insert(name.clone(), true);
        }
        self.cloud_return(names);
    }

    pub(crate) fn return_answered(&mut self, names: Vec<String>, gone: bool) {
        let now = self.now;
        for name in names {
            if gone {
                self.fleet.leaving.remove(&name);
                self.fleet.list.remove(&name);
                self.fleet.fresh.remove(&name);
                self.draining.remove(&name);
                self.drain_changed(&name);
                self.fleet.returned_machines.insert(name, now);
            } else if let Some(sent) = self.fleet.leaving.get_mut(&name) {
                *sent = false;
            }
        }
    }
}

fn offer_of(machine: &Listed) -> Offer {
    Offer {
        kind: machine.kind.clone(),
        zone: machine.zone.clone(),
        spot: machine.spot,
    }
}
