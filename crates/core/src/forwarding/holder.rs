//! Reports that peers have forwarded to this controller, and the workers that sent them.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::peer::{ForwardedAnswer, ReportId};

use crate::call::{Answer, ConnId};

/// Age from which an unanswered forwarded report is dropped.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// Direct probes of remote workers: minimum time between two rounds, minimum time between two
/// probes of the same worker, and how many workers are probed in a round.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const WORKER_PROBE_INTERVAL: Duration = Duration::from_secs(2);
const MAX_PROBES: usize = 8;
/// How long a worker's answer to a probe shows that it can be reached directly.
const REACHED_LIFETIME: Duration = Duration::from_secs(6);
/// How long a worker that was redirected to its holder, but reports through a peer again, is not
/// redirected; doubled each time.
const INITIAL_REDIRECT_BACKOFF: Duration = Duration::from_secs(10);
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// How long a worker is remembered after its last report through a peer.
const WORKER_LIFETIME: Duration = Duration::from_secs(120);

/// A worker of a held block whose reports arrive through a peer.
#[derive(Debug, Default)]
struct RemoteWorker {
    /// When its last report through a peer arrived.
    reported_at: Duration,
    /// Whether it has reported directly since then.
    reports_directly: bool,
    probed_at: Option<Duration>,
    /// When it last answered a direct probe; cleared when it is redirected.
    reached_at: Option<Duration>,
    /// It is not redirected to this controller before this time.
    backoff_until: Duration,
    backoff_doublings: u32,
}

/// The forwarded reports and the remote workers of one controller.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    /// Forwarded reports without an answer, and when they arrived.
    received: BTreeMap<ConnId, (ReportId, Duration)>,
    workers: BTreeMap<String, RemoteWorker>,
    probed_at: Duration,
}

impl Inbox {
    /// Records that a peer has forwarded a report.
    pub fn report_received(&mut self, now: Duration, conn: ConnId, report: ReportId) {
        self.received
            .retain(|_, (_, since)| now <= *since + ANSWER_TIMEOUT);
        self.received.insert(conn, (report, now));
    }

    /// Whether a request is a forwarded report without an answer.
    pub fn is_forwarded(&self, conn: ConnId) -> bool {
        self.received.contains_key(&conn)
    }

    /// Prepares an outgoing answer. The answer to a forwarded report is wrapped in a message that
    /// names the report.
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
        // Serializing into memory can't fail.
        answer.body = borsh::to_vec(&inner).unwrap_or_default();
    }

    /// Records that a report of a held worker arrived through a peer. Returns whether the worker
    /// is to be redirected to this controller, because it answers direct probes.
    pub fn record_forwarded_report(&mut self, now: Duration, machine: &str) -> bool {
        self.workers
            .retain(|_, w| now <= w.reported_at + WORKER_LIFETIME);
        let worker = self.workers.entry(machine.to_owned()).or_default();
        worker.reported_at = now;
        worker.reports_directly = false;
        let reached = worker.reached_at;
        let should_redirect = now >= worker.backoff_until
            && reached.is_some_and(|reached| now <= reached + REACHED_LIFETIME);
        if should_redirect {
            worker.reached_at = None;
            worker.backoff_until =
                now + INITIAL_REDIRECT_BACKOFF * 2u32.pow(worker.backoff_doublings);
            worker.backoff_doublings = (worker.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
        }
        should_redirect
    }

    /// Records that a worker has reported directly.
    pub fn record_direct_report(&mut self, machine: &str) {
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.reports_directly = true;
        }
    }

    /// Records that a worker has answered a direct probe.
    pub fn record_reached(&mut self, now: Duration, machine: &str) {
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.reached_at = Some(now);
        }
    }

    /// The workers to probe directly now; those whose last probe is the oldest come first.
    pub fn due_for_probe(&mut self, now: Duration) -> Vec<String> {
        if now < self.probed_at + PROBE_INTERVAL {
            return Vec::new();
        }
        self.probed_at = now;
        let is_due = |w: &RemoteWorker| {
            !w.reports_directly
                && now <= w.reported_at + REACHED_LIFETIME
                && now + REACHED_LIFETIME >= w.backoff_until
                && w.probed_at
                    .is_none_or(|at| now >= at + WORKER_PROBE_INTERVAL)
        };
        let due = self.workers.iter_mut().filter(|(_, w)| is_due(w));
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, w)| w.probed_at);
        let probes = due.into_iter().take(MAX_PROBES);
        probes
            .map(|(machine, worker)| {
                worker.probed_at = Some(now);
                machine.clone()
            })
            .collect()
    }
}
