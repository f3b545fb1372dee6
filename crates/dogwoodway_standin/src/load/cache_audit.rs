//! Audit of prefix cache hits, which compares the engine that ran each request with the one that
//! had cached most of its prompt at that moment.

use std::collections::HashSet;

use dogwoodway_types::{PieceHash, Timestamp};
use serde::{Deserialize, Serialize};

use crate::{JournalKind, JournalRecord};

/// Prompt tokens of a run, by whether they were cached.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheAudit {
    /// Prompt tokens of all scheduled requests.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache of the engine that ran the request.
    pub cached_tokens: u64,
    /// Prompt tokens in the cache of the engine that had cached most of the prompt at the moment of
    /// scheduling, an upper bound for `cached_tokens`.
    pub best_tokens: u64,
    /// Prompt tokens computed although another engine had cached them: the difference of
    /// `best_tokens` and `cached_tokens`.
    pub wasted_tokens: u64,
    /// Prompt tokens computed by each engine, in the order of the journals.
    pub computed_tokens: Vec<u64>,
}

/// Replays the journals of all engines in time order and counts the requests scheduled at or after
/// `from`. Earlier requests are not counted, but changes of the caches are replayed from the start.
pub fn audit_cache(journals: &[Vec<JournalRecord>], from: Timestamp) -> CacheAudit {
    let records = journals.iter().enumerate();
    let mut records: Vec<_> =
        records.flat_map(|(i, journal)| journal.iter().map(move |record| (i, record))).collect();
    records.sort_by_key(|(_, record)| record.at);
    let mut caches: Vec<HashSet<PieceHash>> = vec![HashSet::new(); journals.len()];
    let computed_tokens = vec![0; journals.len()];
    let mut audit = CacheAudit { computed_tokens, ..CacheAudit::default() };
    for (i, record) in records {
        match &record.kind {
            JournalKind::Stored(piece) => {
                caches[i].insert(*piece);
            }
            JournalKind::Evicted(piece) => {
                caches[i].remove(piece);
            }
            JournalKind::Crashed => caches[i].clear(),
            JournalKind::Scheduled { .. } if record.at < from => {}
            JournalKind::Scheduled { pieces, tokens, cached_tokens, .. } => {
                let matched_tokens = |cache: &HashSet<PieceHash>| {
                    let matched = pieces.iter().zip(tokens).take_while(|(p, _)| cache.contains(p));
                    matched.map(|(_, tokens)| u64::from(*tokens)).sum::<u64>()
                };
                let cached = u64::from(*cached_tokens);
                let best = caches.iter().map(matched_tokens).max().unwrap_or(0).max(cached);
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
