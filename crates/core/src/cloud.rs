//! Calls to the cloud.

use std::time::Duration;

use oliveshift_wire::{
    cloud::{MachineList, MachineTypes, Machines, Rent},
    decode, encode,
};

use crate::{
    call::{Method, Reply, Target},
    controller::{Controller, Pending},
};

/// When to give a call up.
const TIMEOUT: Duration = Duration::from_secs(3);
/// How often the leader asks for types and prices.
const TYPES_PERIOD: Duration = Duration::from_secs(30);

/// What a call is for.
#[derive(Debug)]
pub(crate) enum CloudCall {
    /// The machine types.
    Types,
    /// A page of the list.
    List,
    /// Renting.
    Rent(Rent),
    /// Returning.
    Return(Vec<String>),
}

impl Controller {
    /// Everybody needs the machine types; only the leader needs prices.
    pub(crate) fn cloud_tick(&mut self) {
        let now = self.now;
        let wanted = self.machine_types.is_empty() || self.leader.is_some();
        if wanted && now >= self.fleet.types_at && self.fleet.budget.take(now, 1.0, 0.0) {
            self.fleet.types_at = now + TIMEOUT;
            self.cloud_call(Method::Get, "/machine_types", Vec::new(), CloudCall::Types);
        }
    }

    pub(crate) fn cloud_call(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        what: CloudCall,
    ) {
        let pending = Pending::Cloud(what);
        self.call(
            Target::Cloud,
            method,
            path.to_owned(),
            body,
            TIMEOUT,
            pending,
        );
    }

    pub(crate) fn cloud_rent(&mut self, rent: Rent) {
        let body = encode(&rent);
        self.cloud_call(Method::Post, "/hosts", body, CloudCall::Rent(rent));
    }

    pub(crate) fn cloud_return(&mut self, names: Vec<String>) {
        let body = encode(&Machines {
            names: names.clone(),
        });
        let what = CloudCall::Return(names);
        self.cloud_call(Method::Post, "/hosts/return", body, what);
    }

    pub(crate) fn cloud_reply(&mut self, what: CloudCall, sent: Duration, reply: &Reply) {
        if matches!(reply, Reply::Answer { status: 429, .. }) {
            self.fleet.budget.empty(self.now);
        }
        match what {
            CloudCall::Types => {
                let retry = Duration::from_millis(self.rng.u64(500..1000));
                self.fleet.types_at = self.now + retry;
                if let Reply::Answer { status: 200, body } = reply
                    && let Ok(types) = decode::<MachineTypes>(body)
                {
                    self.fleet.types_at = self.now + TYPES_PERIOD;
                    if self.machine_types.is_empty() {
                        log::info!("{} machine types known", types.types.len());
                    }
                    let types = types.types.into_iter();
                    self.machine_types = types.map(|t| (t.name.clone(), t)).collect();
                }
            }
            CloudCall::List => {
                let page = match reply {
                    Reply::Answer { status: 200, body } => decode::<MachineList>(body).ok(),
                    _ => None,
                };
                self.list_answered(page, sent);
            }
            CloudCall::Rent(rent) => {
                let names = match reply {
                    Reply::Answer { status: 200, body } => decode::<Machines>(body).ok(),
                    _ => None,
                };
                let refused = matches!(reply, Reply::Answer { status: 503, .. });
                self.rent_answered(rent, names.map(|n| n.names), refused);
            }
            CloudCall::Return(names) => {
                let gone = matches!(reply, Reply::Answer { status: 200, .. });
                self.return_answered(names, gone);
            }
        }
    }
}
