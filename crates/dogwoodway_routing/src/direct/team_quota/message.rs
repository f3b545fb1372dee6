//! Messages by which routers move tokens of quotas.

use serde::{Deserialize, Serialize};

use crate::direct::team_quota::QuotaKey;

/// What a router tells another one about the quota of a team.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// To the broker: the sender is short of so many tokens.
    Need {
        /// Tokens.
        tokens: f64,
    },
    /// From the broker: others are short of tokens.
    Collect,
    /// To the broker: tokens that the sender does not need and no longer has.
    Deposit {
        /// Tokens.
        tokens: f64,
    },
    /// From the broker: tokens for the receiver; 0 if there are none at present.
    Grant {
        /// Tokens.
        tokens: f64,
    },
}

/// A message with its sender and receiver, by their ranks.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaLetter {
    /// Sender.
    pub from: u64,
    /// Distinguishes the starts of the sender.
    pub start: u64,
    /// Number of the message, which increases for each sender.
    pub number: u64,
    /// Receiver.
    pub to: u64,
    /// Team whose quota it is about.
    pub team: QuotaKey,
    /// Message.
    pub message: QuotaMessage,
}
