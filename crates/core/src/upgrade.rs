//! Rolling upgrade from one program version to the next while both run.
//!
//! Old versions can't read the new record formats, and a controller that is down may
//! be restarted with its old version. Every controller therefore records the format
//! level that it can read and write under its own key. A single record, the format
//! record, switches all controllers to the new formats and is never switched back.

use std::time::Duration;

use oliveshift_wire::{
    admin::{ControllerLevel, UpgradeStatus, WriteOff},
    peer::FormatLevelAnswer,
    settings::StateLimits,
    state::{Change, Cond, Event, Txn},
};
use serde::Serialize;

use crate::{
    call::{CompleteBody, ConnId, Method, Output, Reply, Target},
    controller::{Controller, Pending},
    records::{
        ChunkRecord, FormatLevel, FormatRecord, Key, LevelRecord, MachineListRecord, to_map,
    },
    store::{Outcome, Purpose, Urgency},
    verdict::{RefusalStatus, Verdict},
};

/// Delay before a write is repeated, and between two level queries to a peer.
const RETRY_INTERVAL: Duration = Duration::from_millis(1000);
/// Timeout of a level query to a peer.
const LEVEL_QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// Purpose of a write for the upgrade.
#[derive(Debug)]
pub(crate) enum UpgradeWrite {
    /// A controller's level, with the operator's request that waits for the write.
    FormatLevel(String, Option<ConnId>),
    /// The format record, which switches to the level of this program.
    Format,
    /// The record that the lower limits of the state service are in force.
    LoweredLimits,
}

/// Progress of the upgrade.
#[derive(Debug, Default)]
pub(crate) struct Upgrade {
    /// When to write this controller's level, the format record and the lowered limits
    /// record, unless the view shows it by then.
    level_at: Duration,
    format_at: Duration,
    lowered_at: Duration,
    /// When to query the controllers whose level is not known.
    query_at: Duration,
    /// Whether the first write to an empty store is in flight.
    initializing: bool,
    exit_requested: bool,
}

impl Controller {
    /// The format level in which this controller writes records.
    pub fn level(&self) -> FormatLevel {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::EarlyFormatSwitch) {
            return self.supported_level;
        }
        self.view.level().min(self.supported_level)
    }

    /// The limits of the state service that this controller keeps to. From the format
    /// switch on, these are the lowered limits, which may come into force at any moment.
    pub(crate) fn limits(&self) -> &StateLimits {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoLoweredLimits) {
            return &self.settings.deployment.state;
        }
        if self.level() >= FormatLevel::PIPELINES {
            &self.lowered_limits
        } else {
            &self.settings.deployment.state
        }
    }

    pub(crate) fn upgrade_tick(&mut self) {
        if !self.store.ready || self.supported_level < FormatLevel::PIPELINES {
            return;
        }
        let format = self.view.level();
        if format > self.supported_level {
            if !self.upgrade.exit_requested {
                self.upgrade.exit_requested = true;
                self.outputs.push(Output::Exit(format!(
                    "the records have format level {}, but this program supports only up to \
                     level {}: a newer version has to run here",
                    format.0, self.supported_level.0
                )));
            }
            return;
        }
        if format == self.supported_level {
            return self.record_lowered_limits();
        }
        if self.view.is_empty() {
            return self.initialize();
        }
        self.record_own_level();
        if self.leader.is_some() {
            self.switch_format();
            self.query_levels();
        }
    }

    /// Whether the first write to an empty store is in flight: nothing else is written
    /// before it.
    pub(crate) fn is_initializing(&self) -> bool {
        self.upgrade.initializing && self.view.is_empty()
    }

    /// Starts an empty store at the level of this program. The conditions exclude that
    /// a controller of an older version is up, because it would have its `member`
    /// record in the store.
    fn initialize(&mut self) {
        if self.now < self.upgrade.format_at {
            return;
        }
        let members = self.all_nodes().into_iter().map(Key::Member);
        let none = members.chain([Key::Leader, Key::Format]).map(|key| Cond {
            key: key.path(),
            version: 0,
        });
        let conds = none.take(self.limits().txn_conds()).collect();
        self.upgrade.initializing = self.write_format(conds);
    }

    fn write_format(&mut self, conds: Vec<Cond>) -> bool {
        self.upgrade.format_at = self.now + RETRY_INTERVAL;
        let record = FormatRecord {
            level: self.supported_level,
        };
        let txn = put(conds, Key::Format, &record);
        self.send_txn(
            txn,
            Purpose::Upgrade(UpgradeWrite::Format),
            Urgency::Session,
        )
    }

    fn all_nodes(&self) -> Vec<String> {
        let peers = self.settings.peers.iter().map(|p| p.node.clone());
        peers.chain([self.settings.node.clone()]).collect()
    }

    /// Whether a controller is known to support the level of this program: by its level
    /// record, which must be of the running incarnation if the controller is up.
    fn is_level_proven(&self, node: &str) -> bool {
        let Some(proof) = self.view.levels.get(node).map(|l| l.record) else {
            return false;
        };
        let up = self.view.members.get(node);
        proof.level >= self.supported_level
            && up.is_none_or(|m| m.record.incarnation == proof.incarnation)
    }

    fn record_own_level(&mut self) {
        let node = self.settings.node.clone();
        let recorded = self.view.levels.get(&node).map(|l| l.record.incarnation);
        if recorded == Some(self.incarnation) || self.now < self.upgrade.level_at {
            return;
        }
        self.upgrade.level_at = self.now + RETRY_INTERVAL;
        self.write_level(node, self.incarnation, None);
    }

    fn write_level(&mut self, node: String, incarnation: u64, operator: Option<ConnId>) -> bool {
        let key = Key::FormatLevel(node.clone());
        let conds = vec![Cond {
            key: key.path(),
            version: self.view.level_version(&node),
        }];
        let record = LevelRecord {
            level: self.supported_level,
            incarnation,
        };
        let step = UpgradeWrite::FormatLevel(node, operator);
        let txn = put(conds, key, &record);
        self.send_txn(txn, Purpose::Upgrade(step), Urgency::Session)
    }

    /// Writes the format record once all controllers are known to support its level.
    fn switch_format(&mut self) {
        let nodes = self.all_nodes();
        if self.now < self.upgrade.format_at || !nodes.iter().all(|n| self.is_level_proven(n)) {
            return;
        }
        let Some(lead) = self.leader_cond() else {
            return;
        };
        let format = Cond {
            key: Key::Format.path(),
            version: self.view.format.as_ref().map_or(0, |f| f.version),
        };
        let proofs = nodes.into_iter().map(|node| Cond {
            version: self.view.level_version(&node),
            key: Key::FormatLevel(node).path(),
        });
        let conds = [lead, format].into_iter().chain(proofs);
        let conds = conds.take(self.limits().txn_conds()).collect();
        log::info!(
            "all controllers support format level {}: writing the format record",
            self.supported_level.0
        );
        self.write_format(conds);
    }

    /// Queries the controllers whose level is not known: one that can't reach the state
    /// service may still answer a peer.
    fn query_levels(&mut self) {
        if self.now < self.upgrade.query_at {
            return;
        }
        self.upgrade.query_at = self.now + RETRY_INTERVAL;
        let mut nodes = self.all_nodes();
        nodes.retain(|n| *n != self.settings.node && !self.is_level_proven(n));
        for node in nodes {
            let (path, pending) = ("/level".to_owned(), Pending::FormatLevel(node.clone()));
            let to = Target::Peer(node);
            self.call(
                to,
                Method::Get,
                path,
                Vec::new(),
                LEVEL_QUERY_TIMEOUT,
                pending,
            );
        }
    }

    /// Answers a peer's level query.
    pub(crate) fn send_level(&mut self, conn: ConnId) {
        let report = FormatLevelAnswer {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            level: self.supported_level.0,
        };
        // Serializing into memory can't fail.
        let body = borsh::to_vec(&report).unwrap_or_default();
        self.answer(conn, 200, body);
    }

    /// Handles a peer's answer to a level query.
    pub(crate) fn level_answered(&mut self, node: &str, reply: &Reply) {
        let Reply::Answer { status: 200, body } = reply else {
            return;
        };
        let Ok(report) = borsh::from_slice::<FormatLevelAnswer>(body) else {
            return;
        };
        let enough = report.node == *node && report.level >= self.supported_level.0;
        if enough && self.leader.is_some() && !self.is_level_proven(node) {
            log::info!("{node} reports format level {}: recording it", report.level);
            self.write_level(report.node, report.incarnation, None);
        }
    }

    pub(crate) fn upgrade_write_answered(&mut self, step: UpgradeWrite, outcome: Outcome) {
        match step {
            UpgradeWrite::Format => {
                self.upgrade.initializing &= matches!(outcome, Outcome::Done(_));
                if let Outcome::Done(_) = outcome {
                    log::info!(
                        "all write in the form of level {} from now on",
                        self.supported_level.0
                    );
                }
            }
            UpgradeWrite::LoweredLimits | UpgradeWrite::FormatLevel(_, None) => {}
            UpgradeWrite::FormatLevel(node, Some(conn)) => match outcome {
                Outcome::Done(_) => {
                    log::info!("{node} written off: an operator states that it never comes back");
                    self.answer(conn, 200, json(&WriteOff { without: node }));
                }
                Outcome::Conflict(_) => {
                    self.refuse_json(
                        conn,
                        RefusalStatus::Conflict,
                        "the controller has recorded its level itself meanwhile",
                    );
                }
                _ => self.refuse_json(
                    conn,
                    RefusalStatus::Unavailable,
                    "the state service did not answer",
                ),
            },
        }
    }

    /// Handles a write that the state service has refused as too many. If a lower write
    /// rate is announced, it counts as in force from now on.
    pub(crate) fn write_rate_refused(&mut self) {
        let lower = self.lowered_limits.write_rps < self.settings.deployment.state.write_rps;
        if lower && !self.store.lowered_limits_active && self.level() >= FormatLevel::PIPELINES {
            log::info!(
                "the state service refused a write as too many: the lowered limits are in force"
            );
            self.store.lowered_limits_active = true;
            self.update_request_budgets();
        }
    }

    /// Records that the lowered limits are in force, so that all controllers keep to them
    /// at once, including those that start later.
    fn record_lowered_limits(&mut self) {
        if self.view.lowered_limits_version > 0 && !self.store.lowered_limits_active {
            self.store.lowered_limits_active = true;
            self.update_request_budgets();
        }
        let told = !self.store.lowered_limits_active || self.view.lowered_limits_version > 0;
        if told || self.now < self.upgrade.lowered_at {
            return;
        }
        self.upgrade.lowered_at = self.now + RETRY_INTERVAL;
        let conds = vec![Cond {
            key: Key::LoweredLimits.path(),
            version: 0,
        }];
        let record = FormatRecord {
            level: self.supported_level,
        };
        let txn = put(conds, Key::LoweredLimits, &record);
        self.send_txn(
            txn,
            Purpose::Upgrade(UpgradeWrite::LoweredLimits),
            Urgency::Safety,
        );
    }

    /// Answers an operator's request for the state of the upgrade.
    pub(crate) fn upgrade_status(&mut self, conn: ConnId) {
        let controllers = self.all_nodes().into_iter().map(|node| {
            let proof = self.view.levels.get(&node).map(|l| l.record);
            let proof = proof.filter(|_| self.is_level_proven(&node));
            let switched = self.view.level() >= self.supported_level;
            ControllerLevel {
                up: self.view.members.contains_key(&node),
                level: proof
                    .map(|p| p.level.0)
                    .or(switched.then_some(self.supported_level.0)),
                written_off: proof.is_some_and(|p| p.incarnation == 0),
                node,
            }
        });
        let status = UpgradeStatus {
            node: self.settings.node.clone(),
            leader: self.view.leader.as_ref().map(|l| l.record.node.clone()),
            program: self.supported_level.0,
            format: self.view.level().0,
            controllers: controllers.collect(),
        };
        if self.in_contact() {
            self.answer(conn, 200, json(&status));
        } else {
            self.refuse_json(
                conn,
                RefusalStatus::Unavailable,
                "the state service cannot be reached",
            );
        }
    }

    /// Handles an operator's statement that a controller never comes back with an old
    /// version.
    pub(crate) fn write_off(&mut self, conn: ConnId, body: &CompleteBody) {
        let request: WriteOff = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(e) => {
                let verdict = Verdict::malformed(body, e.to_string());
                return self.answer_json_error(conn, verdict.status(), verdict.reason());
            }
        };
        let node = request.without;
        if !self.in_contact() {
            self.refuse_json(
                conn,
                RefusalStatus::Unavailable,
                "the state service cannot be reached",
            );
        } else if !self.all_nodes().contains(&node) {
            let verdict = Verdict::unknown_controller(body);
            self.answer_json_error(conn, verdict.status(), verdict.reason());
        } else if self.view.members.contains_key(&node) {
            self.refuse_json(conn, RefusalStatus::Conflict, "the controller is up");
        } else if self.is_level_proven(&node) || self.view.level() >= self.supported_level {
            self.answer(conn, 200, json(&WriteOff { without: node }));
        } else if !self.write_level(node, 0, Some(conn)) {
            self.refuse_json(
                conn,
                RefusalStatus::Unavailable,
                "too many requests at once",
            );
        }
    }

    fn refuse_json(&mut self, conn: ConnId, status: RefusalStatus, error: &str) {
        self.answer_json_error(conn, status.code(), error);
    }

    fn answer_json_error(&mut self, conn: ConnId, status: u16, error: &str) {
        let error = error.to_owned();
        let body = json(&oliveshift_wire::job::Refusal { error });
        self.answer(conn, status, body);
    }
}

/// Whether a program of this level can read a change: the first level knows neither the
/// newer keys nor the newer formats. This program has the newest level, except in tests
/// that simulate an older version.
pub(crate) fn can_read(program: FormatLevel, event: &Event) -> bool {
    if program >= FormatLevel::PIPELINES {
        return true;
    }
    let value = match event {
        Event::Put { value, .. } => Some(value.clone()),
        Event::Delete { .. } => None,
    };
    match Key::parse(event.key()) {
        Some(
            Key::SpecOverflow(..)
            | Key::Format
            | Key::FormatLevel(_)
            | Key::LoweredLimits
            | Key::Admission,
        ) => false,
        Some(Key::Machines(_, piece)) => {
            let list = value.and_then(MachineListRecord::from_value);
            piece == 0 && !matches!(list, Some(MachineListRecord::Grouped(_)))
        }
        Some(Key::Job(_)) => !value.is_some_and(|v| v.is_map()),
        Some(Key::Chunk(..)) => {
            let chunk = value.and_then(ChunkRecord::from_value);
            !matches!(chunk, Some(ChunkRecord::Symbols(_)))
        }
        _ => true,
    }
}

fn put<T: Serialize>(conds: Vec<Cond>, key: Key, record: &T) -> Txn {
    let put = Change::Put {
        key: key.path(),
        value: to_map(record),
        lease: None,
    };
    Txn {
        conds,
        changes: vec![put],
    }
}

/// Serializes an answer as JSON. The types used here can't fail to serialize.
fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
