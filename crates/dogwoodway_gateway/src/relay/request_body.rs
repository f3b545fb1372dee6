//! Reading of request bodies within the memory that the process has for them.

use std::{
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dogwoodway_http::{Connections, RequestGuard};
use dogwoodway_routing::{
    body_budget::{BodyAdmission, BodyBudget},
    body_progress::{BodyProgress, Shortage},
};
use dogwoodway_types::Timestamp;
use http_body_util::BodyExt;
use hyper::{
    StatusCode,
    body::{Body as _, Incoming},
};
use tokio::sync::Notify;

use crate::{
    clock, metric,
    segmented_bytes::{SEGMENT_BYTES, SegmentedBuffer, SegmentedBytes},
};

/// Time for which a repeatable request waits for room, in milliseconds. Clients give up an attempt that
/// was not read for a second.
const REPEATABLE_WAIT_MS: u64 = 700;

/// Time for which another request waits for room, in milliseconds.
const WAIT_MS: u64 = 2_000;

/// Interval at which a body that is stuck finds out whether others lack room, in milliseconds.
const STUCK_CHECK_MS: u64 = 100;

/// Bytes by which the reservation grows for a body that does not state its length.
const GROWTH_BYTES: u64 = SEGMENT_BYTES as u64;

/// Why the body of a request was not read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// The client gets this status.
    Rejected(StatusCode),
    /// There is no memory for the body at present.
    NoRoom,
}

/// Memory for the bodies of all requests of the router.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    budget: Mutex<BodyBudget>,
    shortage: Mutex<Shortage>,
    released: Notify,
    /// Connections of the clients, which bodies that are stuck keep in use.
    connections: Arc<Connections>,
}

impl BodyMemory {
    pub(crate) fn new(capacity: u64, connections: Arc<Connections>) -> Arc<BodyMemory> {
        Arc::new(BodyMemory {
            budget: Mutex::new(BodyBudget::new(capacity)),
            shortage: Mutex::default(),
            released: Notify::new(),
            connections,
        })
    }

    /// Returns the connections of the clients.
    pub(crate) fn connections(&self) -> &Arc<Connections> {
        &self.connections
    }

    /// Reads a body of at most `max_bytes` until `deadline`.
    pub(super) async fn read(
        self: &Arc<Self>,
        body: &mut Incoming,
        max_bytes: usize,
        deadline: Timestamp,
        is_repeatable: bool,
    ) -> Result<RequestBody, BodyError> {
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > max_bytes as u64) {
            return Err(BodyError::Rejected(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let wait_ms = if is_repeatable { REPEATABLE_WAIT_MS } else { WAIT_MS };
        let wait_until = deadline.min(clock::now() + Duration::from_millis(wait_ms));
        let expected = length.unwrap_or(GROWTH_BYTES);
        let reservation = self.reserve(expected, wait_until).await.ok_or(BodyError::NoRoom)?;
        let read = collect(body, length.map(|length| length as usize), max_bytes, reservation);
        let timer = clock::timer_instant(deadline);
        let timed_out = |_| Err(BodyError::Rejected(StatusCode::REQUEST_TIMEOUT));
        tokio::time::timeout_at(timer, read).await.unwrap_or_else(timed_out)
    }

    async fn reserve(
        self: &Arc<Self>,
        bytes: u64,
        wait_until: Timestamp,
    ) -> Option<BodyReservation> {
        let admission = self.lock().admit(bytes);
        match admission {
            BodyAdmission::Read => return Some(BodyReservation { memory: self.clone(), bytes }),
            BodyAdmission::Refuse => {
                self.note_shortage();
                return None;
            }
            BodyAdmission::Wait => {}
        }
        let _wait = Wait(self);
        let admitted = async {
            loop {
                let mut released = pin!(self.released.notified());
                released.as_mut().enable();
                if self.lock().admit_waiting(bytes) {
                    return BodyReservation { memory: self.clone(), bytes };
                }
                released.await;
            }
        };
        tokio::time::timeout_at(clock::timer_instant(wait_until), admitted).await.ok()
    }

    fn note_shortage(&self) {
        let mut shortage = self.shortage.lock().unwrap_or_else(PoisonError::into_inner);
        shortage.note(clock::now());
    }

    /// Returns whether requests lack memory, or connections, that bodies which are stuck keep.
    fn is_short(&self) -> bool {
        let shortage = *self.shortage.lock().unwrap_or_else(PoisonError::into_inner);
        self.connections.is_full() || self.lock().has_waiting() || shortage.is_present(clock::now())
    }

    /// Resolves when a body is stuck and others lack room.
    async fn must_give_way(&self, progress: BodyProgress) {
        clock::sleep_until(progress.stuck_from()).await;
        while !self.is_short() {
            tokio::time::sleep(Duration::from_millis(STUCK_CHECK_MS)).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, BodyBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Discards the rest of a body that is not read. A connection that is closed with unread bytes is
/// reset, and the client may lose the response. A body that is stuck is not awaited. What arrives is
/// not the head of another request, so the connection stays in use.
pub(super) fn discard(mut body: Incoming, until: Timestamp, guard: Option<Arc<RequestGuard>>) {
    let read = async move {
        let _guard = guard;
        let mut progress = BodyProgress::new(clock::now());
        loop {
            tokio::select! {
                biased;
                frame = body.frame() => match frame {
                    Some(Ok(frame)) => {
                        let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
                        progress.received(bytes, clock::now());
                    }
                    Some(Err(_)) | None => return,
                },
                () = clock::sleep_until(progress.stuck_from()) => return,
            }
        }
    };
    tokio::spawn(tokio::time::timeout_at(clock::timer_instant(until), read));
}

/// The body of a request and the memory that is reserved for it.
#[derive(Debug)]
pub(super) struct RequestBody {
    pub(super) bytes: SegmentedBytes,
    pub(super) reservation: BodyReservation,
}

/// Bytes of the budget, returned when this is dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    memory: Arc<BodyMemory>,
    bytes: u64,
}

impl BodyReservation {
    /// Makes the reservation cover `bytes` bytes, if there is room.
    fn cover(&mut self, bytes: u64) -> Result<(), BodyError> {
        let missing = bytes.saturating_sub(self.bytes);
        if missing == 0 {
            return Ok(());
        }
        let growth = missing.next_multiple_of(GROWTH_BYTES);
        if !self.memory.lock().grow(self.bytes, growth) {
            self.memory.note_shortage();
            return Err(BodyError::NoRoom);
        }
        self.bytes += growth;
        Ok(())
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.memory.lock().release(self.bytes);
            self.memory.released.notify_waiters();
        }
    }
}

/// A request that counts as waiting until this is dropped.
struct Wait<'a>(&'a BodyMemory);

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.0.lock().end_wait();
    }
}

async fn collect(
    body: &mut Incoming,
    expected_len: Option<usize>,
    max_bytes: usize,
    mut reservation: BodyReservation,
) -> Result<RequestBody, BodyError> {
    let mut buf = SegmentedBuffer::default();
    let mut progress = BodyProgress::new(clock::now());
    let memory = reservation.memory.clone();
    loop {
        let frame = tokio::select! {
            // Bytes that have arrived are read before the body counts as stuck.
            biased;
            frame = body.frame() => frame,
            () = memory.must_give_way(progress) => {
                metrics::counter!(metric::STUCK_BODIES).increment(1);
                log::info!(held_bytes = reservation.bytes; "stuck body of a request gives way");
                return Err(BodyError::Rejected(StatusCode::REQUEST_TIMEOUT));
            }
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_| BodyError::Rejected(StatusCode::BAD_REQUEST))?;
        let Ok(data) = frame.into_data() else { continue };
        let len = buf.len() + data.len();
        if len > max_bytes {
            return Err(BodyError::Rejected(StatusCode::PAYLOAD_TOO_LARGE));
        }
        progress.received(data.len() as u64, clock::now());
        reservation.cover(len as u64)?;
        buf.extend(&data, expected_len);
    }
    Ok(RequestBody { bytes: buf.finish(), reservation })
}
