//! Identifies requests that must not run twice.
//!
//! Before such a request runs, an agent appends a claim of its [`ClaimKey`] to a log stream. All
//! agents read the same stream for a key, so they agree on which attempt holds it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{IdempotencyKey, TeamName};

/// Number of log streams that claims are distributed over.
pub const CLAIM_PARTITIONS: u8 = 16;

macro_rules! digest_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(u128);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl From<$name> for String {
            fn from(digest: $name) -> String {
                digest.to_string()
            }
        }

        impl TryFrom<String> for $name {
            type Error = std::num::ParseIntError;

            fn try_from(text: String) -> Result<$name, std::num::ParseIntError> {
                u128::from_str_radix(&text, 16).map($name)
            }
        }
    )*};
}

digest_types! {
    /// Digest of a team's name and one of its idempotency keys.
    ClaimKey;
    /// Digest of a team's name and the content of one of its requests.
    RequestFingerprint;
}

impl ClaimKey {
    /// Computes the digest of a team's idempotency key.
    ///
    /// ```
    /// use dogwoodway_types::{ClaimKey, IdempotencyKey, TeamName};
    ///
    /// let team = |name: &str| TeamName::try_from(name).unwrap();
    /// let key = IdempotencyKey::try_from("order-17").unwrap();
    /// assert_eq!(ClaimKey::new(&team("a"), &key), ClaimKey::new(&team("a"), &key));
    /// assert_ne!(ClaimKey::new(&team("a"), &key), ClaimKey::new(&team("b"), &key));
    /// ```
    pub fn new(team: &TeamName, key: &IdempotencyKey) -> ClaimKey {
        let parts = [team.as_str().as_bytes(), key.as_str().as_bytes()];
        ClaimKey(digest("dogwoodway idempotency keys v1", &parts))
    }

    /// Returns the log stream that holds claims of this key.
    pub fn partition(self) -> ClaimPartition {
        ClaimPartition((self.0 % u128::from(CLAIM_PARTITIONS)) as u8)
    }
}

impl RequestFingerprint {
    /// Computes the digest of a request's content, given as a list of parts.
    ///
    /// The lengths of the parts are included, so moving bytes from one part to the next changes it.
    ///
    /// ```
    /// use dogwoodway_types::{RequestFingerprint, TeamName};
    ///
    /// let team = TeamName::try_from("a").unwrap();
    /// let digest = |parts: &[&[u8]]| RequestFingerprint::new(&team, parts);
    /// assert_ne!(digest(&[b"ab", b"c"]), digest(&[b"a", b"bc"]));
    /// ```
    pub fn new(team: &TeamName, parts: &[&[u8]]) -> RequestFingerprint {
        let mut all = vec![team.as_str().as_bytes()];
        all.extend(parts);
        RequestFingerprint(digest("dogwoodway request contents v1", &all))
    }

    /// Computes the same digest as [`RequestFingerprint::new`] of `parts` and a last part that is given
    /// in segments, without joining them.
    ///
    /// ```
    /// use dogwoodway_types::{RequestFingerprint, TeamName};
    ///
    /// let team = TeamName::try_from("a").unwrap();
    /// let segments: [&[u8]; 2] = [b"bo", b"dy"];
    /// let digest = RequestFingerprint::with_segments(&team, &[b"POST"], &segments);
    /// assert_eq!(digest, RequestFingerprint::new(&team, &[b"POST", b"body"]));
    /// ```
    pub fn with_segments<S>(team: &TeamName, parts: &[&[u8]], segments: &[S]) -> RequestFingerprint
    where
        S: AsRef<[u8]>,
    {
        let mut all = vec![team.as_str().as_bytes()];
        all.extend(parts);
        let mut hasher = hasher("dogwoodway request contents v1", &all);
        let len: usize = segments.iter().map(|segment| segment.as_ref().len()).sum();
        hasher.update(&(len as u64).to_le_bytes());
        for segment in segments {
            hasher.update(segment.as_ref());
        }
        RequestFingerprint(finish(&hasher))
    }

    /// Returns the first half of the digest.
    pub fn short(self) -> u64 {
        (self.0 >> 64) as u64
    }
}

/// One of the [`CLAIM_PARTITIONS`] log streams of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimPartition(pub u8);

fn digest(context: &str, parts: &[&[u8]]) -> u128 {
    finish(&hasher(context, parts))
}

fn hasher(context: &str, parts: &[&[u8]]) -> blake3::Hasher {
    let mut hasher = blake3::Hasher::new_derive_key(context);
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher
}

fn finish(hasher: &blake3::Hasher) -> u128 {
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    u128::from_le_bytes(bytes)
}

/// Identity of a request that must not run twice, as sent to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key shared by all copies of the request.
    pub key: ClaimKey,
    /// Digest of the content, which reveals that a key was reused for another request.
    pub fingerprint: RequestFingerprint,
}
