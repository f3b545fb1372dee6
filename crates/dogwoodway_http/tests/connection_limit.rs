//! Servers with as many open connections as they take.

use std::{net::SocketAddr, time::Duration};

use dogwoodway_http::{Handler, ServerLimits, serve, text_response};
use hyper::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const MAX_CONNECTIONS: usize = 16;

/// Time that a request to `/slow` takes.
const SLOW: Duration = Duration::from_millis(2_500);

/// Time in which a client expects a response. It is longer than a connection must have been idle.
const PATIENCE: Duration = Duration::from_secs(5);

async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler: Handler = std::sync::Arc::new(|req| {
        Box::pin(async move {
            if req.uri().path() == "/slow" {
                tokio::time::sleep(SLOW).await;
            }
            text_response(StatusCode::OK, "done")
        })
    });
    let limits = ServerLimits { max_connections: MAX_CONNECTIONS, ..ServerLimits::default() };
    tokio::spawn(serve(listener, limits, handler, std::future::pending()));
    address
}

/// Sends a request and returns the head of its response; empty if there is none in time.
async fn exchange(stream: &mut TcpStream, path: &str) -> String {
    let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    if stream.write_all(head.as_bytes()).await.is_err() {
        return String::new();
    }
    response(stream).await
}

async fn response(stream: &mut TcpStream) -> String {
    let mut buf = [0; 1_024];
    match tokio::time::timeout(PATIENCE, stream.read(&mut buf)).await {
        Ok(Ok(len)) => String::from_utf8_lossy(&buf[..len]).into_owned(),
        _ => String::new(),
    }
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("the kernel accepts")
}

// Connections that were kept idle used up the limit, and new clients got no response.
#[tokio::test]
async fn new_clients_are_served_though_others_keep_idle_connections() {
    let address = start_server().await;
    let mut kept = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        kept.push(connect(address).await);
    }
    for stream in &mut kept[..4] {
        assert!(exchange(stream, "/").await.starts_with("HTTP/1.1 200"));
    }
    for n in 0..3 * MAX_CONNECTIONS {
        let mut stream = connect(address).await;
        assert!(exchange(&mut stream, "/").await.starts_with("HTTP/1.1 200"), "client {n}");
    }
}

// Clients that use their connections all the time learned of no shortage, so that they kept them.
#[tokio::test]
async fn responses_ask_to_close_while_little_room_is_left() {
    let address = start_server().await;
    let mut kept = vec![connect(address).await];
    assert!(!exchange(&mut kept[0], "/").await.contains("connection: close"));
    for _ in 1..MAX_CONNECTIONS - 1 {
        kept.push(connect(address).await);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(exchange(&mut kept[0], "/").await.contains("connection: close"));
    assert_eq!(response(&mut kept[0]).await, "", "the connection is closed");
}

// Requests must not be cut off to make room, whether they run or have only begun to arrive.
#[tokio::test]
async fn requests_in_progress_are_answered_though_new_clients_wait() {
    let address = start_server().await;
    let mut running = Vec::new();
    for n in 0..MAX_CONNECTIONS {
        let mut stream = connect(address).await;
        let part = if n % 2 == 0 { "GET /slow HTTP/1.1\r\nhost: x\r\n\r\n" } else { "GET / HT" };
        stream.write_all(part.as_bytes()).await.expect("it is sent");
        running.push(stream);
    }
    let mut new = connect(address).await;
    let waiting = tokio::spawn(async move { exchange(&mut new, "/").await });
    tokio::time::sleep(Duration::from_millis(1_800)).await;
    for (n, stream) in running.iter_mut().enumerate() {
        if n % 2 == 1 {
            stream.write_all(b"TP/1.1\r\nhost: x\r\n\r\n").await.expect("it is sent");
        }
        assert!(response(stream).await.starts_with("HTTP/1.1 200"), "request {n}");
    }
    assert!(waiting.await.expect("no panic").starts_with("HTTP/1.1 200"));
}
