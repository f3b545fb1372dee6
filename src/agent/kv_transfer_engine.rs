//! A model engine that imports the KV cache of prefixes from an external store, and exports that of
//! shared ones.
//!
//! The store only saves time: if it is slow, down or does not contain a prefix, requests run as
//! they would without it. Pieces are identified by hashes of team, model, weights version and
//! content, and the engine refuses records of other weights. The cache of another team or of other
//! weights can therefore not be imported.

use std::sync::Arc;

use dogwoodway_engine::{
    CacheEvents, EngineError, EngineEvent, EngineRequest, EngineStatus, EngineStream,
    KvTransferRequest, KvTransferResponse, LoadOrder, ModelEngine,
};
use dogwoodway_kvstore::KvStore;
use dogwoodway_routing::{
    kv_transfer::{ExportCounter, TransferRates, is_import_quicker},
    prefix_index::PrefixIndex,
};
use dogwoodway_types::{AttemptId, EngineIncarnation, PieceHash};
use futures::{FutureExt, future::BoxFuture};
use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    message::{Context, Message},
};

/// Maximum number of pieces whose uses are counted.
const MAX_COUNTED_PIECES: usize = 20_000;

/// Assumed prefill speed of an engine and speed of its connection to the store.
const ASSUMED_RATES: TransferRates =
    TransferRates { prefill_us: 50, import_us: 10, import_overhead_us: 5_000 };

/// An engine that imports prefixes from a KV store and exports them to it.
pub(crate) struct KvTransferEngine {
    engine: Arc<dyn ModelEngine>,
    store: Arc<dyn KvStore>,
    planner: ActorRef<KvPlanner>,
}

impl KvTransferEngine {
    /// Creates an engine that runs requests on `engine` and transfers KV cache from and to `store`.
    pub(crate) fn new(engine: Arc<dyn ModelEngine>, store: Arc<dyn KvStore>) -> KvTransferEngine {
        let planner = KvPlanner {
            engine: EngineIncarnation::default(),
            cache_pieces: 0,
            index: PrefixIndex::new(0),
            counter: ExportCounter::new(MAX_COUNTED_PIECES),
        };
        KvTransferEngine { engine, store, planner: KvPlanner::spawn(planner) }
    }

    /// Imports the part of a prompt that the store contains, if that is faster than computing it.
    async fn import_prefix(&self, req: &EngineRequest) {
        let Ok(cached) = self.planner.ask(CountCachedPieces(req.cache_keys.clone())).await else {
            return;
        };
        let tokens_after = |pieces: usize| req.piece_tokens.iter().skip(pieces).sum::<u32>();
        if !is_import_quicker(tokens_after(cached), &ASSUMED_RATES) {
            return;
        }
        let Ok(records) = self.store.lookup(req.cache_keys.clone()).await else { return };
        let available = records.len().max(cached);
        if !is_import_quicker(tokens_after(cached) - tokens_after(available), &ASSUMED_RATES) {
            return;
        }
        match self.engine.import_kv(transfer_request(req, available)).await {
            Ok(response) => {
                log::debug!(attempt:% = req.request_id, pieces = response.pieces; "imported");
            }
            Err(e) => {
                let attempt = req.request_id;
                log::warn!(attempt:%; "importing a prefix from the KV store failed: {e}");
            }
        }
    }
}

impl ModelEngine for KvTransferEngine {
    fn generate(
        &self,
        req: EngineRequest,
    ) -> BoxFuture<'_, Result<Box<dyn EngineStream>, EngineError>> {
        async move {
            self.import_prefix(&req).await;
            let inner = self.engine.generate(req.clone()).await?;
            let stream: Box<dyn EngineStream> = Box::new(KvTransferStream {
                inner,
                req,
                engine: self.engine.clone(),
                planner: self.planner.clone(),
            });
            Ok(stream)
        }
        .boxed()
    }

    fn cancel(&self, request_id: AttemptId) -> BoxFuture<'_, Result<(), EngineError>> {
        self.engine.cancel(request_id)
    }

    fn load_weights(&self, order: LoadOrder) -> BoxFuture<'_, Result<(), EngineError>> {
        self.engine.load_weights(order)
    }

    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, EngineError>> {
        async move {
            let status = self.engine.status().await?;
            let (engine, cache_pieces) = (status.incarnation, Some(status.cache_pieces));
            let _ = self.planner.tell(EngineObserved { engine, cache_pieces }).await;
            Ok(status)
        }
        .boxed()
    }

    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<CacheEvents, EngineError>> {
        self.engine.cache_events(from)
    }

    fn import_kv(
        &self,
        req: KvTransferRequest,
    ) -> BoxFuture<'_, Result<KvTransferResponse, EngineError>> {
        self.engine.import_kv(req)
    }

    fn export_kv(
        &self,
        req: KvTransferRequest,
    ) -> BoxFuture<'_, Result<KvTransferResponse, EngineError>> {
        self.engine.export_kv(req)
    }
}

/// An answer of the engine. Its start and end tell the planner what the engine has cached, and at
/// its end the shared part of the prompt is exported.
struct KvTransferStream {
    inner: Box<dyn EngineStream>,
    req: EngineRequest,
    engine: Arc<dyn ModelEngine>,
    planner: ActorRef<KvPlanner>,
}

impl KvTransferStream {
    /// Records the use of the prompt, and exports as many pieces from its start as the planner
    /// returns, in the background.
    async fn export_prefix(&mut self) {
        let Ok(pieces) = self.planner.ask(RecordUse(self.req.cache_keys.clone())).await else {
            return;
        };
        if pieces == 0 {
            return;
        }
        let (engine, req) = (self.engine.clone(), transfer_request(&self.req, pieces));
        tokio::spawn(async move {
            if let Err(e) = engine.export_kv(req).await {
                log::warn!("exporting a prefix to the KV store failed: {e}");
            }
        });
    }
}

impl EngineStream for KvTransferStream {
    fn next(&mut self) -> BoxFuture<'_, Result<EngineEvent, EngineError>> {
        async move {
            let event = self.inner.next().await?;
            match &event {
                EngineEvent::Started { engine, .. } => {
                    let msg = EngineObserved { engine: *engine, cache_pieces: None };
                    let _ = self.planner.tell(msg).await;
                }
                EngineEvent::End { .. } => self.export_prefix().await,
                EngineEvent::Token { .. } => {}
            }
            Ok(event)
        }
        .boxed()
    }
}

/// Builds the request to transfer the given number of pieces from the start of a prompt.
fn transfer_request(req: &EngineRequest, pieces: usize) -> KvTransferRequest {
    KvTransferRequest {
        model: req.model.clone(),
        version: req.version,
        keys: req.cache_keys.iter().take(pieces).copied().collect(),
        tokens: req.piece_tokens.iter().take(pieces).copied().collect(),
    }
}

/// Decides what to transfer, by an approximate index of the engine's cache and the number of uses
/// of each piece.
#[derive(Actor)]
struct KvPlanner {
    engine: EngineIncarnation,
    cache_pieces: u32,
    index: PrefixIndex,
    counter: ExportCounter,
}

/// Gets how many pieces from the start of a prompt the engine is assumed to have cached.
struct CountCachedPieces(Vec<PieceHash>);

impl Message<CountCachedPieces> for KvPlanner {
    type Reply = usize;

    async fn handle(&mut self, msg: CountCachedPieces, _: &mut Context<Self, usize>) -> usize {
        self.index.matched(self.engine, &msg.0) as usize
    }
}

/// Reports the engine's incarnation, and the size of its cache in pieces where it is known.
struct EngineObserved {
    engine: EngineIncarnation,
    cache_pieces: Option<u32>,
}

impl Message<EngineObserved> for KvPlanner {
    type Reply = ();

    async fn handle(&mut self, msg: EngineObserved, _: &mut Context<Self, ()>) {
        self.engine = msg.engine;
        self.cache_pieces = msg.cache_pieces.unwrap_or(self.cache_pieces);
        self.index.set_engine(self.engine, self.cache_pieces as usize);
    }
}

/// Records that a prompt was computed; replies with the number of pieces from its start to export.
struct RecordUse(Vec<PieceHash>);

impl Message<RecordUse> for KvPlanner {
    type Reply = usize;

    async fn handle(&mut self, msg: RecordUse, _: &mut Context<Self, usize>) -> usize {
        self.index.insert(self.engine, &msg.0);
        self.counter.record_use(&msg.0)
    }
}
