//! Listening, and a TCP stream that has several owners and limits how many bytes are read.

use std::{
    io,
    net::{Shutdown, SocketAddrV4, TcpListener, TcpStream},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
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

/// A TCP stream; clones share the connection and the read budget.
#[derive(Clone, Debug)]
pub struct Stream {
    tcp: Arc<Async<TcpStream>>,
    read_budget: Arc<AtomicUsize>,
}

impl Stream {
    /// Creates a stream without a read limit.
    pub fn new(tcp: Async<TcpStream>) -> Self {
        // Messages are small, and the peer waits for each of them.
        let _ = tcp.get_ref().set_nodelay(true);
        Self {
            tcp: Arc::new(tcp),
            read_budget: Arc::new(AtomicUsize::new(usize::MAX)),
        }
    }

    /// Sets how many more bytes may be read; after that, reads return end of stream.
    pub fn set_read_budget(&self, bytes: usize) {
        self.read_budget.store(bytes, Ordering::Relaxed);
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
        let remaining = self.read_budget.load(Ordering::Relaxed);
        if remaining == 0 {
            return Poll::Ready(Ok(0));
        }
        let max_len = buf.len().min(remaining);
        let read = Pin::new(&mut &*self.tcp).poll_read(cx, &mut buf[..max_len]);
        if let Poll::Ready(Ok(n)) = read {
            let _ =
                self.read_budget
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| {
                        Some(if remaining == usize::MAX {
                            remaining
                        } else {
                            remaining - n.min(remaining)
                        })
                    });
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
