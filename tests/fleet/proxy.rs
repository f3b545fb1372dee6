//! A TCP proxy with which a test interrupts the connections to a process.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::watch,
};

/// How a proxy treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProxyState {
    /// Forwards bytes in both directions.
    Forwarding,
    /// Forwards nothing in either direction; connections stay up.
    Frozen,
    /// Closes all connections, and new ones as soon as they are accepted.
    Closed,
}

/// A proxy in front of one process.
pub(crate) struct Proxy {
    /// Address on which the proxy listens.
    pub(crate) address: SocketAddr,
    state: watch::Sender<ProxyState>,
}

impl Proxy {
    /// Starts a proxy that forwards to `target`.
    pub(crate) async fn start(target: SocketAddr) -> Proxy {
        let listener =
            TcpListener::bind("127.0.0.1:0").await.expect("an ephemeral port can be bound");
        let address = listener.local_addr().expect("a bound socket has an address");
        let (state, rx) = watch::channel(ProxyState::Forwarding);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(target).await else { continue };
                let (client_rx, client_tx) = client.into_split();
                let (server_rx, server_tx) = server.into_split();
                tokio::spawn(forward(client_rx, server_tx, rx.clone()));
                tokio::spawn(forward(server_rx, client_tx, rx.clone()));
            }
        });
        Proxy { address, state }
    }

    /// Sets the state of all present and future connections.
    pub(crate) fn set_state(&self, state: ProxyState) {
        self.state.send_replace(state);
    }
}

/// Forwards bytes in one direction until either side ends the connection or the proxy closes it.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<ProxyState>,
) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let n = tokio::select! {
            n = from.read(&mut buf) => n.unwrap_or(0),
            _ = state.wait_for(|s| *s == ProxyState::Closed) => return,
        };
        let Ok(current) = state.wait_for(|s| *s != ProxyState::Frozen).await.map(|s| *s) else {
            return;
        };
        if n == 0 || current == ProxyState::Closed || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
