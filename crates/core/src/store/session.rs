//! The session of this controller at the state service: the lease of its membership,
//! its member record and the leader record.

use std::time::Duration;

use oliveshift_wire::{
    decode, encode,
    state::{Change, Cond, LeaseGrant, LeaseRequest, Txn},
};

use crate::{
    call::{Method, Reply},
    controller::{Controller, Pending},
    records::{Key, MemberRecord, to_list},
    store::{Outcome, Purpose, Urgency},
};

impl Controller {
    pub(super) fn keep_member_lease(&mut self) {
        if self.store.member_lease_pending || self.now < self.store.renew_lease_at {
            return;
        }
        self.store.requests.charge(self.now, 1.0);
        self.store.member_lease_pending = true;
        match self.store.member_lease {
            None => {
                let ttl_ms = self.tuning.member_lease.as_millis() as u64;
                let body = encode(&LeaseRequest { ttl_ms });
                self.state_call(Method::Post, "/holds".into(), body, Pending::LeaseGrant);
            }
            Some(member_lease) => {
                let path = format!("/holds/{member_lease}/touch");
                self.state_call(Method::Post, path, Vec::new(), Pending::LeaseRenewal);
            }
        }
    }

    pub(crate) fn lease_grant_answered(&mut self, reply: &Reply, sent: Duration) {
        self.store.member_lease_pending = false;
        self.store.renew_lease_at = self.now + Duration::from_millis(300);
        if let Reply::Answer { status: 200, body } = reply
            && let Ok(grant) = decode::<LeaseGrant>(body)
        {
            self.store.member_lease = Some(grant.lease);
            self.store.renew_lease_at = sent + self.tuning.member_lease / 3;
        }
    }

    pub(crate) fn lease_renewal_answered(&mut self, reply: &Reply, sent: Duration) {
        self.store.member_lease_pending = false;
        match reply {
            Reply::Answer { status: 404, .. } => {
                log::info!(
                    "the membership lease at the state service has expired: requesting a new one"
                );
                self.store.member_lease = None;
                self.store.renew_lease_at = self.now;
            }
            Reply::Answer { status: 200, .. } => {
                self.store.renew_lease_at = sent + self.tuning.member_lease / 3;
            }
            _ => self.store.renew_lease_at = self.now + Duration::from_millis(250),
        }
    }

    /// Abandons the membership lease, so that the leader leases this controller's blocks
    /// again under new terms once it has expired. A new lease is requested at once.
    pub(crate) fn rejoin(&mut self) {
        log::info!("abandoning the membership lease to join again under a new one");
        self.store.member_lease = None;
        self.store.renew_lease_at = self.now;
    }

    pub(super) fn keep_member_record(&mut self) {
        let Some(lease) = self.store.member_lease else {
            return;
        };
        let node = &self.settings.node;
        let listed = self.view.members.get(node);
        let ours = listed.is_some_and(|m| m.record.incarnation == self.incarnation);
        let waits =
            self.store.member_write_pending || self.view.revision < self.store.session_visible_at;
        if ours || waits || !self.store.ready || self.is_initializing() {
            return;
        }
        let record = self.member_record();
        let key = Key::Member(node.clone()).path();
        let txn = Txn {
            // A delayed write of an earlier process of the same name must not replace
            // this controller's record.
            conds: vec![Cond {
                key: key.clone(),
                version: listed.map_or(0, |m| m.version),
            }],
            changes: vec![Change::Put {
                key,
                value: to_list(&record),
                lease: Some(lease),
            }],
        };
        self.store.member_write_pending = self.send_txn(txn, Purpose::Member, Urgency::Session);
    }

    fn member_record(&self) -> MemberRecord {
        MemberRecord {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            zone: self.settings.zone.clone(),
        }
    }

    pub(crate) fn member_written(&mut self, outcome: Outcome) {
        self.store.member_write_pending = false;
        self.session_written(outcome);
    }

    fn session_written(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::NoLease => {
                self.store.member_lease = None;
                self.store.renew_lease_at = self.now;
            }
            Outcome::Done(revision) | Outcome::Conflict(revision) => {
                self.store.session_visible_at = self.store.session_visible_at.max(revision);
            }
            Outcome::Refused | Outcome::Impossible | Outcome::Unknown => {}
        }
    }

    /// Writes the leader record if there is none, or if it names an earlier incarnation
    /// of this controller, which is known to be gone.
    pub(super) fn seek_leadership(&mut self) {
        let backs_off = self.defers_candidacy();
        let Some(lease) = self.store.member_lease.filter(|_| !backs_off) else {
            return;
        };
        let waits =
            self.store.leader_write_pending || self.view.revision < self.store.session_visible_at;
        if waits || !self.in_contact() || self.is_initializing() {
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
                lease: Some(lease),
            }],
        };
        self.store.leader_write_pending = self.send_txn(txn, Purpose::Leadership, Urgency::Session);
    }

    pub(crate) fn lead_written(&mut self, outcome: Outcome) {
        self.store.leader_write_pending = false;
        self.session_written(outcome);
    }
}
