//! Stand-in of a model engine: batching, a limited prefix cache and deterministic answers.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use dogwoodway_engine::{EngineEvent, EngineRequest, EngineStatus};
use dogwoodway_http::{
    Body, BodySender, Handler, channel_body, json_response, sse_event, text_response,
};
use dogwoodway_types::{
    EngineIncarnation, FinishReason, ModelName, PieceHash, Token, Usage, WeightsVersion,
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use tokio::sync::Semaphore;

use crate::{fault::FaultSwitch, read_json};

/// Properties of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Model loaded at the start.
    pub model: ModelName,
    /// Weights version loaded at the start.
    pub version: WeightsVersion,
    /// Requests that run together.
    pub max_batch: u32,
    /// Microseconds to compute one prompt token.
    pub prefill_us: u32,
    /// Microseconds to generate one token.
    pub decode_us: u32,
    /// Pieces that the cache holds.
    pub cache_pieces: usize,
}

#[derive(Debug)]
struct Engine {
    options: EngineOptions,
    incarnation: EngineIncarnation,
    batch: Semaphore,
    prefill: Semaphore,
    state: Mutex<EngineState>,
    faults: FaultSwitch,
}

#[derive(Debug, Default)]
struct EngineState {
    tick: u64,
    cache: HashMap<PieceHash, u64>,
    running: u32,
    waiting: u32,
    cancelled: HashSet<String>,
}

/// Builds the handler of an engine with an empty cache.
pub fn engine_handler(options: EngineOptions) -> Handler {
    let engine = Arc::new(Engine {
        incarnation: EngineIncarnation(rand::random()),
        batch: Semaphore::new(options.max_batch as usize),
        prefill: Semaphore::new(1),
        state: Mutex::default(),
        faults: FaultSwitch::default(),
        options,
    });
    Arc::new(move |req| {
        let engine = engine.clone();
        Box::pin(async move { engine.handle(req).await })
    })
}

impl Engine {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        if path == "/fault" {
            return self.faults.set(req).await;
        }
        if let Err(resp) = self.faults.before().await {
            return *resp;
        }
        match (req.method(), path.as_str()) {
            (&Method::GET, "/status") => json_response(StatusCode::OK, &self.status()),
            (&Method::POST, "/v1/chat/completions") => match read_json(req).await {
                Ok(req) => self.generate(req),
                Err(resp) => *resp,
            },
            (&Method::DELETE, path) => {
                let id = path.rsplit('/').next().unwrap_or_default().to_owned();
                self.with_state(|state| state.cancelled.insert(id));
                text_response(StatusCode::OK, "cancelled")
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut EngineState) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn status(&self) -> EngineStatus {
        self.with_state(|state| EngineStatus {
            incarnation: self.incarnation,
            model: self.options.model.clone(),
            version: self.options.version,
            running: state.running,
            waiting: state.waiting,
            max_batch: self.options.max_batch,
        })
    }

    fn generate(self: Arc<Self>, req: EngineRequest) -> Response<Body> {
        if req.model != self.options.model || req.version != self.options.version {
            return text_response(StatusCode::CONFLICT, "other weights are loaded");
        }
        let (tx, body) = channel_body();
        tokio::spawn(async move { self.run(req, tx).await });
        let mut resp = Response::new(body);
        let value = header::HeaderValue::from_static("text/event-stream");
        resp.headers_mut().insert(header::CONTENT_TYPE, value);
        resp
    }

    async fn run(&self, req: EngineRequest, tx: BodySender) {
        self.with_state(|state| state.waiting += 1);
        let slot = self.batch.acquire().await;
        self.with_state(|state| {
            state.waiting -= 1;
            state.running += 1;
        });
        let _ = self.run_in_batch(&req, &tx).await;
        self.with_state(|state| {
            state.running -= 1;
            state.cancelled.remove(&req.request_id.to_string());
        });
        drop(slot);
    }

    async fn run_in_batch(&self, req: &EngineRequest, tx: &BodySender) -> Result<(), Gone> {
        let cached_tokens = self.with_state(|state| state.cached_tokens(req));
        let (engine, version) = (self.incarnation, self.options.version);
        send(tx, &EngineEvent::Started { engine, version, cached_tokens }).await?;
        let prompt_tokens: u32 = req.piece_tokens.iter().sum();
        let uncached = prompt_tokens - cached_tokens;
        let turn = self.prefill.acquire().await;
        sleep_us(u64::from(uncached) * u64::from(self.options.prefill_us)).await;
        drop(turn);
        self.with_state(|state| state.keep(&req.cache_keys, self.options.cache_pieces));
        let resumed = u32::try_from(req.resume_after.len()).unwrap_or(u32::MAX);
        for index in resumed..req.max_tokens {
            sleep_us(u64::from(self.options.decode_us)).await;
            if self.with_state(|state| state.cancelled.contains(&req.request_id.to_string())) {
                return Err(Gone);
            }
            let token = answer_token(&req.cache_keys, index);
            let text = format!("w{} ", token.0);
            send(tx, &EngineEvent::Token { index, token, text }).await?;
        }
        let usage = Usage { prompt_tokens, cached_tokens, completion_tokens: req.max_tokens };
        send(tx, &EngineEvent::End { finish: FinishReason::Length, usage }).await
    }
}

impl EngineState {
    fn cached_tokens(&self, req: &EngineRequest) -> u32 {
        let pieces = req.cache_keys.iter().zip(&req.piece_tokens);
        pieces.take_while(|(key, _)| self.cache.contains_key(key)).map(|(_, tokens)| tokens).sum()
    }

    /// Keeps pieces in the cache and evicts the least recently used ones beyond its size.
    fn keep(&mut self, keys: &[PieceHash], size: usize) {
        for key in keys {
            self.tick += 1;
            self.cache.insert(*key, self.tick);
        }
        while self.cache.len() > size {
            let Some(oldest) = self.cache.iter().min_by_key(|(_, tick)| **tick) else { return };
            let oldest = *oldest.0;
            self.cache.remove(&oldest);
        }
    }
}

/// The token at a position of the answer to a prompt, the same on every engine.
fn answer_token(prompt: &[PieceHash], index: u32) -> Token {
    let seed = prompt.last().map_or(0, |piece| piece.0 as u32);
    Token(seed.wrapping_add(index.wrapping_mul(2_654_435_761)) % 50_000)
}

/// The client has gone, or the request was cancelled.
struct Gone;

async fn send(tx: &BodySender, event: &EngineEvent) -> Result<(), Gone> {
    let json = serde_json::to_string(event).map_err(|_| Gone)?;
    tx.send(sse_event(&json)).await.map_err(|_| Gone)
}

async fn sleep_us(us: u64) {
    tokio::time::sleep(Duration::from_micros(us)).await;
}
