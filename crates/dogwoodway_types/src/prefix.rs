//! Prompt prefixes as chains of piece hashes.
//!
//! A prompt is cut into pieces of about two thousand tokens, and also at the end of each message,
//! so that nested levels (system prompt, catalogue, case) end at a piece boundary. Each piece hash
//! covers all pieces before it, the team and the weights version: a match across teams or versions
//! is impossible by construction.

use serde::{Deserialize, Serialize};

use crate::{ChatMessage, ModelName, TeamName, WeightsVersion};

/// Tokens in a full piece.
pub const PIECE_TOKENS: u32 = 2_000;

/// Bytes of text that are taken for one token.
const BYTES_PER_TOKEN: usize = 4;

const PIECE_BYTES: usize = PIECE_TOKENS as usize * BYTES_PER_TOKEN;

/// Hash of a prompt up to the end of one piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PieceHash(pub u128);

/// The pieces of one prompt, from its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PrefixChain {
    /// Hash at the end of each piece.
    pub hashes: Vec<PieceHash>,
    /// Tokens in each piece, estimated.
    pub tokens: Vec<u32>,
    /// Indices of the pieces that end a message, the levels of the prompt.
    pub levels: Vec<u32>,
}

impl PrefixChain {
    /// Cuts and hashes a prompt.
    ///
    /// ```
    /// use dogwoodway_types::{ChatMessage, ModelName, PrefixChain, TeamName, WeightsVersion};
    ///
    /// let model = ModelName::try_from("m").unwrap();
    /// let messages = [ChatMessage::new("system", "be brief"), ChatMessage::new("user", "hi")];
    /// let a = TeamName::try_from("a").unwrap();
    /// let b = TeamName::try_from("b").unwrap();
    /// let chain = PrefixChain::new(&a, &model, WeightsVersion(1), &messages);
    /// assert_eq!(chain.hashes.len(), 2);
    /// assert_ne!(chain, PrefixChain::new(&b, &model, WeightsVersion(1), &messages));
    /// assert_ne!(chain, PrefixChain::new(&a, &model, WeightsVersion(2), &messages));
    /// ```
    pub fn new(
        team: &TeamName,
        model: &ModelName,
        version: WeightsVersion,
        messages: &[ChatMessage],
    ) -> PrefixChain {
        let mut chain = PrefixChain::default();
        let mut parent = seed(team, model, version);
        for msg in messages {
            for (i, piece) in pieces(&msg.content).enumerate() {
                let role = if i == 0 { msg.role.as_str() } else { "" };
                parent = piece_hash(&parent, role, piece);
                chain.hashes.push(truncate(&parent));
                chain.tokens.push(estimate_tokens(piece.len()));
            }
            chain.levels.push(u32::try_from(chain.hashes.len()).unwrap_or(u32::MAX) - 1);
        }
        chain
    }

    /// Returns the estimated number of tokens in the whole prompt.
    pub fn total_tokens(&self) -> u32 {
        self.tokens.iter().sum()
    }

    /// Returns the estimated number of tokens in the first `pieces` pieces.
    pub fn prefix_tokens(&self, pieces: usize) -> u32 {
        self.tokens.iter().take(pieces).sum()
    }
}

/// Estimates the number of tokens in `bytes` bytes of text, at least 1.
///
/// ```
/// assert_eq!(dogwoodway_types::estimate_tokens(9), 3);
/// ```
pub fn estimate_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX).max(1)
}

fn seed(team: &TeamName, model: &ModelName, version: WeightsVersion) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    for part in [team.as_str(), model.as_str()] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&version.0.to_le_bytes());
    hasher.finalize()
}

fn piece_hash(parent: &blake3::Hash, role: &str, piece: &str) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(parent.as_bytes());
    hasher.update(&(role.len() as u64).to_le_bytes());
    hasher.update(role.as_bytes());
    hasher.update(piece.as_bytes());
    hasher.finalize()
}

fn truncate(hash: &blake3::Hash) -> PieceHash {
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.as_bytes()[..16]);
    PieceHash(u128::from_le_bytes(bytes))
}

/// Splits a text at the last character boundary before each multiple of the piece size; an empty
/// text is one empty piece.
fn pieces(text: &str) -> impl Iterator<Item = &str> {
    let mut rest = Some(text);
    std::iter::from_fn(move || {
        let text = rest?;
        let cut = text.floor_char_boundary(PIECE_BYTES);
        let (piece, tail) = text.split_at(cut);
        rest = (!tail.is_empty()).then_some(tail);
        Some(piece)
    })
}
