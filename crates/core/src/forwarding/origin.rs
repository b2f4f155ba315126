//! Reports that this controller has forwarded and that are not answered yet.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::{
    peer::{ForwardedAnswer, ReportAddressee, ReportId},
    worker::Report,
};

use crate::{
    call::{ConnId, Reply},
    client_timeouts::REPORT_TIMEOUT,
    reachability::StrayAction,
};

/// Upper bound for the forwarded reports without an answer.
const MAX_OUTSTANDING: usize = 64;
/// How long the first report of an unregistered machine is remembered. A machine that reports
/// again within this time, but later than its report timeout, presumably can't reach the leader.
const REPEAT_WINDOW: Duration = Duration::from_secs(16);

/// What to do with a report if its addressee does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fallback {
    /// The report is from a stray, whose holder is up: take this action.
    Stray(StrayAction),
    /// The machine has no record: redirect it to the leader.
    Unregistered,
}

/// A forwarded report without an answer.
#[derive(Debug, PartialEq)]
pub(crate) struct Outstanding {
    pub report: Report,
    /// The controller that it was forwarded to.
    pub to: String,
    pub addressee: ReportAddressee,
    pub fallback: Fallback,
    /// When the report arrived from the worker.
    pub received_at: Duration,
    /// Whether it was forwarded before and got no answer.
    pub is_retry: bool,
}

impl Outstanding {
    fn id(&self) -> ReportId {
        report_id(&self.report)
    }
}

/// Identifies a report.
pub(crate) fn report_id(report: &Report) -> ReportId {
    ReportId {
        machine: report.machine.clone(),
        session: report.session,
        seq: report.seq,
    }
}

/// An answer for the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WorkerAnswer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// The result of forwarding a report.
#[derive(Debug, PartialEq)]
pub(crate) enum Forwarded {
    /// The addressee has answered; the answer is for the worker.
    Answered(Outstanding, WorkerAnswer),
    /// The report or its answer may have been lost: it can be forwarded once more.
    Lost(Outstanding),
    /// There is no valid answer, and the report is not forwarded again.
    Refused(Outstanding),
}

/// The reports that a controller has forwarded.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    outstanding: BTreeMap<ConnId, Outstanding>,
    /// When each unregistered machine, which was redirected to the leader, first reported.
    unregistered: BTreeMap<String, Duration>,
    /// The last answer to a report of each worker.
    #[cfg(feature = "sabotage")]
    last_answers: BTreeMap<String, WorkerAnswer>,
}

impl Outbox {
    /// Whether one more report can be forwarded.
    pub fn has_capacity(&self) -> bool {
        self.outstanding.len() < MAX_OUTSTANDING
    }

    /// Records that a report is being forwarded to its addressee.
    pub fn sent(&mut self, conn: ConnId, outstanding: Outstanding) {
        self.outstanding.insert(conn, outstanding);
    }

    /// Takes the reply to a forwarded report. Only an answer to this report that serves the worker
    /// (200) or redirects it (421) counts.
    pub fn replied(&mut self, conn: ConnId, reply: &Reply) -> Option<Forwarded> {
        let outstanding = self.outstanding.remove(&conn)?;
        let answer = match reply {
            Reply::Answer { status: 200, body } => borsh::from_slice::<ForwardedAnswer>(body).ok(),
            _ => None,
        };
        let answer = answer.filter(|a| a.report == outstanding.id());
        let answer = answer.filter(|a| matches!(a.status, 200 | 421));
        Some(match answer {
            Some(ForwardedAnswer { status, body, .. }) => {
                let answer = WorkerAnswer { status, body };
                #[cfg(feature = "sabotage")]
                self.last_answers
                    .insert(outstanding.report.machine.clone(), answer.clone());
                Forwarded::Answered(outstanding, answer)
            }
            None if matches!(reply, Reply::Lost) && !outstanding.is_retry => {
                Forwarded::Lost(outstanding)
            }
            None => Forwarded::Refused(outstanding),
        })
    }

    /// The answer to an earlier report of a worker.
    #[cfg(feature = "sabotage")]
    pub fn earlier_answer(&self, machine: &str) -> Option<WorkerAnswer> {
        let answer = self.last_answers.get(machine);
        answer.filter(|a| a.status == 200).cloned()
    }

    /// Records the report of an unregistered machine. Returns whether it reports again after it
    /// was redirected to the leader and timed out there.
    pub fn record_unregistered(&mut self, now: Duration, machine: &str) -> bool {
        self.unregistered
            .retain(|_, first| now <= *first + REPEAT_WINDOW);
        match self.unregistered.get(machine) {
            Some(first) => now > *first + REPORT_TIMEOUT,
            None => {
                self.unregistered.insert(machine.to_owned(), now);
                false
            }
        }
    }
}
