//! Claims of idempotency keys, computed from the records of one claim partition of the log.
//!
//! The earliest claim of a key that was not released holds the key. Only the agent that made a
//! claim releases it, and only if the attempt has not run and never will. The state of an attempt
//! does not depend on the records of other attempts. Readers may start at different offsets,
//! because the log drops old records; two readers that have both seen two claims still never take
//! different ones of them for the holder. A key is kept at least as long as the log keeps its
//! claim.

use std::{collections::HashMap, time::Duration};

use dogwoodway_types::{
    AgentIncarnation, AttemptId, ClaimKey, ClaimRequest, LogOffset, RequestFingerprint, Timestamp,
};
use serde::{Deserialize, Serialize};

/// Minimum time for which a key is kept after its claim was read, even if the log drops the claim
/// earlier.
const KEY_RETENTION: Duration = Duration::from_secs(3_600);

/// A record of a claim partition, in its serialized form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimRecord {
    /// Claims a key for an attempt.
    Claim(Claim),
    /// Completes the attempt that holds a key.
    Done(ClaimCompletion),
    /// Withdraws the claim of an attempt that has not run and never will.
    Release(ClaimRelease),
}

/// The claim of a key by one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The claimed key.
    pub key: ClaimKey,
    /// Digest of the request content; detects reuse of a key for another request.
    pub fingerprint: RequestFingerprint,
    /// Attempt that runs if the claim holds the key.
    #[serde(with = "hex_attempt")]
    pub attempt: AttemptId,
    /// Agent that runs the attempt; no other incarnation ever does.
    pub agent: AgentIncarnation,
}

/// The completion of an attempt that has run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCompletion {
    /// Key that the attempt holds.
    pub key: ClaimKey,
    /// Attempt that has run.
    #[serde(with = "hex_attempt")]
    pub attempt: AttemptId,
    /// Response of the backend server; absent if it was not recorded, for example because its body
    /// is too large or not UTF-8.
    #[serde(rename = "answer")]
    pub response: Option<RecordedResponse>,
}

/// The withdrawal of a claim whose attempt has not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRelease {
    /// The claimed key.
    pub key: ClaimKey,
    /// Attempt whose claim is withdrawn.
    #[serde(with = "hex_attempt")]
    pub attempt: AttemptId,
}

/// A response of a plain service, recorded to be replayed to retries of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header, empty if there was none.
    pub content_type: String,
    /// Response body; bodies that are not UTF-8 are not recorded.
    pub body: String,
}

/// The result of reading a claim partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimReadResponse {
    /// Offset of the oldest record that the log still keeps, or `next` if there is none.
    pub oldest: LogOffset,
    /// Offset of the next record to be appended.
    pub next: LogOffset,
    /// Offsets and records read, in log order; records that could not be decoded are left out.
    pub records: Vec<(LogOffset, ClaimRecord)>,
}

/// The state of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// No attempt holds the key.
    Free,
    /// Held by an attempt that may run or may have run.
    Held(Claim),
    /// Held by an attempt that has run; the response is absent if it was not recorded.
    Completed(Claim, Option<RecordedResponse>),
}

#[derive(Clone, Debug)]
struct ClaimEntry {
    claim: Claim,
    offset: LogOffset,
    /// End of the minimum retention; the log may keep the claim longer.
    expires_at: Timestamp,
    /// `None` until the attempt has completed; then its response, if it was recorded.
    completion: Option<Option<Box<RecordedResponse>>>,
}

/// The claims of one partition.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    next_offset: LogOffset,
    /// Offset of the oldest record that the log keeps, as far as known.
    log_start: LogOffset,
    /// Claims of each key that were not released, in log order.
    claims_by_key: HashMap<ClaimKey, Vec<ClaimEntry>>,
    /// Released attempts, so that a later copy of their claim has no effect, with the offset of the
    /// release and the end of its minimum retention.
    released: HashMap<AttemptId, (LogOffset, Timestamp)>,
}

impl ClaimTable {
    /// Returns the offset from which to read next.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset.max(LogOffset(1))
    }

    /// Updates the offset of the oldest record that the log keeps, as reported by a read.
    pub fn observe_log_start(&mut self, oldest: LogOffset) {
        self.log_start = self.log_start.max(oldest);
        self.next_offset = self.next_offset.max(oldest);
    }

    /// Applies the record at `offset`; one before [`ClaimTable::next_offset`] has no effect.
    ///
    /// ```
    /// use dogwoodway_control::{Claim, ClaimRecord, ClaimTable, KeyState};
    /// use dogwoodway_types::{
    ///     AgentIncarnation, AttemptId, ClaimKey, IdempotencyKey, LogOffset, RequestFingerprint,
    ///     TeamName, Timestamp,
    /// };
    ///
    /// let team = TeamName::try_from("demo").unwrap();
    /// let key = ClaimKey::new(&team, &IdempotencyKey::try_from("order-17").unwrap());
    /// let fingerprint = RequestFingerprint::new(&team, &[b"maple"]);
    /// let claim =
    ///     |n| Claim { key, fingerprint, attempt: AttemptId(n), agent: AgentIncarnation(1) };
    /// let mut table = ClaimTable::default();
    /// table.apply(Timestamp(0), LogOffset(1), &ClaimRecord::Claim(claim(1)));
    /// table.apply(Timestamp(0), LogOffset(2), &ClaimRecord::Claim(claim(2)));
    /// assert_eq!(table.state(key), KeyState::Held(claim(1)));
    /// ```
    pub fn apply(&mut self, now: Timestamp, offset: LogOffset, record: &ClaimRecord) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = LogOffset(offset.0 + 1);
        let expires_at = now + KEY_RETENTION;
        match record {
            ClaimRecord::Claim(claim) => self.insert_claim(offset, expires_at, *claim),
            ClaimRecord::Done(completion) => self.complete(completion),
            ClaimRecord::Release(release) => {
                if let Some(claims) = self.claims_by_key.get_mut(&release.key) {
                    claims.retain(|e| e.claim.attempt != release.attempt || e.completion.is_some());
                    if claims.is_empty() {
                        self.claims_by_key.remove(&release.key);
                    }
                }
                self.released.insert(release.attempt, (offset, expires_at));
            }
        }
    }

    /// Marks an attempt as completed. Has no effect if the attempt has no claim or has completed
    /// already.
    pub fn complete(&mut self, completion: &ClaimCompletion) {
        let claims = self.claims_by_key.get_mut(&completion.key).into_iter().flatten();
        for entry in
            claims.filter(|e| e.claim.attempt == completion.attempt && e.completion.is_none())
        {
            entry.completion = Some(completion.response.clone().map(Box::new));
        }
    }

    /// Returns the state of a key.
    pub fn state(&self, key: ClaimKey) -> KeyState {
        match self.claims_by_key.get(&key).and_then(|claims| claims.first()) {
            None => KeyState::Free,
            Some(ClaimEntry { claim, completion: None, .. }) => KeyState::Held(*claim),
            Some(ClaimEntry { claim, completion: Some(response), .. }) => {
                KeyState::Completed(*claim, response.as_deref().cloned())
            }
        }
    }

    /// Returns whether the claim of an attempt was read and not released.
    pub fn has_claim(&self, key: ClaimKey, attempt: AttemptId) -> bool {
        let claims = self.claims_by_key.get(&key);
        claims.is_some_and(|claims| claims.iter().any(|e| e.claim.attempt == attempt))
    }

    /// Returns the number of keys with at least one claim.
    pub fn len(&self) -> usize {
        self.claims_by_key.len()
    }

    /// Returns whether no key has a claim.
    pub fn is_empty(&self) -> bool {
        self.claims_by_key.is_empty()
    }

    /// Evicts claims and releases that the log has dropped and whose minimum retention has passed.
    pub fn evict_expired(&mut self, now: Timestamp) {
        let log_start = self.log_start;
        let is_retained =
            |offset: LogOffset, expires_at: Timestamp| offset >= log_start || expires_at > now;
        self.claims_by_key.retain(|_, claims| {
            claims.retain(|entry| is_retained(entry.offset, entry.expires_at));
            !claims.is_empty()
        });
        self.released.retain(|_, (offset, expires_at)| is_retained(*offset, *expires_at));
    }

    fn insert_claim(&mut self, offset: LogOffset, expires_at: Timestamp, claim: Claim) {
        if self.released.contains_key(&claim.attempt) || self.has_claim(claim.key, claim.attempt) {
            return;
        }
        let entry = ClaimEntry { claim, offset, expires_at, completion: None };
        match self.claims_by_key.get_mut(&claim.key) {
            Some(claims) => claims.push(entry),
            None => drop(self.claims_by_key.insert(claim.key, vec![entry])),
        }
    }
}

impl Claim {
    /// Creates the claim that `agent` makes for an attempt at a request.
    pub fn new(request: ClaimRequest, attempt: AttemptId, agent: AgentIncarnation) -> Claim {
        Claim { key: request.key, fingerprint: request.fingerprint, attempt, agent }
    }
}

/// Serializes attempt ids as hexadecimal text, because JSON numbers cannot hold 128 bits exactly.
mod hex_attempt {
    use dogwoodway_types::AttemptId;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S>(id: &AttemptId, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(id)
    }

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<AttemptId, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map(AttemptId).map_err(D::Error::custom)
    }
}
