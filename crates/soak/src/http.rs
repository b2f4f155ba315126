//! HTTP/1.1 server and client for the simulated services, workers and users.

use std::{
    io,
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use async_dup::Arc;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{
    AsyncRead, AsyncReadExt, FutureExt,
    io::{BufReader, Cursor},
};
use http_types::{Body, Method as HttpMethod, Request, Response, StatusCode, Url};
use oliveshift_core::Method;

/// An HTTP request, received or to be sent.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Path with the query string.
    pub path: String,
    /// Message body.
    pub body: Vec<u8>,
    /// Delay of the second half of the body, when the request is sent.
    pub delay: Option<Duration>,
}

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Message body.
    pub body: Vec<u8>,
}

/// Serves a free port of an address for as long as the executor runs, and returns its
/// socket address. If `handler` returns `None`, the connection is closed without a response.
///
/// # Errors
///
/// If it can't listen on the address.
pub fn serve<F>(
    executor: &Rc<LocalExecutor<'static>>,
    address: Ipv4Addr,
    handler: impl Fn(HttpRequest) -> F + 'static,
) -> io::Result<SocketAddrV4>
where
    F: Future<Output = Option<HttpResponse>> + 'static,
{
    let listener = Async::<TcpListener>::bind(SocketAddrV4::new(address, 0))?;
    let port = listener.get_ref().local_addr()?.port();
    let handler = Rc::new(handler);
    let spawner = executor.clone();
    let accept_loop = async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(Duration::from_millis(50)).await;
                continue;
            };
            let handler = handler.clone();
            spawner.spawn(serve_connection(stream, handler)).detach();
        }
    };
    executor.spawn(accept_loop).detach();
    Ok(SocketAddrV4::new(address, port))
}

async fn serve_connection<F>(
    stream: Async<TcpStream>,
    handler: Rc<impl Fn(HttpRequest) -> F + 'static>,
) where
    F: Future<Output = Option<HttpResponse>> + 'static,
{
    let _ = stream.get_ref().set_nodelay(true);
    let endpoint = |request| respond(request, handler.clone());
    // Errors are ignored: the client sees a connection that closes without a response.
    let _ = async_h1::accept(Arc::new(stream), endpoint).await;
}

async fn respond<F>(
    mut request: Request,
    handler: Rc<impl Fn(HttpRequest) -> F + 'static>,
) -> http_types::Result<Response>
where
    F: Future<Output = Option<HttpResponse>> + 'static,
{
    let mut body = Vec::new();
    request.take_body().read_to_end(&mut body).await?;
    let method = match request.method() {
        HttpMethod::Get => Method::Get,
        HttpMethod::Post => Method::Post,
        HttpMethod::Delete => Method::Delete,
        _ => Method::Other,
    };
    let url = request.url();
    let path = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let received = HttpRequest {
        method,
        path,
        body,
        delay: None,
    };
    let no_answer =
        || http_types::Error::from_str(StatusCode::RequestTimeout, "the handler gave no response");
    let reply = handler(received).await.ok_or_else(no_answer)?;
    let mut response = Response::new(StatusCode::try_from(reply.status)?);
    response.set_body(reply.body);
    Ok(response)
}

/// Sends a request over a new connection. `None` if it fails or no response arrives within
/// the timeout.
pub async fn send_with_timeout(
    address: SocketAddrV4,
    received: HttpRequest,
    timeout: Duration,
) -> Option<HttpResponse> {
    let exchange = async { exchange(address, received).await.ok() };
    let timed_out = async {
        Timer::after(timeout).await;
        None
    };
    exchange.or(timed_out).await
}

/// A body whose second half follows after a delay.
fn halved_body(bytes: &[u8], delay: Duration) -> Body {
    let (first, second) = bytes.split_at(bytes.len() / 2);
    let pause = Pause(Timer::after(delay));
    let first = Cursor::new(first.to_vec()).chain(pause);
    let halves = first.chain(Cursor::new(second.to_vec()));
    Body::from_reader(BufReader::new(halves), Some(bytes.len()))
}

/// A reader that ends after some time, without any bytes.
struct Pause(Timer);

impl AsyncRead for Pause {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(Pin::new(&mut self.0).poll(cx));
        Poll::Ready(Ok(0))
    }
}

async fn exchange(
    address: SocketAddrV4,
    received: HttpRequest,
) -> http_types::Result<HttpResponse> {
    let stream = Async::<TcpStream>::connect(address).await?;
    stream.get_ref().set_nodelay(true)?;
    let url = Url::parse(&format!("http://{address}{}", received.path))?;
    let method = match received.method {
        Method::Post => HttpMethod::Post,
        Method::Delete => HttpMethod::Delete,
        _ => HttpMethod::Get,
    };
    let mut request = Request::new(method, url);
    request.insert_header("connection", "close");
    request.set_body(match received.delay {
        Some(delay) => halved_body(&received.body, delay),
        None => received.body.into(),
    });
    let mut response = async_h1::connect(Arc::new(stream), request).await?;
    let status = u16::from(response.status());
    let mut body = Vec::new();
    response.take_body().read_to_end(&mut body).await?;
    Ok(HttpResponse { status, body })
}
