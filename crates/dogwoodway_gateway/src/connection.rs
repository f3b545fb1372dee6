//! Connections to backend servers.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use dogwoodway_http::give_up_when_silent;
use dogwoodway_types::Timestamp;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle};

use crate::clock;

/// Time in which a connection must be made, in milliseconds. Servers are a few milliseconds away; a
/// lost first packet is sent again only after a second, when another server has long answered.
const CONNECT_TIMEOUT_MS: u64 = 200;

/// Time without a sign of life after which a connection is given up, in milliseconds. Longer than
/// the disturbances after which answers still arrive.
const SILENCE_TIMEOUT_MS: u64 = 6_000;

/// Time for which an idle connection is used again where the server does not say how long it keeps
/// it, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 2_000;

/// Part of a server's idle time that is left unused, in milliseconds: a request sent as the server
/// closes the connection may or may not have run.
const IDLE_MARGIN_MS: u64 = 400;

/// A connection to a backend server that can take a request; closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    idle_deadline: Timestamp,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to a server.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Connection> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        give_up_when_silent(&stream, Duration::from_millis(SILENCE_TIMEOUT_MS))?;
        let (sender, conn) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(e) = conn.await {
                log::debug!("connection to a backend server ended: {e}");
            }
        });
        let idle_deadline = clock::now() + Duration::from_millis(DEFAULT_IDLE_MS);
        Ok(Connection { sender, idle_deadline, driver })
    }

    /// Notes that the connection becomes idle; `keep_alive_ms` is what the server said of it.
    pub(crate) fn mark_idle(&mut self, keep_alive_ms: Option<u64>) {
        let idle_ms = keep_alive_ms.unwrap_or(DEFAULT_IDLE_MS + IDLE_MARGIN_MS);
        let idle = Duration::from_millis(idle_ms.saturating_sub(IDLE_MARGIN_MS));
        self.idle_deadline = clock::now() + idle;
    }

    /// Tells whether a request may be sent.
    pub(crate) fn is_usable(&self, now: Timestamp) -> bool {
        now < self.idle_deadline && self.sender.is_ready()
    }

    /// Tells whether the connection may become usable again.
    pub(crate) fn is_reusable(&self, now: Timestamp) -> bool {
        now < self.idle_deadline && !self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
