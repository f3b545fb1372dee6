//! Import of KV cache from the store of kept KV cache, and export to it.

use std::time::Duration;

use dogwoodway_engine::{KvTransferRequest, KvTransferResponse};
use dogwoodway_http::{Body, HttpClient, json_response, text_response};
use dogwoodway_kvstore::{HttpKvStore, KvRecord, KvStore};
use dogwoodway_types::PieceHash;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};

use crate::{engine::server::Engine, read_json};

const STORE_TIMEOUT_MS: u64 = 1_000;

impl Engine {
    /// Answers `POST /kv/import`: takes over the pieces that the store holds for these weights.
    pub(super) async fn import(&self, req: Request<Incoming>) -> Response<Body> {
        let (order, store_url) = match self.checked_order(req).await {
            Ok(checked) => checked,
            Err(resp) => return *resp,
        };
        let records = match HttpKvStore::new(store_url).lookup(order.keys.clone()).await {
            Ok(records) => records,
            Err(e) => return text_response(StatusCode::BAD_GATEWAY, &e.to_string()),
        };
        let usable = records
            .iter()
            .take_while(|record| record.model == order.model && record.version == order.version);
        let usable: Vec<_> = usable.collect();
        let tokens: u64 = usable.iter().map(|record| u64::from(record.tokens)).sum();
        let time = Duration::from_micros(tokens * u64::from(self.options().import_us));
        tokio::time::sleep(time.div_f64(self.options().speed)).await;
        let keys: Vec<PieceHash> = usable.iter().map(|record| record.key).collect();
        self.keep_imported(&keys);
        json_response(StatusCode::OK, &KvTransferResponse { pieces: count(keys.len()) })
    }

    /// Answers `POST /kv/export`: gives the pieces that are cached to the store.
    pub(super) async fn export(&self, req: Request<Incoming>) -> Response<Body> {
        let (order, store_url) = match self.checked_order(req).await {
            Ok(checked) => checked,
            Err(resp) => return *resp,
        };
        let held = self.matched(&order.keys);
        let pieces = order.keys.iter().zip(&order.tokens).take(held);
        let records: Vec<_> = pieces
            .map(|(key, tokens)| KvRecord {
                key: *key,
                model: order.model.clone(),
                version: order.version,
                tokens: *tokens,
            })
            .collect();
        let body = serde_json::to_vec(&records).unwrap_or_default();
        let url = format!("{store_url}/kv/records");
        let limit = Duration::from_millis(STORE_TIMEOUT_MS);
        let http = HttpClient::new();
        match http.call(Method::PUT, &url, "application/json", body.into(), limit).await {
            Ok(reply) if reply.status.is_success() => {
                json_response(StatusCode::OK, &KvTransferResponse { pieces: count(held) })
            }
            _ => text_response(StatusCode::BAD_GATEWAY, "the store did not keep the pieces"),
        }
    }

    /// Reads an order and refuses it if it is for other weights or there is no store.
    async fn checked_order(
        &self,
        req: Request<Incoming>,
    ) -> Result<(KvTransferRequest, String), Box<Response<Body>>> {
        let order = read_json::<KvTransferRequest>(req).await?;
        let status = self.status();
        if order.model != status.model || order.version != status.version {
            let message = "other weights are loaded";
            return Err(Box::new(text_response(StatusCode::CONFLICT, message)));
        }
        match &self.options().kv_store_url {
            Some(url) => Ok((order, url.clone())),
            None => Err(Box::new(text_response(StatusCode::NOT_FOUND, "there is no store"))),
        }
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
