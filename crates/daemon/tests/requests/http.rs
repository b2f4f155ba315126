//! Requests as bytes on a connection, sent in parts if need be.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    time::Duration,
};

/// What a client does with its connection, one step after the other.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Waits.
    Wait(Duration),
    /// Closes the connection for writing.
    EndWriting,
    /// Closes the connection, with unread data if there is any.
    Close,
}

/// A request with an announced body.
pub fn request(method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    [head(method, path, body.len()).as_slice(), body].concat()
}

/// The head of a request that announces a body of `length` bytes.
pub fn head(method: &str, path: &str, length: usize) -> Vec<u8> {
    format!("{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n").into_bytes()
}

/// The head of a request whose body is sent in chunks.
pub fn chunked_head(method: &str, path: &str) -> Vec<u8> {
    format!("{method} {path} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n")
        .into_bytes()
}

/// A chunk of a body; an empty one ends the body.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// Sends a request and returns the status of the answer; `None` if none comes in time.
pub fn exchange(addr: SocketAddr, request: &[u8], timeout: Duration) -> Option<u16> {
    exchange_in_steps(addr, &[Step::Send(request.to_vec())], timeout)
}

/// Takes the steps on a new connection and returns the status of the answer; `None` if none comes
/// within `timeout` of the last step.
pub fn exchange_in_steps(addr: SocketAddr, steps: &[Step], timeout: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_nodelay(true).ok()?;
    for step in steps {
        match step {
            // The program may have closed the connection, with or without an answer.
            Step::Send(bytes) => drop(stream.write_all(bytes)),
            Step::Wait(time) => std::thread::sleep(*time),
            Step::EndWriting => drop(stream.shutdown(Shutdown::Write)),
            Step::Close => return None,
        }
    }
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut status_line = [0; 12];
    stream.read_exact(&mut status_line).ok()?;
    String::from_utf8_lossy(&status_line)
        .get(9..12)?
        .parse()
        .ok()
}
