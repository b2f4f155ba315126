//! Requests that come in.

use std::{net::TcpStream, rc::Rc, time::Duration};

use async_h1::server::{ConnectionStatus, Server};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{
    Error, Method as HttpMethod, Request as HttpRequest, Response, StatusCode, headers,
};
use oliveshift_core::{Listener, Method, SocketId, is_report};
use oliveshift_wire::{codec::MAX_BODY, encode, job::Refusal};

use crate::{runtime::Runtime, stream::Stream};

/// For how long a body may take to arrive.
const BODY_PATIENCE: Duration = Duration::from_secs(4);
/// What headers may take.
const MAX_HEAD: usize = 8 * 1024;
/// How long the other side gets to read a last answer before we close.
const LINGER: Duration = Duration::from_millis(500);

/// Begins to serve a connection. That of a worker that reports waits until it
/// may be read, and goes on among what is not urgent.
pub async fn begin(runtime: Rc<Runtime>, id: SocketId, tcp: Async<TcpStream>, listener: Listener) {
    let stream = Stream::new(tcp);
    if listener == Listener::Internal {
        serve(&runtime, id, &stream, listener).await;
        return runtime.served(id);
    }
    // Reading a request costs more than all that is done until then, so
    // whoever is behind does not even begin with some.
    let Some(beginning) = stream.beginning().await else {
        return runtime.served(id);
    };
    let is_report = is_report(&beginning);
    runtime.may_read(id, beginning).await;
    if stream.is_gone() {
        return runtime.served(id);
    }
    if is_report {
        let later = runtime.clone();
        runtime.serve_later(id, async move {
            serve(&later, id, &stream, listener).await;
            later.served(id);
        });
    } else {
        serve(&runtime, id, &stream, listener).await;
        runtime.served(id);
    }
}

/// Serves one connection until it ends. How long it may be idle or take over
/// one request is decided where the sockets are counted: then this is dropped.
async fn serve(runtime: &Rc<Runtime>, id: SocketId, stream: &Stream, listener: Listener) {
    let endpoint = |request| answer(runtime, id, stream, request, listener);
    let mut server = Server::new(stream.clone(), endpoint);
    loop {
        stream.allow(MAX_HEAD + MAX_BODY);
        match server.accept_one().await {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) | Err(_) => break,
        }
    }
    if stream.is_gone() {
        return;
    }
    // A close with bytes unread would reset the connection, and the answer
    // could be lost with it.
    stream.finish();
    stream.allow(4 * MAX_BODY);
    let mut rest = stream.clone();
    let drain = async {
        let mut sink = [0; 1024];
        while matches!(rest.read(&mut sink).await, Ok(n) if n > 0) {}
    };
    drain
        .or(async {
            Timer::after(LINGER).await;
        })
        .await;
}

async fn answer(
    runtime: &Rc<Runtime>,
    id: SocketId,
    stream: &Stream,
    mut request: HttpRequest,
    listener: Listener,
) -> http_types::Result<Response> {
    if request.len().is_some_and(|len| len > MAX_BODY) {
        return Ok(unread(stream, "the body is larger than 64 KiB"));
    }
    let mut body = Vec::new();
    let mut taken = request.take_body().take(MAX_BODY as u64 + 1);
    let read = async { taken.read_to_end(&mut body).await.is_ok() };
    let late = async {
        Timer::after(BODY_PATIENCE).await;
        false
    };
    if !read.or(late).await {
        return Ok(unread(stream, "the body did not arrive"));
    }
    if body.len() > MAX_BODY {
        return Ok(unread(stream, "the body is larger than 64 KiB"));
    }
    if stream.is_gone() {
        // Given up meanwhile. Whoever is behind and still answers what nobody
        // reads any more stays behind: those who gave up come again.
        return Err(Error::from_str(StatusCode::RequestTimeout, "given up"));
    }
    let method = match request.method() {
        HttpMethod::Get => Method::Get,
        HttpMethod::Post => Method::Post,
        HttpMethod::Put => Method::Put,
        HttpMethod::Delete => Method::Delete,
        _ => Method::Other,
    };
    let path = request.url().path().to_owned();
    // Operators speak JSON, everybody else MessagePack.
    let form = if path.starts_with("/admin/") {
        "application/json"
    } else {
        "application/msgpack"
    };
    let answer = runtime.request(id, listener, method, path, body).await;
    let Some(answer) = answer else {
        return Ok(refusal(StatusCode::ServiceUnavailable, "no answer"));
    };
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(answer.body);
    response.insert_header(headers::CONTENT_TYPE, form);
    if let Some(after) = answer.retry_after {
        // Whole seconds, and not before the time.
        let seconds = after.as_secs_f64().ceil().max(1.0);
        response.insert_header(headers::RETRY_AFTER, seconds.to_string());
    }
    Ok(response)
}

/// Refuses a request whose body is not read to its end; the connection can't
/// go on after that.
fn unread(stream: &Stream, error: &str) -> Response {
    stream.allow(0);
    let mut response = refusal(StatusCode::BadRequest, error);
    response.insert_header(headers::CONNECTION, "close");
    response
}

fn refusal(status: StatusCode, error: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(encode(&Refusal {
        error: error.to_owned(),
    }));
    response.insert_header(headers::CONTENT_TYPE, "application/msgpack");
    response
}
