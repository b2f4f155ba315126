//! The HTTP server for requests to the controller.

use std::{net::TcpStream, rc::Rc, time::Duration};

use async_h1::server::{ConnectionStatus, Server};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{
    Error, Method as HttpMethod, Request as HttpRequest, Response, StatusCode, headers,
};
use oliveshift_core::{Listener, Method, SocketId, is_report};
use oliveshift_wire::{codec::MAX_BODY_BYTES, encode, job::Refusal};

use crate::{runtime::Runtime, stream::Stream};

/// How long a request body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum size of the request line and headers, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// How long the peer has to read the last answer before the connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Handles an inbound connection. On the public address it is read only when the controller
/// allows it, and a worker's reports are then served as a background task.
pub async fn handle_connection(
    runtime: Rc<Runtime>,
    id: SocketId,
    tcp: Async<TcpStream>,
    listener: Listener,
) {
    let stream = Stream::new(tcp);
    if listener == Listener::Internal {
        serve(&runtime, id, &stream, listener).await;
        return runtime.connection_ended(id);
    }
    // Reading a request costs more than all steps before it, so a controller with a backlog
    // does not start to read some of them.
    let Some(prefix) = stream.peek_prefix().await else {
        return runtime.connection_ended(id);
    };
    let is_report = is_report(&prefix);
    runtime.wait_for_read_permission(id, prefix).await;
    if stream.is_closed() {
        return runtime.connection_ended(id);
    }
    if is_report {
        let background_runtime = runtime.clone();
        runtime.serve_in_background(id, async move {
            serve(&background_runtime, id, &stream, listener).await;
            background_runtime.connection_ended(id);
        });
    } else {
        serve(&runtime, id, &stream, listener).await;
        runtime.connection_ended(id);
    }
}

/// Serves the requests of one connection until it ends. The idle and request timeouts are
/// enforced by the controller's socket accounting, which drops this future.
async fn serve(runtime: &Rc<Runtime>, id: SocketId, stream: &Stream, listener: Listener) {
    let endpoint = |request| handle_request(runtime, id, stream, request, listener);
    let mut server = Server::new(stream.clone(), endpoint);
    loop {
        stream.set_read_budget(MAX_HEAD_BYTES + MAX_BODY_BYTES);
        match server.accept_one().await {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) | Err(_) => break,
        }
    }
    if stream.is_closed() {
        return;
    }
    // Closing with unread bytes would reset the connection, and the peer could lose the
    // answer.
    stream.shutdown_write();
    stream.set_read_budget(4 * MAX_BODY_BYTES);
    let mut reader = stream.clone();
    let drain = async {
        let mut sink = [0; 1024];
        while matches!(reader.read(&mut sink).await, Ok(n) if n > 0) {}
    };
    drain
        .or(async {
            Timer::after(LINGER_TIMEOUT).await;
        })
        .await;
}

async fn handle_request(
    runtime: &Rc<Runtime>,
    id: SocketId,
    stream: &Stream,
    mut request: HttpRequest,
    listener: Listener,
) -> http_types::Result<Response> {
    if request.len().is_some_and(|len| len > MAX_BODY_BYTES) {
        return Ok(reject_unread(stream, "the body is larger than 64 KiB"));
    }
    let mut body = Vec::new();
    let mut limited_body = request.take_body().take(MAX_BODY_BYTES as u64 + 1);
    let read = async { limited_body.read_to_end(&mut body).await.is_ok() };
    let timed_out = async {
        Timer::after(BODY_TIMEOUT).await;
        false
    };
    if !read.or(timed_out).await {
        return Ok(reject_unread(stream, "the body did not arrive completely"));
    }
    if body.len() > MAX_BODY_BYTES {
        return Ok(reject_unread(stream, "the body is larger than 64 KiB"));
    }
    if stream.is_closed() {
        // The client has given up. A controller with a backlog that answered abandoned
        // requests would not catch up, since their clients send them again.
        return Err(Error::from_str(
            StatusCode::RequestTimeout,
            "the client closed the connection",
        ));
    }
    let method = match request.method() {
        HttpMethod::Get => Method::Get,
        HttpMethod::Post => Method::Post,
        HttpMethod::Put => Method::Put,
        HttpMethod::Delete => Method::Delete,
        _ => Method::Other,
    };
    let path = request.url().path().to_owned();
    // Operators use JSON, all other clients MessagePack.
    let content_type = if path.starts_with("/admin/") {
        "application/json"
    } else {
        "application/msgpack"
    };
    let answer = runtime.request(id, listener, method, path, body).await;
    let Some(answer) = answer else {
        return Ok(refusal(
            StatusCode::ServiceUnavailable,
            "the controller gave no answer",
        ));
    };
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(answer.body);
    response.insert_header(headers::CONTENT_TYPE, content_type);
    if let Some(after) = answer.retry_after {
        // `Retry-After` is in whole seconds; rounded up so that the client does not come early.
        let seconds = after.as_secs_f64().ceil().max(1.0);
        response.insert_header(headers::RETRY_AFTER, seconds.to_string());
    }
    Ok(response)
}

/// Rejects a request whose body is not read to its end; the connection cannot be reused after
/// that.
fn reject_unread(stream: &Stream, error: &str) -> Response {
    stream.set_read_budget(0);
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
