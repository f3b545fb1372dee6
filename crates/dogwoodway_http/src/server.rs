//! HTTP/1 server with connection limits and graceful shutdown.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use hyper::{
    Request, Response,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service::{HttpService, service_fn},
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};

use crate::{
    Body, WatchedStream,
    client_connection::{ClientConnection, ClientStream},
    connections::{Connections, OpenConnection, ServerBody},
};

/// Metric of connections that were closed because the head of a request did not arrive in time.
const OVERDUE_HEADS: &str = "dogwoodway_http_overdue_heads_total";

/// Handles one request and returns its response. The request's extensions hold the
/// [`ClientConnection`] that it arrived on, and its [`RequestGuard`](crate::RequestGuard) in an `Arc`.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// Limits on the connections of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections. Idle ones are closed for further ones; if none is idle,
    /// those wait to be accepted.
    pub max_connections: usize,
    /// Time within which a client must send the head of a request, in milliseconds. It includes the
    /// time for which the connection is idle before.
    pub header_read_timeout_ms: u64,
    /// Time within which the head of a request must arrive after its first bytes, in milliseconds;
    /// `None` for no limit of its own. A connection on which it does not is closed.
    pub head_timeout_ms: Option<u64>,
    /// Maximum size of the head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Time without any packet from the client after which a connection is closed, in
    /// milliseconds; `None` for no limit. A client that reads slowly is not silent.
    pub silence_timeout_ms: Option<u64>,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            max_connections: 4_096,
            header_read_timeout_ms: 10_000,
            head_timeout_ms: None,
            max_header_bytes: 64 << 10,
            silence_timeout_ms: None,
        }
    }
}

/// Serves connections until `shutdown` resolves, then waits until the requests in flight are done.
///
/// There is no limit to that wait, and no request is aborted. The caller can limit the wait by
/// dropping the future.
pub async fn serve<F>(listener: TcpListener, limits: ServerLimits, handler: Handler, shutdown: F)
where
    F: Future<Output = ()> + Send,
{
    let connections = Connections::new(limits.max_connections);
    serve_with_dynamic_limits(listener, connections, move || limits, handler, shutdown).await;
}

/// Like [`serve`], with limits that may change at run time: `limits` is called for each connection
/// when it is accepted. Only the maximum number of connections is fixed, by `connections`.
pub async fn serve_with_dynamic_limits<F, L>(
    listener: TcpListener,
    connections: Arc<Connections>,
    limits: L,
    handler: Handler,
    shutdown: F,
) where
    F: Future<Output = ()> + Send,
    L: Fn() -> ServerLimits + Send,
{
    let graceful = GracefulShutdown::new();
    let mut shutdown = std::pin::pin!(shutdown);
    loop {
        let accept = async { (connections.room().await, listener.accept().await) };
        let (room, accepted) = tokio::select! {
            accepted = accept => accepted,
            () = &mut shutdown => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => Arc::new(stream),
            Err(e) => {
                log::warn!("failed to accept a connection: {e}");
                // The process may have no descriptor left.
                connections.close_longest_idle();
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let limits = limits();
        let aborted = Arc::new(Notify::new());
        let client = ClientConnection { stream: Arc::downgrade(&stream), aborted: aborted.clone() };
        let stream = match watched(stream, &limits) {
            Ok(stream) => stream,
            Err(e) => {
                log::debug!("failed to set socket options of a connection: {e}");
                continue;
            }
        };
        let open = Arc::new(connections.add(room));
        let io = TokioIo::new(open.stream(stream));
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.header_read_timeout_ms))
            .max_buf_size(limits.max_header_bytes)
            .serve_connection(io, service(handler.clone(), client, open.clone()));
        let head_timeout = limits.head_timeout_ms.map(Duration::from_millis);
        tokio::spawn(run_connection(graceful.watch(conn), open, aborted, head_timeout));
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Builds the service of one connection.
fn service(
    handler: Handler,
    client: ClientConnection,
    open: Arc<OpenConnection>,
) -> impl HttpService<Incoming, ResBody = ServerBody, Error = Infallible, Future: Send> {
    service_fn(move |mut req: Request<Incoming>| {
        let guard = Arc::new(open.begin_request());
        req.extensions_mut().insert(client.clone());
        req.extensions_mut().insert(guard.clone());
        let (response, open) = (handler(req), open.clone());
        async move {
            let mut resp = response.await;
            if open.is_scarce() {
                let close = HeaderValue::from_static("close");
                resp.headers_mut().insert(header::CONNECTION, close);
            }
            Ok(resp.map(|body| ServerBody { body, _guard: guard }))
        }
    })
}

async fn run_connection<C>(
    conn: C,
    open: Arc<OpenConnection>,
    aborted: Arc<Notify>,
    head_timeout: Option<Duration>,
) where
    C: Future<Output = hyper::Result<()>>,
{
    let mut conn = std::pin::pin!(conn);
    let mut head_overdue = std::pin::pin!(open.head_overdue(head_timeout));
    loop {
        tokio::select! {
            // A head that has arrived is read before its time is checked.
            biased;
            result = &mut conn => {
                if let Err(e) = result {
                    log::debug!("connection ended with an error: {e}");
                }
                return;
            }
            () = open.changed() => {}
            () = aborted.notified() => return,
            () = &mut head_overdue => {
                metrics::counter!(OVERDUE_HEADS).increment(1);
                log::info!("connection closed: the head of a request did not arrive in time");
                return;
            }
        }
    }
}

fn watched(
    stream: Arc<TcpStream>,
    limits: &ServerLimits,
) -> std::io::Result<WatchedStream<ClientStream>> {
    stream.set_nodelay(true)?;
    let stream = ClientStream(stream);
    match limits.silence_timeout_ms {
        Some(ms) => WatchedStream::new(stream, Duration::from_millis(ms)),
        None => Ok(WatchedStream::unwatched(stream)),
    }
}
