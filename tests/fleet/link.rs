//! A TCP link that a test cuts or freezes.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::watch,
};

/// State of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// Bytes pass.
    Open,
    /// Connections stay open, but nothing passes.
    Frozen,
    /// Connections are closed; new ones are accepted and closed.
    Cut,
}

/// A link to a process.
pub(crate) struct Link {
    /// Address of its near end.
    pub(crate) address: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl Link {
    /// Opens a link to an address.
    pub(crate) async fn open(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the port is known");
        let (state, rx) = watch::channel(LinkState::Open);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(target).await else { continue };
                let (near_rx, near_tx) = near.into_split();
                let (far_rx, far_tx) = far.into_split();
                tokio::spawn(pass(near_rx, far_tx, rx.clone()));
                tokio::spawn(pass(far_rx, near_tx, rx.clone()));
            }
        });
        Link { address, state }
    }

    /// Sets the state of all connections, and of those to come.
    pub(crate) fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let n = tokio::select! {
            n = from.read(&mut buf) => n.unwrap_or(0),
            _ = state.wait_for(|s| *s == LinkState::Cut) => return,
        };
        let Ok(now) = state.wait_for(|s| *s != LinkState::Frozen).await.map(|s| *s) else { return };
        if n == 0 || now == LinkState::Cut || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
