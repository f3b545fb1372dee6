//! Prompts as sequences of parts, and the keys under which engines cache their prefixes.

use dogwoodway_types::{ModelName, TeamName, WeightsVersion};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One part of a prompt. Parts may be shared between requests; the last one belongs to the request
/// alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: String,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// A prompt as known before it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Model that the prompt is for.
    pub model: ModelName,
    /// Length of the prompt in tokens.
    pub input_tokens: u32,
    /// Largest length of the answer in tokens.
    pub output_tokens: u32,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

/// Identifies a prefix of a prompt under one [`CacheScope`]. Parts are identified by their content,
/// so the last part stands for the whole prefix; the key does not depend on the parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PrefixKey(pub u64);

impl PrefixKey {
    /// Returns the key of the prefix that ends with `part`, under a cache scope and a model.
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

/// The requests that may share KV cache: those on the same weights, and for an isolated team only
/// those of that team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheScope {
    /// Version of the weights.
    pub version: WeightsVersion,
    /// The team, if it is isolated.
    pub team: Option<TeamName>,
}

impl CacheScope {
    /// Returns the text that names the scope to engines.
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

/// The last part of a prefix of a prompt. Prefixes are compared and cached segment by segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixSegment {
    /// Identifies the prefix that ends with the segment.
    pub key: PrefixKey,
    /// Length of the segment in tokens, without those before it.
    pub tokens: u32,
}

/// Returns the segments of a prompt in order, with their keys under a cache scope.
///
/// ```
/// use dogwoodway_routing::direct::prompt::{CacheScope, Prompt, PromptPart, prefix_segments};
/// use dogwoodway_types::{ModelName, WeightsVersion};
///
/// let parts = ["a1", "b2"].map(|id| PromptPart { id: id.to_owned(), tokens: 10 }).to_vec();
/// let model = ModelName::try_from("m").unwrap();
/// let prompt = Prompt { model, input_tokens: 20, output_tokens: 5, parts };
/// let scope = |n| CacheScope { version: WeightsVersion(n), team: None };
/// let first = prefix_segments(&prompt, &scope(1).label());
/// assert_eq!(first.len(), 2);
/// assert_ne!(first, prefix_segments(&prompt, &scope(2).label()));
/// ```
pub fn prefix_segments(prompt: &Prompt, scope_label: &str) -> Vec<PrefixSegment> {
    let key = |part: &PromptPart| PrefixKey::new(scope_label, prompt.model.as_str(), &part.id);
    prompt.parts.iter().map(|part| PrefixSegment { key: key(part), tokens: part.tokens }).collect()
}
