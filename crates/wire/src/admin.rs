//! The operators' API, as JSON on a controller's internal address.

use serde::{Deserialize, Serialize};

/// The progress of an upgrade.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpgradeStatus {
    /// The controller that answers.
    pub node: String,
    /// The leader as this controller knows it; `None` if it knows none.
    pub leader: Option<String>,
    /// The highest format level of records that this program supports.
    pub program: u32,
    /// The format level in which all controllers write records now.
    pub format: u32,
    /// All controllers named in the settings, with their format levels.
    pub controllers: Vec<ControllerLevel>,
}

/// The recorded state of a controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerLevel {
    /// The controller's name.
    pub node: String,
    /// Whether the controller is up.
    pub up: bool,
    /// The format level that it is known to support. While it is `None`, the
    /// format level of records does not change.
    pub level: Option<u32>,
    /// Whether an operator has stated that it never comes back.
    pub written_off: bool,
}

/// An operator's statement that a controller never comes back with an old
/// program, so that an upgrade no longer waits for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WriteOff {
    /// The controller that is written off.
    pub without: String,
}
