//! Simulated cloud.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_core::{Call, Method};
use oliveshift_wire::{
    cloud::{
        ListedMachine, MachineList, MachineNames, MachinePhase, MachineType, MachineTypes,
        RentRequest,
    },
    decode, encode,
    job::Refusal,
};

/// A rented machine, or one that was rented before.
#[derive(Clone, Debug)]
pub struct RentedMachine {
    /// Name of the machine type.
    pub kind: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine; otherwise it is on-demand.
    pub spot: bool,
    /// Time of the rental.
    pub rented_at: Duration,
    /// Time at which it is running; `None` if it never boots.
    pub running_at: Option<Duration>,
    /// Time at which it was returned or lost.
    pub gone_at: Option<Duration>,
}

/// State of the cloud: machines and machine types.
pub struct Cloud {
    /// Machine types that can be rented.
    pub types: Vec<MachineType>,
    /// Machines by name.
    pub machines: BTreeMap<String, RentedMachine>,
    claims: BTreeMap<String, Vec<String>>,
    next: u64,
    /// Maximum number of machines for each machine type, zone, and spot or on-demand.
    pub capacity: usize,
    /// Lag of the machine list behind the real state.
    pub list_lag: Duration,
    rng: fastrand::Rng,
    /// Draws nothing at random: all machines boot in the same time, and the list has a
    /// constant lag.
    pub deterministic: bool,
    /// Machines rented now boot within two seconds.
    pub fast_boot: bool,
}

/// Boot time of machines in a deterministic cloud.
const DETERMINISTIC_BOOT_TIME: Duration = Duration::from_secs(12);

impl Cloud {
    /// Creates a cloud with one small and one large machine type in the given zones.
    pub fn new(zones: &[String], seed: u64) -> Self {
        let kind = |name: &str, cpus: f64, price: f64| MachineType {
            name: name.into(),
            cpus,
            gpus: 0.0,
            memory_gb: cpus * 4.0,
            cache_gb: 12.0,
            fetch_gb_per_s: 0.5,
            price,
            spot_price: price / 3.0,
            boot_s: 10.0,
            zones: zones.to_vec(),
        };
        Self {
            types: vec![kind("small", 4.0, 0.3), kind("large", 16.0, 1.1)],
            machines: BTreeMap::new(),
            claims: BTreeMap::new(),
            next: 0,
            capacity: 4,
            list_lag: Duration::from_secs(3),
            rng: fastrand::Rng::with_seed(seed),
            deterministic: false,
            fast_boot: false,
        }
    }

    /// Adds a machine that is running at once, without a rental request.
    pub fn add_running(&mut self, now: Duration, kind: &str, zone: &str, spot: bool) -> String {
        let up = Some(now);
        self.add(now, kind, zone, spot, up)
    }

    fn add(
        &mut self,
        now: Duration,
        kind: &str,
        zone: &str,
        spot: bool,
        up: Option<Duration>,
    ) -> String {
        let name = format!("vm-{:06}", self.next);
        self.next += 1;
        let machine = RentedMachine {
            kind: kind.into(),
            zone: zone.into(),
            spot,
            rented_at: now,
            running_at: up,
            gone_at: None,
        };
        self.machines.insert(name.clone(), machine);
        name
    }

    /// Executes a request. Returns status, body, and the names of machines that it returns
    /// to the cloud.
    pub fn execute(&mut self, now: Duration, call: &Call) -> (u16, Vec<u8>, Vec<String>) {
        let path = call.path.split('?').next().unwrap_or_default();
        match (call.method, path) {
            (Method::Get, "/machine_types") => {
                let types = self.types.clone();
                (200, encode(&MachineTypes { types }), Vec::new())
            }
            (Method::Post, "/hosts") => match decode::<RentRequest>(&call.body) {
                Ok(rent) => self.rent(now, rent),
                Err(_) => (400, Vec::new(), Vec::new()),
            },
            (Method::Post, "/hosts/return") => match decode::<MachineNames>(&call.body) {
                Ok(machines) => {
                    for name in &machines.names {
                        if let Some(m) = self.machines.get_mut(name) {
                            m.gone_at.get_or_insert(now);
                        }
                    }
                    (200, encode(&MachineNames::default()), machines.names)
                }
                Err(_) => (400, Vec::new(), Vec::new()),
            },
            (Method::Get, "/hosts") => (200, encode(&self.list(now)), Vec::new()),
            _ => (404, Vec::new(), Vec::new()),
        }
    }

    fn rent(&mut self, now: Duration, rent: RentRequest) -> (u16, Vec<u8>, Vec<String>) {
        if let Some(names) = self.claims.get(&rent.request) {
            let names = names.clone();
            return (200, encode(&MachineNames { names }), Vec::new());
        }
        let same = |m: &&RentedMachine| {
            m.gone_at.is_none() && (&m.kind, &m.zone, m.spot) == (&rent.kind, &rent.zone, rent.spot)
        };
        let used = self.machines.values().filter(same).count();
        let count = (rent.count as usize).min(self.capacity.saturating_sub(used));
        if count == 0 {
            let error = "no capacity".into();
            return (503, encode(&Refusal { error }), Vec::new());
        }
        let mut names = Vec::new();
        for _ in 0..count {
            let boot = Duration::from_millis(self.rng.u64(2000..25_000));
            let up = (self.rng.f64() > 0.1).then_some(now + boot);
            let up = if self.deterministic {
                Some(now + DETERMINISTIC_BOOT_TIME)
            } else {
                up
            };
            let up = if self.fast_boot {
                Some(now + boot / 13)
            } else {
                up
            };
            names.push(self.add(now, &rent.kind, &rent.zone, rent.spot, up));
        }
        self.claims.insert(rent.request, names.clone());
        (200, encode(&MachineNames { names }), Vec::new())
    }

    fn list(&mut self, now: Duration) -> MachineList {
        // Drawn between zero and twice the lag, so that a list may be older than the
        // previous one.
        let lag = match self.deterministic {
            true => self.list_lag,
            false => self.list_lag.mul_f64(self.rng.f64() * 2.0),
        };
        let at = now.saturating_sub(lag);
        let shown =
            |m: &&RentedMachine| m.rented_at <= at && m.gone_at.is_none_or(|gone| gone > at);
        let machines = self.machines.iter().filter(|(_, m)| shown(m));
        let machines = machines.map(|(name, m)| ListedMachine {
            name: name.clone(),
            kind: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            phase: match m.running_at {
                Some(up) if up <= at => MachinePhase::Running,
                _ => MachinePhase::Booting,
            },
            age_s: at.saturating_sub(m.rented_at).as_secs_f64(),
        });
        MachineList {
            machines: machines.collect(),
            more: false,
        }
    }
}
