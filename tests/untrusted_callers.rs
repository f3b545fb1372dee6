//! Callers whose bodies take far more of an entry's memory than their size.

mod fleet;

use futures::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::fleet::{API_KEY, Fleet, FleetOptions, chat_body};

/// Connections, and bytes of the body that each sends in chunks of one byte.
const CALLERS: usize = 12;
const BODY_BYTES: usize = 1_000_000;

/// Bound on the memory of the entry, in MB. The bodies have 12 MB together.
const MAX_MEMORY_MB: u64 = 128;

// Each chunk was kept as a buffer of its own, which takes many times the memory of its byte.
#[tokio::test]
async fn bodies_in_chunks_of_one_byte_take_little_memory() {
    let options = FleetOptions { engines: 1, services: 0, entries: 1, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await;
    let entry = &fleet.entries[0];
    let idle_mb = entry.peak_memory_bytes().expect("the entry runs") >> 20;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {API_KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    let script = head + &"1\r\nn\r\n".repeat(BODY_BYTES) + "0\r\n\r\n";
    let callers = (0..CALLERS).map(|_| async {
        let mut stream = TcpStream::connect(entry.address).await.expect("a connection");
        stream.write_all(script.as_bytes()).await.expect("the body is sent");
        // The refusal shows that the entry has read all of the body.
        let mut response = [0; 12];
        stream.read_exact(&mut response).await.expect("a response");
        assert_eq!(&response, b"HTTP/1.1 400", "the body is no JSON");
    });
    join_all(callers).await;
    let response = fleet.chat(0, &chat_body("question", 2)).await;
    let peak_mb = entry.peak_memory_bytes().expect("the entry runs") >> 20;
    println!("{idle_mb} MB before, peak {peak_mb} MB of {MAX_MEMORY_MB}");
    assert_eq!(response.status, 200, "an ordinary request is answered");
    assert!(peak_mb < MAX_MEMORY_MB, "peak {peak_mb} MB of {MAX_MEMORY_MB}");
}
