//! Stand-in for the external KV store, which holds the KV cache of prompt pieces for all engines.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use dogwoodway_http::{Body, Handler, json_response, text_response};
use dogwoodway_kvstore::{KvRecord, LookupRequest, LookupResponse};
use dogwoodway_types::PieceHash;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};

use crate::{fault::FaultInjector, read_json};

#[derive(Debug, Default)]
struct KvStoreService {
    records: Mutex<HashMap<PieceHash, KvRecord>>,
    faults: FaultInjector,
}

/// Creates the handler of an empty store of unlimited size. `GET /kv/records` lists its records in
/// no particular order.
///
/// ```
/// let _handler = dogwoodway_standin::kv_store_handler();
/// ```
pub fn kv_store_handler() -> Handler {
    let store = Arc::new(KvStoreService::default());
    Arc::new(move |req| {
        let store = store.clone();
        Box::pin(async move { store.handle(req).await })
    })
}

impl KvStoreService {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        if path == "/fault" {
            return self.faults.handle_request(req).await;
        }
        if let Err(resp) = self.faults.before_call().await {
            return *resp;
        }
        let resp = match (req.method(), path.as_str()) {
            (&Method::POST, "/kv/lookup") => match read_json::<LookupRequest>(req).await {
                Ok(lookup) => self.lookup(&lookup),
                Err(resp) => *resp,
            },
            (&Method::PUT, "/kv/records") => match read_json::<Vec<KvRecord>>(req).await {
                Ok(records) => self.store(records),
                Err(resp) => *resp,
            },
            (&Method::GET, "/kv/records") => self.list(),
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        };
        self.faults.after_call(resp)
    }

    fn lookup(&self, lookup: &LookupRequest) -> Response<Body> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let found = lookup.keys.iter().map_while(|key| records.get(key).cloned());
        json_response(StatusCode::OK, &LookupResponse { records: found.collect() })
    }

    fn store(&self, new_records: Vec<KvRecord>) -> Response<Body> {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.extend(new_records.into_iter().map(|record| (record.key, record)));
        text_response(StatusCode::OK, "kept")
    }

    fn list(&self) -> Response<Body> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        json_response(StatusCode::OK, &records.values().collect::<Vec<_>>())
    }
}
