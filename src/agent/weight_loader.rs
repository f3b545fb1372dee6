//! Makes the engine load the weights that the configuration requests.
//!
//! The agent acquires a loading slot, then the lease, waits until no attempt is running, sends the
//! order, and waits until the engine's status shows the new weights. Every step starts from the
//! current status and configuration. Nothing is therefore assumed about an order whose reply was
//! lost, and a change of the configuration takes effect at the next step.

use std::{sync::Arc, time::Duration};

use dogwoodway_control::{
    lease::{EngineFencing, LeaseError, LeaseRecord, ServerLease},
    loading::{LoadingSlots, ModelWeights, SlotClaim, desired_weights},
};
use dogwoodway_engine::{EngineError, EngineStatus, LoadOrder, ModelEngine};
use dogwoodway_log::{LogError, PlatformLog, StreamName};
use dogwoodway_types::{AgentIncarnation, LogOffset, Timestamp};
use kameo::actor::ActorRef;

use crate::{
    agent::actor::{AgentActor, EngineStatusRead, IsDrained, SetLoading},
    config_follower::ConfigWatch,
    settings::AgentSettings,
};

/// Delay between two steps while other weights are to be loaded.
const STEP_INTERVAL_MS: u64 = 100;

/// Delay between two checks whether other weights are to be loaded.
const IDLE_INTERVAL_MS: u64 = 500;

/// Delay between two reads of the log while other agents hold all loading slots.
const SLOT_POLL_INTERVAL_MS: u64 = 1_000;

/// Time after which an order is repeated if the engine's status does not show the new weights.
const ORDER_TIMEOUT_MS: u64 = 5_000;

/// Time before the expiry of a loading slot at which it is renewed.
const SLOT_RENEWAL_MARGIN_MS: u64 = 5_000;

/// Maximum number of records in one read.
const MAX_READ_RECORDS: u32 = 500;

/// Starts a task that makes the engine load the requested weights until the agent's actor stops.
pub(crate) fn spawn(
    settings: AgentSettings,
    incarnation: AgentIncarnation,
    engine: Arc<dyn ModelEngine>,
    log: Arc<dyn PlatformLog>,
    config: ConfigWatch,
    actor: ActorRef<AgentActor>,
) {
    tokio::spawn(async move {
        let lease = ServerLease::new(settings.name.clone(), incarnation);
        let mut loader = WeightLoader {
            settings,
            engine,
            log,
            config,
            actor,
            lease,
            slots: LoadingSlots::default(),
            slot_claim: None,
            next_offset: LogOffset(1),
            loading: false,
            pending_order: None,
        };
        while loader.actor.is_alive() {
            let delay = loader.step().await;
            tokio::time::sleep(delay).await;
        }
    });
}

struct WeightLoader {
    settings: AgentSettings,
    engine: Arc<dyn ModelEngine>,
    log: Arc<dyn PlatformLog>,
    config: ConfigWatch,
    actor: ActorRef<AgentActor>,
    lease: ServerLease,
    /// Loading slots of all agents, as of the last read of the log.
    slots: LoadingSlots,
    /// Own claim of a loading slot, which may still wait for one.
    slot_claim: Option<SlotClaim>,
    /// Offset of the next record to read from the log.
    next_offset: LogOffset,
    /// Whether the agent's actor was told to refuse new attempts.
    loading: bool,
    pending_order: Option<PendingOrder>,
}

/// An order that the engine may have accepted and whose weights its status does not show yet.
struct PendingOrder {
    weights: ModelWeights,
    /// Time at which the order is sent again.
    repeat_at: Timestamp,
}

impl WeightLoader {
    /// Takes the next step towards the desired weights; returns the delay before the following one.
    async fn step(&mut self) -> Duration {
        let Ok(status) = self.engine.status().await else {
            return Duration::from_millis(IDLE_INTERVAL_MS);
        };
        if self.is_order_pending(&status) {
            return Duration::from_millis(STEP_INTERVAL_MS);
        }
        let Some(desired) = self.desired_weights(&status) else {
            self.finish_loading(status).await;
            return Duration::from_millis(IDLE_INTERVAL_MS);
        };
        match self.prepare_and_order(desired).await {
            Ok(delay) => delay,
            Err(e) => {
                log::warn!("cannot load weights, reading or appending lease records failed: {e}");
                self.set_loading(false).await;
                Duration::from_millis(IDLE_INTERVAL_MS)
            }
        }
    }

    /// Returns whether the engine may still be executing the last order.
    fn is_order_pending(&self, status: &EngineStatus) -> bool {
        self.pending_order.as_ref().is_some_and(|order| {
            let is_loaded = order.weights == loaded_weights(status);
            !is_loaded && Timestamp::now() < order.repeat_at
        })
    }

    /// Returns the weights to load, `None` if the loaded ones stay or no configuration is known.
    fn desired_weights(&self, status: &EngineStatus) -> Option<ModelWeights> {
        let cfg = self.config.borrow().clone()?;
        let settings = &self.settings;
        let loaded = loaded_weights(status);
        desired_weights(&cfg, &settings.name, &settings.zone, &settings.labels, &loaded)
    }

    /// Acquires a slot and the lease, makes the agent refuse new attempts, and sends the order once
    /// none is running. Returns the delay before the next step.
    async fn prepare_and_order(&mut self, desired: ModelWeights) -> Result<Duration, LogError> {
        self.read_log().await?;
        if !self.acquire_slot().await? {
            return Ok(Duration::from_millis(SLOT_POLL_INTERVAL_MS));
        }
        let now = Timestamp::now();
        match self.lease.fencing_token(now, self.fencing()) {
            Ok(_) => {}
            Err(LeaseError::Waiting { .. }) => return Ok(Duration::from_millis(STEP_INTERVAL_MS)),
            Err(LeaseError::NotHeld) => {
                if !self.lease.has_pending_claim(now) {
                    let claim = self.lease.new_claim(now, rand::random());
                    self.append(LeaseRecord::Server(claim)).await?;
                }
                return Ok(Duration::from_millis(STEP_INTERVAL_MS));
            }
        }
        self.set_loading(true).await;
        if let Ok(true) = self.actor.ask(IsDrained).await {
            self.send_order(desired).await;
        }
        Ok(Duration::from_millis(STEP_INTERVAL_MS))
    }

    async fn send_order(&mut self, desired: ModelWeights) {
        let Ok(fencing) = self.lease.fencing_token(Timestamp::now(), self.fencing()) else {
            return;
        };
        let ModelWeights { model, version } = desired.clone();
        let reply = self.engine.load_weights(LoadOrder { fencing, model, version }).await;
        log::info!(fencing:%, version:%, reply:? ; "sent the engine an order to load weights");
        match reply {
            Ok(()) | Err(EngineError::Lost(_)) => {
                let timeout = Duration::from_millis(ORDER_TIMEOUT_MS);
                let repeat_at = Timestamp::now() + timeout;
                self.pending_order = Some(PendingOrder { weights: desired, repeat_at });
            }
            Err(EngineError::Refused(_)) => self.lease.invalidate(),
            Err(EngineError::Unreachable(_)) => {}
        }
    }

    /// Accepts new attempts again and releases the loading slot.
    async fn finish_loading(&mut self, status: EngineStatus) {
        self.pending_order = None;
        if self.loading {
            let _ = self.actor.tell(EngineStatusRead(Some(status))).await;
            self.set_loading(false).await;
        }
        if let Some(claim) = self.slot_claim.take() {
            let _ = self.append(LeaseRecord::Release(claim)).await;
        }
    }

    /// Claims or renews a loading slot where needed, and returns whether the agent holds one.
    async fn acquire_slot(&mut self) -> Result<bool, LogError> {
        let now = Timestamp::now();
        let claim = *self.slot_claim.get_or_insert_with(|| SlotClaim { id: rand::random() });
        let margin = Duration::from_millis(SLOT_RENEWAL_MARGIN_MS);
        if self.slots.expires_at(now, claim.id).is_none_or(|expires_at| expires_at <= now + margin)
        {
            self.append(LeaseRecord::Slot(claim)).await?;
            self.read_log().await?;
        }
        Ok(self.slots.is_held(Timestamp::now(), claim.id, self.settings.loading_slots))
    }

    async fn set_loading(&mut self, loading: bool) {
        self.loading = loading;
        let _ = self.actor.tell(SetLoading(loading)).await;
    }

    fn fencing(&self) -> EngineFencing {
        match self.settings.checks_fencing {
            true => EngineFencing::Enforced,
            false => EngineFencing::Ignored,
        }
    }

    async fn append(&self, record: LeaseRecord) -> Result<(), LogError> {
        let Ok(data) = serde_json::to_value(&record) else { return Ok(()) };
        match self.log.append(StreamName::Leases, vec![data]).await {
            // The next read of the log shows whether the record was appended.
            Ok(_) | Err(LogError::Unknown(_)) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Reads the lease stream to its end and applies its records.
    async fn read_log(&mut self) -> Result<(), LogError> {
        loop {
            let response =
                self.log.read(StreamName::Leases, self.next_offset, MAX_READ_RECORDS, 0).await?;
            // Unread records were deleted, or the log lost its records and starts again: a claim of
            // another agent may have been missed.
            if response.oldest > self.next_offset || response.next < self.next_offset {
                self.lease.invalidate();
                self.next_offset = response.oldest;
                if response.records.is_empty() {
                    return Ok(());
                }
            }
            let now = Timestamp::now();
            for record in response.records {
                self.next_offset = LogOffset(record.offset.0 + 1);
                match serde_json::from_value(record.data) {
                    Ok(LeaseRecord::Server(claim)) => {
                        self.lease.apply_claim(now, record.offset, &claim);
                    }
                    Ok(LeaseRecord::Slot(claim)) => self.slots.apply_claim(now, claim),
                    Ok(LeaseRecord::Release(claim)) => self.slots.apply_release(claim),
                    Err(e) => {
                        log::error!("the lease record at offset {} is invalid: {e}", record.offset);
                    }
                }
            }
            if self.next_offset >= response.next {
                return Ok(());
            }
        }
    }
}

fn loaded_weights(status: &EngineStatus) -> ModelWeights {
    ModelWeights { model: status.model.clone(), version: status.version }
}
