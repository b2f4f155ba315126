//! The lease that says that we are up, our record as a member, and the lead.

use std::time::Duration;

use oliveshift_wire::{
    decode, encode,
    state::{Change, Cond, LeaseGrant, NewLease, Txn},
};

use crate::{
    call::{Method, Reply},
    controller::{Controller, Pending},
    records::{Key, MemberRecord, to_list},
    store::{Outcome, Purpose, Urgency},
};

impl Controller {
    pub(super) fn keep_hold(&mut self) {
        if self.store.hold_pending || self.now < self.store.touch_at {
            return;
        }
        self.store.requests.force(self.now, 1.0);
        self.store.hold_pending = true;
        match self.store.hold {
            None => {
                let ttl_ms = self.tuning.member_lease.as_millis() as u64;
                let body = encode(&NewLease { ttl_ms });
                self.state_call(Method::Post, "/holds".into(), body, Pending::LeaseGrant);
            }
            Some(hold) => {
                let path = format!("/holds/{hold}/touch");
                self.state_call(Method::Post, path, Vec::new(), Pending::LeaseRenewal);
            }
        }
    }

    pub(crate) fn lease_grant_answered(&mut self, reply: &Reply, sent: Duration) {
        self.store.hold_pending = false;
        self.store.touch_at = self.now + Duration::from_millis(300);
        if let Reply::Answer { status: 200, body } = reply
            && let Ok(grant) = decode::<LeaseGrant>(body)
        {
            self.store.hold = Some(grant.lease);
            self.store.touch_at = sent + self.tuning.member_lease / 3;
        }
    }

    pub(crate) fn lease_renewal_answered(&mut self, reply: &Reply, sent: Duration) {
        self.store.hold_pending = false;
        match reply {
            Reply::Answer { status: 404, .. } => {
                log::info!("our lease at the state service has run out");
                self.store.hold = None;
                self.store.touch_at = self.now;
            }
            Reply::Answer { status: 200, .. } => {
                self.store.touch_at = sent + self.tuning.member_lease / 3;
            }
            _ => self.store.touch_at = self.now + Duration::from_millis(250),
        }
    }

    /// Lets our lease run out, so that the leader gives our blocks away under new
    /// terms; a new lease is taken at once.
    pub(crate) fn rejoin(&mut self) {
        log::info!("we leave and join anew");
        self.store.hold = None;
        self.store.touch_at = self.now;
    }

    pub(super) fn keep_member(&mut self) {
        let Some(hold) = self.store.hold else { return };
        let node = &self.settings.node;
        let listed = self.view.members.get(node);
        let ours = listed.is_some_and(|m| m.record.incarnation == self.incarnation);
        let waits = self.store.member_pending || self.view.revision < self.store.session_at;
        if ours || waits || !self.store.ready || self.is_founding() {
            return;
        }
        let record = self.member_record();
        let key = Key::Member(node.clone()).path();
        let txn = Txn {
            // A late copy of what a process of our name from before has written
            // must not put its record in the place of ours.
            conds: vec![Cond {
                key: key.clone(),
                version: listed.map_or(0, |m| m.version),
            }],
            changes: vec![Change::Put {
                key,
                value: to_list(&record),
                lease: Some(hold),
            }],
        };
        self.store.member_pending = self.send_txn(txn, Purpose::Member, Urgency::Session);
    }

    fn member_record(&self) -> MemberRecord {
        MemberRecord {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            zone: self.settings.zone.clone(),
        }
    }

    pub(crate) fn member_written(&mut self, outcome: Outcome) {
        self.store.member_pending = false;
        self.session_written(outcome);
    }

    fn session_written(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::NoLease => {
                self.store.hold = None;
                self.store.touch_at = self.now;
            }
            Outcome::Done(revision) | Outcome::Conflict(revision) => {
                self.store.session_at = self.store.session_at.max(revision);
            }
            Outcome::Refused | Outcome::Impossible | Outcome::Unknown => {}
        }
    }

    /// Takes the lead when nobody has it, or when it belongs to an earlier
    /// incarnation of this very controller, which is surely gone.
    pub(super) fn seek_leadership(&mut self) {
        let backs_off = self.defers_candidacy();
        let Some(hold) = self.store.hold.filter(|_| !backs_off) else {
            return;
        };
        let waits = self.store.lead_pending || self.view.revision < self.store.session_at;
        if waits || !self.in_contact() || self.is_founding() {
            return;
        }
        let version = match &self.view.leader {
            None => 0,
            Some(l)
                if l.record.node == self.settings.node
                    && l.record.incarnation != self.incarnation =>
            {
                l.version
            }
            Some(_) => return,
        };
        let key = Key::Leader.path();
        let txn = Txn {
            conds: vec![Cond {
                key: key.clone(),
                version,
            }],
            changes: vec![Change::Put {
                key,
                value: to_list(&self.member_record()),
                lease: Some(hold),
            }],
        };
        self.store.lead_pending = self.send_txn(txn, Purpose::Leadership, Urgency::Session);
    }

    pub(crate) fn lead_written(&mut self, outcome: Outcome) {
        self.store.lead_pending = false;
        self.session_written(outcome);
    }
}
