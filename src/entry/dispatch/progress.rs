//! Where a request stands between its attempts.

use dogwoodway_caller::AnswerEvent;
use dogwoodway_types::{Timestamp, Token};
use tokio::sync::mpsc;

/// Where a request stands between its attempts.
pub(super) struct Progress {
    pub(super) tx: mpsc::Sender<AnswerEvent>,
    pub(super) deadline: Timestamp,
    pub(super) repeatable: bool,
    pub(super) started: bool,
    pub(super) delivered: Vec<Token>,
}
