//! A handler can tell whether the client of its request has left.

use std::{sync::Arc, time::Duration};

use dogwoodway_http::{ClientConnection, Handler, ServerLimits, serve, text_response};
use hyper::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Time for the kernel to deliver the end of a connection.
const DELIVERY: Duration = Duration::from_millis(50);

/// Serves a handler that waits for `DELIVERY` without returning to the runtime, as if other requests had
/// the processor, and then reports whether its client has left.
async fn start(listener: TcpListener) -> mpsc::UnboundedReceiver<bool> {
    let (tx, rx) = mpsc::unbounded_channel();
    let handler: Handler = Arc::new(move |req| {
        let client = req.extensions().get::<ClientConnection>().cloned();
        std::thread::sleep(DELIVERY);
        let has_left = client.is_some_and(|client| client.is_closed());
        let _ = tx.send(has_left);
        Box::pin(std::future::ready(text_response(StatusCode::OK, "answer")))
    });
    tokio::spawn(serve(listener, ServerLimits::default(), handler, std::future::pending()));
    rx
}

// The end of a connection that a busy process had not read yet did not count.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_that_left_while_the_processor_was_busy_has_left() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut reports = start(listener).await;
    let mut client = TcpStream::connect(address).await.unwrap();
    client.write_all(REQUEST).await.unwrap();
    tokio::time::sleep(DELIVERY / 3).await;
    drop(client);
    assert_eq!(reports.recv().await, Some(true));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_that_waits_for_its_answer_has_not_left() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut reports = start(listener).await;
    let mut client = TcpStream::connect(address).await.unwrap();
    for _ in 0..2 {
        client.write_all(REQUEST).await.unwrap();
        assert_eq!(reports.recv().await, Some(false));
        let mut buf = vec![0; 4_096];
        let len = client.read(&mut buf).await.unwrap();
        assert!(buf[..len].ends_with(b"answer"));
    }
}

// A request that had waited to be accepted was handled after its client had left.
#[tokio::test]
async fn request_whose_client_left_before_it_was_accepted_is_not_handled() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut client = TcpStream::connect(address).await.unwrap();
    client.write_all(REQUEST).await.unwrap();
    drop(client);
    tokio::time::sleep(DELIVERY).await;
    let mut reports = start(listener).await;
    let report = tokio::time::timeout(DELIVERY * 6, reports.recv()).await;
    assert_ne!(report, Ok(Some(false)), "the handler takes the client for present");
}
