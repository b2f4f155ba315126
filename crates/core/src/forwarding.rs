//! Reports of workers that come to a controller which can't answer them, forwarded to the
//! one that can.
//!
//! Where only some links are cut, the holder of a block is well and reaches its peers, but
//! some of its workers don't reach it or don't hear it. Such a worker comes to another
//! controller, the *origin*. Sent back to the holder it would wait in vain once more and
//! lose its lease; leasing the whole block away would be out of proportion. The origin
//! forwards the report to the holder and gives the worker the holder's answer, within the
//! time that the worker waits. Token, orders and lease are the holder's; the origin adds
//! nothing and keeps nothing of the answer.
//!
//! - A report is forwarded to one controller, and once more if no answer came. The receiver
//!   answers it or refuses it, and forwards it no further.
//! - An answer counts only for the report that it names, over the connection on which that
//!   came. Without an answer the origin does what it did without forwarding.
//! - The holder asks such workers by itself and sends them home once they answer: that
//!   shows a way there and back.
//! - A machine without a record that comes again goes to the leader in the same way.

mod holder;
mod origin;

use std::time::Duration;

use oliveshift_wire::{
    decode, encode,
    peer::{ForwardedReport, ReportAddressee},
    worker::{Redirect, Report},
};

use crate::{
    call::{Answer, ConnId, Reply},
    controller::{Controller, Pending},
    reachability::StrayAction,
    records::{BlockId, FormatLevel, Term},
};
use holder::Inbox;
pub(crate) use origin::{Fallback, Outstanding};
use origin::{Forwarded, Outbox, report_id};

/// When to give an answer up: of the holder, which has it at once, and of the leader, which
/// has to write a record first. Twice as long is less than the worker waits.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(800);
const LEADER_TIMEOUT: Duration = Duration::from_millis(1300);

/// The forwarded reports of a controller, both ways.
#[derive(Debug, Default)]
pub(crate) struct Forwarding {
    outbox: Outbox,
    inbox: Inbox,
}

impl Forwarding {
    /// Whether a request is a report that a peer has forwarded.
    pub fn is_forwarded(&self, conn: ConnId) -> bool {
        self.inbox.is_forwarded(conn)
    }

    /// An answer leaves, to whomever.
    pub fn wrap_answer(&mut self, answer: &mut Answer) {
        self.inbox.wrap_answer(answer);
    }

    /// A worker has reported to us directly.
    pub fn record_direct_report(&mut self, machine: &str) {
        self.inbox.record_direct_report(machine);
    }

    /// A machine has answered our question.
    pub fn record_reached(&mut self, now: Duration, machine: &str) {
        self.inbox.record_reached(now, machine);
    }
}

impl Controller {
    /// Forwards the report of a worker to the holder of its block. False if that can't be
    /// done.
    pub(crate) fn forward_to_holder(
        &mut self,
        conn: ConnId,
        report: &Report,
        (block, term): (BlockId, Term),
        holder: &str,
        action: StrayAction,
    ) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::StaleForwards)
            && let Some(answer) = self.forwarding.outbox.earlier_answer(&report.machine)
        {
            self.answer(conn, answer.status, answer.body);
            return true;
        }
        let addressee = ReportAddressee::Holder { block, term };
        let fallback = Fallback::Stray(action);
        self.forward(conn, report, addressee, holder, fallback)
    }

    /// Forwards the report of a machine without a record to the leader, if it comes again.
    /// False if it does not, or if that can't be done.
    pub(crate) fn forward_to_leader(&mut self, conn: ConnId, report: &Report) -> bool {
        let Some(leader) = self.view.leader.as_ref().map(|l| l.record.node.clone()) else {
            return false;
        };
        let outbox = &mut self.forwarding.outbox;
        if !outbox.unregistered_came(self.now, &report.machine) {
            return false;
        }
        let (addressee, fallback) = (ReportAddressee::Leader, Fallback::Unregistered);
        self.forward(conn, report, addressee, &leader, fallback)
    }

    fn forward(
        &mut self,
        conn: ConnId,
        report: &Report,
        addressee: ReportAddressee,
        to: &str,
        fallback: Fallback,
    ) -> bool {
        #[cfg(feature = "sabotage")]
        if self
            .sabotage
            .is_some_and(crate::Sabotage::disables_forwarding)
        {
            return false;
        }
        // Whoever is behind would get to the answer too late.
        let may = self.level() >= FormatLevel::PIPELINES
            && self.request_queue.is_empty()
            && self.forwarding.outbox.has_room()
            && self.is_peer_fresh(to);
        if !may {
            return false;
        }
        let outstanding = Outstanding {
            report: report.clone(),
            to: to.to_owned(),
            addressee,
            fallback,
            came_at: self.now,
            is_repeat: false,
        };
        self.send_forward(conn, outstanding);
        true
    }

    fn send_forward(&mut self, conn: ConnId, outstanding: Outstanding) {
        let (report, to) = (&outstanding.report, outstanding.to.clone());
        log::debug!("{}: its report is forwarded to {to}", report.machine);
        let message = ForwardedReport {
            from: self.settings.node.clone(),
            addressee: outstanding.addressee,
            body: encode(report),
        };
        let timeout = match outstanding.addressee {
            ReportAddressee::Holder { .. } => HOLDER_TIMEOUT,
            ReportAddressee::Leader => LEADER_TIMEOUT,
        };
        self.forwarding.outbox.sent(conn, outstanding);
        let pending = Pending::ForwardedReport(conn);
        self.call_peer(to, "/forward", &message, timeout, pending);
    }

    /// What came of a report that we forwarded.
    pub(crate) fn forward_answered(&mut self, conn: ConnId, reply: &Reply) {
        match self.forwarding.outbox.replied(conn, reply) {
            Some(Forwarded::Answered(outstanding, answer)) => {
                let machine = &outstanding.report.machine;
                if answer.status == 421 && self.is_sent_here(&answer.body) {
                    // Our records don't show yet that we hold it.
                    let fallback = Fallback::Stray(StrayAction::AwaitRecords);
                    return self.not_forwarded(
                        conn,
                        Outstanding {
                            fallback,
                            ..outstanding
                        },
                    );
                }
                if answer.status == 200 {
                    self.reachability.record_served_by_holder(machine);
                }
                self.answer(conn, answer.status, answer.body);
            }
            Some(Forwarded::Lost(outstanding)) => {
                let is_repeat = true;
                self.send_forward(
                    conn,
                    Outstanding {
                        is_repeat,
                        ..outstanding
                    },
                );
            }
            Some(Forwarded::Refused(outstanding)) => self.not_forwarded(conn, outstanding),
            None => {}
        }
    }

    /// Whether an answer tells a worker to report to us.
    fn is_sent_here(&self, body: &[u8]) -> bool {
        let redirect = decode::<Redirect>(body).unwrap_or_default();
        redirect.report_to.as_ref() == Some(&self.settings.node)
    }

    /// A forwarded report got no answer: it is treated as if it had not been forwarded.
    fn not_forwarded(&mut self, conn: ConnId, outstanding: Outstanding) {
        let Outstanding {
            report,
            fallback,
            came_at,
            ..
        } = outstanding;
        match fallback {
            Fallback::Stray(action) => self.keep_or_redirect(conn, report, came_at, action),
            Fallback::Unregistered => self.redirect_to_leader(conn),
        }
    }

    /// A peer forwards a worker's report to us.
    pub(crate) fn receive_forwarded_report(&mut self, conn: ConnId, body: &[u8]) {
        let Some(message) = self.decode_peer_message::<ForwardedReport>(conn, body) else {
            return;
        };
        if !self.peer_links.contains_key(&message.from) {
            return self.refuse(conn, 403, "not a controller of this deployment");
        }
        let report: Report = match decode(&message.body) {
            Ok(report) => report,
            Err(e) => {
                log::warn!("{} forwarded what is no report: {e}", message.from);
                return self.refuse(conn, 400, &e.to_string());
            }
        };
        let is_addressee = match message.addressee {
            ReportAddressee::Holder { block, term } => self.holds(&report.machine, block, term),
            ReportAddressee::Leader => self.leader.is_some(),
        };
        if !is_addressee {
            return self.refuse(conn, 409, "the machine is not held here");
        }
        log::debug!(
            "{}: its report came by way of {}",
            report.machine,
            message.from
        );
        self.forwarding
            .inbox
            .received(self.now, conn, report_id(&report));
        let is_held = matches!(message.addressee, ReportAddressee::Holder { .. });
        if is_held && self.may_act() && self.forwarding.inbox.came(self.now, &report.machine) {
            let home = self.settings.node.clone();
            return self.redirect(conn, Some(home));
        }
        self.process_report(conn, report);
    }

    /// Whether a machine is in a block that we hold under a term.
    fn holds(&self, machine: &str, block: BlockId, term: Term) -> bool {
        let record = self.view.machines.get(machine);
        record.is_some_and(|m| m.block == block)
            && self.held_blocks.get(&block).is_some_and(|h| h.term == term)
    }

    /// Asks workers that report by way of peers whether they can be reached directly.
    pub(crate) fn probe_remote_workers(&mut self) {
        for machine in self.forwarding.inbox.due_for_question(self.now) {
            self.inspect(machine);
        }
    }
}

#[cfg(test)]
mod tests;
