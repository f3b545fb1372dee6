//! Faults that are injected into the streamed answers of an engine.

use dogwoodway_engine::EngineEvent;
use dogwoodway_http::{BodySender, sse_event};
use serde::{Deserialize, Serialize};

/// A fault of one streamed answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StreamFault {
    /// The answer is streamed completely.
    #[default]
    None,
    /// The body is marked as complete after this many events, at an event boundary.
    CutAfter(u32),
    /// The body is marked as complete in the middle of the event that follows this many whole ones.
    TearAfter(u32),
    /// Nothing is sent after this many events, but the connection stays open.
    StallAfter(u32),
}

/// Sends the events of one answer and injects its fault.
#[derive(Debug)]
pub(crate) struct EventSender {
    tx: BodySender,
    fault: StreamFault,
    sent_events: u32,
}

/// The stream has ended: the client has disconnected or a fault cut the answer off.
#[derive(Debug)]
pub(crate) struct StreamClosed;

impl EventSender {
    pub(crate) fn new(tx: BodySender, fault: StreamFault) -> EventSender {
        EventSender { tx, fault, sent_events: 0 }
    }

    /// Marks the answer as complete.
    pub(crate) async fn finish(self) {
        self.tx.finish().await;
    }

    /// Waits until the client has disconnected.
    pub(crate) async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Sends one event, or applies the fault that is due in its place.
    pub(crate) async fn send(&mut self, event: &EngineEvent) -> Result<(), StreamClosed> {
        let json = serde_json::to_string(event).map_err(|_| StreamClosed)?;
        let bytes = sse_event(&json);
        match self.fault {
            StreamFault::CutAfter(n) if n == self.sent_events => return Err(StreamClosed),
            StreamFault::TearAfter(n) if n == self.sent_events => {
                let _ = self.tx.send(bytes.slice(..bytes.len() / 2)).await;
                return Err(StreamClosed);
            }
            StreamFault::StallAfter(n) if n == self.sent_events => {
                self.tx.closed().await;
                return Err(StreamClosed);
            }
            _ => {}
        }
        self.sent_events += 1;
        self.tx.send(bytes).await.map_err(|_| StreamClosed)
    }
}
