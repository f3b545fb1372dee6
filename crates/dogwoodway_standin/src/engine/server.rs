//! The engine's HTTP interface and the loop that runs its batch.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use dogwoodway_engine::{EngineEvent, EngineRequest, EngineStatus, LoadOrder};
use dogwoodway_http::{Body, Handler, channel_body, json_response, text_response};
use dogwoodway_types::{AttemptId, EngineIncarnation, PieceHash, Timestamp};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use tokio::{
    sync::{Notify, mpsc},
    time::Instant,
};

use crate::{
    engine::{
        Batch, BatchLimits, EngineOptions, Journal, JournalKind, JournalRecord, Plan, batch,
        load::LoadHistory, orders::Orders, stream_fault::EventSender,
    },
    fault::FaultSwitch,
    read_json,
};

/// An engine's state and interface.
#[derive(Debug)]
pub(crate) struct Engine {
    options: EngineOptions,
    state: Mutex<EngineState>,
    arrived: Notify,
    faults: FaultSwitch,
}

#[derive(Debug)]
struct EngineState {
    incarnation: EngineIncarnation,
    batch: Batch,
    streams: HashMap<AttemptId, mpsc::UnboundedSender<EngineEvent>>,
    journal: Journal,
    load: LoadHistory,
    orders: Orders,
}

/// Builds the handler of an engine with an empty cache and starts its loop.
pub fn engine_handler(options: EngineOptions) -> Handler {
    let state = EngineState {
        incarnation: EngineIncarnation(rand::random()),
        batch: new_batch(&options),
        streams: HashMap::new(),
        journal: Journal::default(),
        load: LoadHistory::default(),
        orders: Orders::new(&options),
    };
    let engine = Arc::new(Engine {
        options,
        state: Mutex::new(state),
        arrived: Notify::new(),
        faults: FaultSwitch::default(),
    });
    tokio::spawn(engine.clone().run_batch());
    Arc::new(move |req| {
        let engine = engine.clone();
        Box::pin(async move { engine.handle(req).await })
    })
}

fn new_batch(options: &EngineOptions) -> Batch {
    let limits = BatchLimits {
        max_batch: options.max_batch as usize,
        prefill_us: options.prefill_us,
        decode_us: options.decode_us,
    };
    Batch::new(limits, options.cache_pieces)
}

impl Engine {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        if path == "/fault" {
            return self.faults.set(req).await;
        }
        match path.as_str() {
            "/journal" => return self.with_state(|s| journal_response(&s.journal)),
            "/control" => {
                return match read_json(req).await {
                    Ok(control) => self.with_state(|s| s.orders.control(&control)),
                    Err(resp) => *resp,
                };
            }
            "/crash" => {
                self.crash();
                return text_response(StatusCode::OK, "crashed");
            }
            _ => {}
        }
        if let Err(resp) = self.faults.before().await {
            return *resp;
        }
        match (req.method(), path.as_str()) {
            (&Method::GET, "/status") => json_response(StatusCode::OK, &self.status()),
            (&Method::POST, "/orders") => match read_json(req).await {
                Ok(order) => self.faults.after(self.order(&order)),
                Err(resp) => *resp,
            },
            (&Method::GET, "/events") => self.events(req.uri().query().unwrap_or_default()),
            (&Method::POST, "/v1/chat/completions") => match read_json(req).await {
                Ok(req) => self.generate(req),
                Err(resp) => *resp,
            },
            (&Method::POST, "/kv/import") => self.import(req).await,
            (&Method::POST, "/kv/export") => self.export(req).await,
            (&Method::DELETE, path) => {
                let id = path.rsplit('/').next().unwrap_or_default();
                self.cancel(id);
                text_response(StatusCode::OK, "cancelled")
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    /// Starts a new incarnation: the cache is empty and all streams are cut off.
    pub(crate) fn crash(&self) {
        self.with_state(|s| {
            let (at, engine) = (Timestamp::now(), s.incarnation);
            s.journal.push(JournalRecord { at, engine, kind: JournalKind::Crashed });
            s.journal.restart_events();
            s.incarnation = EngineIncarnation(rand::random());
            s.batch = new_batch(&self.options);
            s.streams.clear();
        });
    }

    /// Executes an order; loading cuts off all streams.
    fn order(&self, order: &LoadOrder) -> Response<Body> {
        self.with_state(|s| match s.orders.order(Timestamp::now(), order) {
            Ok(()) => {
                s.batch = new_batch(&self.options);
                s.streams.clear();
                text_response(StatusCode::ACCEPTED, "loading")
            }
            Err(resp) => *resp,
        })
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut EngineState) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the engine's properties.
    pub(super) fn options(&self) -> &EngineOptions {
        &self.options
    }

    /// Returns how many pieces from the start of a prompt are cached.
    pub(super) fn matched(&self, prompt: &[PieceHash]) -> usize {
        self.with_state(|s| s.batch.matched(prompt))
    }

    /// Caches pieces that were computed elsewhere.
    pub(super) fn keep_imported(&self, pieces: &[PieceHash]) {
        self.with_state(|s| {
            let changes = s.batch.keep_imported(pieces);
            s.journal.push_changes(Timestamp::now(), s.incarnation, &changes);
        });
    }

    /// Returns what the engine says of itself.
    pub(super) fn status(&self) -> EngineStatus {
        let then = millis_ago(self.options.load_lag_ms);
        let (incarnation, (running, waiting), version) = self.with_state(|s| {
            (s.incarnation, s.load.as_of(then), s.orders.version(Timestamp::now()))
        });
        EngineStatus {
            incarnation,
            model: self.options.model.clone(),
            version,
            running: u32::try_from(running).unwrap_or(u32::MAX),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            max_batch: self.options.max_batch,
            cache_pieces: u32::try_from(self.options.cache_pieces).unwrap_or(u32::MAX),
        }
    }

    fn events(&self, query: &str) -> Response<Body> {
        let from = query.strip_prefix("from=").and_then(|n| n.parse().ok()).unwrap_or(0);
        let until = millis_ago(self.options.event_lag_ms);
        let gap = self.options.event_gap;
        let events = self.with_state(|s| s.journal.events(s.incarnation, from, until, gap));
        json_response(StatusCode::OK, &events)
    }

    fn generate(&self, req: EngineRequest) -> Response<Body> {
        let loaded = self.with_state(|s| s.orders.usable_version(Timestamp::now()));
        if req.model != self.options.model || Some(req.version) != loaded {
            return text_response(StatusCode::CONFLICT, "other weights are loaded");
        }
        let (tx, body) = channel_body();
        let (events_tx, events_rx) = mpsc::unbounded_channel();
        self.with_state(|s| {
            s.streams.insert(req.request_id, events_tx);
            s.batch.submit(req);
            s.load.note(Timestamp::now(), s.batch.load());
        });
        self.arrived.notify_one();
        tokio::spawn(send_events(events_rx, EventSender::new(tx, self.faults.next_stream())));
        let mut resp = Response::new(body);
        let value = header::HeaderValue::from_static("text/event-stream");
        resp.headers_mut().insert(header::CONTENT_TYPE, value);
        resp
    }

    fn cancel(&self, id: &str) {
        self.with_state(|s| {
            let found = s.streams.keys().find(|key| key.to_string() == id).copied();
            let Some(id) = found else { return };
            s.batch.cancel(id);
            s.streams.remove(&id);
            s.load.note(Timestamp::now(), s.batch.load());
        });
    }

    /// Runs one step of the batch after the other.
    async fn run_batch(self: Arc<Self>) {
        let mut step_end = Instant::now();
        loop {
            let Some((engine, plan)) = self.with_state(|s| s.begin_step()) else {
                self.arrived.notified().await;
                step_end = Instant::now();
                continue;
            };
            step_end += Duration::from_micros(plan.cost_us).div_f64(self.options.speed);
            tokio::time::sleep_until(step_end).await;
            let is_poisoned = self.with_state(|s| {
                s.end_step(engine, &plan);
                self.options.poison.as_ref().is_some_and(|text| s.batch.runs(text))
            });
            if is_poisoned {
                self.crash();
            }
        }
    }
}

impl EngineState {
    fn begin_step(&mut self) -> Option<(EngineIncarnation, Plan)> {
        let closed = self.streams.iter().filter(|(_, tx)| tx.is_closed()).map(|(id, _)| *id);
        for id in closed.collect::<Vec<_>>() {
            self.batch.cancel(id);
            self.streams.remove(&id);
            self.load.note(Timestamp::now(), self.batch.load());
        }
        let plan = self.batch.plan()?;
        let version = self.orders.version(Timestamp::now());
        for started in &plan.started {
            let at = Timestamp::now();
            let kind = JournalKind::Scheduled {
                request: started.request,
                pieces: started.pieces.clone(),
                tokens: started.tokens.clone(),
                cached_tokens: started.cached_tokens,
            };
            self.journal.push(JournalRecord { at, engine: self.incarnation, kind });
            let event = batch::started(self.incarnation, version, started.cached_tokens);
            self.send(started.request, event);
        }
        Some((self.incarnation, plan))
    }

    fn end_step(&mut self, engine: EngineIncarnation, plan: &Plan) {
        if engine != self.incarnation {
            return;
        }
        let (events, changes) = self.batch.apply(plan);
        let now = Timestamp::now();
        self.journal.push_changes(now, engine, &changes);
        for (id, event) in events {
            let is_last = matches!(event, EngineEvent::End { .. });
            self.send(id, event);
            if is_last {
                self.streams.remove(&id);
            }
        }
        self.load.note(now, self.batch.load());
    }

    fn send(&self, id: AttemptId, event: EngineEvent) {
        if let Some(tx) = self.streams.get(&id) {
            let _ = tx.send(event);
        }
    }
}

/// Writes the events of one answer until its stream ends or the client leaves.
async fn send_events(mut events: mpsc::UnboundedReceiver<EngineEvent>, mut tx: EventSender) {
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            () = tx.closed() => return,
        };
        let Some(event) = event else { return };
        if tx.send(&event).await.is_err() {
            return;
        }
    }
}

fn journal_response(journal: &Journal) -> Response<Body> {
    json_response(StatusCode::OK, journal.records())
}

fn millis_ago(millis: u32) -> Timestamp {
    let micros = u64::from(millis) * 1_000;
    Timestamp(Timestamp::now().0.saturating_sub(micros))
}
