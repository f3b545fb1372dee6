//! Keys of prompt parts.

use std::fmt;

use dogwoodway_types::{ModelName, RequestFingerprint, TeamName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Identifies a part that prompts for one model share.
///
/// It is a digest, so that logs and messages between routers do not show what prompts contain. A
/// part of an isolated team differs from the same part of any other team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartKey {
    /// Digest of the model's name.
    pub model: u32,
    /// Digest of the part and of the isolated team, if there is one.
    pub part: u64,
}

impl PartKey {
    /// Computes the key of a part from its identifier.
    ///
    /// ```
    /// use dogwoodway_routing::part_blame::PartKey;
    /// use dogwoodway_types::{ModelName, TeamName};
    ///
    /// let model = ModelName::try_from("m").unwrap();
    /// let team = TeamName::try_from("mill").unwrap();
    /// let shared = PartKey::new(&model, None, "a1");
    /// assert_eq!(shared, PartKey::new(&model, None, "a1"));
    /// assert_ne!(shared, PartKey::new(&model, Some(&team), "a1"));
    /// ```
    pub fn new(model: &ModelName, isolated_team: Option<&TeamName>, part: &str) -> PartKey {
        let model = xxh3_64_with_seed(model.as_str().as_bytes(), 0);
        let seed = isolated_team.map_or(model, |team| {
            // Distinguishes a team from the absence of one.
            xxh3_64_with_seed(team.as_str().as_bytes(), !model)
        });
        PartKey { model: model as u32, part: xxh3_64_with_seed(part.as_bytes(), seed) }
    }
}

impl PartKey {
    /// Returns the key that stands for all prompts for a model without parts that others share. Their
    /// answers show that engines serve the model.
    pub fn of_model(model: &ModelName) -> PartKey {
        PartKey::new(model, None, "")
    }

    /// Returns the key of a whole request whose prompt contains this part. It takes part in the
    /// search for the cause like a last part that other requests do not share.
    pub fn of_request(self, request: RequestFingerprint) -> PartKey {
        PartKey { model: self.model, part: request.short() }
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}-{:016x}", self.model, self.part)
    }
}
