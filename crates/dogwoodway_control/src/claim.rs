//! Claims of requests that must not run twice, as a function of one claim partition of the log.
//!
//! Of the claims of a key that were not withdrawn, the earliest holds it. A claim is withdrawn by
//! its own agent, and only if its attempt has not run and never will. What became of one attempt
//! does not depend on the records of any other, so that readers which begin at different records,
//! because the log has dropped some, never take two claims that both can see for the holder. A key
//! is remembered at least as long as the log keeps its claim.

use std::{collections::HashMap, time::Duration};

use dogwoodway_types::{
    AgentIncarnation, AttemptId, ClaimKey, ClaimRequest, LogOffset, RequestFingerprint, Timestamp,
};
use serde::{Deserialize, Serialize};

/// Time for which a key is remembered after its claim was read, also if the log drops the claim.
const REMEMBERED: Duration = Duration::from_secs(3_600);

/// A record of a claim partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimRecord {
    /// An attempt claims a key.
    Claim(Claim),
    /// The attempt that holds a key has ended.
    Done(ClaimCompletion),
    /// An attempt has not run and never will.
    Release(ClaimRelease),
}

/// The claim of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Key claimed.
    pub key: ClaimKey,
    /// Content of the request.
    pub fingerprint: RequestFingerprint,
    /// Attempt that would run.
    #[serde(with = "hex_attempt")]
    pub attempt: AttemptId,
    /// Agent that would run it; no other incarnation ever will.
    pub agent: AgentIncarnation,
}

/// The end of an attempt that has run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCompletion {
    /// Key held.
    pub key: ClaimKey,
    /// Attempt that has run.
    #[serde(with = "hex_attempt")]
    pub attempt: AttemptId,
    /// Its answer, if it is small.
    #[serde(rename = "answer")]
    pub response: Option<RecordedResponse>,
}

/// The withdrawal of an attempt that has not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRelease {
    /// Key claimed.
    pub key: ClaimKey,
    /// Attempt withdrawn.
    #[serde(with = "hex_attempt")]
    pub attempt: AttemptId,
}

/// The answer of a plain service, kept for retries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if there is none.
    pub content_type: String,
    /// Body of the answer.
    pub body: String,
}

/// Records read from a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimReadResponse {
    /// Offset of the oldest record that is kept, or `next` if there is none.
    pub oldest: LogOffset,
    /// Offset that the next append will get.
    pub next: LogOffset,
    /// Records found, in order.
    pub records: Vec<(LogOffset, ClaimRecord)>,
}

/// Who holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// No attempt.
    Free,
    /// An attempt that may run or may have run.
    Held(Claim),
    /// An attempt that has run.
    Completed(Claim, Option<RecordedResponse>),
}

#[derive(Clone, Debug)]
struct Entry {
    claim: Claim,
    offset: LogOffset,
    forget_at: Timestamp,
    end: Option<Option<Box<RecordedResponse>>>,
}

/// The keys of one partition.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    next: LogOffset,
    oldest: LogOffset,
    /// Claims of each key that were not withdrawn, in log order.
    keys: HashMap<ClaimKey, Vec<Entry>>,
    released: HashMap<AttemptId, (LogOffset, Timestamp)>,
}

impl ClaimTable {
    /// Returns the offset to read from.
    pub fn next_offset(&self) -> LogOffset {
        self.next.max(LogOffset(1))
    }

    /// Notes the bounds of the log as seen by a read.
    pub fn observe_log_start(&mut self, oldest: LogOffset) {
        self.oldest = self.oldest.max(oldest);
        self.next = self.next.max(oldest);
    }

    /// Applies the record at an offset. Records before [`ClaimTable::next_offset`] have no effect.
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
        if offset < self.next {
            return;
        }
        self.next = LogOffset(offset.0 + 1);
        let forget_at = now + REMEMBERED;
        match record {
            ClaimRecord::Claim(claim) => self.claim(offset, forget_at, *claim),
            ClaimRecord::Done(end) => self.complete(end),
            ClaimRecord::Release(release) => {
                if let Some(claims) = self.keys.get_mut(&release.key) {
                    claims.retain(|e| e.claim.attempt != release.attempt || e.end.is_some());
                    if claims.is_empty() {
                        self.keys.remove(&release.key);
                    }
                }
                self.released.insert(release.attempt, (offset, forget_at));
            }
        }
    }

    /// Notes that a claimed attempt has ended; others are ignored.
    pub fn complete(&mut self, end: &ClaimCompletion) {
        let claims = self.keys.get_mut(&end.key).into_iter().flatten();
        for entry in claims.filter(|e| e.claim.attempt == end.attempt && e.end.is_none()) {
            entry.end = Some(end.response.clone().map(Box::new));
        }
    }

    /// Tells who holds a key.
    pub fn state(&self, key: ClaimKey) -> KeyState {
        match self.keys.get(&key).and_then(|claims| claims.first()) {
            None => KeyState::Free,
            Some(Entry { claim, end: None, .. }) => KeyState::Held(*claim),
            Some(Entry { claim, end: Some(answer), .. }) => {
                KeyState::Completed(*claim, answer.as_deref().cloned())
            }
        }
    }

    /// Tells whether an attempt's claim was read and not withdrawn.
    pub fn has_claim(&self, key: ClaimKey, attempt: AttemptId) -> bool {
        let claims = self.keys.get(&key);
        claims.is_some_and(|claims| claims.iter().any(|e| e.claim.attempt == attempt))
    }

    /// Returns the number of keys remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Forgets what the log has dropped and what was read long ago.
    pub fn evict_expired(&mut self, now: Timestamp) {
        let oldest = self.oldest;
        let kept = |offset: LogOffset, forget_at: Timestamp| offset >= oldest || forget_at > now;
        self.keys.retain(|_, claims| {
            claims.retain(|entry| kept(entry.offset, entry.forget_at));
            !claims.is_empty()
        });
        self.released.retain(|_, (offset, forget_at)| kept(*offset, *forget_at));
    }

    fn claim(&mut self, offset: LogOffset, forget_at: Timestamp, claim: Claim) {
        if self.released.contains_key(&claim.attempt) || self.has_claim(claim.key, claim.attempt) {
            return;
        }
        let entry = Entry { claim, offset, forget_at, end: None };
        match self.keys.get_mut(&claim.key) {
            Some(claims) => claims.push(entry),
            None => drop(self.keys.insert(claim.key, vec![entry])),
        }
    }
}

impl Claim {
    /// Builds the claim of an attempt.
    pub fn new(request: ClaimRequest, attempt: AttemptId, agent: AgentIncarnation) -> Claim {
        Claim { key: request.key, fingerprint: request.fingerprint, attempt, agent }
    }
}

/// Attempt ids as hexadecimal text, because JSON numbers do not hold them.
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
