//! Peers that pause, trickle or fall silent, on real sockets. A peer falls silent by a filter on its
//! socket that drops every packet before the kernel sees it, so that nothing is acknowledged.

use std::{
    io::{Read, Write},
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dogwoodway_http::{
    Body, BodySender, Handler, ServerLimits, WatchedStream, channel_body, full_body, serve,
};
use hyper::Response;
use socket2::{Domain, SockFilter, SockRef, Socket, Type};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

/// Silence timeout of the servers here, in milliseconds.
const SILENCE_TIMEOUT_MS: u64 = 4_000;

/// Pause of a client, in milliseconds. By its end the kernel would probe the closed window only every
/// 6.4 s by itself, so that it covers probes rarer than the silence timeout.
const PAUSE_MS: u64 = 14_000;

/// Latest end of a connection to a silent peer, in milliseconds since its last packet.
const SILENCE_KNOWN_MS: u64 = 6_000;

/// Size of an answer that no socket buffer holds, in bytes.
const LONG_BYTES: usize = 8 << 20;

/// Size of an answer that the server's socket buffer holds and the client's does not, in bytes.
const BUFFERED_BYTES: usize = 512 << 10;

/// Requested receive buffer of clients, in bytes.
const CLIENT_BUFFER_BYTES: usize = 32 << 10;

/// `BPF_RET | BPF_K`: keep that many bytes of the packet.
const FILTER_RETURN: u16 = 0x06;

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

async fn start(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let limits = ServerLimits {
        silence_timeout_ms: Some(SILENCE_TIMEOUT_MS),
        header_read_timeout_ms: 60_000,
        ..ServerLimits::default()
    };
    tokio::spawn(serve(listener, limits, handler, std::future::pending()));
    address
}

/// Starts a server that answers with `len` bytes at once.
async fn start_with_answer(len: usize) -> SocketAddr {
    start(Arc::new(move |_| {
        let resp = Response::new(full_body(vec![b'a'; len]));
        Box::pin(std::future::ready(resp))
    }))
    .await
}

/// Starts a server that streams an answer without end, and returns when each stream was cut.
async fn start_with_stream() -> (SocketAddr, mpsc::UnboundedReceiver<Instant>) {
    let (cut_tx, cut_rx) = mpsc::unbounded_channel();
    let handler: Handler = Arc::new(move |_| {
        let (body_tx, body) = channel_body();
        let cut_tx = cut_tx.clone();
        tokio::spawn(async move {
            send_until_cut(body_tx).await;
            cut_tx.send(Instant::now())
        });
        Box::pin(std::future::ready(Response::<Body>::new(body)))
    });
    (start(handler).await, cut_rx)
}

async fn send_until_cut(tx: BodySender) {
    while tx.send(Bytes::from_static(&[b'a'; 16 << 10])).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Sends a request on a new connection with a small receive buffer.
fn request(server: SocketAddr, headers: &str) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(CLIENT_BUFFER_BYTES).expect("a small buffer");
    socket.connect(&server.into()).expect("the server listens");
    let head = format!("GET / HTTP/1.1\r\nhost: a\r\n{headers}\r\n");
    (&socket).write_all(head.as_bytes()).expect("the head is sent");
    socket
}

fn fall_silent(socket: &Socket) -> Instant {
    let filter = SockFilter::new(FILTER_RETURN, 0, 0, 0);
    SockRef::from(socket).attach_filter(&[filter]).expect("a filter");
    Instant::now()
}

/// Reads the rest of an answer and returns the number of bytes of the whole.
fn read_to_length(mut socket: &Socket, mut received: usize, len: usize) -> std::io::Result<usize> {
    let mut buf = vec![0; 64 << 10];
    while received < len {
        match socket.read(&mut buf)? {
            0 => break,
            n => received += n,
        }
    }
    Ok(received)
}

async fn blocking<F, R>(f: F) -> R
where
    F: FnOnce() -> R + Send + 'static,
    R: Send + 'static,
{
    tokio::task::spawn_blocking(f).await.expect("no panic")
}

/// Asserts that a stream to a peer that fell silent at `silent_at` was cut in time.
async fn assert_cut(cuts: &mut mpsc::UnboundedReceiver<Instant>, silent_at: Instant) {
    let limit = Duration::from_millis(SILENCE_KNOWN_MS);
    let cut = tokio::time::timeout(limit, cuts.recv()).await.expect("cut in time");
    let cut_at = cut.expect("the server runs");
    assert!(cut_at >= silent_at, "cut while the peer acknowledged");
    println!("cut {} ms after the peer's last packet", (cut_at - silent_at).as_millis());
}

// Guards against: the kernel ends a connection whose window is closed, though the client acknowledges.
#[tokio::test(flavor = "multi_thread")]
async fn client_that_pauses_gets_its_whole_answer() {
    let server = start_with_answer(LONG_BYTES).await;
    let result = blocking(move || {
        let socket = request(server, "");
        let received = (&socket).read(&mut [0; 4_096])?;
        sleep_ms(PAUSE_MS);
        read_to_length(&socket, received, LONG_BYTES)
    });
    assert!(result.await.expect("no reset") >= LONG_BYTES);
}

// Guards against: as above, when the server has handed the end of its answer to the kernel.
#[tokio::test(flavor = "multi_thread")]
async fn client_that_pauses_gets_an_answer_that_waits_in_the_kernel() {
    let server = start_with_answer(BUFFERED_BYTES).await;
    let result = blocking(move || {
        let socket = request(server, "");
        let received = (&socket).read(&mut [0; 4_096])?;
        sleep_ms(PAUSE_MS);
        read_to_length(&socket, received, BUFFERED_BYTES)
    });
    assert!(result.await.expect("no reset") >= BUFFERED_BYTES);
}

// Guards against: as above, when the server has closed the connection behind its answer.
#[tokio::test(flavor = "multi_thread")]
async fn client_that_pauses_gets_an_answer_whose_connection_is_closed() {
    let server = start_with_answer(BUFFERED_BYTES).await;
    let result = blocking(move || {
        let socket = request(server, "connection: close\r\n");
        let received = (&socket).read(&mut [0; 4_096])?;
        sleep_ms(PAUSE_MS);
        read_to_length(&socket, received, BUFFERED_BYTES)
    });
    assert!(result.await.expect("no reset") >= BUFFERED_BYTES);
}

#[tokio::test(flavor = "multi_thread")]
async fn client_that_trickles_gets_its_whole_answer() {
    let server = start_with_answer(BUFFERED_BYTES).await;
    let result = blocking(move || {
        let socket = request(server, "");
        let mut received = 0;
        for _ in 0..6 {
            received += (&socket).read(&mut [0; 16 << 10])?;
            sleep_ms(SILENCE_TIMEOUT_MS - 500);
        }
        read_to_length(&socket, received, BUFFERED_BYTES)
    });
    assert!(result.await.expect("no reset") >= BUFFERED_BYTES);
}

#[tokio::test(flavor = "multi_thread")]
async fn client_that_falls_silent_while_it_reads_is_given_up() {
    let (server, mut cuts) = start_with_stream().await;
    let (_socket, silent_at) = blocking(move || {
        let socket = request(server, "");
        read_to_length(&socket, 0, 1 << 20).expect("a stream");
        let silent_at = fall_silent(&socket);
        (socket, silent_at)
    })
    .await;
    assert_cut(&mut cuts, silent_at).await;
}

// Guards against: a closed window hides that the client is gone.
#[tokio::test(flavor = "multi_thread")]
async fn client_that_falls_silent_in_a_pause_is_given_up() {
    let (server, mut cuts) = start_with_stream().await;
    let (_socket, silent_at) = blocking(move || {
        let socket = request(server, "");
        read_to_length(&socket, 0, 1 << 20).expect("a stream");
        sleep_ms(PAUSE_MS);
        let silent_at = fall_silent(&socket);
        (socket, silent_at)
    })
    .await;
    assert_cut(&mut cuts, silent_at).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn client_that_falls_silent_while_it_waits_is_given_up() {
    let (cut_tx, mut cuts) = mpsc::unbounded_channel();
    let handler: Handler = Arc::new(move |_| {
        let (body_tx, body) = channel_body();
        let cut_tx = cut_tx.clone();
        tokio::spawn(async move {
            body_tx.closed().await;
            cut_tx.send(Instant::now())
        });
        Box::pin(std::future::ready(Response::<Body>::new(body)))
    });
    let server = start(handler).await;
    let (_socket, silent_at) = blocking(move || {
        let socket = request(server, "");
        read_to_length(&socket, 0, 1).expect("a head");
        sleep_ms(200);
        let silent_at = fall_silent(&socket);
        (socket, silent_at)
    })
    .await;
    assert_cut(&mut cuts, silent_at).await;
}

/// Sends a long body to a server that reads `read_first` bytes and calls `then`.
async fn send_long_body<F>(read_first: usize, then: F) -> std::io::Result<()>
where
    F: FnOnce(std::net::TcpStream, usize) + Send + 'static,
{
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    SockRef::from(&listener).set_recv_buffer_size(CLIENT_BUFFER_BYTES)?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = vec![0; read_first];
        stream.read_exact(&mut buf).expect("the start of the body");
        then(stream, read_first);
    });
    let stream = TcpStream::connect(address).await?;
    let mut stream = WatchedStream::new(stream, Duration::from_millis(SILENCE_TIMEOUT_MS))?;
    stream.write_all(&vec![b'a'; LONG_BYTES]).await
}

// Guards against: the kernel ends a connection whose window is closed, though the server acknowledges.
#[tokio::test(flavor = "multi_thread")]
async fn server_that_pauses_gets_a_whole_body() {
    let (received_tx, mut received_rx) = mpsc::unbounded_channel();
    let result = send_long_body(4_096, move |stream, received| {
        sleep_ms(PAUSE_MS);
        let received = read_to_length(&Socket::from(stream), received, LONG_BYTES);
        received_tx.send(received.expect("no reset")).expect("the test waits");
    });
    result.await.expect("the whole body is written");
    assert_eq!(received_rx.recv().await, Some(LONG_BYTES));
}

#[tokio::test(flavor = "multi_thread")]
async fn server_that_falls_silent_in_a_body_is_given_up() {
    let (silent_tx, mut silent_rx) = mpsc::unbounded_channel();
    let result = send_long_body(1 << 20, move |stream, _| {
        let socket = Socket::from(stream);
        silent_tx.send(fall_silent(&socket)).expect("the test waits");
        sleep_ms(2 * SILENCE_KNOWN_MS);
    });
    let result = result.await;
    let silent_at = silent_rx.recv().await.expect("the server fell silent");
    println!("cut {} ms after the server's last packet", silent_at.elapsed().as_millis());
    assert_eq!(result.map_err(|e| e.kind()), Err(std::io::ErrorKind::TimedOut));
    assert!(silent_at.elapsed() < Duration::from_millis(SILENCE_KNOWN_MS));
}
