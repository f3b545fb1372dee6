//! HTTP interface of an engine, and the task that runs the steps of its batch.

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
        Batch, BatchLimits, EngineOptions, Journal, JournalKind, JournalRecord, StepPlan, batch,
        load_history::LoadHistory, stream_fault::EventSender, weights::WeightsState,
    },
    fault::FaultInjector,
    read_json,
};

/// An engine stand-in.
#[derive(Debug)]
pub(crate) struct Engine {
    options: EngineOptions,
    state: Mutex<EngineState>,
    /// Wakes the batch task when a request is submitted.
    request_submitted: Notify,
    faults: FaultInjector,
}

#[derive(Debug)]
struct EngineState {
    incarnation: EngineIncarnation,
    batch: Batch,
    /// Event sender of each waiting or running request; dropping it ends the response body.
    streams: HashMap<AttemptId, mpsc::UnboundedSender<EngineEvent>>,
    journal: Journal,
    load: LoadHistory,
    weights: WeightsState,
}

/// Creates the handler of an engine with an empty cache and spawns the task that runs its batch.
pub fn engine_handler(options: EngineOptions) -> Handler {
    let state = EngineState {
        incarnation: EngineIncarnation(rand::random()),
        batch: new_batch(&options),
        streams: HashMap::new(),
        journal: Journal::default(),
        load: LoadHistory::default(),
        weights: WeightsState::new(&options),
    };
    let engine = Arc::new(Engine {
        options,
        state: Mutex::new(state),
        request_submitted: Notify::new(),
        faults: FaultInjector::default(),
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
            return self.faults.handle_request(req).await;
        }
        match path.as_str() {
            "/journal" => return self.with_state(|s| journal_response(&s.journal)),
            "/control" => {
                return match read_json(req).await {
                    Ok(control) => self.with_state(|s| s.weights.apply_control(&control)),
                    Err(resp) => *resp,
                };
            }
            "/crash" => {
                self.crash();
                return text_response(StatusCode::OK, "crashed");
            }
            _ => {}
        }
        if let Err(resp) = self.faults.before_call().await {
            return *resp;
        }
        match (req.method(), path.as_str()) {
            (&Method::GET, "/status") => json_response(StatusCode::OK, &self.status()),
            (&Method::POST, "/orders") => match read_json(req).await {
                Ok(order) => self.faults.after_call(self.execute_order(&order)),
                Err(resp) => *resp,
            },
            (&Method::GET, "/events") => self.events(req.uri().query().unwrap_or_default()),
            (&Method::POST, "/v1/chat/completions") => match read_json(req).await {
                Ok(req) => self.generate(req),
                Err(resp) => *resp,
            },
            (&Method::POST, "/kv/import") => self.import_kv(req).await,
            (&Method::POST, "/kv/export") => self.export_kv(req).await,
            (&Method::DELETE, path) => {
                let id = path.rsplit('/').next().unwrap_or_default();
                self.cancel(id);
                text_response(StatusCode::OK, "cancelled")
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    /// Simulates a crash and restart: starts a new incarnation with an empty batch and cache and
    /// cuts off all streams.
    pub(crate) fn crash(&self) {
        self.with_state(|s| {
            let (at, engine) = (Timestamp::now(), s.incarnation);
            s.journal.push(JournalRecord { at, engine, kind: JournalKind::Crashed });
            s.journal.reset_cache_events();
            s.incarnation = EngineIncarnation(rand::random());
            s.batch = new_batch(&self.options);
            s.streams.clear();
        });
    }

    /// Executes an order to load weights, which empties the batch and the cache and cuts off all
    /// streams.
    fn execute_order(&self, order: &LoadOrder) -> Response<Body> {
        self.with_state(|s| match s.weights.execute(Timestamp::now(), order) {
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

    pub(super) fn options(&self) -> &EngineOptions {
        &self.options
    }

    /// Returns how many pieces from the start of a prompt are cached.
    pub(super) fn matched(&self, prompt: &[PieceHash]) -> usize {
        self.with_state(|s| s.batch.matched(prompt))
    }

    /// Adds imported pieces to the cache.
    pub(super) fn insert_imported(&self, pieces: &[PieceHash]) {
        self.with_state(|s| {
            let changes = s.batch.insert_imported(pieces);
            s.journal.push_cache_changes(Timestamp::now(), s.incarnation, &changes);
        });
    }

    /// Returns the status that the engine reports, with the load of `load_lag_ms` ago.
    pub(super) fn status(&self) -> EngineStatus {
        let load_at = millis_ago(self.options.load_lag_ms);
        let (incarnation, (running, waiting), version) = self.with_state(|s| {
            (s.incarnation, s.load.as_of(load_at), s.weights.reported_version(Timestamp::now()))
        });
        EngineStatus {
            incarnation,
            model: self.options.model.clone(),
            version,
            software: self.options.software.clone(),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            max_batch: self.options.max_batch,
            cache_pieces: u32::try_from(self.options.cache_pieces).unwrap_or(u32::MAX),
        }
    }

    fn events(&self, query: &str) -> Response<Body> {
        let from = query.strip_prefix("from=").and_then(|n| n.parse().ok()).unwrap_or(0);
        let until = millis_ago(self.options.event_lag_ms);
        let loss_interval = self.options.event_gap;
        let events =
            self.with_state(|s| s.journal.cache_events(s.incarnation, from, until, loss_interval));
        json_response(StatusCode::OK, &events)
    }

    fn generate(&self, req: EngineRequest) -> Response<Body> {
        let usable = self.with_state(|s| s.weights.usable_version(Timestamp::now()));
        if req.model != self.options.model || Some(req.version) != usable {
            return text_response(StatusCode::CONFLICT, "other weights are loaded");
        }
        let (tx, body) = channel_body();
        let (events_tx, events_rx) = mpsc::unbounded_channel();
        self.with_state(|s| {
            s.streams.insert(req.request_id, events_tx);
            s.batch.submit(req);
            s.load.record(Timestamp::now(), s.batch.load());
        });
        self.request_submitted.notify_one();
        let fault = self.faults.next_stream_fault();
        tokio::spawn(send_events(events_rx, EventSender::new(tx, fault)));
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
            s.load.record(Timestamp::now(), s.batch.load());
        });
    }

    /// Runs the steps of the batch, each for its simulated duration. The end of a step is computed
    /// from the planned end of the step before, so that late wake-ups do not accumulate.
    async fn run_batch(self: Arc<Self>) {
        let mut step_end = Instant::now();
        loop {
            let Some((engine, plan)) = self.with_state(|s| s.begin_step()) else {
                self.request_submitted.notified().await;
                step_end = Instant::now();
                continue;
            };
            step_end += Duration::from_micros(plan.duration_us).div_f64(self.options.speed);
            tokio::time::sleep_until(step_end).await;
            let runs_poison = self.with_state(|s| {
                s.end_step(engine, &plan);
                self.options
                    .poison
                    .as_ref()
                    .is_some_and(|text| s.batch.is_running_prompt_with(text))
            });
            if runs_poison {
                self.crash();
            }
        }
    }
}

impl EngineState {
    /// Cancels the requests whose clients have disconnected and plans the next step. Records the
    /// requests that it schedules in the journal and sends their first events. Returns `None` if
    /// there is nothing to run.
    fn begin_step(&mut self) -> Option<(EngineIncarnation, StepPlan)> {
        let disconnected = self.streams.iter().filter(|(_, tx)| tx.is_closed()).map(|(id, _)| *id);
        for id in disconnected.collect::<Vec<_>>() {
            self.batch.cancel(id);
            self.streams.remove(&id);
            self.load.record(Timestamp::now(), self.batch.load());
        }
        let plan = self.batch.plan_step()?;
        let version = self.weights.reported_version(Timestamp::now());
        for scheduled in &plan.scheduled {
            let at = Timestamp::now();
            let kind = JournalKind::Scheduled {
                request: scheduled.request,
                pieces: scheduled.pieces.clone(),
                tokens: scheduled.tokens.clone(),
                cached_tokens: scheduled.cached_tokens,
            };
            self.journal.push(JournalRecord { at, engine: self.incarnation, kind });
            let event = batch::started_event(self.incarnation, version, scheduled.cached_tokens);
            self.send(scheduled.request, event);
        }
        Some((self.incarnation, plan))
    }

    /// Applies a step and sends its events. A step of an earlier incarnation has no effect.
    fn end_step(&mut self, engine: EngineIncarnation, plan: &StepPlan) {
        if engine != self.incarnation {
            return;
        }
        let (events, changes) = self.batch.apply_step(plan);
        let now = Timestamp::now();
        self.journal.push_cache_changes(now, engine, &changes);
        for (id, event) in events {
            let is_last = matches!(event, EngineEvent::End { .. });
            self.send(id, event);
            if is_last {
                self.streams.remove(&id);
            }
        }
        self.load.record(now, self.batch.load());
    }

    fn send(&self, id: AttemptId, event: EngineEvent) {
        if let Some(tx) = self.streams.get(&id) {
            let _ = tx.send(event);
        }
    }
}

/// Sends the events of one answer until it ends, is cut off or the client disconnects.
async fn send_events(mut events: mpsc::UnboundedReceiver<EngineEvent>, mut tx: EventSender) {
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            () = tx.closed() => return,
        };
        let Some(event) = event else { return tx.finish().await };
        if tx.send(&event).await.is_err() {
            return tx.finish().await;
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
