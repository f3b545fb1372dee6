//! A TCP proxy that writes responses which answer no request.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Time between a request and the stray response that precedes its answer. The server has begun to
/// execute it by then.
const STRAY_DELAY: Duration = Duration::from_millis(30);

/// A response that the proxy writes before the answer to a request.
#[derive(Clone, Debug)]
struct Stray {
    /// Text in the request.
    marker: &'static str,
    /// Head and body.
    response: String,
}

/// A proxy in front of one process.
pub(crate) struct StrayProxy {
    /// Address on which the proxy listens.
    pub(crate) address: SocketAddr,
    stray: Arc<Mutex<Option<Stray>>>,
}

impl StrayProxy {
    /// Starts a proxy that forwards to `target`.
    pub(crate) async fn start(target: SocketAddr) -> StrayProxy {
        let listener =
            TcpListener::bind("127.0.0.1:0").await.expect("an ephemeral port can be bound");
        let address = listener.local_addr().expect("a bound socket has an address");
        let stray = Arc::new(Mutex::new(None));
        let armed = stray.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward(client, target, armed.clone()));
            }
        });
        StrayProxy { address, stray }
    }

    /// Writes a response with this status and body before the answer to the next request that
    /// contains `marker` and is not the first on its connection.
    pub(crate) fn arm(&self, marker: &'static str, status: u16, body: &str) {
        let length = body.len();
        let response = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}");
        *self.stray.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(Stray { marker, response });
    }
}

async fn forward(mut client: TcpStream, target: SocketAddr, armed: Arc<Mutex<Option<Stray>>>) {
    let Ok(mut server) = TcpStream::connect(target).await else { return };
    let (mut request, mut response) = (vec![0; 64 << 10], vec![0; 64 << 10]);
    let mut has_answered = false;
    loop {
        tokio::select! {
            n = client.read(&mut request) => {
                let n = n.unwrap_or(0);
                if n == 0 || server.write_all(&request[..n]).await.is_err() {
                    return;
                }
                let text = String::from_utf8_lossy(&request[..n]);
                let stray = armed
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .take_if(|stray| has_answered && text.contains(stray.marker));
                if let Some(stray) = stray {
                    tokio::time::sleep(STRAY_DELAY).await;
                    if client.write_all(stray.response.as_bytes()).await.is_err() {
                        return;
                    }
                }
            }
            n = server.read(&mut response) => {
                let n = n.unwrap_or(0);
                if n == 0 || client.write_all(&response[..n]).await.is_err() {
                    return;
                }
                has_answered = true;
            }
        }
    }
}
