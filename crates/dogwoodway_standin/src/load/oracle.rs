//! Compares where requests ran with where their prefix was held, from the engines' journals.

use std::collections::HashSet;

use dogwoodway_types::{PieceHash, Timestamp};
use serde::{Deserialize, Serialize};

use crate::{JournalKind, JournalRecord};

/// Prompt tokens of a run, by where they came from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheAudit {
    /// Prompt tokens in all scheduled requests.
    pub prompt_tokens: u64,
    /// Tokens found in the cache of the engine that ran the request.
    pub cached_tokens: u64,
    /// Tokens that the best engine of the moment held.
    pub best_tokens: u64,
    /// Tokens computed although another engine held them.
    pub wasted_tokens: u64,
    /// Prompt tokens computed by each engine.
    pub computed_tokens: Vec<u64>,
}

/// Replays the journals of all engines in the order of time and counts what was scheduled from
/// `from` on.
pub fn audit(journals: &[Vec<JournalRecord>], from: Timestamp) -> CacheAudit {
    let records = journals.iter().enumerate();
    let mut records: Vec<_> =
        records.flat_map(|(i, journal)| journal.iter().map(move |record| (i, record))).collect();
    records.sort_by_key(|(_, record)| record.at);
    let mut held: Vec<HashSet<PieceHash>> = vec![HashSet::new(); journals.len()];
    let computed_tokens = vec![0; journals.len()];
    let mut audit = CacheAudit { computed_tokens, ..CacheAudit::default() };
    for (i, record) in records {
        match &record.kind {
            JournalKind::Stored(piece) => {
                held[i].insert(*piece);
            }
            JournalKind::Evicted(piece) => {
                held[i].remove(piece);
            }
            JournalKind::Crashed => held[i].clear(),
            JournalKind::Scheduled { .. } if record.at < from => {}
            JournalKind::Scheduled { pieces, tokens, cached_tokens, .. } => {
                let tokens_held = |cache: &HashSet<PieceHash>| {
                    let matched = pieces.iter().zip(tokens).take_while(|(p, _)| cache.contains(p));
                    matched.map(|(_, tokens)| u64::from(*tokens)).sum::<u64>()
                };
                let cached = u64::from(*cached_tokens);
                let best = held.iter().map(tokens_held).max().unwrap_or(0).max(cached);
                let prompt = tokens.iter().map(|t| u64::from(*t)).sum::<u64>();
                audit.prompt_tokens += prompt;
                audit.computed_tokens[i] += prompt - cached;
                audit.cached_tokens += cached;
                audit.best_tokens += best;
                audit.wasted_tokens += best - cached;
            }
        }
    }
    audit
}
