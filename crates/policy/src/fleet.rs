//! Fleet sizing: how many machines of which type to rent for the waiting tasks.

use oliveshift_wire::{cloud::MachineType, job::Resources};

use crate::score::{fits, minus};

/// Tasks for which there is no free capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityRequest {
    /// Resources that each task needs.
    pub need: Resources,
    /// Number of tasks.
    pub tasks: u32,
    /// Whether the tasks may run on spot machines.
    pub spot: bool,
    /// Whether only spot machines may be rented for them for now.
    pub spot_only: bool,
    /// The machine types allowed; none: all.
    pub types: Option<Vec<String>>,
    /// The zones allowed.
    pub zones: Vec<String>,
}

/// A machine type that can be rented in a zone, as a spot or an on-demand machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Offer {
    /// The machine type.
    pub kind: String,
    /// The zone.
    pub zone: String,
    /// Spot or on-demand.
    pub spot: bool,
}

/// How many tasks that each need `need` fit into `free`.
pub fn count_fitting(need: &Resources, free: &Resources) -> u32 {
    let fitting_by = |need: f64, room: f64| {
        if need > 0.0 {
            (room / need + 1e-6).floor().max(0.0)
        } else {
            f64::INFINITY
        }
    };
    let count = fitting_by(need.cpus, free.cpus)
        .min(fitting_by(need.gpus, free.gpus))
        .min(fitting_by(need.memory_gb, free.memory_gb));
    if count >= f64::from(u32::MAX) {
        u32::MAX
    } else {
        count as u32
    }
}

/// Free capacity that requests are allocated on, first come, first served.
///
/// Under heavy load there are thousands of requests and machines, but few distinct ones of
/// either. Whether a request profile may use an offer is therefore computed once, and
/// machines without enough capacity for a profile are not looked at again for it.
#[derive(Clone, Debug, Default)]
pub struct FreeCapacity {
    offers: Vec<Offer>,
    machines: Vec<(usize, Resources)>,
    profiles: Vec<RequestProfile>,
    /// How often a machine was examined.
    #[cfg(test)]
    examined: usize,
}

/// Properties that equivalent requests share.
#[derive(Clone, Debug)]
struct RequestProfile {
    need: Resources,
    spot: bool,
    types: Option<Vec<String>>,
    zones: Vec<String>,
    /// Whether each offer is allowed, for the offers examined so far.
    allowed_offers: Vec<bool>,
    /// Index of the first machine that may have capacity for this profile.
    first_candidate: usize,
}

impl RequestProfile {
    fn matches(&self, request: &CapacityRequest) -> bool {
        self.need == request.need
            && self.spot == request.spot
            && self.types == request.types
            && self.zones == request.zones
    }
}

impl FreeCapacity {
    /// Adds a machine with its free capacity.
    pub fn add_machine(&mut self, kind: &str, zone: &str, spot: bool, free: Resources) {
        let same = |o: &Offer| o.spot == spot && o.zone == zone && o.kind == kind;
        let offer = self.offers.iter().position(same).unwrap_or_else(|| {
            self.offers.push(Offer {
                kind: kind.to_owned(),
                zone: zone.to_owned(),
                spot,
            });
            self.offers.len() - 1
        });
        self.machines.push((offer, free));
    }

    /// Index of a request's profile, which is added if it is new.
    fn profile_index(&mut self, request: &CapacityRequest) -> usize {
        let known = self.profiles.iter().position(|k| k.matches(request));
        let index = known.unwrap_or_else(|| {
            self.profiles.push(RequestProfile {
                need: request.need,
                spot: request.spot,
                types: request.types.clone(),
                zones: request.zones.clone(),
                allowed_offers: Vec::new(),
                first_candidate: 0,
            });
            self.profiles.len() - 1
        });
        let kind = &mut self.profiles[index];
        let new = self.offers.iter().skip(kind.allowed_offers.len());
        kind.allowed_offers
            .extend(new.map(|offer| offer_allowed(request, offer)));
        index
    }

    /// Allocates a request on the free capacity and returns how many of its tasks are left.
    pub fn allocate(&mut self, request: &CapacityRequest) -> u32 {
        let index = self.profile_index(request);
        let kind = &mut self.profiles[index];
        let mut remaining = request.tasks;
        while remaining > 0
            && let Some((offer, free)) = self.machines.get_mut(kind.first_candidate)
        {
            #[cfg(test)]
            {
                self.examined += 1;
            }
            if kind.allowed_offers[*offer] {
                remaining -= place(&request.need, remaining, free);
                if fits(&request.need, free) {
                    break;
                }
            }
            kind.first_candidate += 1;
        }
        remaining
    }
}

/// Allocates `requests`, first come, first served, on the free capacity and returns which
/// machines to rent besides, at most `max_rentals`. `closed` returns whether an offer was refused
/// lately; `load` how much there is in a zone already, so that machines of equal price are
/// spread over the zones.
pub fn machines_to_rent(
    requests: &[CapacityRequest],
    free_capacity: &mut FreeCapacity,
    types: &[MachineType],
    closed: impl Fn(&Offer) -> bool,
    load: impl Fn(&str) -> u32,
    max_rentals: usize,
) -> Vec<Offer> {
    let mut rented = Vec::new();
    // request profiles for which no offer is available.
    let mut unavailable: Vec<(usize, bool)> = Vec::new();
    for request in requests {
        let mut remaining = free_capacity.allocate(request);
        let kind = (free_capacity.profile_index(request), request.spot_only);
        while remaining > 0 && rented.len() < max_rentals && !unavailable.contains(&kind) {
            let Some((offer, total)) = cheapest(request, remaining, types, &closed, &load, &rented)
            else {
                unavailable.push(kind);
                break;
            };
            let mut free = total;
            let placed = place(&request.need, remaining, &mut free);
            if placed == 0 {
                break;
            }
            remaining -= placed;
            free_capacity.add_machine(&offer.kind, &offer.zone, offer.spot, free);
            rented.push(offer);
        }
    }
    rented
}

/// Whether an offer may be used for a request's tasks.
pub fn offer_allowed(request: &CapacityRequest, offer: &Offer) -> bool {
    (request.spot || !offer.spot)
        && request.zones.contains(&offer.zone)
        && request
            .types
            .as_ref()
            .is_none_or(|t| t.contains(&offer.kind))
}

/// Takes capacity for as many of the tasks as fit and returns their number.
fn place(need: &Resources, tasks: u32, free: &mut Resources) -> u32 {
    let mut placed = 0;
    while placed < tasks && fits(need, free) && placed < 10_000 {
        *free = minus(free, need);
        placed += 1;
    }
    placed
}

/// The offer with the lowest price per task, counting only the tasks that it would take; of
/// equal ones, that in the zone with the lowest load.
fn cheapest(
    request: &CapacityRequest,
    remaining: u32,
    types: &[MachineType],
    closed: &impl Fn(&Offer) -> bool,
    load: &impl Fn(&str) -> u32,
    rented: &[Offer],
) -> Option<(Offer, Resources)> {
    let mut best: Option<((f64, u32), Offer, Resources)> = None;
    for kind in types {
        let room = count_fitting(&request.need, &kind.resources()).min(remaining);
        if room == 0 {
            continue;
        }
        for spot in [true, false] {
            for zone in &kind.zones {
                let offer = Offer {
                    kind: kind.name.clone(),
                    zone: zone.clone(),
                    spot,
                };
                if !offer_allowed(request, &offer) || (request.spot_only && !spot) || closed(&offer)
                {
                    continue;
                }
                let price = if spot { kind.spot_price } else { kind.price };
                let chosen = rented.iter().filter(|o| o.zone == offer.zone).count() as u32;
                let rank = (price / f64::from(room), load(zone) + chosen);
                if best.as_ref().is_none_or(|(least, ..)| rank < *least) {
                    best = Some((rank, offer, kind.resources()));
                }
            }
        }
    }
    best.map(|(_, offer, total)| (offer, total))
}

#[cfg(test)]
mod tests;
