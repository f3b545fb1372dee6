//! Memory for responses that clients have not taken: back-pressure to backend servers, and the end of
//! responses whose clients read nothing.

use std::{
    collections::{HashMap, VecDeque},
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::{Bytes, BytesMut};
use dogwoodway_http::ClientConnection;
use dogwoodway_routing::response_budget::{ReadSize, ResponseBudget, ResponseId, Shortage};
use dogwoodway_types::Timestamp;
use tokio::sync::Notify;

use crate::{clock, metric};

/// Largest piece in which a response is handed to its client's connection, in bytes. Each piece that the
/// connection has taken shows that the client reads.
const PIECE_BYTES: usize = 16 << 10;

/// Memory for the responses of all clients of the router.
#[derive(Debug)]
pub(crate) struct ResponseMemory {
    state: Mutex<State>,
    released: Notify,
}

#[derive(Debug)]
struct State {
    budget: ResponseBudget,
    clients: HashMap<ResponseId, Client>,
}

/// The client of a response.
#[derive(Debug)]
struct Client {
    request: String,
    connection: Option<ClientConnection>,
}

impl ResponseMemory {
    pub(crate) fn new(capacity: u64) -> Arc<ResponseMemory> {
        let state = State { budget: ResponseBudget::new(capacity), clients: HashMap::new() };
        Arc::new(ResponseMemory { state: Mutex::new(state), released: Notify::new() })
    }

    /// Adds the response to a request.
    pub(crate) fn open(
        self: &Arc<Self>,
        request: &str,
        connection: Option<ClientConnection>,
    ) -> ResponseReservation {
        let mut state = self.lock();
        let id = state.budget.open(clock::now());
        state.clients.insert(id, Client { request: request.to_owned(), connection });
        let entry = Arc::new(Entry { memory: self.clone(), id });
        ResponseReservation { entry, read_size: ReadSize::default(), buffered: 0 }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Reserves `bytes` bytes that the client cannot take yet. `Err` says what to do if there is no
    /// room.
    fn reserve(&mut self, id: ResponseId, bytes: u64) -> Result<(), Shortage> {
        match self.budget.reserve(id, bytes) {
            true => Ok(()),
            false => Err(self.budget.resolve_shortage(id, bytes, clock::now())),
        }
    }

    fn abort(&self, victim: ResponseId) {
        let Some(client) = self.clients.get(&victim) else { return };
        metrics::counter!(metric::UNREAD_RESPONSES_ABORTED).increment(1);
        log::warn!(
            request = client.request, held = self.budget.held(victim), used = self.budget.used();
            "response aborted: its client reads nothing, and memory is short"
        );
        if let Some(connection) = &client.connection {
            connection.abort();
        }
    }
}

/// A response in the budget, until its last piece is dropped.
#[derive(Debug)]
struct Entry {
    memory: Arc<ResponseMemory>,
    id: ResponseId,
}

impl Drop for Entry {
    fn drop(&mut self) {
        {
            let mut state = self.memory.lock();
            state.budget.close(self.id);
            state.clients.remove(&self.id);
        }
        self.memory.released.notify_waiters();
    }
}

/// Bytes that a client can take. Its connection drops them when it has.
#[derive(Debug)]
struct Piece {
    bytes: Bytes,
    entry: Arc<Entry>,
}

impl AsRef<[u8]> for Piece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Piece {
    fn drop(&mut self) {
        let Entry { memory, id } = &*self.entry;
        memory.lock().budget.release(*id, self.bytes.len() as u64, clock::now());
        memory.released.notify_waiters();
    }
}

/// The memory of one response.
#[derive(Debug)]
pub(crate) struct ResponseReservation {
    entry: Arc<Entry>,
    read_size: ReadSize,
    /// Bytes that were read and that the client cannot take yet.
    buffered: u64,
}

impl ResponseReservation {
    /// Returns whether there is room to read on from the backend server.
    pub(crate) fn has_room(&self) -> bool {
        self.reserve().is_ok()
    }

    /// Waits until there is room to read on from the backend server.
    pub(crate) async fn room(&self) {
        let memory = &self.entry.memory;
        loop {
            let mut released = pin!(memory.released.notified());
            released.as_mut().enable();
            let retry_at = match self.reserve() {
                Ok(()) => return,
                Err(Shortage::WaitUntil(at)) => at,
                Err(Shortage::Wait | Shortage::Abort(_)) => Timestamp::MAX,
            };
            tokio::select! {
                () = released => {}
                () = clock::sleep_until(retry_at), if retry_at != Timestamp::MAX => {}
            }
        }
    }

    fn reserve(&self) -> Result<(), Shortage> {
        let mut state = self.entry.memory.lock();
        let bytes = self.buffered + self.read_size.reservation();
        let result = state.reserve(self.entry.id, bytes);
        if let Err(Shortage::Abort(victim)) = result {
            state.abort(victim);
        }
        result
    }

    /// Records that a read has returned `bytes` bytes, which the client cannot take yet.
    pub(crate) fn record_read(&mut self, bytes: usize) {
        self.buffered += bytes as u64;
        self.read_size.record(bytes as u64);
    }

    /// Lets the client take bytes that were read.
    pub(crate) fn hold(&mut self, mut bytes: Bytes) -> VecDeque<Bytes> {
        self.buffered = self.buffered.saturating_sub(bytes.len() as u64);
        let now = clock::now();
        self.entry.memory.lock().budget.hold(self.entry.id, bytes.len() as u64, now);
        let mut pieces = VecDeque::new();
        while !bytes.is_empty() {
            let bytes = bytes.split_to(bytes.len().min(PIECE_BYTES));
            pieces.push_back(Bytes::from_owner(Piece { bytes, entry: self.entry.clone() }));
        }
        pieces
    }
}

/// Bytes of a response that is buffered, in pieces whose memory is freed one by one.
#[derive(Debug, Default)]
pub(crate) struct ResponseBuffer {
    full: Vec<Bytes>,
    last: BytesMut,
}

impl ResponseBuffer {
    pub(crate) fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let (now, later) = bytes.split_at(bytes.len().min(PIECE_BYTES - self.last.len()));
            self.last.extend_from_slice(now);
            bytes = later;
            if self.last.len() == PIECE_BYTES {
                self.full.push(std::mem::take(&mut self.last).freeze());
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.full.len() * PIECE_BYTES + self.last.len()
    }

    /// Lets the client take the bytes.
    pub(crate) fn hold(self, reservation: &mut ResponseReservation) -> VecDeque<Bytes> {
        let last = Some(self.last.freeze()).filter(|last| !last.is_empty());
        self.full.into_iter().chain(last).flat_map(|bytes| reservation.hold(bytes)).collect()
    }
}
