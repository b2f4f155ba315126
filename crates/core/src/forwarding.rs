//! Forwards reports of workers from a controller that can't answer them to the one that can.
//!
//! If only some links are cut, the holder of a block works and reaches its peers, but some of
//! its workers do not reach it or do not get its answers. Such a worker reports to another
//! controller, the *origin*. If redirected to the holder it would time out once more and lose
//! its lease; leasing the whole block to another controller would be out of proportion. The
//! origin forwards the report to the holder and passes the holder's answer to the worker before
//! the worker times out. Token, orders and lease come from the holder; the origin adds nothing
//! to the answer and stores nothing of it.
//!
//! - A report is forwarded to one controller, and once more if no answer arrives. The receiver
//!   answers or refuses it, and never forwards it further.
//! - An answer counts only for the report that it names, on the connection on which that report
//!   arrived. Without an answer the origin proceeds as if it had not forwarded the report.
//! - The holder probes such workers directly and redirects them to itself once they answer,
//!   which proves that the link works in both directions.
//! - The report of a machine without a record that reports again is forwarded to the leader in
//!   the same way.

mod holder;
mod origin;

use std::time::Duration;

use oliveshift_wire::{
    decode, encode,
    peer::{ForwardedReport, ReportAddressee},
    worker::{Redirect, Report},
};

use crate::{
    call::{Answer, CompleteBody, ConnId, Reply},
    controller::{Controller, Pending},
    reachability::StrayAction,
    records::{BlockId, FormatLevel, Term},
    verdict::{RefusalStatus, Verdict},
};
use holder::Inbox;
pub(crate) use origin::{Fallback, Outstanding};
use origin::{Forwarded, Outbox, report_id};

/// Timeouts for the answer of the holder, which answers at once, and of the leader, which has to
/// write a record first. Two tries fit into the worker's report timeout.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(800);
const LEADER_TIMEOUT: Duration = Duration::from_millis(1300);

/// The forwarded reports of a controller, in both directions.
#[derive(Debug, Default)]
pub(crate) struct Forwarding {
    outbox: Outbox,
    inbox: Inbox,
}

impl Forwarding {
    /// Whether a request is a report that was forwarded by a peer.
    pub fn is_forwarded(&self, conn: ConnId) -> bool {
        self.inbox.is_forwarded(conn)
    }

    /// Prepares an outgoing answer; the answer to a forwarded report is wrapped in a message.
    pub fn wrap_answer(&mut self, answer: &mut Answer) {
        self.inbox.wrap_answer(answer);
    }

    /// Records that a worker has reported to this controller directly.
    pub fn record_direct_report(&mut self, machine: &str) {
        self.inbox.record_direct_report(machine);
    }

    /// Records that a machine has answered a probe.
    pub fn record_reached(&mut self, now: Duration, machine: &str) {
        self.inbox.record_reached(now, machine);
    }
}

impl Controller {
    /// Forwards the report of a worker to the holder of its block. Returns false if that is not
    /// possible.
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

    /// Forwards the report of a machine without a record to the leader, if the machine reports
    /// again. Returns false if it does not, or if forwarding is not possible.
    pub(crate) fn forward_to_leader(&mut self, conn: ConnId, report: &Report) -> bool {
        let Some(leader) = self.view.leader.as_ref().map(|l| l.record.node.clone()) else {
            return false;
        };
        let outbox = &mut self.forwarding.outbox;
        if !outbox.record_unregistered(self.now, &report.machine) {
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
        // A controller with a backlog would handle the answer too late.
        let can_forward = self.level() >= FormatLevel::PIPELINES
            && self.request_queue.is_empty()
            && self.forwarding.outbox.has_capacity()
            && self.is_peer_fresh(to);
        if !can_forward {
            return false;
        }
        let outstanding = Outstanding {
            report: report.clone(),
            to: to.to_owned(),
            addressee,
            fallback,
            received_at: self.now,
            is_retry: false,
        };
        self.send_forward(conn, outstanding);
        true
    }

    fn send_forward(&mut self, conn: ConnId, outstanding: Outstanding) {
        let (report, to) = (&outstanding.report, outstanding.to.clone());
        log::debug!("{}: forwarding its report to {to}", report.machine);
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

    /// Handles the reply to a forwarded report.
    pub(crate) fn forward_answered(&mut self, conn: ConnId, reply: &Reply) {
        match self.forwarding.outbox.replied(conn, reply) {
            Some(Forwarded::Answered(outstanding, answer)) => {
                let machine = &outstanding.report.machine;
                if answer.status == 421 && self.redirects_here(&answer.body) {
                    // This controller holds the block, but its records do not show it yet.
                    let fallback = Fallback::Stray(StrayAction::AwaitRecords);
                    return self.forward_failed(
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
                let is_retry = true;
                self.send_forward(
                    conn,
                    Outstanding {
                        is_retry,
                        ..outstanding
                    },
                );
            }
            Some(Forwarded::Refused(outstanding)) => self.forward_failed(conn, outstanding),
            None => {}
        }
    }

    /// Whether an answer redirects a worker to this controller.
    fn redirects_here(&self, body: &[u8]) -> bool {
        let redirect = decode::<Redirect>(body).unwrap_or_default();
        redirect.report_to.as_ref() == Some(&self.settings.node)
    }

    /// Proceeds with a report that got no answer as if it had not been forwarded.
    fn forward_failed(&mut self, conn: ConnId, outstanding: Outstanding) {
        let Outstanding {
            report,
            fallback,
            received_at,
            ..
        } = outstanding;
        match fallback {
            Fallback::Stray(action) => self.hold_or_redirect(conn, report, received_at, action),
            Fallback::Unregistered => self.redirect_to_leader(conn),
        }
    }

    /// Handles a worker's report that a peer forwards to this controller.
    pub(crate) fn receive_forwarded_report(&mut self, conn: ConnId, body: &CompleteBody) {
        let Some(message) = self.decode_peer_message::<ForwardedReport>(conn, body) else {
            return;
        };
        if !self.peer_links.contains_key(&message.from) {
            return self.refuse(
                conn,
                RefusalStatus::Forbidden,
                "not a controller of this deployment",
            );
        }
        let report: Report = match decode(&message.body) {
            Ok(report) => report,
            Err(e) => {
                log::warn!("{} forwarded a malformed report: {e}", message.from);
                return self.deny(conn, &Verdict::malformed(body, e.to_string()));
            }
        };
        let is_addressee = match message.addressee {
            ReportAddressee::Holder { block, term } => {
                self.holds_machine(&report.machine, block, term)
            }
            ReportAddressee::Leader => self.leader.is_some(),
        };
        if !is_addressee {
            return self.refuse(
                conn,
                RefusalStatus::Conflict,
                "the machine is not held here",
            );
        }
        log::debug!(
            "{}: its report was forwarded here by {}",
            report.machine,
            message.from
        );
        self.forwarding
            .inbox
            .report_received(self.now, conn, report_id(&report));
        let is_held = matches!(message.addressee, ReportAddressee::Holder { .. });
        if is_held
            && self.may_act()
            && self
                .forwarding
                .inbox
                .record_forwarded_report(self.now, &report.machine)
        {
            let report_to = self.settings.node.clone();
            return self.redirect(conn, Some(report_to));
        }
        self.process_report(conn, report);
    }

    /// Whether a machine is in a block that this controller holds under a term.
    fn holds_machine(&self, machine: &str, block: BlockId, term: Term) -> bool {
        let record = self.view.machines.get(machine);
        record.is_some_and(|m| m.block == block)
            && self.held_blocks.get(&block).is_some_and(|h| h.term == term)
    }

    /// Probes workers whose reports arrive through peers, to see if they can be reached directly.
    pub(crate) fn probe_remote_workers(&mut self) {
        for machine in self.forwarding.inbox.due_for_probe(self.now) {
            self.inspect(machine);
        }
    }
}

#[cfg(test)]
mod tests;
