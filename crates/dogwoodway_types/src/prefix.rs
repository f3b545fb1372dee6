//! Prompt prefixes as chains of piece hashes, the keys of prefix caching.
//!
//! A prompt is split into pieces of about two thousand tokens. Each message also ends a piece, so
//! that the shared levels of prompts (system prompt, catalogue, case) end at piece boundaries. Each
//! hash covers its piece and all pieces before it, as well as the team, the model and the weights
//! version. Prompts of different teams or versions therefore never match.

use serde::{Deserialize, Serialize};

use crate::{ChatMessage, ModelName, TeamName, WeightsVersion};

/// Estimated number of tokens in a full piece.
pub const PIECE_TOKENS: u32 = 2_000;

/// Average length of a token that [`estimate_tokens`] assumes, in bytes.
const BYTES_PER_TOKEN: usize = 4;

const PIECE_BYTES: usize = PIECE_TOKENS as usize * BYTES_PER_TOKEN;

/// Hash of a prompt from its start to the end of one piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PieceHash(pub u128);

/// The pieces of one prompt, from its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PrefixChain {
    /// Hash of the prompt up to the end of each piece.
    pub hashes: Vec<PieceHash>,
    /// Estimated number of tokens in each piece.
    pub tokens: Vec<u32>,
    /// Indices of the last piece of each message. The part of the prompt up to such a piece is a
    /// level, which other prompts may share.
    pub levels: Vec<u32>,
}

impl PrefixChain {
    /// Splits a prompt into pieces and hashes them.
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
        let mut parent = root_hash(team, model, version);
        for msg in messages {
            for (i, piece) in split_into_pieces(&msg.content).enumerate() {
                let role = if i == 0 { msg.role.as_str() } else { "" };
                parent = piece_hash(&parent, role, piece);
                chain.hashes.push(truncate_hash(&parent));
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

    /// Returns the estimated number of tokens in the first `piece_count` pieces.
    pub fn prefix_tokens(&self, piece_count: usize) -> u32 {
        self.tokens.iter().take(piece_count).sum()
    }
}

/// Estimates the number of tokens in `bytes` bytes of text; returns at least 1.
///
/// ```
/// assert_eq!(dogwoodway_types::estimate_tokens(9), 3);
/// ```
pub fn estimate_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX).max(1)
}

fn root_hash(team: &TeamName, model: &ModelName, version: WeightsVersion) -> blake3::Hash {
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

fn truncate_hash(hash: &blake3::Hash) -> PieceHash {
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.as_bytes()[..16]);
    PieceHash(u128::from_le_bytes(bytes))
}

/// Splits a text into pieces of at most [`PIECE_BYTES`], each ending at a character boundary.
///
/// An empty text yields one empty piece, so that every message has at least one.
fn split_into_pieces(text: &str) -> impl Iterator<Item = &str> {
    let mut rest = Some(text);
    std::iter::from_fn(move || {
        let text = rest?;
        let cut = text.floor_char_boundary(PIECE_BYTES);
        let (piece, tail) = text.split_at(cut);
        rest = (!tail.is_empty()).then_some(tail);
        Some(piece)
    })
}
