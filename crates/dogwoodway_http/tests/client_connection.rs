//! A handler can tell whether the client of its request has left.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

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

/// Longest time for which a handler waits until it may look, so that a failed test ends.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Serves a handler that does not return to the runtime, as if other requests had the processor, until
/// `may_look` is set and for `DELIVERY`, and then reports whether its client has left.
async fn start(listener: TcpListener, may_look: Arc<AtomicBool>) -> mpsc::UnboundedReceiver<bool> {
    let (tx, rx) = mpsc::unbounded_channel();
    let handler: Handler = Arc::new(move |req| {
        let client = req.extensions().get::<ClientConnection>().cloned();
        let give_up_at = Instant::now() + MAX_WAIT;
        while !may_look.load(Ordering::Acquire) && Instant::now() < give_up_at {
            std::thread::sleep(Duration::from_millis(1));
        }
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
    let may_look = Arc::<AtomicBool>::default();
    let mut reports = start(listener, may_look.clone()).await;
    // Not on the runtime, whose timers may belong to the thread that the handler holds.
    let client = std::thread::spawn(move || {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(REQUEST).unwrap();
        std::thread::sleep(DELIVERY / 3);
        drop(client);
        may_look.store(true, Ordering::Release);
    });
    assert_eq!(reports.recv().await, Some(true));
    client.join().unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_that_waits_for_its_answer_has_not_left() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut reports = start(listener, Arc::new(AtomicBool::new(true))).await;
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
    let mut reports = start(listener, Arc::new(AtomicBool::new(true))).await;
    let report = tokio::time::timeout(DELIVERY * 6, reports.recv()).await;
    assert_ne!(report, Ok(Some(false)), "the handler takes the client for present");
}
