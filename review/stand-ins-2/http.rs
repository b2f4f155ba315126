//! A small HTTP/1.1 server and client on loopback.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

pub struct Req {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn q(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v)
    }
}

pub enum Resp {
    Answer(u16, Vec<u8>),
    /// Close the connection without an answer.
    Close,
}

pub type Handler = Arc<dyn Fn(Req) -> Resp + Send + Sync>;

/// Serves a free port of 127.0.0.1 until the process ends.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("the port");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || connection(&stream, &handler));
        }
    });
    addr
}

/// A free port: it is bound and given up again.
pub fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("the port")
}

fn connection(stream: &TcpStream, handler: &Handler) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut out = stream;
    loop {
        let (first, headers) = head(&mut reader)?;
        let mut parts = first.split(' ');
        let method = parts.next()?.to_owned();
        let target = parts.next()?.to_owned();
        let target = match target.strip_prefix("http://") {
            Some(rest) => rest[rest.find('/')?..].to_owned(),
            None => target,
        };
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query.split('&').filter_map(|p| p.split_once('='));
        let query = query
            .map(|(k, v)| (k.to_owned(), v.replace("%2F", "/")))
            .collect();
        let body = body(&mut reader, &headers)?;
        let close = header(&headers, "connection").eq_ignore_ascii_case("close");
        let path = path.to_owned();
        match handler(Req {
            method,
            path,
            query,
            body,
        }) {
            Resp::Close => {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return None;
            }
            Resp::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/msgpack\r\ncontent-length: {}\r\n{}\r\n",
                    body.len(),
                    if close { "connection: close\r\n" } else { "" }
                );
                let mut message = head.into_bytes();
                message.extend(body);
                out.write_all(&message).ok()?;
            }
        }
        if close {
            return None;
        }
    }
}

type Headers = Vec<(String, String)>;

fn header<'a>(headers: &'a Headers, name: &str) -> &'a str {
    let found = headers.iter().find(|(n, _)| n == name);
    found.map_or("", |(_, v)| v.as_str())
}

fn head(reader: &mut impl BufRead) -> Option<(String, Headers)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn body(reader: &mut impl BufRead, headers: &Headers) -> Option<Vec<u8>> {
    if header(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        let mut all = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let n = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; n + 2];
            reader.read_exact(&mut chunk).ok()?;
            if n == 0 {
                return Some(all);
            }
            all.extend(&chunk[..n]);
        }
    }
    let n = header(headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; n];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after: f64,
}

/// Sends one request over a new connection; the error says why there is no answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    extra: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Answer, String> {
    let ends = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&addr, timeout).map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let left = ends.saturating_duration_since(Instant::now());
    let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
    let mut message = format!(
        "{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n{extra}content-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    message.extend(body);
    (&stream).write_all(&message).map_err(|e| e.to_string())?;
    let mut reader = BufReader::new(&stream);
    let none = || "no answer".to_owned();
    let (first, headers) = head(&mut reader).ok_or_else(none)?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .ok_or_else(none)?;
    let body = self::body(&mut reader, &headers).ok_or_else(none)?;
    let retry_after = header(&headers, "retry-after").parse().unwrap_or(0.0);
    Ok(Answer {
        status,
        body,
        retry_after,
    })
}
