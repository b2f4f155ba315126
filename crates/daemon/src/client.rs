//! An HTTP client that keeps idle connections open for reuse.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{
    Method as HttpMethod, Request, StatusCode, Url,
    headers::{CONNECTION, CONTENT_TYPE, RETRY_AFTER},
};
use oliveshift_core::{Call, Method, Reply, sockets::OutboundKind};
use oliveshift_wire::{IdempotencyKey, idempotency_key::IDEMPOTENCY_KEY_HEADER};

use crate::stream::Stream;

/// How long an unused connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 6;

/// A connection that is not in use.
#[derive(Debug)]
struct IdleConnection {
    stream: Stream,
    kind: OutboundKind,
    since: Instant,
}

/// Headers of a request, apart from those of each request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestHeaders<'a> {
    /// Type of the body.
    pub content_type: Option<&'a str>,
    /// Key by which the server recognizes a repeat of the request.
    pub idempotency_key: Option<&'a IdempotencyKey>,
}

/// An HTTP client; holds its idle connections by address, the longest unused first.
#[derive(Debug, Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    idle_counts: Cell<[usize; 3]>,
}

impl Client {
    /// Sends a request and returns its result.
    pub async fn call(&self, addr: SocketAddr, call: &Call) -> Reply {
        self.call_with_retry_after(addr, call).await.0
    }

    /// Sends a request and returns its result and the `Retry-After` of the answer.
    pub async fn call_with_retry_after(
        &self,
        addr: SocketAddr,
        call: &Call,
    ) -> (Reply, Option<Duration>) {
        self.call_with_headers(addr, call, RequestHeaders::default())
            .await
    }

    /// Like [`Self::call_with_retry_after`], with further headers.
    pub async fn call_with_headers(
        &self,
        addr: SocketAddr,
        call: &Call,
        headers: RequestHeaders<'_>,
    ) -> (Reply, Option<Duration>) {
        let started = Instant::now();
        let (stream, reused) = match self.take_idle(addr) {
            Some(stream) => (stream, true),
            None => match self.connect(addr, call.timeout).await {
                Some(stream) => (stream, false),
                None => return (Reply::NotSent, None),
            },
        };
        let remaining = call.timeout.saturating_sub(started.elapsed());
        let exchange = async {
            exchange(&stream, addr, call, headers)
                .await
                .unwrap_or_else(|e| {
                    log::debug!("{addr}{}: {e} (reused connection: {reused})", call.path);
                    ExchangeResult::LOST
                })
        };
        let timed_out = async {
            Timer::after(remaining).await;
            ExchangeResult::LOST
        };
        let result = exchange.or(timed_out).await;
        if result.reusable {
            self.put_idle(addr, OutboundKind::of(&call.to), stream);
        }
        (result.reply, result.retry_after)
    }

    async fn connect(&self, addr: SocketAddr, timeout: Duration) -> Option<Stream> {
        let connect = async { Async::<TcpStream>::connect(addr).await.ok() };
        let timed_out = async {
            Timer::after(timeout).await;
            None
        };
        connect.or(timed_out).await.map(Stream::new)
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.get_mut(&addr)?;
        while let Some(idle) = streams.pop() {
            self.update_idle_count(idle.kind, |count| count - 1);
            if idle.stream.is_idle() {
                return Some(idle.stream);
            }
        }
        None
    }

    fn put_idle(&self, addr: SocketAddr, kind: OutboundKind, stream: Stream) {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.entry(addr).or_default();
        if streams.len() < MAX_IDLE_PER_ADDRESS {
            let since = Instant::now();
            streams.push(IdleConnection {
                stream,
                kind,
                since,
            });
            self.update_idle_count(kind, |count| count + 1);
        }
    }

    fn update_idle_count(&self, kind: OutboundKind, change: impl Fn(usize) -> usize) {
        let mut counts = self.idle_counts.get();
        counts[kind as usize] = change(counts[kind as usize]);
        self.idle_counts.set(counts);
    }

    /// The number of idle connections, by [`OutboundKind`].
    pub fn idle_counts(&self) -> [usize; 3] {
        self.idle_counts.get()
    }

    /// Closes connections that have been unused for [`IDLE_TIMEOUT`].
    pub fn prune(&self) {
        self.retain(|idle| idle.since.elapsed() < IDLE_TIMEOUT);
    }

    /// Closes the `count` longest unused connections of a kind.
    pub fn close_idle(&self, kind: OutboundKind, count: usize) {
        let mut since: Vec<_> = {
            let idle = self.idle.borrow();
            let of_kind = idle.values().flatten().filter(|i| i.kind == kind);
            of_kind.map(|i| i.since).collect()
        };
        since.sort();
        let Some(last) = since.get(count.min(since.len()).wrapping_sub(1)) else {
            return;
        };
        self.retain(|idle| idle.kind != kind || idle.since > *last);
    }

    fn retain(&self, keep: impl Fn(&IdleConnection) -> bool) {
        self.idle.borrow_mut().retain(|_, streams| {
            streams.retain(|idle| {
                let keep = keep(idle);
                if !keep {
                    self.update_idle_count(idle.kind, |count| count - 1);
                }
                keep
            });
            !streams.is_empty()
        });
    }
}

/// The result of a request.
struct ExchangeResult {
    reply: Reply,
    /// Whether the connection can be reused.
    reusable: bool,
    retry_after: Option<Duration>,
}

impl ExchangeResult {
    const LOST: Self = Self {
        reply: Reply::Lost,
        reusable: false,
        retry_after: None,
    };
}

async fn exchange(
    stream: &Stream,
    addr: SocketAddr,
    call: &Call,
    headers: RequestHeaders<'_>,
) -> http_types::Result<ExchangeResult> {
    let url = Url::parse(&format!("http://{addr}{}", call.path))?;
    let method = match call.method {
        Method::Get | Method::Other => HttpMethod::Get,
        Method::Post => HttpMethod::Post,
        Method::Delete => HttpMethod::Delete,
        Method::Put => HttpMethod::Put,
    };
    let mut request = Request::new(method, url);
    request.set_body(call.body.as_slice());
    if let Some(content_type) = headers.content_type {
        request.insert_header(CONTENT_TYPE, content_type);
    }
    if let Some(key) = headers.idempotency_key {
        request.insert_header(IDEMPOTENCY_KEY_HEADER, key.to_string());
    }
    let mut response = async_h1::client::connect(stream.clone(), request).await?;
    let close = response
        .header(CONNECTION)
        .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
    let retry_after = response.header(RETRY_AFTER).and_then(|after| {
        let seconds = after.as_str().trim().parse().ok()?;
        Some(Duration::from_secs(seconds))
    });
    let status = u16::from(response.status());
    let expected_len = response.len();
    let mut body = Vec::new();
    response.take_body().read_to_end(&mut body).await?;
    if expected_len.is_some_and(|expected| body.len() < expected) {
        let message = "the connection was closed within the answer's body";
        return Err(http_types::Error::from_str(StatusCode::BadGateway, message));
    }
    Ok(ExchangeResult {
        reply: Reply::Answer { status, body },
        reusable: !close,
        retry_after,
    })
}
