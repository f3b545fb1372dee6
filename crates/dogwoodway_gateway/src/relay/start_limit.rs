//! Until when a request may start on the weights that it was sent for, and the wait until it is overdue.

use std::time::Duration;

use dogwoodway_types::{Timestamp, WeightsVersion};

use crate::{
    clock,
    relay::{ClientRequest, Relay},
};

/// Time after the latest start of a request at which it is withdrawn from an engine that has not
/// answered, in milliseconds. By then the refusal of an engine that was told the latest start has arrived.
const WITHDRAWAL_DELAY_MS: u64 = 150;

impl Relay {
    /// Returns until when a request may start on a version of its model's weights; `None` if no newer
    /// one is known.
    pub(crate) fn latest_start(
        &self,
        request: &ClientRequest,
        version: Option<WeightsVersion>,
    ) -> Option<Timestamp> {
        let model = &request.head.prompt.as_ref()?.model;
        self.signals.start_limits.borrow().latest_start(model, version?)
    }

    /// Waits until a request that has not started on a version of its model's weights would start too
    /// late. New weights may be published while it waits.
    pub(crate) async fn start_overdue(
        &self,
        request: &ClientRequest,
        version: Option<WeightsVersion>,
    ) {
        let mut limits = self.signals.start_limits.subscribe();
        loop {
            limits.mark_unchanged();
            let overdue_at = self
                .latest_start(request, version)
                .map(|at| at + Duration::from_millis(WITHDRAWAL_DELAY_MS));
            let overdue = async {
                match overdue_at {
                    Some(at) => clock::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = overdue => return,
                changed = limits.changed() => {
                    if changed.is_err() {
                        // The fleet actor has ended, and with it the process.
                        return std::future::pending().await;
                    }
                }
            }
        }
    }
}
