//! Client of the KV store.
//!
//! The KV store keeps the KV cache of prompt pieces outside the engines, so that it survives
//! eviction from an engine's memory. Engines transfer the data themselves; an agent only looks up
//! which pieces the store holds, and makes its engine import or export them. Each record names the
//! model and the weights version that it was computed with, and an engine imports only records that
//! match its own model and version. The protocol is JSON over HTTP:
//!
//! - `POST /kv/lookup` with a [`LookupRequest`] returns a [`LookupResponse`].
//! - `PUT /kv/records` with a list of [`KvRecord`] stores the records.

use std::{fmt, time::Duration};

use dogwoodway_http::HttpClient;
use dogwoodway_types::{ModelName, PieceHash, WeightsVersion};
use futures::{FutureExt, future::BoxFuture};
use hyper::Method;
use serde::{Deserialize, Serialize};

/// Time limit for a lookup, in milliseconds. It is short because the request that needs the KV
/// cache is delayed by the lookup.
const LOOKUP_TIMEOUT_MS: u64 = 50;

/// Describes the KV cache of one prompt piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvRecord {
    /// Hash of the prompt up to the end of the piece.
    pub key: PieceHash,
    /// Model that the KV cache was computed with.
    pub model: ModelName,
    /// Weights version that the KV cache was computed with.
    pub version: WeightsVersion,
    /// Number of tokens in the piece.
    pub tokens: u32,
}

/// Body of `POST /kv/lookup`: asks which pieces of a prompt the store holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupRequest {
    /// Consecutive pieces of the prompt, from its start.
    pub keys: Vec<PieceHash>,
}

/// Response to a [`LookupRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupResponse {
    /// Records of the pieces from the start of the prompt up to the first one that is missing.
    pub records: Vec<KvRecord>,
}

/// A call to the KV store had no usable response; the text states why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvStoreError(pub String);

impl fmt::Display for KvStoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the KV store gave no answer: {}", self.0)
    }
}

impl std::error::Error for KvStoreError {}

/// Access to the KV store.
pub trait KvStore: Send + Sync {
    /// Returns the records of a prompt's pieces, from its start up to the first one that is missing
    /// in the store.
    fn lookup(&self, keys: Vec<PieceHash>) -> BoxFuture<'_, Result<Vec<KvRecord>, KvStoreError>>;
}

/// HTTP client of the KV store.
#[derive(Clone, Debug)]
pub struct HttpKvStore {
    http: HttpClient,
    base_url: String,
}

impl HttpKvStore {
    /// Creates a client; `base_url` must not end with a slash. It connects on first use.
    ///
    /// ```
    /// let _store = dogwoodway_kvstore::HttpKvStore::new("http://127.0.0.1:7003".to_owned());
    /// ```
    pub fn new(base_url: String) -> HttpKvStore {
        HttpKvStore { http: HttpClient::new(), base_url }
    }
}

impl KvStore for HttpKvStore {
    fn lookup(&self, keys: Vec<PieceHash>) -> BoxFuture<'_, Result<Vec<KvRecord>, KvStoreError>> {
        async move {
            let url = format!("{}/kv/lookup", self.base_url);
            let req = LookupRequest { keys };
            let timeout = Duration::from_millis(LOOKUP_TIMEOUT_MS);
            match self.http.json::<_, LookupResponse>(Method::POST, &url, &req, timeout).await {
                Ok(resp) => Ok(resp.records),
                Err(e) => Err(KvStoreError(e.to_string())),
            }
        }
        .boxed()
    }
}
