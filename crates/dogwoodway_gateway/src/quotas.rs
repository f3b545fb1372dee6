//! Quotas of teams as the request path and the gossip of routers use them.

use std::{
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dogwoodway_routing::direct::{
    retry::AttemptOutcome,
    table::TeamRule,
    team_quota::{QuotaDecision, QuotaKey, QuotaLetter, QuotaTable},
};
use dogwoodway_types::Timestamp;
use tokio::sync::Notify;

use crate::{clock, directory::TableWatch, metric};

/// Interval at which a request that waits looks for tokens that the router has earned, in milliseconds.
const RECHECK_MS: u64 = 25;

/// Quotas of all teams at this router.
pub(crate) struct SharedQuotas {
    state: Mutex<State>,
    /// Notified when tokens of other routers have arrived.
    granted: Notify,
    /// Tells the quotas of the configuration in force.
    tables: TableWatch,
}

#[derive(Debug)]
struct State {
    table: QuotaTable,
    /// Version of the routing table whose quotas apply.
    table_version: Option<u64>,
}

impl SharedQuotas {
    /// Creates the quotas of the router with the rank `own`, which earns from `earns_from` on.
    pub(crate) fn new(own: u64, earns_from: Timestamp, tables: TableWatch) -> Arc<SharedQuotas> {
        let table = QuotaTable::new(own, earns_from);
        let state = Mutex::new(State { table, table_version: None });
        Arc::new(SharedQuotas { state, granted: Notify::new(), tables })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the quotas of the routing table in force, unless they apply already.
    pub(crate) fn update_rules(&self, now: Timestamp) {
        let Some(table) = self.tables.current() else { return };
        let mut state = self.lock();
        if state.table_version.is_some_and(|version| version >= table.version()) {
            return;
        }
        state.table_version = Some(table.version());
        let quotas = table.teams().iter().filter_map(|team| {
            let quota = team.quota?;
            Some((QuotaKey::from(&team.name), quota))
        });
        let quotas: Vec<_> = quotas.collect();
        state.table.set_quotas(now, &quotas);
    }

    /// Returns whether any team has a quota.
    pub(crate) fn is_in_use(&self) -> bool {
        self.lock().table.is_in_use()
    }

    /// Sets the ranks of the routers that are alive.
    pub(crate) fn set_routers(&self, now: Timestamp, alive: &[u64]) {
        self.lock().table.set_routers(now, alive);
    }

    /// Takes the messages to other routers that are due.
    pub(crate) fn take_letters(&self, now: Timestamp) -> Vec<QuotaLetter> {
        let mut state = self.lock();
        state.table.tick(now);
        state.table.take_outgoing()
    }

    /// Applies messages of other routers.
    pub(crate) fn apply(&self, now: Timestamp, letters: &[QuotaLetter]) {
        let mut state = self.lock();
        for letter in letters {
            state.table.apply(now, letter);
        }
        drop(state);
        self.granted.notify_waiters();
    }

    /// Charges a request to its team, for which it may wait until `deadline` for tokens of other routers.
    /// `Err` says when to come back.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        team: Option<&TeamRule>,
        counts: Option<(u32, u32)>,
        deadline: Timestamp,
    ) -> Result<QuotaCharge, Timestamp> {
        let limited = team.and_then(|team| Some((team, team.quota?)));
        let Some((team, quota)) = limited else { return Ok(QuotaCharge::default()) };
        let (key, tokens) = (QuotaKey::from(&team.name), quota.tokens(counts));
        self.update_rules(clock::now());
        let decision = self.lock().table.take(clock::now(), key, tokens);
        let charge = || QuotaCharge { charged: Some((self.clone(), key, tokens)), has_run: false };
        match decision {
            QuotaDecision::Pass => Ok(charge()),
            QuotaDecision::Refuse { retry_at } => Err(retry_at),
            QuotaDecision::Wait { until } => {
                let mut waiting = Waiting { quotas: self, key, tokens, is_over: false };
                let timer = clock::timer_instant(until.min(deadline));
                match tokio::time::timeout_at(timer, waiting.granted()).await {
                    Ok(()) => Ok(charge()),
                    Err(_) => Err(waiting.give_up()),
                }
            }
        }
    }
}

/// A request that waits for tokens.
struct Waiting<'a> {
    quotas: &'a SharedQuotas,
    key: QuotaKey,
    tokens: u64,
    is_over: bool,
}

impl Waiting<'_> {
    /// Resolves once the tokens of the request were taken.
    async fn granted(&mut self) {
        loop {
            let mut granted = pin!(self.quotas.granted.notified());
            granted.as_mut().enable();
            if self.quotas.lock().table.take_waiting(clock::now(), self.key, self.tokens) {
                self.is_over = true;
                return;
            }
            // What the router earns itself comes without a message.
            let recheck = Duration::from_millis(RECHECK_MS);
            let _ = tokio::time::timeout(recheck, granted).await;
        }
    }

    fn give_up(&mut self) -> Timestamp {
        self.is_over = true;
        self.quotas.lock().table.refuse(clock::now(), self.key, self.tokens)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            self.give_up();
        }
    }
}

/// Tokens that were taken for a request, returned when this is dropped unless a server may have run it.
/// Empty if the team has no quota.
#[derive(Default)]
pub(crate) struct QuotaCharge {
    charged: Option<(Arc<SharedQuotas>, QuotaKey, u64)>,
    /// Whether a server may have run the request.
    has_run: bool,
}

impl QuotaCharge {
    /// Records that the request is sent to a server. If one may have run it before, both may run, so that
    /// it is charged again.
    pub(crate) fn begin_attempt(&mut self) {
        let was_sent = std::mem::replace(&mut self.has_run, true);
        if was_sent && let Some((quotas, key, tokens)) = &self.charged {
            quotas.lock().table.charge(*key, *tokens);
        }
    }

    /// Records how an attempt ended. `had_run` says whether an earlier one may have run.
    pub(crate) fn end_attempt(&mut self, outcome: AttemptOutcome, had_run: bool) {
        let may_have_run =
            !matches!(outcome, AttemptOutcome::NotExecuted | AttemptOutcome::Unreachable);
        if may_have_run {
            return;
        }
        self.has_run = had_run;
        if had_run && let Some((quotas, key, tokens)) = &self.charged {
            quotas.lock().table.give_back(*key, *tokens);
        }
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        let Some((quotas, key, tokens)) = &self.charged else { return };
        let end = if self.has_run { "spent" } else { "returned" };
        metrics::counter!(metric::QUOTA_TOKENS, "end" => end).increment(*tokens);
        if !self.has_run {
            quotas.lock().table.give_back(*key, *tokens);
        }
    }
}
