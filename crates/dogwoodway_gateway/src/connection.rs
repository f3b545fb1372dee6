//! HTTP/1 connections to backend servers, and how long an idle one may be reused.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use dogwoodway_http::set_silence_timeout;
use dogwoodway_types::Timestamp;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle};

use crate::clock;

/// Time limit for connecting, in milliseconds. Servers are a few milliseconds away; a lost SYN
/// packet is retransmitted only after a second, by which time another server could have responded.
const CONNECT_TIMEOUT_MS: u64 = 200;

/// Time without any packet from the peer after which a connection is closed, in milliseconds.
/// Longer than network disturbances after which responses still arrive.
const SILENCE_TIMEOUT_MS: u64 = 6_000;

/// Largest response head that is accepted, in bytes; also the size of the read buffer.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// Time for which an idle connection may be reused if the server states no keep-alive time, in
/// milliseconds.
const DEFAULT_IDLE_MS: u64 = 2_000;

/// Safety margin before the server's keep-alive time ends, in milliseconds. If a request is sent
/// while the server closes the connection, it is unknown whether it ran.
const IDLE_MARGIN_MS: u64 = 400;

/// A connection to a backend server; closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    idle_deadline: Timestamp,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to a server, within [`CONNECT_TIMEOUT_MS`].
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Connection> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        set_silence_timeout(&stream, Duration::from_millis(SILENCE_TIMEOUT_MS))?;
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(e) = conn.await {
                log::debug!("connection to a backend server ended: {e}");
            }
        });
        let idle_deadline = clock::now() + Duration::from_millis(DEFAULT_IDLE_MS);
        Ok(Connection { sender, idle_deadline, driver })
    }

    /// Waits for up to `limit`; returns whether the peer closes the connection meanwhile.
    pub(crate) async fn is_closed_within(&mut self, limit: Duration) -> bool {
        tokio::time::timeout(limit, &mut self.driver).await.is_ok()
    }

    /// Marks the connection as idle from now on; `keep_alive_ms` is the time for which the server
    /// keeps it open, if it said so.
    pub(crate) fn mark_idle(&mut self, keep_alive_ms: Option<u64>) {
        let idle_ms = keep_alive_ms.unwrap_or(DEFAULT_IDLE_MS + IDLE_MARGIN_MS);
        let idle = Duration::from_millis(idle_ms.saturating_sub(IDLE_MARGIN_MS));
        self.idle_deadline = clock::now() + idle;
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn is_usable(&self, now: Timestamp) -> bool {
        now < self.idle_deadline && self.sender.is_ready()
    }

    /// Returns whether the connection is usable now or may become so: it is open, but may still be
    /// finishing the previous request.
    pub(crate) fn is_reusable(&self, now: Timestamp) -> bool {
        now < self.idle_deadline && !self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
