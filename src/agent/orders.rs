//! Orders the engine to load the weights that the configuration asks for.
//!
//! One step follows the other: a loading slot, the lease, no attempts that run, the order, the
//! engine's status. Each step begins with what the engine and the configuration say now, so that
//! nothing is assumed of an order whose answer was lost, and a change of mind is followed at once.

use std::{sync::Arc, time::Duration};

use dogwoodway_control::{
    lease::{EngineFencing, LeaseError, LeaseRecord, ServerLease},
    loading::{LoadingSlots, ModelWeights, SlotClaim, desired_weights},
};
use dogwoodway_engine::{EngineError, EngineOrder, EngineStatus, ModelEngine};
use dogwoodway_log::{LogError, PlatformLog, StreamName};
use dogwoodway_types::{AgentIncarnation, LogOffset, Timestamp};
use kameo::actor::ActorRef;

use crate::{
    agent::actor::{AgentActor, Drained, SeeEngine, SetLoading},
    config_follower::ConfigWatch,
    settings::AgentSettings,
};

/// Pause between two steps while other weights are wanted.
const STEP_MS: u64 = 100;

/// Pause between two looks at what is wanted.
const IDLE_MS: u64 = 500;

/// Pause between two reads of the log while another holds the slots.
const SLOT_WAIT_MS: u64 = 1_000;

/// Time for an order to show in the engine's status before it is given again.
const LOAD_LIMIT_MS: u64 = 5_000;

/// Time before the end of a slot at which it is renewed.
const SLOT_RENEWAL_MS: u64 = 5_000;

const READ_RECORDS: u32 = 500;

/// Starts to keep the engine at the weights that the configuration asks for.
pub(crate) fn follow(
    settings: AgentSettings,
    incarnation: AgentIncarnation,
    engine: Arc<dyn ModelEngine>,
    log: Arc<dyn PlatformLog>,
    config: ConfigWatch,
    actor: ActorRef<AgentActor>,
) {
    tokio::spawn(async move {
        let lease = ServerLease::new(settings.name.clone(), incarnation);
        let mut orders = Orders {
            settings,
            engine,
            log,
            config,
            actor,
            lease,
            slots: LoadingSlots::default(),
            slot: None,
            next: LogOffset(1),
            loading: false,
            ordered: None,
        };
        while orders.actor.is_alive() {
            let pause = orders.step().await;
            tokio::time::sleep(pause).await;
        }
    });
}

struct Orders {
    settings: AgentSettings,
    engine: Arc<dyn ModelEngine>,
    log: Arc<dyn PlatformLog>,
    config: ConfigWatch,
    actor: ActorRef<AgentActor>,
    lease: ServerLease,
    slots: LoadingSlots,
    slot: Option<SlotClaim>,
    next: LogOffset,
    loading: bool,
    ordered: Option<Ordered>,
}

/// An order that the engine may have taken, until its status shows it.
struct Ordered {
    weights: ModelWeights,
    give_up_at: Timestamp,
}

impl Orders {
    /// Takes the next step towards the wanted weights; returns the pause after it.
    async fn step(&mut self) -> Duration {
        let Ok(status) = self.engine.status().await else {
            return Duration::from_millis(IDLE_MS);
        };
        if self.is_executing(&status) {
            return Duration::from_millis(STEP_MS);
        }
        let Some(wanted) = self.wanted(&status) else {
            self.finish(status).await;
            return Duration::from_millis(IDLE_MS);
        };
        match self.approach(wanted).await {
            Ok(pause) => pause,
            Err(e) => {
                log::warn!("the lease for an order could not be had: {e}");
                self.set_loading(false).await;
                Duration::from_millis(IDLE_MS)
            }
        }
    }

    /// Tells whether the last order may still be on its way to the engine's status.
    fn is_executing(&self, status: &EngineStatus) -> bool {
        self.ordered.as_ref().is_some_and(|ordered| {
            let shown = ordered.weights == loaded(status);
            !shown && Timestamp::now() < ordered.give_up_at
        })
    }

    fn wanted(&self, status: &EngineStatus) -> Option<ModelWeights> {
        let cfg = self.config.borrow().clone()?;
        let settings = &self.settings;
        let loaded = loaded(status);
        desired_weights(&cfg, &settings.name, &settings.zone, &settings.labels, &loaded)
    }

    async fn approach(&mut self, wanted: ModelWeights) -> Result<Duration, LogError> {
        self.read_log().await?;
        if !self.has_slot().await? {
            return Ok(Duration::from_millis(SLOT_WAIT_MS));
        }
        let now = Timestamp::now();
        match self.lease.fencing_token(now, self.fencing()) {
            Ok(_) => {}
            Err(LeaseError::Waiting { .. }) => return Ok(Duration::from_millis(STEP_MS)),
            Err(LeaseError::NotHeld) => {
                if !self.lease.has_pending_claim(now) {
                    let claim = self.lease.new_claim(now, rand::random());
                    self.append(LeaseRecord::Server(claim)).await?;
                }
                return Ok(Duration::from_millis(STEP_MS));
            }
        }
        self.set_loading(true).await;
        if let Ok(true) = self.actor.ask(Drained).await {
            self.order(wanted).await;
        }
        Ok(Duration::from_millis(STEP_MS))
    }

    async fn order(&mut self, wanted: ModelWeights) {
        let Ok(fencing) = self.lease.fencing_token(Timestamp::now(), self.fencing()) else {
            return;
        };
        let ModelWeights { model, version } = wanted.clone();
        let reply = self.engine.order(EngineOrder { fencing, model, version }).await;
        log::info!(fencing:%, version:%, reply:? ; "ordered the engine to load weights");
        match reply {
            Ok(()) | Err(EngineError::Lost(_)) => {
                let limit = Duration::from_millis(LOAD_LIMIT_MS);
                let give_up_at = Timestamp::now() + limit;
                self.ordered = Some(Ordered { weights: wanted, give_up_at });
            }
            Err(EngineError::Refused(_)) => self.lease.invalidate(),
            Err(EngineError::Unreachable(_)) => {}
        }
    }

    /// Takes new work again and gives the slot back.
    async fn finish(&mut self, status: EngineStatus) {
        self.ordered = None;
        if self.loading {
            let _ = self.actor.tell(SeeEngine(Some(status))).await;
            self.set_loading(false).await;
        }
        if let Some(slot) = self.slot.take() {
            let _ = self.append(LeaseRecord::Release(slot)).await;
        }
    }

    async fn has_slot(&mut self) -> Result<bool, LogError> {
        let now = Timestamp::now();
        let slot = *self.slot.get_or_insert_with(|| SlotClaim { id: rand::random() });
        let renewal = Duration::from_millis(SLOT_RENEWAL_MS);
        if self.slots.expires_at(now, slot.id).is_none_or(|ends_at| ends_at <= now + renewal) {
            self.append(LeaseRecord::Slot(slot)).await?;
            self.read_log().await?;
        }
        Ok(self.slots.is_held(Timestamp::now(), slot.id, self.settings.loading_slots))
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
            // Whether it was appended shows when the log is read.
            Ok(_) | Err(LogError::Unknown(_)) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Reads the leases to the end of the log.
    async fn read_log(&mut self) -> Result<(), LogError> {
        loop {
            let answer = self.log.read(StreamName::Leases, self.next, READ_RECORDS, 0).await?;
            if answer.oldest > self.next || answer.next < self.next {
                self.lease.invalidate();
                self.next = answer.oldest;
                if answer.records.is_empty() {
                    return Ok(());
                }
            }
            let now = Timestamp::now();
            for record in answer.records {
                self.next = LogOffset(record.offset.0 + 1);
                match serde_json::from_value(record.data) {
                    Ok(LeaseRecord::Server(claim)) => {
                        self.lease.apply_claim(now, record.offset, &claim);
                    }
                    Ok(LeaseRecord::Slot(claim)) => self.slots.apply_claim(now, claim),
                    Ok(LeaseRecord::Release(claim)) => self.slots.apply_release(claim),
                    Err(e) => log::error!("record {} of the leases is invalid: {e}", record.offset),
                }
            }
            if self.next >= answer.next {
                return Ok(());
            }
        }
    }
}

fn loaded(status: &EngineStatus) -> ModelWeights {
    ModelWeights { model: status.model.clone(), version: status.version }
}
