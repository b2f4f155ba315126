//! Replacing one version of the program by the next while both serve.
//!
//! Old programs can't read new forms, and one that is dead comes back old. So
//! every controller records what it is able to read and write under a key of
//! its own, and a single record says from when on all of them write the new
//! forms. That record never changes back.

use std::time::Duration;

use oliveshift_wire::{
    admin::{ControllerLevel, UpgradeStatus, WriteOff},
    peer::LevelWord,
    settings::StateLimits,
    state::{Change, Cond, Event, Txn},
};
use serde::Serialize;

use crate::{
    call::{ConnId, Method, Output, Reply, Target},
    controller::{Controller, Pending},
    records::{
        ChunkRecord, FormatLevel, FormatRecord, Key, LevelRecord, MachineListRecord, to_map,
    },
    store::{Outcome, Purpose, Urgency},
};

/// How long to wait after a write that did not succeed, and between two
/// questions to a peer.
const RETRY_INTERVAL: Duration = Duration::from_millis(1000);
/// When to give a question to a peer up.
const LEVEL_QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// What a write of this part is for.
#[derive(Debug)]
pub(crate) enum UpgradeWrite {
    /// A controller's level; with the operator who waits for it.
    FormatLevel(String, Option<ConnId>),
    /// The switch to our level.
    Format,
    /// The lower limits hold.
    LoweredLimits,
}

/// Where the upgrade stands.
#[derive(Debug, Default)]
pub(crate) struct Upgrade {
    /// When to write our level, the switch and that limits are lower, unless
    /// the view shows it by then.
    level_at: Duration,
    format_at: Duration,
    lowered_at: Duration,
    /// When to ask those whose level is not known.
    ask_at: Duration,
    /// The first write to an empty store is under way.
    initializing: bool,
    ended: bool,
}

impl Controller {
    /// The form in which we write.
    pub fn level(&self) -> FormatLevel {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::EarlyFormatSwitch) {
            return self.supported_level;
        }
        self.view.level().min(self.supported_level)
    }

    /// The sizes that we keep to: from the switch on those to come, as they
    /// may hold at any moment.
    pub(crate) fn limits(&self) -> &StateLimits {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoLoweredLimits) {
            return &self.settings.params.state;
        }
        if self.level() >= FormatLevel::PIPELINES {
            &self.lowered_limits
        } else {
            &self.settings.params.state
        }
    }

    pub(crate) fn upgrade_tick(&mut self) {
        if !self.store.ready || self.supported_level < FormatLevel::PIPELINES {
            return;
        }
        let format = self.view.level();
        if format > self.supported_level {
            if !self.upgrade.ended {
                self.upgrade.ended = true;
                self.outputs.push(Output::Exit(format!(
                    "the records are of level {}, this program reads up to level {}: \
                     a newer one has to run here",
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
            self.ask_levels();
        }
    }

    /// Whether the first write to an empty store is awaited: nothing else is
    /// written before.
    pub(crate) fn is_initializing(&self) -> bool {
        self.upgrade.initializing && self.view.is_empty()
    }

    /// An empty store begins at our level. An old program that is up has its
    /// `member` record there.
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

    /// Whether a controller is proven to be of our level: by its record, and
    /// if it is up, by one of the process that is.
    fn is_proven(&self, node: &str) -> bool {
        let Some(proof) = self.view.levels.get(node).map(|l| l.record) else {
            return false;
        };
        let up = self.view.members.get(node);
        proof.level >= self.supported_level
            && up.is_none_or(|m| m.record.incarnation == proof.incarnation)
    }

    fn record_own_level(&mut self) {
        let node = self.settings.node.clone();
        let ours = self.view.levels.get(&node).map(|l| l.record.incarnation);
        if ours == Some(self.incarnation) || self.now < self.upgrade.level_at {
            return;
        }
        self.upgrade.level_at = self.now + RETRY_INTERVAL;
        self.write_level(node, self.incarnation, None);
    }

    fn write_level(&mut self, node: String, incarnation: u64, asker: Option<ConnId>) -> bool {
        let key = Key::FormatLevel(node.clone());
        let conds = vec![Cond {
            key: key.path(),
            version: self.view.level_version(&node),
        }];
        let record = LevelRecord {
            level: self.supported_level,
            incarnation,
        };
        let step = UpgradeWrite::FormatLevel(node, asker);
        let txn = put(conds, key, &record);
        self.send_txn(txn, Purpose::Upgrade(step), Urgency::Session)
    }

    /// Writes the switch once all controllers are proven to be of our level.
    fn switch_format(&mut self) {
        let nodes = self.all_nodes();
        if self.now < self.upgrade.format_at || !nodes.iter().all(|n| self.is_proven(n)) {
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
        log::info!("all controllers are of level {}", self.supported_level.0);
        self.write_format(conds);
    }

    /// Asks the controllers that have not shown their level: one that can't
    /// reach the state service may still be reached by us.
    fn ask_levels(&mut self) {
        if self.now < self.upgrade.ask_at {
            return;
        }
        self.upgrade.ask_at = self.now + RETRY_INTERVAL;
        let mut nodes = self.all_nodes();
        nodes.retain(|n| *n != self.settings.node && !self.is_proven(n));
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

    /// A peer asks for our level.
    pub(crate) fn send_level(&mut self, conn: ConnId) {
        let word = LevelWord {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            level: self.supported_level.0,
        };
        // Writing into memory can't fail.
        let body = borsh::to_vec(&word).unwrap_or_default();
        self.answer(conn, 200, body);
    }

    /// What a peer answered when asked for its level.
    pub(crate) fn level_answered(&mut self, node: &str, reply: &Reply) {
        let Reply::Answer { status: 200, body } = reply else {
            return;
        };
        let Ok(word) = borsh::from_slice::<LevelWord>(body) else {
            return;
        };
        let enough = word.node == *node && word.level >= self.supported_level.0;
        if enough && self.leader.is_some() && !self.is_proven(node) {
            log::info!("{node} says that it is of level {}", word.level);
            self.write_level(word.node, word.incarnation, None);
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
                    log::info!("{node} never comes back, by an operator's word");
                    self.answer(conn, 200, json(&WriteOff { without: node }));
                }
                Outcome::Conflict(_) => {
                    self.refuse_json(conn, 409, "it has just shown its level itself");
                }
                _ => self.refuse_json(conn, 503, "the state service did not answer"),
            },
        }
    }

    /// The state service has refused a write as one too many: if lower limits
    /// are to come, they have come.
    pub(crate) fn write_rate_refused(&mut self) {
        let lower = self.lowered_limits.write_rps < self.settings.params.state.write_rps;
        if lower && !self.store.lowered_limits_active && self.level() >= FormatLevel::PIPELINES {
            log::info!("the state service takes fewer writes now");
            self.store.lowered_limits_active = true;
            self.update_request_budgets();
        }
    }

    /// Lets everybody know of lower limits at once, later starts included.
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

    /// An operator asks how far the upgrade is.
    pub(crate) fn upgrade_status(&mut self, conn: ConnId) {
        let controllers = self.all_nodes().into_iter().map(|node| {
            let proof = self.view.levels.get(&node).map(|l| l.record);
            let proof = proof.filter(|_| self.is_proven(&node));
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
            self.refuse_json(conn, 503, "the state service can not be reached");
        }
    }

    /// An operator says that a controller never comes back.
    pub(crate) fn write_off(&mut self, conn: ConnId, body: &[u8]) {
        let wish: WriteOff = match serde_json::from_slice(body) {
            Ok(wish) => wish,
            Err(e) => return self.refuse_json(conn, 400, &e.to_string()),
        };
        let node = wish.without;
        if !self.in_contact() {
            self.refuse_json(conn, 503, "the state service can not be reached");
        } else if !self.all_nodes().contains(&node) {
            self.refuse_json(conn, 404, "no such controller in the settings");
        } else if self.view.members.contains_key(&node) {
            self.refuse_json(conn, 409, "that controller is up");
        } else if self.is_proven(&node) || self.view.level() >= self.supported_level {
            self.answer(conn, 200, json(&WriteOff { without: node }));
        } else if !self.write_level(node, 0, Some(conn)) {
            self.refuse_json(conn, 503, "too many requests at once");
        }
    }

    fn refuse_json(&mut self, conn: ConnId, status: u16, error: &str) {
        let error = error.to_owned();
        let body = json(&oliveshift_wire::job::Refusal { error });
        self.answer(conn, status, body);
    }
}

/// Whether a program of a level can read a change: one of the first level
/// knows neither the newer keys nor the newer forms. This program is always of the
/// newest level but where tests stand in for an older one.
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

/// The types told here have no state that could make this fail.
fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
