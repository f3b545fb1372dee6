//! Prompts as their parts, and the keys under which engines keep them.

use dogwoodway_types::{ModelName, TeamName, WeightsVersion};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One part of a prompt; parts are shared between requests, the last one is the request's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's content.
    pub id: String,
    /// Its length.
    pub tokens: u32,
}

/// What is known of a prompt before it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Model to run.
    pub model: ModelName,
    /// Tokens of the prompt.
    pub input_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// Its parts, in order.
    pub parts: Vec<PromptPart>,
}

/// Identifies a part of a prompt under one [`CacheScope`]. Parts are named by their content, so a
/// part stands for the prefix that it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PrefixKey(pub u64);

impl PrefixKey {
    /// Returns the key of a part as the engines of a scope keep it.
    ///
    /// ```
    /// use dogwoodway_routing::direct::prompt::PrefixKey;
    ///
    /// assert_ne!(PrefixKey::new("w1", "m", "a1"), PrefixKey::new("w2", "m", "a1"));
    /// ```
    pub fn new(scope_label: &str, model: &str, part: &str) -> PrefixKey {
        let seed = xxh3_64_with_seed(scope_label.as_bytes(), 0);
        let seed = xxh3_64_with_seed(model.as_bytes(), seed);
        PrefixKey(xxh3_64_with_seed(part.as_bytes(), seed))
    }
}

/// Who may share KV cache: the same weights, and within an isolated team only that team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheScope {
    /// Version of the weights.
    pub version: WeightsVersion,
    /// The team, if it is isolated.
    pub team: Option<TeamName>,
}

impl CacheScope {
    /// Returns the text under which engines keep the scope's KV cache.
    ///
    /// ```
    /// use dogwoodway_routing::direct::prompt::CacheScope;
    /// use dogwoodway_types::{TeamName, WeightsVersion};
    ///
    /// let team = Some(TeamName::try_from("mill").unwrap());
    /// let scope = CacheScope { version: WeightsVersion(3), team };
    /// assert_eq!(scope.label(), "w3/mill");
    /// ```
    pub fn label(&self) -> String {
        match &self.team {
            Some(team) => format!("w{}/{team}", self.version),
            None => format!("w{}", self.version),
        }
    }
}

/// A prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixSegment {
    /// Identifies it.
    pub key: PrefixKey,
    /// Tokens of its last part.
    pub tokens: u32,
}

/// Returns the prefixes of a prompt, shortest first, as the engines of a scope keep them.
///
/// ```
/// use dogwoodway_routing::direct::prompt::{CacheScope, Prompt, PromptPart, prefix_segments};
/// use dogwoodway_types::{ModelName, WeightsVersion};
///
/// let parts = ["a1", "b2"].map(|id| PromptPart { id: id.to_owned(), tokens: 10 }).to_vec();
/// let model = ModelName::try_from("m").unwrap();
/// let prompt = Prompt { model, input_tokens: 20, output_tokens: 5, parts };
/// let scope = |n| CacheScope { version: WeightsVersion(n), team: None };
/// let old = prefix_segments(&prompt, &scope(1).label());
/// assert_eq!(old.len(), 2);
/// assert_ne!(old, prefix_segments(&prompt, &scope(2).label()));
/// ```
pub fn prefix_segments(prompt: &Prompt, scope_label: &str) -> Vec<PrefixSegment> {
    let key = |part: &PromptPart| PrefixKey::new(scope_label, prompt.model.as_str(), &part.id);
    prompt.parts.iter().map(|part| PrefixSegment { key: key(part), tokens: part.tokens }).collect()
}
