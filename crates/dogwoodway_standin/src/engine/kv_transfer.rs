//! Import of KV cache from the external KV store, and export to it.

use std::time::Duration;

use dogwoodway_engine::{KvTransferRequest, KvTransferResponse};
use dogwoodway_http::{Body, HttpClient, json_response, text_response};
use dogwoodway_kvstore::{HttpKvStore, KvRecord, KvStore};
use dogwoodway_types::PieceHash;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};

use crate::{engine::server::Engine, read_json};

const EXPORT_TIMEOUT_MS: u64 = 1_000;

impl Engine {
    /// Handles `POST /kv/import`: adds the leading pieces of a prompt that the store holds to the
    /// prefix cache, up to the first that was computed with another model or weights version.
    pub(super) async fn import_kv(&self, req: Request<Incoming>) -> Response<Body> {
        let (transfer, store_url) = match self.read_transfer_request(req).await {
            Ok(transfer) => transfer,
            Err(resp) => return *resp,
        };
        let records = match HttpKvStore::new(store_url).lookup(transfer.keys.clone()).await {
            Ok(records) => records,
            Err(e) => return text_response(StatusCode::BAD_GATEWAY, &e.to_string()),
        };
        let matching = records.iter().take_while(|record| {
            record.model == transfer.model && record.version == transfer.version
        });
        let matching: Vec<_> = matching.collect();
        let tokens: u64 = matching.iter().map(|record| u64::from(record.tokens)).sum();
        let time = Duration::from_micros(tokens * u64::from(self.options().import_us));
        tokio::time::sleep(time.div_f64(self.options().speed)).await;
        let keys: Vec<PieceHash> = matching.iter().map(|record| record.key).collect();
        self.insert_imported(&keys);
        json_response(StatusCode::OK, &KvTransferResponse { pieces: saturating_u32(keys.len()) })
    }

    /// Handles `POST /kv/export`: stores the leading pieces of a prompt that are cached.
    pub(super) async fn export_kv(&self, req: Request<Incoming>) -> Response<Body> {
        let (transfer, store_url) = match self.read_transfer_request(req).await {
            Ok(transfer) => transfer,
            Err(resp) => return *resp,
        };
        let cached = self.matched(&transfer.keys);
        let pieces = transfer.keys.iter().zip(&transfer.tokens).take(cached);
        let records: Vec<_> = pieces
            .map(|(key, tokens)| KvRecord {
                key: *key,
                model: transfer.model.clone(),
                version: transfer.version,
                tokens: *tokens,
            })
            .collect();
        let body = serde_json::to_vec(&records).unwrap_or_default();
        let url = format!("{store_url}/kv/records");
        let timeout = Duration::from_millis(EXPORT_TIMEOUT_MS);
        let http = HttpClient::new();
        match http.call(Method::PUT, &url, "application/json", body.into(), timeout).await {
            Ok(resp) if resp.status.is_success() => json_response(
                StatusCode::OK,
                &KvTransferResponse { pieces: saturating_u32(cached) },
            ),
            _ => text_response(StatusCode::BAD_GATEWAY, "the store did not keep the pieces"),
        }
    }

    /// Reads the body of an import or export and returns it with the URL of the store. The error is
    /// the response to a request for other weights, or if no store is configured.
    async fn read_transfer_request(
        &self,
        req: Request<Incoming>,
    ) -> Result<(KvTransferRequest, String), Box<Response<Body>>> {
        let transfer = read_json::<KvTransferRequest>(req).await?;
        let status = self.status();
        if transfer.model != status.model || transfer.version != status.version {
            let message = "other weights are loaded";
            return Err(Box::new(text_response(StatusCode::CONFLICT, message)));
        }
        match &self.options().kv_store_url {
            Some(url) => Ok((transfer, url.clone())),
            None => Err(Box::new(text_response(StatusCode::NOT_FOUND, "there is no store"))),
        }
    }
}

fn saturating_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
