//! Listening, and a TCP stream that has several owners and limits how much is received, and for how
//! long.

use std::{
    io,
    net::{Shutdown, SocketAddrV4, TcpListener, TcpStream},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite};

/// Delay before binding an address or accepting a connection is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Listens on an address; retries until it can be bound.
pub async fn bind(addr: SocketAddrV4) -> Async<TcpListener> {
    loop {
        match Async::<TcpListener>::bind(addr) {
            Ok(listener) => return listener,
            Err(e) => log::error!("{addr}: cannot listen, retrying: {e}"),
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}

/// Accepts the next connection; retries after errors.
pub async fn accept(listener: &Async<TcpListener>) -> Async<TcpStream> {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => return tcp,
            Err(e) => log::error!("cannot accept connections, retrying: {e}"),
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}

/// How far the receipt of a message has come, and its limits.
#[derive(Debug)]
struct Receipt {
    /// How many more bytes may be read.
    budget: usize,
    /// When the first byte came in.
    started: Option<Instant>,
    /// How long it may take, from the first byte; `None` if that is not limited.
    timeout: Option<Duration>,
    /// Fires when the receipt has to end. Set while more bytes are awaited.
    timer: Option<Timer>,
}

impl Receipt {
    fn new(budget: usize, timeout: Option<Duration>) -> Self {
        Self {
            budget,
            started: None,
            timeout,
            timer: None,
        }
    }

    fn received(&mut self, bytes: usize) {
        self.started.get_or_insert_with(Instant::now);
        if self.budget != usize::MAX {
            self.budget -= bytes.min(self.budget);
        }
    }

    /// When the receipt has to end; `None` while it has not begun.
    fn ends_at(&self) -> Option<Instant> {
        Some(self.started? + self.timeout?)
    }

    /// Waits for the end of the receipt while no bytes are there to be read.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(ends_at) = self.ends_at() else {
            return Poll::Pending;
        };
        let timer = self.timer.get_or_insert_with(|| Timer::at(ends_at));
        Pin::new(timer).poll(cx).map(|_| ())
    }
}

/// A TCP stream; clones share the connection and the limits of what is received.
#[derive(Clone, Debug)]
pub struct Stream {
    tcp: Arc<Async<TcpStream>>,
    receipt: Arc<Mutex<Receipt>>,
}

impl Stream {
    /// Creates a stream without a read limit.
    pub fn new(tcp: Async<TcpStream>) -> Self {
        // Messages are small, and the peer waits for each of them.
        let _ = tcp.get_ref().set_nodelay(true);
        Self {
            tcp: Arc::new(tcp),
            receipt: Arc::new(Mutex::new(Receipt::new(usize::MAX, None))),
        }
    }

    fn receipt(&self) -> MutexGuard<'_, Receipt> {
        self.receipt.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins to receive a message of up to `max_bytes`; after that, reads return end of stream.
    pub fn begin_receipt(&self, max_bytes: usize) {
        *self.receipt() = Receipt::new(max_bytes, None);
    }

    /// Sets how long the message may take to arrive, from its first byte on. After that, reads
    /// fail with [`io::ErrorKind::TimedOut`] unless there is data.
    pub fn limit_receipt_time(&self, timeout: Duration) {
        let mut receipt = self.receipt();
        receipt.timeout = Some(timeout);
        receipt.timer = None;
    }

    /// Time since the first byte of the message; zero if none has come in.
    pub fn receipt_time(&self) -> Duration {
        let started = self.receipt().started;
        started.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Whether a message has begun to arrive and its time is over.
    pub fn is_receipt_overdue(&self) -> bool {
        let ends_at = self.receipt().ends_at();
        ends_at.is_some_and(|at| Instant::now() >= at)
    }

    /// Whether as many bytes as the message may have were read.
    pub fn is_budget_spent(&self) -> bool {
        self.receipt().budget == 0
    }

    /// Waits for the first bytes of a request and returns them without consuming them; `None`
    /// if the connection was closed or has failed.
    pub async fn peek_prefix(&self) -> Option<Vec<u8>> {
        let mut bytes = [0; 16];
        match self.tcp.peek(&mut bytes).await {
            Ok(0) | Err(_) => None,
            Ok(n) => Some(bytes[..n].to_vec()),
        }
    }

    /// Whether the connection is open and no data is waiting to be read.
    pub fn is_idle(&self) -> bool {
        let peeked = self.tcp.get_ref().peek(&mut [0]);
        matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the peer has closed the connection, or it has failed.
    pub fn is_closed(&self) -> bool {
        let peeked = self.tcp.get_ref().peek(&mut [0]);
        !matches!(peeked, Ok(1..))
            && !matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Closes the connection for writing.
    pub fn shutdown_write(&self) {
        let _ = self.tcp.get_ref().shutdown(Shutdown::Write);
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut receipt = self.receipt();
        if receipt.budget == 0 {
            return Poll::Ready(Ok(0));
        }
        let max_len = buf.len().min(receipt.budget);
        let read = Pin::new(&mut &*self.tcp).poll_read(cx, &mut buf[..max_len]);
        match read {
            Poll::Ready(Ok(bytes)) if bytes > 0 => receipt.received(bytes),
            Poll::Pending if receipt.poll_end(cx).is_ready() => {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            _ => {}
        }
        read
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.tcp).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.tcp).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.tcp).poll_close(cx)
    }
}
