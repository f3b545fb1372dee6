//! The open connections of a server, and which of them make room for new ones.

use std::{
    collections::HashMap,
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::{Notify, OwnedSemaphorePermit, Semaphore},
};

use crate::{Body, BodyAborted, WatchedStream, client_connection::ClientStream};

/// Share of the connections, as its reciprocal, that is kept free: while fewer are, responses ask
/// clients to close.
const SPARE_SHARE: usize = 8;

/// Time for which a connection must have been idle before it is closed for a new one, in
/// milliseconds. A client that uses its connection in quick succession is likely to have sent a
/// request that has not arrived yet.
const MIN_IDLE_MS: u64 = 1_000;

/// Number of idle connections that are closed at a time.
const CLOSE_BATCH: usize = 16;

/// Interval at which a server without room looks for connections that became idle, in milliseconds.
const RECHECK_MS: u64 = 20;

/// [`ConnectionState::idle_since_ms`] of a connection on which a request has begun to arrive.
const IN_USE: u64 = u64::MAX;

/// [`ConnectionState::head_since_ms`] of a connection on which no head is arriving.
const NO_HEAD: u64 = u64::MAX;

/// Open connections of a server.
///
/// Connections that a client keeps without using them give way to new ones: responses say
/// `Connection: close` while little room is left, and the connections that have been idle for longest
/// are closed while there is none. A request that has begun to arrive is never cut off by this.
///
/// ```
/// let connections = dogwoodway_http::Connections::new(100);
/// assert!(!connections.is_full());
/// ```
#[derive(Debug)]
pub struct Connections {
    max_connections: usize,
    permits: Arc<Semaphore>,
    open: Mutex<HashMap<u64, Arc<ConnectionState>>>,
    next_id: AtomicU64,
    is_full: AtomicBool,
    /// Zero of [`ConnectionState::idle_since_ms`].
    epoch: Instant,
}

impl Connections {
    /// Makes room for at most `max_connections` connections.
    pub fn new(max_connections: usize) -> Arc<Connections> {
        Arc::new(Connections {
            max_connections,
            permits: Arc::new(Semaphore::new(max_connections)),
            open: Mutex::default(),
            next_id: AtomicU64::new(0),
            is_full: AtomicBool::new(false),
            epoch: Instant::now(),
        })
    }

    /// Returns whether no further connection can be accepted because all have requests in progress.
    pub fn is_full(&self) -> bool {
        self.is_full.load(Ordering::Relaxed)
    }

    /// Returns whether responses should ask clients to close their connections.
    pub(crate) fn is_scarce(&self) -> bool {
        self.permits.available_permits() < self.max_connections / SPARE_SHARE
    }

    /// Waits until there is room for another connection. Idle ones are closed for it.
    pub(crate) async fn room(&self) -> OwnedSemaphorePermit {
        loop {
            if let Ok(permit) = self.permits.clone().try_acquire_owned() {
                self.is_full.store(false, Ordering::Relaxed);
                return permit;
            }
            self.close_longest_idle();
            let room = self.permits.clone().acquire_owned();
            let recheck = tokio::time::timeout(Duration::from_millis(RECHECK_MS), room);
            if let Ok(Ok(permit)) = recheck.await {
                self.is_full.store(false, Ordering::Relaxed);
                return permit;
            }
        }
    }

    /// Asks the connections that have been idle for longest to close.
    pub(crate) fn close_longest_idle(&self) {
        let mut idle: Vec<_> = self
            .lock()
            .values()
            .map(|state| (state.idle_since_ms.load(Ordering::Relaxed), state.clone()))
            .filter(|(since, _)| *since != IN_USE)
            .collect();
        self.is_full.store(idle.is_empty(), Ordering::Relaxed);
        keep_longest_idle(&mut idle, self.now_ms());
        for (_, state) in &idle {
            state.is_unwanted.store(true, Ordering::Relaxed);
            state.changed.notify_one();
        }
    }

    /// Adds an accepted connection.
    pub(crate) fn add(self: &Arc<Self>, room: OwnedSemaphorePermit) -> OpenConnection {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let state = Arc::new(ConnectionState {
            idle_since_ms: AtomicU64::new(self.now_ms()),
            head_since_ms: AtomicU64::new(NO_HEAD),
            head_began: Notify::new(),
            is_unwanted: AtomicBool::new(false),
            changed: Notify::new(),
        });
        self.lock().insert(id, state.clone());
        OpenConnection { id, state, connections: self.clone(), _room: room }
    }

    fn now_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arc<ConnectionState>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps those of the idle connections, each with the time since which it is idle, that make room for new
/// ones.
fn keep_longest_idle<T>(idle: &mut Vec<(u64, T)>, now_ms: u64) {
    idle.retain(|(since_ms, _)| since_ms + MIN_IDLE_MS <= now_ms);
    idle.sort_unstable_by_key(|(since_ms, _)| *since_ms);
    idle.truncate(CLOSE_BATCH);
}

#[derive(Debug)]
struct ConnectionState {
    /// When the connection became idle, in milliseconds, or [`IN_USE`].
    idle_since_ms: AtomicU64,
    /// When the first bytes of a head arrived that is not complete, in milliseconds, or [`NO_HEAD`].
    head_since_ms: AtomicU64,
    head_began: Notify,
    /// Set if the connection should close unless a request has arrived.
    is_unwanted: AtomicBool,
    changed: Notify,
}

/// A connection that is counted as open until this is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    id: u64,
    state: Arc<ConnectionState>,
    connections: Arc<Connections>,
    _room: OwnedSemaphorePermit,
}

impl OpenConnection {
    /// Wraps the connection's socket.
    pub(crate) fn stream(&self, stream: WatchedStream<ClientStream>) -> ServerStream {
        ServerStream { stream, state: self.state.clone(), connections: self.connections.clone() }
    }

    /// Marks the connection as in use until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.state.idle_since_ms.store(IN_USE, Ordering::Relaxed);
        self.state.head_since_ms.store(NO_HEAD, Ordering::Relaxed);
        RequestGuard(self.clone())
    }

    /// Resolves when a head has been arriving for longer than `timeout`.
    pub(crate) async fn head_overdue(&self, timeout: Option<Duration>) {
        let Some(timeout) = timeout else { return std::future::pending().await };
        loop {
            let since_ms = self.state.head_since_ms.load(Ordering::Relaxed);
            if since_ms == NO_HEAD {
                self.state.head_began.notified().await;
                continue;
            }
            let due = self.connections.epoch + Duration::from_millis(since_ms) + timeout;
            tokio::time::sleep_until(due.into()).await;
            if self.state.head_since_ms.load(Ordering::Relaxed) == since_ms {
                return;
            }
        }
    }

    /// Returns whether the response should ask the client to close the connection.
    pub(crate) fn is_scarce(&self) -> bool {
        self.connections.is_scarce()
    }

    /// Resolves when the socket must be read again, because the connection is asked to close.
    pub(crate) async fn changed(&self) {
        self.state.changed.notified().await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.id);
    }
}

/// A request that has not been answered completely, or of which the body is still read. Its connection
/// counts as in use until all clones of the guard are dropped.
///
/// The extensions of a request hold one in an [`Arc`].
///
/// ```
/// use std::sync::Arc;
///
/// use dogwoodway_http::RequestGuard;
///
/// let req = hyper::Request::new(());
/// assert!(req.extensions().get::<Arc<RequestGuard>>().is_none(), "not received by a server");
/// ```
#[derive(Debug)]
pub struct RequestGuard(Arc<OpenConnection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now_ms = self.0.connections.now_ms();
        self.0.state.head_since_ms.store(NO_HEAD, Ordering::Relaxed);
        self.0.state.idle_since_ms.store(now_ms, Ordering::Relaxed);
    }
}

/// Body of a response, with the guard of the request that it belongs to.
pub(crate) struct ServerBody {
    pub(crate) body: Body,
    pub(crate) _guard: Arc<RequestGuard>,
}

impl HttpBody for ServerBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Socket of a connection. It ends between two requests if the connection is asked to close.
#[derive(Debug)]
pub(crate) struct ServerStream {
    stream: WatchedStream<ClientStream>,
    state: Arc<ConnectionState>,
    connections: Arc<Connections>,
}

impl ServerStream {
    /// Returns whether the connection should close and nothing of another request has arrived.
    fn should_end(&self) -> bool {
        if !self.state.is_unwanted.swap(false, Ordering::Relaxed) {
            return false;
        }
        // Asks the kernel, because the runtime may not know of bytes that have just arrived.
        let received = self.stream.socket().peek(&mut [MaybeUninit::uninit()]);
        let has_nothing = received.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        has_nothing && self.state.idle_since_ms.load(Ordering::Relaxed) != IN_USE
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.should_end() {
            return Poll::Ready(Ok(()));
        }
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > filled {
            let idle_since_ms = self.state.idle_since_ms.swap(IN_USE, Ordering::Relaxed);
            if idle_since_ms != IN_USE {
                let now_ms = self.connections.now_ms();
                self.state.head_since_ms.store(now_ms, Ordering::Relaxed);
                self.state.head_began.notify_one();
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
