//! HTTP/1.1 on loopback: what the stand-ins serve and ask.

use std::{
    io,
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream},
    rc::Rc,
    time::Duration,
};

use async_dup::Arc;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Method as HttpMethod, Request, Response, StatusCode, Url};
use oliveshift_core::Method;

/// A request that has come in.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
}

/// What is answered.
#[derive(Clone, Debug)]
pub struct Told {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Serves a free port of an address for as long as the executor runs, and says which.
/// No answer: the connection is closed without one.
///
/// # Errors
///
/// If the address can't be listened on.
pub fn serve<F>(
    executor: &Rc<LocalExecutor<'static>>,
    address: Ipv4Addr,
    answer: impl Fn(Asked) -> F + 'static,
) -> io::Result<SocketAddrV4>
where
    F: Future<Output = Option<Told>> + 'static,
{
    let listener = Async::<TcpListener>::bind(SocketAddrV4::new(address, 0))?;
    let port = listener.get_ref().local_addr()?.port();
    let answer = Rc::new(answer);
    let spawner = executor.clone();
    let accepts = async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(Duration::from_millis(50)).await;
                continue;
            };
            let answer = answer.clone();
            spawner.spawn(connection(stream, answer)).detach();
        }
    };
    executor.spawn(accepts).detach();
    Ok(SocketAddrV4::new(address, port))
}

async fn connection<F>(stream: Async<TcpStream>, answer: Rc<impl Fn(Asked) -> F + 'static>)
where
    F: Future<Output = Option<Told>> + 'static,
{
    let _ = stream.get_ref().set_nodelay(true);
    let endpoint = |request| respond(request, answer.clone());
    // A connection that ends without an answer is what the other side sees.
    let _ = async_h1::accept(Arc::new(stream), endpoint).await;
}

async fn respond<F>(
    mut request: Request,
    answer: Rc<impl Fn(Asked) -> F + 'static>,
) -> http_types::Result<Response>
where
    F: Future<Output = Option<Told>> + 'static,
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
    let asked = Asked { method, path, body };
    let no_answer = || http_types::Error::from_str(StatusCode::RequestTimeout, "no answer");
    let told = answer(asked).await.ok_or_else(no_answer)?;
    let mut response = Response::new(StatusCode::try_from(told.status)?);
    response.set_body(told.body);
    Ok(response)
}

/// Asks over a connection of its own; none if no answer comes in time.
pub async fn ask(address: SocketAddrV4, asked: Asked, timeout: Duration) -> Option<Told> {
    let exchange = async { exchange(address, asked).await.ok() };
    let late = async {
        Timer::after(timeout).await;
        None
    };
    exchange.or(late).await
}

async fn exchange(address: SocketAddrV4, asked: Asked) -> http_types::Result<Told> {
    let stream = Async::<TcpStream>::connect(address).await?;
    stream.get_ref().set_nodelay(true)?;
    let url = Url::parse(&format!("http://{address}{}", asked.path))?;
    let method = match asked.method {
        Method::Post => HttpMethod::Post,
        Method::Delete => HttpMethod::Delete,
        _ => HttpMethod::Get,
    };
    let mut request = Request::new(method, url);
    request.insert_header("connection", "close");
    request.set_body(asked.body);
    let mut response = async_h1::connect(Arc::new(stream), request).await?;
    let status = u16::from(response.status());
    let mut body = Vec::new();
    response.take_body().read_to_end(&mut body).await?;
    Ok(Told { status, body })
}
