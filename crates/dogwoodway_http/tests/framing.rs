//! Recognition of how the end of a body is marked.

use bytes::Bytes;
use dogwoodway_http::{BodyFraming, channel_body};
use http_body_util::{Empty, Full};
use hyper::{HeaderMap, header};

fn headers(transfer_encodings: &[&'static str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in transfer_encodings {
        headers.append(header::TRANSFER_ENCODING, header::HeaderValue::from_static(value));
    }
    headers
}

#[test]
fn framing_follows_from_the_known_length_and_the_last_transfer_coding() {
    let (_tx, body) = channel_body();
    let none = headers(&[]);
    assert_eq!(BodyFraming::of_response(&none, &Empty::<Bytes>::new()), BodyFraming::Length);
    assert_eq!(BodyFraming::of_response(&none, &Full::new(Bytes::from("a"))), BodyFraming::Length);
    assert_eq!(BodyFraming::of_response(&none, &body), BodyFraming::CloseDelimited);
    for codings in [&["chunked"][..], &["gzip, Chunked"], &["gzip", "chunked"]] {
        assert_eq!(BodyFraming::of_response(&headers(codings), &body), BodyFraming::Chunked);
    }
    for codings in [&["gzip"][..], &["chunked, gzip"], &["chunked", "identity"]] {
        assert_eq!(BodyFraming::of_response(&headers(codings), &body), BodyFraming::CloseDelimited);
    }
}
