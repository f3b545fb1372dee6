//! Evidence about parts that routers send to each other.

use dogwoodway_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::part_blame::{EngineCrash, PartKey};

/// Evidence about parts, as one router tells it to others.
///
/// Times are by the clock of the router that holds the notice; [`PartNotice::shifted`] converts them
/// on the way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartNotice {
    /// An engine crashed.
    Crashed {
        /// The crash.
        crash: EngineCrash,
        /// Parts without which prompts are answered.
        contrasted: Vec<PartKey>,
    },
    /// A prompt was answered completely.
    Answered(AnsweredPart),
    /// A request tries a part in quarantine, so that the others wait for its result.
    Tried(TriedPart),
    /// The request of a trial was not sent.
    TrialCancelled(TriedPart),
}

/// A complete answer to a prompt with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredPart {
    /// The part.
    pub part: PartKey,
    /// When the answer began.
    pub started_at: Timestamp,
}

/// A trial of a part in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TriedPart {
    /// The part.
    pub part: PartKey,
    /// When the request was sent.
    pub tried_at: Timestamp,
}

impl PartNotice {
    /// Converts the times from the clock of the sender to that of the receiver, who takes `sent_at`
    /// of the sender's clock for `received_at` of its own.
    ///
    /// ```
    /// use dogwoodway_routing::part_blame::{AnsweredPart, PartKey, PartNotice};
    /// use dogwoodway_types::{ModelName, Timestamp};
    ///
    /// let part = PartKey::new(&ModelName::try_from("m").unwrap(), None, "a");
    /// let answered = |ms| {
    ///     PartNotice::Answered(AnsweredPart { part, started_at: Timestamp::from_millis(ms) })
    /// };
    /// let at = Timestamp::from_millis;
    /// assert_eq!(answered(70).shifted(at(100), at(900)), answered(870));
    /// ```
    pub fn shifted(mut self, sent_at: Timestamp, received_at: Timestamp) -> PartNotice {
        let time = self.time_mut();
        *time = received_at.earlier_by(sent_at - *time);
        self
    }

    /// Replaces a time after `now` by `now`. The clock of the router that wrote the notice may run
    /// ahead.
    pub fn until(mut self, now: Timestamp) -> PartNotice {
        let time = self.time_mut();
        *time = (*time).min(now);
        self
    }

    fn time_mut(&mut self) -> &mut Timestamp {
        match self {
            PartNotice::Crashed { crash, .. } => &mut crash.crashed_at,
            PartNotice::Answered(answered) => &mut answered.started_at,
            PartNotice::Tried(tried) | PartNotice::TrialCancelled(tried) => &mut tried.tried_at,
        }
    }

    /// Returns whether the notice is short and others wait for it, so that it is sent before evidence.
    pub fn is_about_trial(&self) -> bool {
        matches!(self, PartNotice::Tried(_) | PartNotice::TrialCancelled(_))
    }

    /// Returns the number of parts that the notice names, by which its size grows.
    pub fn part_count(&self) -> usize {
        match self {
            PartNotice::Crashed { crash, contrasted } => 1 + crash.runs.len() + contrasted.len(),
            PartNotice::Answered(_) | PartNotice::Tried(_) | PartNotice::TrialCancelled(_) => 1,
        }
    }

    /// Adds a notice about the same crash or part; returns false if the other one is about another.
    pub fn merge(&mut self, other: &PartNotice) -> bool {
        match (self, other) {
            (PartNotice::Answered(known), PartNotice::Answered(new)) if known.part == new.part => {
                known.started_at = known.started_at.max(new.started_at);
                true
            }
            (PartNotice::Tried(known), PartNotice::Tried(new))
            | (PartNotice::TrialCancelled(known), PartNotice::TrialCancelled(new))
                if known.part == new.part =>
            {
                known.tried_at = known.tried_at.max(new.tried_at);
                true
            }
            (
                PartNotice::Crashed { crash, contrasted },
                PartNotice::Crashed { crash: other, contrasted: others },
            ) if crash.engine == other.engine => {
                crash.merge(other);
                let new: Vec<_> =
                    others.iter().filter(|part| !contrasted.contains(part)).copied().collect();
                contrasted.extend(new);
                true
            }
            _ => false,
        }
    }
}
