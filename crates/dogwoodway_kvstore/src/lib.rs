//! Client of the store of kept KV cache.
//!
//! The store keeps the KV cache of prompt pieces beyond an engine's memory. Engines move the data
//! themselves; an agent only asks what is held and orders its engine to import or export. A
//! record names the model and the weights version that it was computed with, and an engine refuses
//! one that differs from its own. The protocol is JSON over HTTP:
//!
//! - `POST /kv/lookup` with [`LookupRequest`] answers [`LookupResponse`].
//! - `PUT /kv/records` with a list of [`KvRecord`] keeps them.

use std::{fmt, time::Duration};

use dogwoodway_http::HttpClient;
use dogwoodway_types::{ModelName, PieceHash, WeightsVersion};
use futures::{FutureExt, future::BoxFuture};
use hyper::Method;
use serde::{Deserialize, Serialize};

/// Longest wait for a lookup, which a request waits for.
const LOOKUP_TIMEOUT_MS: u64 = 50;

/// The KV cache of one prompt piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvRecord {
    /// The prompt up to the end of the piece.
    pub key: PieceHash,
    /// Model that it was computed with.
    pub model: ModelName,
    /// Weights version that it was computed with.
    pub version: WeightsVersion,
    /// Tokens in the piece.
    pub tokens: u32,
}

/// Asks which pieces of a prompt are held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupRequest {
    /// The prompt's pieces, from its start.
    pub keys: Vec<PieceHash>,
}

/// The pieces of a prompt that are held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupResponse {
    /// Records of the pieces from the prompt's start up to the first that is not held.
    pub records: Vec<KvRecord>,
}

/// The store gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvStoreError(pub String);

impl fmt::Display for KvStoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the KV store gave no answer: {}", self.0)
    }
}

impl std::error::Error for KvStoreError {}

/// The store of kept KV cache.
pub trait KvStore: Send + Sync {
    /// Returns the records of a prompt's pieces from its start up to the first that is not held.
    fn lookup(&self, keys: Vec<PieceHash>) -> BoxFuture<'_, Result<Vec<KvRecord>, KvStoreError>>;
}

/// The store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpKvStore {
    http: HttpClient,
    base_url: String,
}

impl HttpKvStore {
    /// Builds a client; `base_url` has no slash at its end.
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
            let limit = Duration::from_millis(LOOKUP_TIMEOUT_MS);
            match self.http.json::<_, LookupResponse>(Method::POST, &url, &req, limit).await {
                Ok(answer) => Ok(answer.records),
                Err(e) => Err(KvStoreError(e.to_string())),
            }
        }
        .boxed()
    }
}
