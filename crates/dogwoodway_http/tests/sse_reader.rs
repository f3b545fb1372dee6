//! Events that are read from response bodies.

use std::time::Duration;

use dogwoodway_http::{HttpClient, HttpError, SseReader};
use hyper::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Sends `body` in pieces of this many bytes, and returns the events that a client reads.
async fn read(body: &str, piece_bytes: usize) -> Result<Vec<String>, HttpError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let url = format!("http://{}/", listener.local_addr().expect("the socket is bound"));
    let body = body.to_owned();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await.expect("the request is read");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await.expect("the head is sent");
        for piece in body.as_bytes().chunks(piece_bytes) {
            stream.write_all(piece).await.expect("the body is sent");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    let client = HttpClient::new();
    let resp = client.send(Method::GET, &url, "text/plain", "".into(), &[]).await?;
    let mut reader = SseReader::new(resp.into_body());
    let mut events = Vec::new();
    while let Some(event) = reader.next().await? {
        events.push(event);
    }
    server.await.expect("the server has not failed");
    Ok(events)
}

#[tokio::test]
async fn events_are_read_whatever_ends_their_lines() {
    for line_end in ["\n", "\r\n", "\r"] {
        let body = "data: a\ndata: b\n\nid: 2\ndata: c\n\n".replace('\n', line_end);
        for piece_bytes in [1, 3, 100] {
            let events = read(&body, piece_bytes).await;
            let events = events.unwrap_or_else(|e| panic!("{line_end:?} by {piece_bytes}: {e}"));
            assert_eq!(events, ["a\nb", "c"], "{line_end:?} by {piece_bytes}");
        }
    }
}

#[tokio::test]
async fn a_stream_that_ends_inside_an_event_is_lost() {
    for body in ["data: a\n\ndata: b", "data: a\r\n\r\ndata: b\r\n", "data: a\r\rdata: b\r"] {
        let result = read(body, 2).await;
        assert!(matches!(result, Err(HttpError::ResponseLost(_))), "{body:?}: {result:?}");
    }
}
