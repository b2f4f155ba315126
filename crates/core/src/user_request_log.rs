//! The users' requests that are not answered yet, and the log lines of those that are refused.
//!
//! A refusal is logged with what it rests on, so that the log tells why a user was told something.
//! Only so many a second are logged one by one; the others are counted.

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Display,
    time::Duration,
};

use oliveshift_wire::JobId;

use crate::{
    call::{ConnId, IncompleteRequest, Listener, Request},
    client_timeouts::ClientKind,
};

/// Maximum number of refusals that are logged one by one in each interval.
const MAX_LINES: u32 = 10;
/// The interval.
const INTERVAL: Duration = Duration::from_secs(1);

/// A user's request that is not answered yet.
#[derive(Debug)]
struct OpenRequest {
    path: String,
    /// The job that a submission names; the path of other requests names theirs.
    submitted: Option<JobId>,
    body_bytes: usize,
    first_byte_at: Duration,
    kind: ClientKind,
}

/// The open requests, and the lines about refusals.
#[derive(Debug, Default)]
pub(crate) struct UserRequestLog {
    open: HashMap<ConnId, OpenRequest>,
    limit: LineLimit,
}

/// The refusals of the current interval.
#[derive(Debug, Default)]
struct LineLimit {
    interval_start: Duration,
    lines: u32,
    /// Refusals that were not logged one by one, by status.
    unlisted: BTreeMap<u16, u32>,
}

/// A refused request, as the log describes it.
pub(crate) struct RefusedRequest<'a> {
    pub status: u16,
    pub reason: &'a str,
    pub basis: &'a dyn Display,
}

impl UserRequestLog {
    /// Records a request, if it is a user's.
    pub fn request_received(&mut self, now: Duration, request: &Request) {
        let kind = ClientKind::of(request.listener, request.method, &request.path);
        let is_users = request.listener == Listener::Public
            && matches!(kind, ClientKind::Poll | ClientKind::UserWrite);
        if !is_users {
            return;
        }
        let open = OpenRequest {
            path: request.path.clone(),
            submitted: None,
            body_bytes: request.body.len(),
            first_byte_at: now.saturating_sub(request.receipt_time),
            kind,
        };
        self.open.insert(request.conn, open);
    }

    /// Records which job a submission names.
    pub fn job_submitted(&mut self, conn: ConnId, job: &JobId) {
        if let Some(open) = self.open.get_mut(&conn) {
            open.submitted = Some(job.clone());
        }
    }

    /// Records that a request has been answered.
    pub fn request_answered(&mut self, conn: ConnId) {
        self.open.remove(&conn);
    }

    /// Until when a user's request has to be answered; `None` if it came in another way.
    pub fn answer_due(&self, conn: ConnId) -> Option<Duration> {
        let open = self.open.get(&conn)?;
        Some(open.first_byte_at + open.kind.answer_timeout())
    }

    /// Logs the refusal of a user's request.
    pub fn request_refused(&mut self, now: Duration, conn: ConnId, refused: &RefusedRequest<'_>) {
        let Some(open) = self.open.get(&conn) else {
            return;
        };
        if !self.limit.may_log(now, refused.status) {
            return;
        }
        let submitted = open.submitted.as_ref().map(|job| format!(" {job}"));
        let bytes = open.body_bytes;
        log::info!(
            "{}{}: refused with {}: {}; {:.1?} after its first byte, {bytes} of {bytes} bytes \
             received, rests on {}",
            open.path,
            submitted.unwrap_or_default(),
            refused.status,
            refused.reason,
            now.saturating_sub(open.first_byte_at),
            refused.basis
        );
    }

    /// Logs a request that was not received completely.
    pub fn request_incomplete(&mut self, now: Duration, request: &IncompleteRequest) {
        if !self.limit.may_log(now, request.status.unwrap_or(0)) {
            return;
        }
        let status = match request.status {
            Some(status) => format!("refused with {status}"),
            None => "closed without an answer".to_owned(),
        };
        let announced = match request.announced {
            Some(bytes) => bytes.to_string(),
            None => "unannounced".to_owned(),
        };
        log::info!(
            "{}: {status}: {}; {:.1?} after its first byte, {} of {announced} bytes received, \
             nothing decided",
            request
                .path
                .as_deref()
                .unwrap_or("a request without a head"),
            request.reason,
            request.receipt_time,
            request.received,
        );
    }

    /// Logs the refusals that were only counted, if it is time.
    pub fn tick(&mut self, now: Duration) {
        self.limit.tick(now);
    }
}

impl LineLimit {
    /// Starts a new interval if it is due, and logs what was counted in the last one.
    fn tick(&mut self, now: Duration) {
        if now < self.interval_start + INTERVAL {
            return;
        }
        self.interval_start = now;
        self.lines = 0;
        let unlisted = std::mem::take(&mut self.unlisted);
        if !unlisted.is_empty() {
            log::info!("further refused requests, by status (0: no answer): {unlisted:?}");
        }
    }

    fn may_log(&mut self, now: Duration, status: u16) -> bool {
        self.tick(now);
        if self.lines < MAX_LINES {
            self.lines += 1;
            return true;
        }
        *self.unlisted.entry(status).or_default() += 1;
        false
    }
}

#[cfg(test)]
mod tests;
