//! Replaces the placement by a baseline to measure it against, if one is configured.

use std::sync::LazyLock;

use dogwoodway_peer::ProbeReply;
use dogwoodway_routing::baseline::Baseline;

/// Baseline named by the environment variable `DOGWOODWAY_PLACEMENT`.
static CONFIGURED: LazyLock<Option<Baseline>> = LazyLock::new(|| {
    std::env::var("DOGWOODWAY_PLACEMENT").ok().as_deref().and_then(Baseline::from_name)
});

/// Returns the baseline to use, `None` for the ordinary placement.
pub(super) fn configured() -> Option<Baseline> {
    *CONFIGURED
}

/// Returns the index of the reply that the baseline chooses.
pub(super) fn choose<'a, I>(baseline: Baseline, replies: I) -> Option<usize>
where
    I: Iterator<Item = &'a ProbeReply>,
{
    let (loads, matched): (Vec<_>, Vec<_>) = replies.map(|r| (r.load, r.matched)).unzip();
    baseline.choose(&loads, &matched)
}
