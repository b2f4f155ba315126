//! The HTTP server for requests to the controller.

use std::{net::TcpStream, rc::Rc, time::Duration};

use async_h1::server::{ConnectionStatus, Server};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::{
    Error, Method as HttpMethod, Request as HttpRequest, Response, StatusCode, headers,
};
use oliveshift_core::{
    ClientKind, CompleteBody, Listener, Method, Request, SocketId, client_timeouts::head_timeout,
    is_report,
};
use oliveshift_wire::{codec::MAX_BODY_BYTES, encode, job::Refusal};

use crate::{
    request_reader::{IncompleteBody, ReceiptError, receive_body},
    runtime::Runtime,
    stream::Stream,
};

/// Maximum size of the request line and headers, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// How many bytes a body in chunks may take for each byte that is in it.
const CHUNK_OVERHEAD: usize = 4;
/// The answer to a request whose head did not arrive in time.
const LATE_HEAD_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
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
        stream.begin_receipt(MAX_HEAD_BYTES + CHUNK_OVERHEAD * MAX_BODY_BYTES);
        stream.limit_receipt_time(head_timeout());
        match server.accept_one().await {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) => break,
            Err(_) => {
                if stream.is_receipt_overdue() {
                    reject_late_head(runtime, stream).await;
                }
                break;
            }
        }
    }
    if stream.is_closed() {
        return;
    }
    // Closing with unread bytes would reset the connection, and the peer could lose the
    // answer.
    stream.shutdown_write();
    stream.begin_receipt(4 * MAX_BODY_BYTES);
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

/// Answers a request whose head did not arrive in time.
async fn reject_late_head(runtime: &Rc<Runtime>, stream: &Stream) {
    let incomplete = IncompleteBody {
        error: ReceiptError::Late,
        received: 0,
        announced: None,
    };
    runtime.request_incomplete(incomplete.describe(None, stream.receipt_time()));
    // The client may have gone.
    let _ = stream.clone().write_all(LATE_HEAD_ANSWER).await;
}

async fn handle_request(
    runtime: &Rc<Runtime>,
    id: SocketId,
    stream: &Stream,
    mut request: HttpRequest,
    listener: Listener,
) -> http_types::Result<Response> {
    let method = match request.method() {
        HttpMethod::Get => Method::Get,
        HttpMethod::Post => Method::Post,
        HttpMethod::Put => Method::Put,
        HttpMethod::Delete => Method::Delete,
        _ => Method::Other,
    };
    let path = request.url().path().to_owned();
    let client = ClientKind::of(listener, method, &path);
    let announced = request.len().unwrap_or(MAX_BODY_BYTES).min(MAX_BODY_BYTES);
    let arriving = runtime.body_arriving(client, id, announced);
    let timeout = client.receive_timeout();
    let received = receive_body(stream, &mut request, MAX_BODY_BYTES, timeout).await;
    drop(arriving);
    let body = match unless_closed(stream, received) {
        Ok(body) => body,
        Err(incomplete) => return reject_incomplete(runtime, stream, incomplete, path),
    };
    let receipt_time = stream.receipt_time();
    // Operators use JSON, all other clients MessagePack.
    let content_type = if path.starts_with("/admin/") {
        "application/json"
    } else {
        "application/msgpack"
    };
    let request = Request {
        conn: runtime.next_request_id(),
        socket: id,
        listener,
        method,
        path,
        body,
        receipt_time,
    };
    let Some(answer) = runtime.request(request).await else {
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

/// What was received, unless the client has closed the connection since. A controller with a
/// backlog that answered abandoned requests would not catch up, since their clients send them
/// again.
fn unless_closed(
    stream: &Stream,
    body: Result<CompleteBody, IncompleteBody>,
) -> Result<CompleteBody, IncompleteBody> {
    if !stream.is_closed() {
        return body;
    }
    let (received, announced) = match &body {
        Ok(body) => (body.len(), Some(body.len())),
        Err(incomplete) => (incomplete.received, incomplete.announced),
    };
    Err(IncompleteBody {
        error: ReceiptError::Closed,
        received,
        announced,
    })
}

/// Rejects a request that was not received completely; the connection cannot be reused after
/// that.
fn reject_incomplete(
    runtime: &Rc<Runtime>,
    stream: &Stream,
    incomplete: IncompleteBody,
    path: String,
) -> http_types::Result<Response> {
    let reason = incomplete.error.reason();
    runtime.request_incomplete(incomplete.describe(Some(path), stream.receipt_time()));
    // What is left of the body is not read.
    stream.begin_receipt(0);
    let Some(status) = incomplete.error.status() else {
        return Err(Error::from_str(StatusCode::RequestTimeout, reason));
    };
    let mut response = refusal(status, reason);
    response.insert_header(headers::CONNECTION, "close");
    Ok(response)
}

fn refusal(status: StatusCode, error: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(encode(&Refusal {
        error: error.to_owned(),
    }));
    response.insert_header(headers::CONTENT_TYPE, "application/msgpack");
    response
}
