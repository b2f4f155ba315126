//! The state service's API: keys, transactions, leases and watches.

use std::io;

use rmpv::Value;
use serde::{Deserialize, Serialize};

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Its value.
    #[serde(rename = "v")]
    pub value: Value,
    /// The revision at which the key last changed.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of a list of keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The keys on this page, in order.
    pub items: Vec<Item>,
    /// Whether further pages follow.
    #[serde(rename = "truncated", default)]
    pub more: bool,
    /// The revision that the page represents.
    #[serde(rename = "generation")]
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cond {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The version that the key has to have; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a key.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        #[serde(rename = "v")]
        value: Value,
        /// The lease with whose end the key is removed.
        #[serde(rename = "grant", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction: the changes are applied only if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// The conditions.
    #[serde(rename = "if", default)]
    pub conds: Vec<Cond>,
    /// The changes.
    #[serde(rename = "then", default)]
    pub changes: Vec<Change>,
}

/// The answer to a transaction.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TxnAnswer {
    /// The revision after the transaction.
    #[serde(rename = "generation")]
    pub revision: u64,
    /// The keys of the conditions that did not hold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// How long the lease lasts without renewal, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// The answer to a request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The id of the lease.
    #[serde(rename = "grant")]
    pub lease: u64,
}

/// A change in the answer to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event {
    /// A key was written.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        #[serde(rename = "v")]
        value: Value,
        /// The revision of the change.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was removed.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
        /// The revision of the change.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// The answer to a watch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Events {
    /// The revision up to which the changes are complete.
    #[serde(rename = "generation")]
    pub revision: u64,
    /// The changes.
    #[serde(rename = "log", default)]
    pub events: Vec<Event>,
}

impl From<Item> for Event {
    fn from(item: Item) -> Self {
        Self::Put {
            key: item.key,
            value: item.value,
            version: item.version,
        }
    }
}

impl Event {
    /// The key that was written or removed.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Delete { key, .. } => key,
        }
    }

    /// The revision of the change.
    pub fn version(&self) -> u64 {
        match self {
            Self::Put { version, .. } | Self::Delete { version, .. } => *version,
        }
    }
}

/// The largest size of a transaction, in bytes of its JSON form.
pub const MAX_TXN_BYTES: usize = 64 * 1024;

/// The size of a value or transaction as the state service's limits count it: the length
/// of its JSON form in bytes. A value without a JSON form counts as larger than any limit.
pub fn json_len<T: Serialize>(value: &T) -> usize {
    struct Count(usize);
    impl io::Write for Count {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0 += bytes.len();
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let mut count = Count(0);
    match serde_json::to_writer(&mut count, value) {
        Ok(()) => count.0,
        Err(_) => usize::MAX,
    }
}
