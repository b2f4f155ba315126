//! History of a worker's last reports and their outcomes, logged when its lease expires.

use std::{collections::VecDeque, fmt, time::Duration};

/// Maximum number of reports in the history.
const MAX_REPORTS: usize = 8;

/// Outcome of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// No answer so far.
    Unanswered,
    /// Answered; the lease is renewed.
    Renewed,
    /// Answered with a fencing token of zero or lower than the worker's.
    Stale,
    /// The worker is redirected to this controller.
    RedirectedTo(usize),
    /// Any other answer, with its status; 0 if the connection failed.
    Refused(u16),
}

/// One report in the history.
#[derive(Clone, Copy, Debug)]
struct Contact {
    node: usize,
    sent: Duration,
    outcome: ReportOutcome,
}

/// The last reports of one worker, oldest first.
#[derive(Clone, Debug, Default)]
pub struct ContactHistory {
    contacts: VecDeque<Contact>,
}

impl ContactHistory {
    /// Records a report sent to controller `node`.
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

    /// Records the outcome of the newest report.
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
                ReportOutcome::RedirectedTo(to) => write!(f, "redirected to n-{to}]")?,
                ReportOutcome::Refused(status) => write!(f, "status {status}]")?,
            }
        }
        Ok(())
    }
}
