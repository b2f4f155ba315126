//! Reports that this controller has forwarded and whose answers it awaits.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::{
    peer::{ForwardedAnswer, ReportAddressee, ReportId},
    worker::Report,
};

use crate::{
    call::{ConnId, Reply},
    reachability::StrayAction,
    request_queue::REPORT_TIMEOUT,
};

/// How many forwarded reports may be without an answer at a time.
const MOST_OUTSTANDING: usize = 64;
/// An unregistered machine that comes again within this time is not reached by the leader.
const COMES_AGAIN: Duration = Duration::from_secs(16);

/// What to do with a report if its addressee does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fallback {
    /// The holder is up and did not answer.
    Stray(StrayAction),
    /// The machine has no record.
    Unregistered,
}

/// A forwarded report without an answer.
#[derive(Debug, PartialEq)]
pub(crate) struct Outstanding {
    pub report: Report,
    /// Whom it went to.
    pub to: String,
    pub addressee: ReportAddressee,
    pub fallback: Fallback,
    /// When the worker's report came in.
    pub came_at: Duration,
    /// It was sent before, and the answer was lost.
    pub is_repeat: bool,
}

impl Outstanding {
    fn id(&self) -> ReportId {
        report_id(&self.report)
    }
}

/// The name of a report.
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

/// What came of a forwarded report.
#[derive(Debug, PartialEq)]
pub(crate) enum Forwarded {
    /// The worker gets this answer.
    Answered(Outstanding, WorkerAnswer),
    /// It may have been lost on its way, or its answer: it can be sent once more.
    Lost(Outstanding),
    /// Its addressee gives none.
    Refused(Outstanding),
}

/// The forwarded reports of one controller.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    outstanding: BTreeMap<ConnId, Outstanding>,
    /// When unregistered machines came that were sent to the leader.
    unregistered: BTreeMap<String, Duration>,
    /// The last answer to a report of each worker.
    #[cfg(feature = "sabotage")]
    last_answers: BTreeMap<String, WorkerAnswer>,
}

impl Outbox {
    /// Whether one more report may be forwarded.
    pub fn has_room(&self) -> bool {
        self.outstanding.len() < MOST_OUTSTANDING
    }

    /// A report leaves for its addressee.
    pub fn sent(&mut self, conn: ConnId, outstanding: Outstanding) {
        self.outstanding.insert(conn, outstanding);
    }

    /// What came of a report. Only an answer to this very report that serves the worker
    /// or tells it where to go counts.
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
            None if matches!(reply, Reply::Lost) && !outstanding.is_repeat => {
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

    /// An unregistered machine has come. Whether it comes again, after it was sent to the
    /// leader and has waited there in vain.
    pub fn unregistered_came(&mut self, now: Duration, machine: &str) -> bool {
        self.unregistered
            .retain(|_, first| now <= *first + COMES_AGAIN);
        match self.unregistered.get(machine) {
            Some(first) => now > *first + REPORT_TIMEOUT,
            None => {
                self.unregistered.insert(machine.to_owned(), now);
                false
            }
        }
    }
}
