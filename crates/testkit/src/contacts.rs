//! The last reports of a worker and what came of them, for the log of a lost lease.

use std::{collections::VecDeque, fmt, time::Duration};

/// How many reports are kept.
const MAX_REPORTS: usize = 8;

/// What came of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// No answer yet, or none in time.
    Unanswered,
    /// An answer that renewed the lease.
    Renewed,
    /// An answer with a token that is lower than the worker's.
    Stale,
    /// The worker is to report to this controller.
    SentTo(usize),
    /// Any other answer, by its status; 0: the connection failed.
    Refused(u16),
}

/// One report.
#[derive(Clone, Copy, Debug)]
struct Contact {
    node: usize,
    sent: Duration,
    outcome: ReportOutcome,
}

/// The last reports of one worker, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct ContactHistory {
    contacts: VecDeque<Contact>,
}

impl ContactHistory {
    /// A report leaves for a controller.
    pub fn sent(&mut self, sent: Duration, node: usize) {
        if self.contacts.len() == MAX_REPORTS {
            self.contacts.pop_front();
        }
        self.contacts.push_back(Contact {
            node,
            sent,
            outcome: ReportOutcome::Unanswered,
        });
    }

    /// The newest report has been answered.
    pub fn answered(&mut self, outcome: ReportOutcome) {
        if let Some(contact) = self.contacts.back_mut() {
            contact.outcome = outcome;
        }
    }
}

impl fmt::Display for ContactHistory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Contact {
            node,
            sent,
            outcome,
        } in &self.contacts
        {
            write!(f, " [n-{node} at {:.2} s: ", sent.as_secs_f64())?;
            match outcome {
                ReportOutcome::Unanswered => write!(f, "no answer]")?,
                ReportOutcome::Renewed => write!(f, "renewed]")?,
                ReportOutcome::Stale => write!(f, "stale token]")?,
                ReportOutcome::SentTo(to) => write!(f, "sent to n-{to}]")?,
                ReportOutcome::Refused(status) => write!(f, "status {status}]")?,
            }
        }
        Ok(())
    }
}
