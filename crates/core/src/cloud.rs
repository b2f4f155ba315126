//! Calls to the cloud.

use std::time::Duration;

use oliveshift_wire::{
    cloud::{MachineList, MachineNames, MachineTypes, RentRequest},
    decode, encode,
};

use crate::{
    call::{Method, Reply, Target},
    controller::{Controller, Pending},
};

/// Timeout of a call to the cloud.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which the leader reads machine types and prices.
const TYPES_INTERVAL: Duration = Duration::from_secs(30);

/// Purpose of a call to the cloud.
#[derive(Debug)]
pub(crate) enum CloudCall {
    /// Read the machine types.
    Types,
    /// Read a page of the machine list.
    List,
    /// Rent machines.
    Rent(RentRequest),
    /// Return machines, by name.
    Return(Vec<String>),
}

impl Controller {
    /// Reads the machine types when due: every controller needs the types once, only
    /// the leader needs current prices.
    pub(crate) fn cloud_tick(&mut self) {
        let now = self.now;
        let wanted = self.machine_types.is_empty() || self.leader.is_some();
        if wanted && now >= self.fleet.types_at && self.fleet.budget.take(now, 1.0, 0.0) {
            self.fleet.types_at = now + CALL_TIMEOUT;
            self.cloud_call(Method::Get, "/machine_types", Vec::new(), CloudCall::Types);
        }
    }

    pub(crate) fn cloud_call(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        purpose: CloudCall,
    ) {
        let pending = Pending::Cloud(purpose);
        self.call(
            Target::Cloud,
            method,
            path.to_owned(),
            body,
            CALL_TIMEOUT,
            pending,
        );
    }

    pub(crate) fn cloud_rent(&mut self, rent: RentRequest) {
        let body = encode(&rent);
        self.cloud_call(Method::Post, "/hosts", body, CloudCall::Rent(rent));
    }

    pub(crate) fn cloud_return(&mut self, names: Vec<String>) {
        let body = encode(&MachineNames {
            names: names.clone(),
        });
        let purpose = CloudCall::Return(names);
        self.cloud_call(Method::Post, "/hosts/return", body, purpose);
    }

    pub(crate) fn cloud_reply(&mut self, purpose: CloudCall, sent: Duration, reply: &Reply) {
        if matches!(reply, Reply::Answer { status: 429, .. }) {
            self.fleet.budget.empty(self.now);
        }
        match purpose {
            CloudCall::Types => {
                let retry = Duration::from_millis(self.rng.u64(500..1000));
                self.fleet.types_at = self.now + retry;
                if let Reply::Answer { status: 200, body } = reply
                    && let Ok(types) = decode::<MachineTypes>(body)
                {
                    self.fleet.types_at = self.now + TYPES_INTERVAL;
                    if self.machine_types.is_empty() {
                        log::info!("read {} machine types from the cloud", types.types.len());
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
                    Reply::Answer { status: 200, body } => decode::<MachineNames>(body).ok(),
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
