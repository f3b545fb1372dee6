//! Faults in the streamed answers of an engine.

use dogwoodway_engine::EngineEvent;
use dogwoodway_http::{BodySender, sse_event};
use serde::{Deserialize, Serialize};

/// A fault of one streamed answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StreamFault {
    /// The answer is streamed to its end.
    #[default]
    None,
    /// The answer ends after this many events.
    CutAfter(u32),
    /// The answer ends in the middle of the event after this many events.
    TearAfter(u32),
    /// Nothing comes after this many events, but the connection stays open.
    StallAfter(u32),
}

/// Sends the events of an answer, with its fault.
#[derive(Debug)]
pub(crate) struct EventSender {
    tx: BodySender,
    fault: StreamFault,
    sent: u32,
}

/// The client has gone, the request was cancelled, or the answer is cut off.
#[derive(Debug)]
pub(crate) struct Gone;

impl EventSender {
    /// Builds a sender of an answer's events.
    pub(crate) fn new(tx: BodySender, fault: StreamFault) -> EventSender {
        EventSender { tx, fault, sent: 0 }
    }

    /// Resolves when the client has gone.
    pub(crate) async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Sends one event.
    pub(crate) async fn send(&mut self, event: &EngineEvent) -> Result<(), Gone> {
        let json = serde_json::to_string(event).map_err(|_| Gone)?;
        let bytes = sse_event(&json);
        match self.fault {
            StreamFault::CutAfter(n) if n == self.sent => return Err(Gone),
            StreamFault::TearAfter(n) if n == self.sent => {
                let _ = self.tx.send(bytes.slice(..bytes.len() / 2)).await;
                return Err(Gone);
            }
            StreamFault::StallAfter(n) if n == self.sent => {
                self.tx.closed().await;
                return Err(Gone);
            }
            _ => {}
        }
        self.sent += 1;
        self.tx.send(bytes).await.map_err(|_| Gone)
    }
}
