//! The placement to measure against, if one is chosen.

use std::sync::LazyLock;

use dogwoodway_peer::ProbeReply;
use dogwoodway_routing::baseline::Baseline;

static CHOSEN: LazyLock<Option<Baseline>> = LazyLock::new(|| {
    std::env::var("DOGWOODWAY_PLACEMENT").ok().as_deref().and_then(Baseline::from_name)
});

/// Returns the baseline that the environment names.
pub(super) fn chosen() -> Option<Baseline> {
    *CHOSEN
}

/// Chooses among replies as the baseline does.
pub(super) fn choose<'a, I>(baseline: Baseline, replies: I) -> Option<usize>
where
    I: Iterator<Item = &'a ProbeReply>,
{
    let (loads, matched): (Vec<_>, Vec<_>) = replies.map(|r| (r.load, r.matched)).unzip();
    baseline.choose(&loads, &matched)
}
