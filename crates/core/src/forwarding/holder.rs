//! Reports that other controllers have forwarded to this one, and the workers that they
//! come from.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::peer::{ForwardedAnswer, ReportId};

use crate::call::{Answer, ConnId};

/// A forwarded report that was not answered for so long is not awaited any more.
const ANSWER_LIMIT: Duration = Duration::from_secs(6);
/// How often workers are asked whether they can be reached directly: all of them together,
/// each of them, and how many at a time.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
const ASK_AGAIN: Duration = Duration::from_secs(2);
const MOST_ASKED: usize = 8;
/// For how long the answer of a worker shows that it can be reached.
const REACHED_LIFETIME: Duration = Duration::from_secs(6);
/// After it was sent home a worker that comes by way of a peer again stays for so long;
/// doubled each time.
const STAY: Duration = Duration::from_secs(10);
const MOST_DOUBLINGS: u32 = 4;
/// A worker that did not come for so long is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(120);

/// A worker of a block of ours that reports by way of a peer.
#[derive(Debug, Default)]
struct RemoteWorker {
    came_at: Duration,
    /// It has reported directly since.
    is_back: bool,
    asked_at: Option<Duration>,
    /// When it answered us directly.
    reached_at: Option<Duration>,
    /// It is not sent home before.
    stays_until: Duration,
    times_sent_home: u32,
}

/// The forwarded reports and the remote workers of one controller.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    /// Reports that wait for our answer, and since when.
    received: BTreeMap<ConnId, (ReportId, Duration)>,
    workers: BTreeMap<String, RemoteWorker>,
    asked_at: Duration,
}

impl Inbox {
    /// A peer has forwarded a report.
    pub fn received(&mut self, now: Duration, conn: ConnId, report: ReportId) {
        self.received
            .retain(|_, (_, since)| now <= *since + ANSWER_LIMIT);
        self.received.insert(conn, (report, now));
    }

    /// Whether a request is a forwarded report.
    pub fn is_forwarded(&self, conn: ConnId) -> bool {
        self.received.contains_key(&conn)
    }

    /// An answer leaves; one to a forwarded report goes in an envelope that names the
    /// report.
    pub fn wrap_answer(&mut self, answer: &mut Answer) {
        let Some((report, _)) = self.received.remove(&answer.conn) else {
            return;
        };
        let inner = ForwardedAnswer {
            report,
            status: answer.status,
            body: std::mem::take(&mut answer.body),
        };
        answer.status = 200;
        // Writing into memory can't fail.
        answer.body = borsh::to_vec(&inner).unwrap_or_default();
    }

    /// A worker of ours has come by way of a peer. Whether it is to report to us again, as
    /// it answers us directly.
    pub fn came(&mut self, now: Duration, machine: &str) -> bool {
        self.workers.retain(|_, w| now <= w.came_at + FORGOTTEN);
        let worker = self.workers.entry(machine.to_owned()).or_default();
        worker.came_at = now;
        worker.is_back = false;
        let reached = worker.reached_at;
        let goes_home = now >= worker.stays_until
            && reached.is_some_and(|reached| now <= reached + REACHED_LIFETIME);
        if goes_home {
            worker.reached_at = None;
            worker.stays_until = now + STAY * 2u32.pow(worker.times_sent_home);
            worker.times_sent_home = (worker.times_sent_home + 1).min(MOST_DOUBLINGS);
        }
        goes_home
    }

    /// A worker has reported to us directly.
    pub fn record_direct_report(&mut self, machine: &str) {
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.is_back = true;
        }
    }

    /// A worker has answered our question.
    pub fn record_reached(&mut self, now: Duration, machine: &str) {
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.reached_at = Some(now);
        }
    }

    /// The workers to ask now whether they can be reached directly, those first that were
    /// not asked for longest.
    pub fn due_for_question(&mut self, now: Duration) -> Vec<String> {
        if now < self.asked_at + ASK_INTERVAL {
            return Vec::new();
        }
        self.asked_at = now;
        let is_due = |w: &RemoteWorker| {
            !w.is_back
                && now <= w.came_at + REACHED_LIFETIME
                && now + REACHED_LIFETIME >= w.stays_until
                && w.asked_at.is_none_or(|at| now >= at + ASK_AGAIN)
        };
        let due = self.workers.iter_mut().filter(|(_, w)| is_due(w));
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, w)| w.asked_at);
        let ask = due.into_iter().take(MOST_ASKED);
        ask.map(|(machine, worker)| {
            worker.asked_at = Some(now);
            machine.clone()
        })
        .collect()
    }
}
