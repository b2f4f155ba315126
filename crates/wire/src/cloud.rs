//! The cloud: machine types, renting, returning, listing.

use serde::{Deserialize, Serialize};

use crate::job::Resources;

/// One machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "label")]
    pub name: String,
    /// Processors.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Accelerators.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Room for cached images.
    #[serde(rename = "local_gb")]
    pub cache_gb: f64,
    /// Rate of image fetches.
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Price an hour as a spot machine.
    #[serde(rename = "low_price")]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(rename = "ready_s")]
    pub boot_s: f64,
    /// Where it can be rented.
    #[serde(rename = "sites")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// What a machine of this type has.
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }
}

/// All machine types.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "flavors")]
    pub types: Vec<MachineType>,
}

/// A wish for machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Names the wish; never used for another one.
    #[serde(rename = "claim")]
    pub request: String,
    /// The machine type.
    #[serde(rename = "flavor")]
    pub kind: String,
    /// The zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// How many, at most 50.
    pub count: u32,
}

/// Names of machines, rented or to be returned.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "hosts")]
    pub names: Vec<String>,
}

/// Where a machine stands with the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachinePhase {
    /// Paid, not up yet.
    Booting,
    /// Up.
    Running,
    /// Stopped on its own.
    Failed,
    /// Something newer.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "uid")]
    pub name: String,
    /// Its type.
    #[serde(rename = "flavor")]
    pub kind: String,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// Where it stands.
    pub phase: MachinePhase,
    /// Age since it was rented.
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines in the order of their names.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are more.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}
