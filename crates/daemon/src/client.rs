//! Requests that we make, over connections kept open.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{
    Method as HttpMethod, Request, Url,
    headers::{CONNECTION, CONTENT_TYPE, RETRY_AFTER},
};
use oliveshift_core::{Call, Method, Reply, sockets::OutboundKind};

use crate::stream::Stream;

/// For how long a connection without use is kept.
const KEEP: Duration = Duration::from_secs(20);
/// Most idle connections to one address.
const KEEP_MOST: usize = 6;

/// A connection not in use.
#[derive(Debug)]
struct Idle {
    stream: Stream,
    lane: OutboundKind,
    since: Instant,
}

/// Connections not in use, by address, the longest unused first.
#[derive(Debug, Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    kept: Cell<[usize; 3]>,
}

impl Client {
    /// Makes a request and says what came of it.
    pub async fn call(&self, addr: SocketAddr, call: &Call) -> Reply {
        self.call_told(addr, call).await.0
    }

    /// The same, and when to come back if that was said.
    pub async fn call_told(&self, addr: SocketAddr, call: &Call) -> (Reply, Option<Duration>) {
        self.call_kind(addr, call, None).await
    }

    /// The same, with a body of a kind that has to be told.
    pub async fn call_kind(
        &self,
        addr: SocketAddr,
        call: &Call,
        kind: Option<&str>,
    ) -> (Reply, Option<Duration>) {
        let started = Instant::now();
        let (stream, kept) = match self.take(addr) {
            Some(stream) => (stream, true),
            None => match self.connect(addr, call.timeout).await {
                Some(stream) => (stream, false),
                None => return (Reply::NotSent, None),
            },
        };
        let left = call.timeout.saturating_sub(started.elapsed());
        let exchange = async {
            exchange(&stream, addr, call, kind)
                .await
                .unwrap_or_else(|e| {
                    log::debug!("{addr}{}: {e} (kept connection: {kept})", call.path);
                    Exchanged::LOST
                })
        };
        let late = async {
            Timer::after(left).await;
            Exchanged::LOST
        };
        let done = exchange.or(late).await;
        if done.keep {
            self.put(addr, OutboundKind::of(&call.to), stream);
        }
        (done.reply, done.come_back)
    }

    async fn connect(&self, addr: SocketAddr, timeout: Duration) -> Option<Stream> {
        let connect = async { Async::<TcpStream>::connect(addr).await.ok() };
        let late = async {
            Timer::after(timeout).await;
            None
        };
        connect.or(late).await.map(Stream::new)
    }

    fn take(&self, addr: SocketAddr) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.get_mut(&addr)?;
        while let Some(idle) = streams.pop() {
            self.count(idle.lane, |kept| kept - 1);
            if idle.stream.is_idle() {
                return Some(idle.stream);
            }
        }
        None
    }

    fn put(&self, addr: SocketAddr, lane: OutboundKind, stream: Stream) {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.entry(addr).or_default();
        if streams.len() < KEEP_MOST {
            let since = Instant::now();
            streams.push(Idle {
                stream,
                lane,
                since,
            });
            self.count(lane, |kept| kept + 1);
        }
    }

    fn count(&self, lane: OutboundKind, change: impl Fn(usize) -> usize) {
        let mut kept = self.kept.get();
        kept[lane as usize] = change(kept[lane as usize]);
        self.kept.set(kept);
    }

    /// How many connections are kept, by lane.
    pub fn kept(&self) -> [usize; 3] {
        self.kept.get()
    }

    /// Closes connections that have not been used for a while.
    pub fn prune(&self) {
        self.retain(|idle| idle.since.elapsed() < KEEP);
    }

    /// Closes the longest unused connections of a lane.
    pub fn close(&self, lane: OutboundKind, count: usize) {
        let mut since: Vec<_> = {
            let idle = self.idle.borrow();
            let of_lane = idle.values().flatten().filter(|i| i.lane == lane);
            of_lane.map(|i| i.since).collect()
        };
        since.sort();
        let Some(last) = since.get(count.min(since.len()).wrapping_sub(1)) else {
            return;
        };
        self.retain(|idle| idle.lane != lane || idle.since > *last);
    }

    fn retain(&self, keep: impl Fn(&Idle) -> bool) {
        self.idle.borrow_mut().retain(|_, streams| {
            streams.retain(|idle| {
                let keep = keep(idle);
                if !keep {
                    self.count(idle.lane, |kept| kept - 1);
                }
                keep
            });
            !streams.is_empty()
        });
    }
}

/// What came of a request.
struct Exchanged {
    reply: Reply,
    /// Whether the connection can be used again.
    keep: bool,
    come_back: Option<Duration>,
}

impl Exchanged {
    const LOST: Self = Self {
        reply: Reply::Lost,
        keep: false,
        come_back: None,
    };
}

async fn exchange(
    stream: &Stream,
    addr: SocketAddr,
    call: &Call,
    kind: Option<&str>,
) -> http_types::Result<Exchanged> {
    let url = Url::parse(&format!("http://{addr}{}", call.path))?;
    let method = match call.method {
        Method::Get | Method::Other => HttpMethod::Get,
        Method::Post => HttpMethod::Post,
        Method::Delete => HttpMethod::Delete,
        Method::Put => HttpMethod::Put,
    };
    let mut request = Request::new(method, url);
    request.set_body(call.body.as_slice());
    if let Some(kind) = kind {
        request.insert_header(CONTENT_TYPE, kind);
    }
    let mut response = async_h1::client::connect(stream.clone(), request).await?;
    let close = response
        .header(CONNECTION)
        .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
    let come_back = response.header(RETRY_AFTER).and_then(|after| {
        let seconds = after.as_str().trim().parse().ok()?;
        Some(Duration::from_secs(seconds))
    });
    let status = u16::from(response.status());
    let mut body = Vec::new();
    response.take_body().read_to_end(&mut body).await?;
    Ok(Exchanged {
        reply: Reply::Answer { status, body },
        keep: !close,
        come_back,
    })
}
