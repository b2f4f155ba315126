//! The cloud's API: machine types, and renting, returning and listing machines.

use serde::{Deserialize, Serialize};

use crate::job::Resources;

/// A machine type that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The type's name.
    #[serde(rename = "label")]
    pub name: String,
    /// Number of processors.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Number of accelerators.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Disk space for cached images, in GB.
    #[serde(rename = "local_gb")]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price per hour as an on-demand machine.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Price per hour as a spot machine.
    #[serde(rename = "low_price")]
    pub spot_price: f64,
    /// Usual boot time in seconds.
    #[serde(rename = "ready_s")]
    pub boot_s: f64,
    /// Zones in which the type can be rented.
    #[serde(rename = "sites")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// The resources of a machine of this type.
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }
}

/// The answer that lists all machine types.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All types on offer.
    #[serde(rename = "flavors")]
    pub types: Vec<MachineType>,
}

/// A request to rent machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Identifies the request; a name is never used for another request.
    #[serde(rename = "claim")]
    pub request: String,
    /// The machine type to rent.
    #[serde(rename = "flavor")]
    pub kind: String,
    /// The zone to rent in.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether to rent spot machines instead of on-demand machines.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// Number of machines to rent, at most 50.
    pub count: u32,
}

/// Names of the machines that were rented, or that are to be returned.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The machines' names.
    #[serde(rename = "hosts")]
    pub names: Vec<String>,
}

/// The state of a machine in the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachinePhase {
    /// Rented and charged for, but not up yet.
    Booting,
    /// The machine is up.
    Running,
    /// Stopped without having been returned.
    Failed,
    /// A phase that this program does not know.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine's name.
    #[serde(rename = "uid")]
    pub name: String,
    /// The machine's type.
    #[serde(rename = "flavor")]
    pub kind: String,
    /// The zone it is in.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// Its state in the cloud.
    pub phase: MachinePhase,
    /// Seconds since it was rented.
    pub age_s: f64,
}

/// A page of the cloud's list of machines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines on this page, ordered by name.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether further pages follow.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}
