//! Requests that came in and wait for their turn: which go first, and which are
//! answered no more.
//!
//! On time there is one at a turn, and it is taken at once. Whoever is behind
//! has many:
//!
//! 1. probes, controllers and operators go first, and all of them;
//! 2. users are taken as they came, so many at a turn, and
//! 3. besides them so many reports of workers, the newest first: whoever has
//!    waited for long gives up soon, and comes again elsewhere;
//! 4. workers that come over a new connection are not even read as long as
//!    those that have one are that many.
//!
//! What nobody waits for any more is dropped. All once went as they came: a
//! controller that was behind by the four seconds after which workers give up
//! then did nothing but answer those who had given up, who came again
//! elsewhere until all were behind for good, users with them.

use std::{collections::VecDeque, time::Duration};

use crate::{
    call::{Listener, Method, Request},
    sockets::SocketId,
};

/// So many users, and so many reports, are taken at a turn.
const MAX_PER_BATCH: usize = 8;
/// A worker gives a report up after this.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// A user gives up asking how a job is after this, and
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// anything else after this.
const USER_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Who asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestClass {
    /// The load balancer, other controllers, operators.
    Priority,
    /// Users, and whoever else it may be.
    User,
    /// Workers that report, by way of a peer or not.
    Report,
}

impl RequestClass {
    /// Who sent a request that begins like this.
    pub fn of_prefix(bytes: &[u8]) -> Self {
        match is_report(bytes) {
            true => Self::Report,
            false => Self::User,
        }
    }

    /// Who sent this request.
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

/// Whether a request that begins like this is a worker's report.
pub fn is_report(beginning: &[u8]) -> bool {
    beginning.starts_with(b"POST /checkin")
}

/// A request, and when it came.
#[derive(Debug)]
struct QueuedRequest {
    since: Duration,
    request: Request,
}

impl QueuedRequest {
    fn is_late(&self, now: Duration, class: RequestClass) -> bool {
        let patience = match (class, self.request.method) {
            (RequestClass::Priority, _) => return false,
            (RequestClass::Report, _) => REPORT_TIMEOUT,
            (RequestClass::User, Method::Get) => POLL_TIMEOUT,
            (RequestClass::User, _) => USER_REQUEST_TIMEOUT,
        };
        now >= self.since + patience
    }
}

/// What is to be done at a turn.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    /// To be answered, in this order.
    pub requests: Vec<Request>,
    /// Users to be told to come back.
    pub expired_users: Vec<Request>,
    /// Reports that nobody waits for any more.
    pub expired_reports: Vec<Request>,
    /// New connections of workers to be read.
    pub read_from: Vec<SocketId>,
    /// Those that nobody waits at any more.
    pub expired_sockets: Vec<SocketId>,
}

/// All requests that wait.
#[derive(Debug, Default)]
pub(crate) struct RequestQueue {
    priority: VecDeque<QueuedRequest>,
    users: VecDeque<QueuedRequest>,
    reports: VecDeque<QueuedRequest>,
    /// New connections over which reports come, not read yet.
    arrived: VecDeque<(Duration, SocketId)>,
}

impl RequestQueue {
    /// A report comes over a new connection.
    pub fn push_connection(&mut self, now: Duration, id: SocketId) {
        self.arrived.push_back((now, id));
    }

    /// A request came in.
    pub fn push(&mut self, now: Duration, class: RequestClass, request: Request) {
        let since = now;
        let queue = match class {
            RequestClass::Priority => &mut self.priority,
            RequestClass::User => &mut self.users,
            RequestClass::Report => &mut self.reports,
        };
        queue.push_back(QueuedRequest { since, request });
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.priority.is_empty()
            && self.users.is_empty()
            && self.reports.is_empty()
            && self.arrived.is_empty()
    }

    /// Whether somebody waits who goes before workers.
    pub fn is_urgent(&self) -> bool {
        !self.priority.is_empty() || !self.users.is_empty()
    }

    /// Takes out what is to be done now.
    pub fn next_batch(&mut self, now: Duration) -> Batch {
        let mut batch = Batch::default();
        let priority = self.priority.drain(..).map(|w| w.request);
        batch.requests.extend(priority);
        let mut left = MAX_PER_BATCH;
        while left > 0
            && let Some(waiting) = self.users.pop_front()
        {
            if waiting.is_late(now, RequestClass::User) {
                batch.expired_users.push(waiting.request);
            } else {
                batch.requests.push(waiting.request);
                left -= 1;
            }
        }
        while let Some(oldest) = self.reports.front()
            && oldest.is_late(now, RequestClass::Report)
            && let Some(oldest) = self.reports.pop_front()
        {
            batch.expired_reports.push(oldest.request);
        }
        let newest = self.reports.len().saturating_sub(MAX_PER_BATCH);
        let newest = self.reports.drain(newest..).rev().map(|w| w.request);
        let before = batch.requests.len();
        batch.requests.extend(newest);
        while let Some((since, id)) = self.arrived.front().copied()
            && now >= since + REPORT_TIMEOUT
        {
            self.arrived.pop_front();
            batch.expired_sockets.push(id);
        }
        let left = MAX_PER_BATCH - (batch.requests.len() - before);
        let newest = self.arrived.len().saturating_sub(left);
        let newest = self.arrived.drain(newest..).rev().map(|(_, id)| id);
        batch.read_from.extend(newest);
        batch
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(conn: u64, method: Method, path: &str) -> Request {
        Request {
            conn,
            socket: SocketId(conn),
            listener: Listener::Public,
            method,
            path: path.into(),
            body: Vec::new(),
        }
    }

    /// A slow model: one list, looked through for each kind at each turn.
    #[derive(Default)]
    struct ReferenceModel(Vec<(u64, Duration, RequestClass, Method)>);

    impl ReferenceModel {
        fn batch(&mut self, now: Duration) -> [Vec<u64>; 3] {
            let mut done = [vec![], vec![], vec![]];
            let limit = |class: RequestClass, method| match (class, method) {
                (RequestClass::Priority, _) => Duration::MAX,
                (RequestClass::Report, _) => Duration::from_secs(4),
                (_, Method::Get) => Duration::from_secs(2),
                _ => Duration::from_secs(5),
            };
            let late = |r: &(u64, Duration, RequestClass, Method)| now - r.1 >= limit(r.2, r.3);
            let of = |class| move |r: &&(u64, Duration, RequestClass, Method)| r.2 == class;
            done[0].extend(
                self.0
                    .iter()
                    .filter(of(RequestClass::Priority))
                    .map(|r| r.0),
            );
            for user in self.0.iter().filter(of(RequestClass::User)) {
                if done[0].len() - self.0.iter().filter(of(RequestClass::Priority)).count()
                    == MAX_PER_BATCH
                {
                    break;
                }
                done[usize::from(late(user))].push(user.0);
            }
            type Of<'a> = Vec<&'a (u64, Duration, RequestClass, Method)>;
            let reports = self.0.iter().filter(of(RequestClass::Report));
            let (old, good): (Of, Of) = reports.partition(|r| late(r));
            done[2].extend(old.iter().map(|r| r.0));
            done[0].extend(good.iter().rev().take(MAX_PER_BATCH).map(|r| r.0));
            self.0.retain(|r| done.iter().all(|d| !d.contains(&r.0)));
            done
        }
    }

    #[test]
    fn those_who_have_a_connection_go_first() {
        let (mut queue, s) = (RequestQueue::default(), Duration::from_secs);
        for n in 0..20 {
            queue.push_connection(s(1), SocketId(n));
        }
        for n in 0..5 {
            queue.push(
                s(2),
                RequestClass::Report,
                request(n, Method::Post, "/checkin"),
            );
        }
        let ids = |ids: std::ops::Range<u64>| ids.rev().map(SocketId).collect::<Vec<_>>();
        let batch = queue.next_batch(s(2));
        assert_eq!((batch.requests.len(), batch.read_from), (5, ids(17..20)));
        queue.push_connection(s(3), SocketId(20));
        let batch = queue.next_batch(s(4));
        let mut newest = vec![SocketId(20)];
        newest.extend(ids(10..17));
        assert_eq!((batch.read_from, batch.expired_sockets), (newest, vec![]));
        let batch = queue.next_batch(s(5));
        assert_eq!((batch.read_from, batch.expired_sockets.len()), (vec![], 10));
        assert!(queue.is_empty());
    }

    #[test]
    fn turns_are_those_of_the_model() {
        let mut rng = fastrand::Rng::with_seed(14);
        let (mut late, mut many) = (0, 0);
        for _ in 0..50 {
            let (mut queue, mut model) = (RequestQueue::default(), ReferenceModel::default());
            let mut now = Duration::ZERO;
            let crowd = rng.usize(1..60);
            for _ in 0..60 {
                for _ in 0..rng.usize(0..=crowd) {
                    let conn = rng.u64(..);
                    let (path, method) = match rng.u32(0..10) {
                        0 => ("/healthz", Method::Get),
                        1 | 2 => ("/work", Method::Post),
                        3 => ("/work/j-000001", Method::Get),
                        _ => ("/checkin", Method::Post),
                    };
                    let request = request(conn, method, path);
                    let class = RequestClass::of(&request);
                    model.0.push((conn, now, class, method));
                    queue.push(now, class, request);
                    now += Duration::from_millis(rng.u64(0..30));
                }
                let batch = queue.next_batch(now);
                let ids = |r: &[Request]| r.iter().map(|r| r.conn).collect::<Vec<_>>();
                let got = [
                    ids(&batch.requests),
                    ids(&batch.expired_users),
                    ids(&batch.expired_reports),
                ];
                assert_eq!(got, model.batch(now));
                assert_eq!(queue.is_empty(), model.0.is_empty());
                late += got[1].len().min(got[2].len());
                many += usize::from(got[0].len() > MAX_PER_BATCH);
            }
        }
        assert!(late > 10 && many > 100, "{late} {many}");
    }
}
