//! What operators say to a controller, as JSON on its internal address.

use serde::{Deserialize, Serialize};

/// How far an upgrade has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpgradeStatus {
    /// The controller that says so, and who leads.
    pub node: String,
    /// Who leads by its view.
    pub leader: Option<String>,
    /// The format of records that this program can write.
    pub program: u32,
    /// The format in which all controllers write now.
    pub format: u32,
    /// All controllers named in the settings.
    pub controllers: Vec<ControllerLevel>,
}

/// What is recorded of a controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerLevel {
    /// Its name.
    pub node: String,
    /// Whether it is up.
    pub up: bool,
    /// The format that it is known to write; none: the format does not change
    /// before it is known.
    pub level: Option<u32>,
    /// An operator has said that it never comes back.
    pub written_off: bool,
}

/// An operator's word that a controller never comes back with an old program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WriteOff {
    /// The controller.
    pub without: String,
}
