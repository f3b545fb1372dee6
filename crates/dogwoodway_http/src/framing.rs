//! How the end of a response body is marked.

use hyper::{HeaderMap, body::Body, header};

/// How the receiver of a response finds the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The head states the length, or the response has no body.
    Length,
    /// The body consists of chunks, of which the last one is empty.
    Chunked,
    /// The body ends with the connection. Whether it is complete can only be told from its content.
    CloseDelimited,
}

impl BodyFraming {
    /// Returns the framing of a response whose body has not been read yet; see RFC 9112, section
    /// 6.3.
    ///
    /// ```
    /// use dogwoodway_http::{BodyFraming, full_body};
    ///
    /// let headers = hyper::HeaderMap::new();
    /// assert_eq!(BodyFraming::of_response(&headers, &full_body("ready")), BodyFraming::Length);
    /// ```
    pub fn of_response<B>(headers: &HeaderMap, body: &B) -> BodyFraming
    where
        B: Body,
    {
        if body.size_hint().exact().is_some() {
            return BodyFraming::Length;
        }
        let codings = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
        let last_coding = codings.and_then(|codings| codings.to_str().ok()?.rsplit(',').next());
        match last_coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) {
            true => BodyFraming::Chunked,
            false => BodyFraming::CloseDelimited,
        }
    }

    /// Returns a name for logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            BodyFraming::Length => "length",
            BodyFraming::Chunked => "chunked",
            BodyFraming::CloseDelimited => "close-delimited",
        }
    }
}
