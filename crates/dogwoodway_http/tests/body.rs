//! Ends of streamed bodies.

use assert_matches::assert_matches;
use bytes::Bytes;
use dogwoodway_http::channel_body;
use http_body_util::BodyExt;

#[tokio::test]
async fn body_whose_sender_was_dropped_is_not_complete() {
    let (tx, mut body) = channel_body();
    tx.send(Bytes::from("a")).await.expect("the body is read");
    drop(tx);
    let frame = body.frame().await.expect("a chunk").expect("no error");
    assert_matches!(frame.into_data(), Ok(chunk) if chunk == "a");
    assert_matches!(body.frame().await, Some(Err(_)));
}
