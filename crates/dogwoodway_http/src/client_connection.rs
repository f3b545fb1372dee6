//! Connections of clients, and whether their clients have left.

use std::{
    io,
    mem::MaybeUninit,
    net::Shutdown,
    pin::Pin,
    sync::{Arc, Weak},
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

use crate::silence::TcpSocketStream;

/// The connection that a request arrived on, found in the extensions of the request.
///
/// ```
/// use dogwoodway_http::ClientConnection;
///
/// let req = hyper::Request::new(());
/// let has_left = req.extensions().get::<ClientConnection>().is_some_and(|client| client.is_closed());
/// assert!(!has_left);
/// ```
#[derive(Clone, Debug)]
pub struct ClientConnection {
    pub(crate) stream: Weak<TcpStream>,
    pub(crate) aborted: Arc<Notify>,
}

impl ClientConnection {
    /// Returns whether the client has closed the connection, even if the server has not noticed yet.
    /// Bytes that it sent before and that were not read hide that.
    pub fn is_closed(&self) -> bool {
        use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, NotConnected};
        let Some(stream) = self.stream.upgrade() else { return true };
        match SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(len) => len == 0,
            Err(e) => {
                matches!(e.kind(), BrokenPipe | ConnectionAborted | ConnectionReset | NotConnected)
            }
        }
    }

    /// Resets the connection, and discards everything that the client has not received. A response in
    /// progress does not look complete to the client.
    ///
    /// ```
    /// use dogwoodway_http::ClientConnection;
    ///
    /// let req = hyper::Request::new(());
    /// if let Some(client) = req.extensions().get::<ClientConnection>() {
    ///     client.abort();
    /// }
    /// ```
    pub fn abort(&self) {
        if let Some(stream) = self.stream.upgrade()
            && let Err(e) = SockRef::from(&*stream).set_linger(Some(Duration::ZERO))
        {
            log::debug!("the connection of a client will be closed instead of reset: {e}");
        }
        self.aborted.notify_one();
    }
}

/// Socket of a client's connection.
///
/// Unlike that of [`TcpStream`], its readiness lasts until nothing is left to read, so that the end
/// of a connection is found together with a request that arrived before it.
#[derive(Debug)]
pub(crate) struct ClientStream(pub(crate) Arc<TcpStream>);

impl ClientStream {
    fn poll_write_with<F>(&self, cx: &mut Context<'_>, write: F) -> Poll<io::Result<usize>>
    where
        F: Fn(&TcpStream) -> io::Result<usize>,
    {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl TcpSocketStream for ClientStream {
    fn tcp(&self) -> &TcpStream {
        &self.0
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read_buf(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result.map(drop)),
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
