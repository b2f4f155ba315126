//! A small HTTP/1.1 server and client on threads, for loopback addresses only.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    time::{Duration, Instant},
};

/// A request as received.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    /// Path with the query.
    pub path: String,
    pub body: Vec<u8>,
}

/// Status and body of an answer; `None` closes the connection without an answer.
pub type Answer = Option<(u16, Vec<u8>)>;
pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// A listener of a stand-in, on a free port. The programs under test listen on another loopback
/// address, so that no stand-in takes a port of theirs while they are down.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.2:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

/// Free ports for the programs under test, below those that the system gives to connections.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    let mut port = 12_000 + (std::process::id() % 1000) as u16 * 16;
    let mut found: Vec<TcpListener> = Vec::new();
    while found.len() < count {
        port = if port >= 30_000 { 12_000 } else { port + 1 };
        found.extend(TcpListener::bind(("127.0.0.1", port)));
    }
    found
        .iter()
        .map(|l| l.local_addr().expect("an address"))
        .collect()
}

/// Serves a listener until the process ends, a thread for each connection.
pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &handler);
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let Some((first, headers)) = read_head(&mut reader)? else {
            return Ok(());
        };
        let body = read_body(&mut reader, &headers, false)?;
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let path = words.next().unwrap_or_default().to_owned();
        let close = header(&headers, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        let Some((status, body)) = handler(Request { method, path, body }) else {
            return Ok(());
        };
        write!(
            writer,
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
            body.len()
        )?;
        writer.write_all(&body)?;
        writer.flush()?;
        if close {
            return Ok(());
        }
    }
}

type Headers = Vec<(String, String)>;

fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n == name);
    found.map(|(_, value)| value.as_str())
}

fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<(String, Headers)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &Headers,
    to_end: bool,
) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if header(headers, "transfer-encoding").is_some_and(|t| t.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend(&chunk[..size]);
        }
    }
    match header(headers, "content-length").and_then(|l| l.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if to_end => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be made: the request was not sent.
    NotSent,
    /// No answer in time, or the connection was closed.
    NoAnswer,
}

/// Sends a request over a new connection and returns status, `Retry-After` and body.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<(u16, Option<u64>, Vec<u8>), Failure> {
    let started = Instant::now();
    let connect = Duration::from_millis(500).min(timeout);
    let mut stream = TcpStream::connect_timeout(&addr, connect).map_err(|_| Failure::NotSent)?;
    let exchange = move || -> std::io::Result<(u16, Option<u64>, Vec<u8>)> {
        stream.set_nodelay(true)?;
        let left = timeout.saturating_sub(started.elapsed());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        )?;
        stream.write_all(body)?;
        let mut reader = BufReader::new(stream);
        let (first, headers) = read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
        let status = status.ok_or(std::io::ErrorKind::InvalidData)?;
        let after = header(&headers, "retry-after").and_then(|a| a.parse().ok());
        let body = read_body(&mut reader, &headers, true)?;
        Ok((status, after, body))
    };
    exchange().map_err(|_| Failure::NoAnswer)
}
