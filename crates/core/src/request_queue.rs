//! Queue of incoming requests: the order in which they are answered, and which of
//! them are dropped.
//!
//! Without backlog, each request is taken at once. With a backlog, a batch consists of
//!
//! 1. all requests of health probes, controllers and operators;
//! 2. a limited number of users' requests, the oldest first;
//! 3. a limited number of workers' reports, the newest first, because a worker whose
//!    report has waited for long gives up soon and reports to another controller;
//! 4. new connections of workers, which are read only as far as reports on open
//!    connections leave room within the limit.
//!
//! Requests whose senders have given up are dropped. When all requests were answered
//! in order of arrival, a controller that was behind by the workers' timeout of 4 s
//! answered only requests that had been given up. Their senders then reported to
//! other controllers, until all controllers were permanently behind, for users too.

use std::{collections::VecDeque, time::Duration};

use crate::{
    call::{Listener, Request},
    client_timeouts::{ClientKind, REPORT_TIMEOUT},
    sockets::SocketId,
};

/// Limit of users' requests in a batch, and of workers' reports and new connections.
const MAX_PER_BATCH: usize = 8;

/// Kind of sender, which decides the priority of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestClass {
    /// The load balancer, other controllers, operators.
    Priority,
    /// Users, and senders of all other requests.
    User,
    /// Workers that report, directly or forwarded by a peer.
    Report,
}

impl RequestClass {
    /// Class of a request that starts with these bytes.
    pub fn of_prefix(bytes: &[u8]) -> Self {
        match is_report(bytes) {
            true => Self::Report,
            false => Self::User,
        }
    }

    /// Class of a complete request.
    pub fn of(request: &Request) -> Self {
        let path = request.path.trim_start_matches('/');
        match (request.listener, path) {
            (Listener::Internal, "forward") => Self::Report,
            (Listener::Internal, _) | (_, "healthz") => Self::Priority,
            (_, "checkin") => Self::Report,
            _ => Self::User,
        }
    }
}

/// Whether a request that starts with these bytes is a worker's report.
pub fn is_report(prefix: &[u8]) -> bool {
    prefix.starts_with(b"POST /checkin")
}

/// A request and when its first byte arrived.
#[derive(Debug)]
struct QueuedRequest {
    since: Duration,
    request: Request,
}

impl QueuedRequest {
    fn is_expired(&self, now: Duration, class: RequestClass) -> bool {
        let Request {
            listener,
            method,
            path,
            ..
        } = &self.request;
        let client = ClientKind::of(*listener, *method, path);
        class != RequestClass::Priority && now >= self.since + client.timeout()
    }
}

/// The requests and connections to handle in one turn.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    /// Requests to answer, in this order.
    pub requests: Vec<Request>,
    /// Users' requests that have timed out, to be refused with a retry time.
    pub expired_users: Vec<Request>,
    /// Workers' reports that have timed out.
    pub expired_reports: Vec<Request>,
    /// New connections of workers to read from.
    pub read_from: Vec<SocketId>,
    /// New connections of workers that have timed out.
    pub expired_sockets: Vec<SocketId>,
}

/// The incoming requests that wait, by class.
#[derive(Debug, Default)]
pub(crate) struct RequestQueue {
    priority: VecDeque<QueuedRequest>,
    users: VecDeque<QueuedRequest>,
    reports: VecDeque<QueuedRequest>,
    /// New connections that carry a report and have not been read yet.
    connections: VecDeque<(Duration, SocketId)>,
}

impl RequestQueue {
    /// Adds a new connection that carries a worker's report.
    pub fn push_connection(&mut self, now: Duration, id: SocketId) {
        self.connections.push_back((now, id));
    }

    /// Adds a request.
    pub fn push(&mut self, now: Duration, class: RequestClass, request: Request) {
        let since = now.saturating_sub(request.receipt_time);
        let queue = match class {
            RequestClass::Priority => &mut self.priority,
            RequestClass::User => &mut self.users,
            RequestClass::Report => &mut self.reports,
        };
        queue.push_back(QueuedRequest { since, request });
    }

    /// Whether no request and no connection waits.
    pub fn is_empty(&self) -> bool {
        self.priority.is_empty()
            && self.users.is_empty()
            && self.reports.is_empty()
            && self.connections.is_empty()
    }

    /// Whether a request waits that goes before workers' reports.
    pub fn is_urgent(&self) -> bool {
        !self.priority.is_empty() || !self.users.is_empty()
    }

    /// Removes and returns the next batch.
    pub fn next_batch(&mut self, now: Duration) -> Batch {
        let mut batch = Batch::default();
        let priority = self.priority.drain(..).map(|w| w.request);
        batch.requests.extend(priority);
        let mut left = MAX_PER_BATCH;
        while left > 0
            && let Some(waiting) = self.users.pop_front()
        {
            if waiting.is_expired(now, RequestClass::User) {
                batch.expired_users.push(waiting.request);
            } else {
                batch.requests.push(waiting.request);
                left -= 1;
            }
        }
        while let Some(oldest) = self.reports.front()
            && oldest.is_expired(now, RequestClass::Report)
            && let Some(oldest) = self.reports.pop_front()
        {
            batch.expired_reports.push(oldest.request);
        }
        let newest = self.reports.len().saturating_sub(MAX_PER_BATCH);
        let newest = self.reports.drain(newest..).rev().map(|w| w.request);
        let before = batch.requests.len();
        batch.requests.extend(newest);
        while let Some((since, id)) = self.connections.front().copied()
            && now >= since + REPORT_TIMEOUT
        {
            self.connections.pop_front();
            batch.expired_sockets.push(id);
        }
        let left = MAX_PER_BATCH - (batch.requests.len() - before);
        let newest = self.connections.len().saturating_sub(left);
        let newest = self.connections.drain(newest..).rev().map(|(_, id)| id);
        batch.read_from.extend(newest);
        batch
    }
}

#[cfg(test)]
mod tests;
