//! A model engine that imports prefixes from the store of kept KV cache and exports shared ones.
//!
//! The store only saves time: when it is slow, down or holds nothing, a request runs as it would
//! without one. Pieces are named by hashes over team, model, weights version and content, and the
//! engine refuses records of other weights, so nothing foreign can be imported.

use std::sync::Arc;

use dogwoodway_engine::{
    CacheEvents, EngineError, EngineEvent, EngineOrder, EngineRequest, EngineStatus, EngineStream,
    KvMoved, KvOrder, ModelEngine,
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

/// Pieces whose uses are counted.
const COUNTED_PIECES: usize = 20_000;

/// Assumed speeds of an engine and of its way to the store.
const RATES: TransferRates =
    TransferRates { prefill_us: 50, import_us: 10, import_overhead_us: 5_000 };

/// Wraps an engine with a store.
pub(crate) struct KvEngine {
    engine: Arc<dyn ModelEngine>,
    store: Arc<dyn KvStore>,
    planner: ActorRef<KvPlanner>,
}

impl KvEngine {
    /// Wraps `engine` with `store`.
    pub(crate) fn new(engine: Arc<dyn ModelEngine>, store: Arc<dyn KvStore>) -> KvEngine {
        let planner = KvPlanner {
            engine: EngineIncarnation::default(),
            cache_pieces: 0,
            index: PrefixIndex::new(0),
            counter: ExportCounter::new(COUNTED_PIECES),
        };
        KvEngine { engine, store, planner: KvPlanner::spawn(planner) }
    }

    /// Imports what the store holds of a prompt, if that is quicker than to compute it.
    async fn import_prefix(&self, req: &EngineRequest) {
        let Ok(cached) = self.planner.ask(CachedPieces(req.cache_keys.clone())).await else {
            return;
        };
        let tokens_after = |pieces: usize| req.piece_tokens.iter().skip(pieces).sum::<u32>();
        if !is_import_quicker(tokens_after(cached), &RATES) {
            return;
        }
        let Ok(records) = self.store.lookup(req.cache_keys.clone()).await else { return };
        let held = records.len().max(cached);
        if !is_import_quicker(tokens_after(cached) - tokens_after(held), &RATES) {
            return;
        }
        match self.engine.import(order_for(req, held)).await {
            Ok(moved) => log::debug!(attempt:% = req.request_id, pieces = moved.pieces; "imported"),
            Err(e) => log::warn!(attempt:% = req.request_id; "import failed: {e}"),
        }
    }
}

impl ModelEngine for KvEngine {
    fn generate(
        &self,
        req: EngineRequest,
    ) -> BoxFuture<'_, Result<Box<dyn EngineStream>, EngineError>> {
        async move {
            self.import_prefix(&req).await;
            let inner = self.engine.generate(req.clone()).await?;
            let stream: Box<dyn EngineStream> = Box::new(KvStream {
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

    fn order(&self, order: EngineOrder) -> BoxFuture<'_, Result<(), EngineError>> {
        self.engine.order(order)
    }

    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, EngineError>> {
        async move {
            let status = self.engine.status().await?;
            let (engine, cache_pieces) = (status.incarnation, Some(status.cache_pieces));
            let _ = self.planner.tell(NoteEngine { engine, cache_pieces }).await;
            Ok(status)
        }
        .boxed()
    }

    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<CacheEvents, EngineError>> {
        self.engine.cache_events(from)
    }

    fn import(&self, order: KvOrder) -> BoxFuture<'_, Result<KvMoved, EngineError>> {
        self.engine.import(order)
    }

    fn export(&self, order: KvOrder) -> BoxFuture<'_, Result<KvMoved, EngineError>> {
        self.engine.export(order)
    }
}

/// A stream that tells the planner what the engine has cached.
struct KvStream {
    inner: Box<dyn EngineStream>,
    req: EngineRequest,
    engine: Arc<dyn ModelEngine>,
    planner: ActorRef<KvPlanner>,
}

impl KvStream {
    async fn note_end(&mut self) {
        let Ok(pieces) = self.planner.ask(NoteUse(self.req.cache_keys.clone())).await else {
            return;
        };
        if pieces == 0 {
            return;
        }
        let (engine, order) = (self.engine.clone(), order_for(&self.req, pieces));
        tokio::spawn(async move {
            if let Err(e) = engine.export(order).await {
                log::warn!("export failed: {e}");
            }
        });
    }
}

impl EngineStream for KvStream {
    fn next(&mut self) -> BoxFuture<'_, Result<EngineEvent, EngineError>> {
        async move {
            let event = self.inner.next().await?;
            match &event {
                EngineEvent::Started { engine, .. } => {
                    let note = NoteEngine { engine: *engine, cache_pieces: None };
                    let _ = self.planner.tell(note).await;
                }
                EngineEvent::End { .. } => self.note_end().await,
                EngineEvent::Token { .. } => {}
            }
            Ok(event)
        }
        .boxed()
    }
}

fn order_for(req: &EngineRequest, pieces: usize) -> KvOrder {
    KvOrder {
        model: req.model.clone(),
        version: req.version,
        keys: req.cache_keys.iter().take(pieces).copied().collect(),
        tokens: req.piece_tokens.iter().take(pieces).copied().collect(),
    }
}

/// Owns what is believed of the engine's cache and which pieces come again.
#[derive(Actor)]
struct KvPlanner {
    engine: EngineIncarnation,
    cache_pieces: u32,
    index: PrefixIndex,
    counter: ExportCounter,
}

/// Asks how many pieces from the start of a prompt the engine is believed to hold.
struct CachedPieces(Vec<PieceHash>);

impl Message<CachedPieces> for KvPlanner {
    type Reply = usize;

    async fn handle(&mut self, msg: CachedPieces, _: &mut Context<Self, usize>) -> usize {
        self.index.matched(self.engine, &msg.0) as usize
    }
}

/// Tells which incarnation of the engine answers, and the size of its cache where it is known.
struct NoteEngine {
    engine: EngineIncarnation,
    cache_pieces: Option<u32>,
}

impl Message<NoteEngine> for KvPlanner {
    type Reply = ();

    async fn handle(&mut self, msg: NoteEngine, _: &mut Context<Self, ()>) {
        self.engine = msg.engine;
        self.cache_pieces = msg.cache_pieces.unwrap_or(self.cache_pieces);
        self.index.set_engine(self.engine, self.cache_pieces as usize);
    }
}

/// Tells that a prompt was computed; answers how many pieces from its start to export.
struct NoteUse(Vec<PieceHash>);

impl Message<NoteUse> for KvPlanner {
    type Reply = usize;

    async fn handle(&mut self, msg: NoteUse, _: &mut Context<Self, usize>) -> usize {
        self.index.insert(self.engine, &msg.0);
        self.counter.record_use(&msg.0)
    }
}
