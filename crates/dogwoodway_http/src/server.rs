//! HTTP server loop with limits and graceful shutdown.

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

use crate::Body;

/// Answers one request.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Most connections open at once; more wait to be accepted.
    pub max_connections: usize,
    /// Milliseconds in which a client must send the headers of a request.
    pub header_read_timeout_ms: u64,
    /// Bytes that the headers of a request may take.
    pub max_header_bytes: usize,
    /// Milliseconds without a sign of life after which a connection is given up; `None` for ever.
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

/// Serves connections until `shutdown` resolves, then waits for the open ones to finish.
///
/// No connection is cut off: the caller bounds the wait by dropping the future.
pub async fn serve<F>(listener: TcpListener, limits: ServerLimits, handler: Handler, shutdown: F)
where
    F: Future<Output = ()> + Send,
{
    serve_with_dynamic_limits(listener, limits.max_connections, move || limits, handler, shutdown)
        .await;
}

/// The same with limits that may change: each connection gets those in force when it begins. Only
/// the number of connections is fixed.
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
    let slots = Arc::new(Semaphore::new(max_connections));
    let mut shutdown = std::pin::pin!(shutdown);
    loop {
        let accept = async {
            let slot = slots.clone().acquire_owned().await;
            (slot, listener.accept().await)
        };
        let (slot, accepted) = tokio::select! {
            accepted = accept => accepted,
            () = &mut shutdown => break,
        };
        let Ok(slot) = slot else { break };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("accept failed: {e}");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let limits = limits();
        if let Err(e) = set_options(&stream, &limits) {
            log::debug!("options of a connection could not be set: {e}");
        }
        let handler = handler.clone();
        let service = service_fn(move |req| {
            let answer = handler(req);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.header_read_timeout_ms))
            .max_buf_size(limits.max_header_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let conn = graceful.watch(conn);
        tokio::spawn(async move {
            if let Err(e) = conn.await {
                log::debug!("connection ended: {e}");
            }
            drop(slot);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn set_options(stream: &TcpStream, limits: &ServerLimits) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    match limits.silence_timeout_ms {
        Some(ms) => set_silence_timeout(stream, Duration::from_millis(ms)),
        None => Ok(()),
    }
}

/// Closes a connection whose peer has been silent for `limit`, also to the probes of the kernel.
pub fn set_silence_timeout(stream: &TcpStream, limit: Duration) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(limit))?;
    let probes = TcpKeepalive::new().with_time(limit / 2).with_interval(limit / 2);
    socket.set_tcp_keepalive(&probes.with_retries(1))
}
