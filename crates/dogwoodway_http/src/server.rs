//! HTTP/1 server with connection limits and graceful shutdown.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};

use crate::{
    Body,
    client_connection::{ClientConnection, ClientStream},
};

/// Handles one request and returns its response. The request's extensions hold the
/// [`ClientConnection`] that it arrived on.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// Limits on the connections of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones wait to be accepted.
    pub max_connections: usize,
    /// Time within which a client must send the head of a request, in milliseconds.
    pub header_read_timeout_ms: u64,
    /// Maximum size of the head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Time without any packet from the client after which a connection is closed, in
    /// milliseconds; `None` for no limit.
    pub silence_timeout_ms: Option<u64>,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            max_connections: 4_096,
            header_read_timeout_ms: 10_000,
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
    serve_with_dynamic_limits(listener, limits.max_connections, move || limits, handler, shutdown)
        .await;
}

/// Like [`serve`], with limits that may change at run time: `limits` is called for each connection
/// when it is accepted. Only the maximum number of connections is fixed, by `max_connections`.
pub async fn serve_with_dynamic_limits<F, L>(
    listener: TcpListener,
    max_connections: usize,
    limits: L,
    handler: Handler,
    shutdown: F,
) where
    F: Future<Output = ()> + Send,
    L: Fn() -> ServerLimits + Send,
{
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(max_connections));
    let mut shutdown = std::pin::pin!(shutdown);
    loop {
        let accept = async {
            let permit = permits.clone().acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            accepted = accept => accepted,
            () = &mut shutdown => break,
        };
        let Ok(permit) = permit else { break };
        let stream = match accepted {
            Ok((stream, _)) => Arc::new(stream),
            Err(e) => {
                log::warn!("failed to accept a connection: {e}");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let limits = limits();
        if let Err(e) = set_socket_options(&stream, &limits) {
            log::debug!("failed to set socket options of a connection: {e}");
        }
        let handler = handler.clone();
        let client = ClientConnection(Arc::downgrade(&stream));
        let service = service_fn(move |mut req: Request<Incoming>| {
            req.extensions_mut().insert(client.clone());
            let response = handler(req);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.header_read_timeout_ms))
            .max_buf_size(limits.max_header_bytes)
            .serve_connection(TokioIo::new(ClientStream(stream)), service);
        let conn = graceful.watch(conn);
        tokio::spawn(async move {
            if let Err(e) = conn.await {
                log::debug!("connection ended with an error: {e}");
            }
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn set_socket_options(stream: &TcpStream, limits: &ServerLimits) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    match limits.silence_timeout_ms {
        Some(ms) => set_silence_timeout(stream, Duration::from_millis(ms)),
        None => Ok(()),
    }
}

/// Makes the kernel close a connection on which no packet has arrived for `timeout`.
///
/// TCP keep-alive probes are sent on an idle connection, so a live peer that has nothing to send
/// still responds to them. The TCP user timeout covers data that the peer does not acknowledge.
pub fn set_silence_timeout(stream: &TcpStream, timeout: Duration) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(timeout))?;
    let keepalive = TcpKeepalive::new().with_time(timeout / 2).with_interval(timeout / 2);
    socket.set_tcp_keepalive(&keepalive.with_retries(1))
}
