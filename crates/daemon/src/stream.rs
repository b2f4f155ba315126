//! Listening, and a TCP stream that several owners may read and write, and that
//! stops giving out bytes once its allowance is used up.

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

/// How long to wait after an address could not be bound or accepted from.
const RETRY: Duration = Duration::from_millis(200);

/// Listens at an address; if that can't be had, it is tried until it can.
pub async fn bind(addr: SocketAddrV4) -> Async<TcpListener> {
    loop {
        match Async::<TcpListener>::bind(addr) {
            Ok(listener) => return listener,
            Err(e) => log::error!("{addr} can not be listened on: {e}"),
        }
        Timer::after(RETRY).await;
    }
}

/// The next connection.
pub async fn accept(listener: &Async<TcpListener>) -> Async<TcpStream> {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => return tcp,
            Err(e) => log::error!("connections can not be accepted: {e}"),
        }
        Timer::after(RETRY).await;
    }
}

/// The stream; clones share it.
#[derive(Clone, Debug)]
pub struct Stream {
    tcp: Arc<Async<TcpStream>>,
    allowance: Arc<AtomicUsize>,
}

impl Stream {
    /// A stream without limit.
    pub fn new(tcp: Async<TcpStream>) -> Self {
        // Our messages are small and waited for.
        let _ = tcp.get_ref().set_nodelay(true);
        Self {
            tcp: Arc::new(tcp),
            allowance: Arc::new(AtomicUsize::new(usize::MAX)),
        }
    }

    /// Sets how many bytes may still be read; after that the stream looks as
    /// if it had ended.
    pub fn allow(&self, bytes: usize) {
        self.allowance.store(bytes, Ordering::Relaxed);
    }

    /// The first bytes that come, left to be read again; none: it was closed.
    pub async fn beginning(&self) -> Option<Vec<u8>> {
        let mut bytes = [0; 16];
        match self.tcp.peek(&mut bytes).await {
            Ok(0) | Err(_) => None,
            Ok(n) => Some(bytes[..n].to_vec()),
        }
    }

    /// Whether nothing unexpected has come in on an idle connection.
    pub fn is_idle(&self) -> bool {
        let peeked = self.tcp.get_ref().peek(&mut [0]);
        matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the other side has closed it.
    pub fn is_gone(&self) -> bool {
        let peeked = self.tcp.get_ref().peek(&mut [0]);
        !matches!(peeked, Ok(1..))
            && !matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Says that we write no more.
    pub fn finish(&self) {
        let _ = self.tcp.get_ref().shutdown(Shutdown::Write);
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let left = self.allowance.load(Ordering::Relaxed);
        if left == 0 {
            return Poll::Ready(Ok(0));
        }
        let most = buf.len().min(left);
        let read = Pin::new(&mut &*self.tcp).poll_read(cx, &mut buf[..most]);
        if let Poll::Ready(Ok(n)) = read {
            let _ = self
                .allowance
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                    Some(if left == usize::MAX {
                        left
                    } else {
                        left - n.min(left)
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
