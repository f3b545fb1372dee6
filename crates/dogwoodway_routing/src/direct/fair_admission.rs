//! Sharing of room between teams: which prompts are refused at once while a service has too little
//! room.
//!
//! The load pattern behind this: 1.7 times the normal load for 3 s, a load wave that peaks in one
//! zone after another, one team at 8 times its normal load, clients that retry three times, a third
//! of the engines lost at the peak. A limit on the queueing time alone keeps the accepted prompts in
//! time, but admits the team that sends most in proportion to what it sends, and a less urgent prompt
//! that may wait longer fills the queue in which a more urgent one would be late.
//!
//! While the queue is short, every prompt is accepted. While it is longer, the room is divided
//! between the teams by max-min fairness, measured in prompt tokens that have recently been accepted:
//! a team above its share is refused first, and the longer the queue, the smaller the room. No prompt
//! is accepted that would wait too long to be in time.
//!
//! A router decides from its own requests and from the queue, which includes what other routers
//! report. Teams are assumed to send through all routers alike.
//!
//! Routers do not decide by this yet: it serves fewer prompts than
//! [`refuse_for_wait`](crate::direct::admission::refuse_for_wait) where the queues are uneven.
//! `docs/design/admission.md` has the measurements.

use std::{collections::HashMap, time::Duration};

use dogwoodway_types::Timestamp;

use crate::direct::admission::{QueuePressure, RETRY_AFTER_DIVISOR};

/// Share of the expected time that a prompt may spend in the queue. The rest is needed for prefill
/// and for errors of the prediction.
const MAX_WAIT_SHARE: f64 = 0.8;

/// Share of the longest wait up to which every prompt is accepted, so that no engine idles while
/// prompts are refused.
const SHORT_QUEUE_SHARE: f64 = 0.6;

/// Part of the longest wait of a more urgent class that a less urgent prompt may wait while the
/// queue stays long. It leaves room for more urgent prompts in the queue.
const LESS_URGENT_WAIT_SHARE: f64 = 0.4;

/// Part of the room that is kept free of teams above their shares when the queue is as long as is
/// acceptable.
const MAX_ROOM_REDUCTION: f64 = 0.25;

/// Multiple of an equal division between all teams that no team is refused below, so that random
/// differences between teams of equal load do not matter.
const EQUAL_SHARE_TOLERANCE: f64 = 4.0 / 3.0;

/// Share of the tokens of a class that is accepted while its queue is not too long, even if more
/// urgent classes take all the room.
const MIN_CLASS_SHARE: f64 = 0.2;

/// Time constant of the recent work, in milliseconds. A team sends one or two prompts a second to a
/// router; over 2 s, the random differences between teams exceed the tolerance of the shares.
const RECENT_WORK_MS: f64 = 6_000.0;

/// Recent tokens below which a team is forgotten.
const MIN_RECENT_TOKENS: f64 = 1.0;

/// Time for which a class counts as present after its last prompt, in milliseconds.
const CLASS_PRESENCE_MS: u64 = 5_000;

/// Shortest delay that a refused caller is told, in milliseconds; an earlier retry would find the
/// same queue.
const MIN_RETRY_DELAY_MS: f64 = 300.0;

/// Identifies a team within one [`RoomShares`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TeamKey(pub u64);

/// A prompt for which room is requested.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Team that sends the prompt.
    pub team: TeamKey,
    /// Priority among the requests of the service; 0 is the highest.
    pub priority: u8,
    /// Prompt tokens that have to be computed.
    pub tokens: u32,
    /// Predicted queueing time at the best engine, in milliseconds.
    pub wait_ms: f64,
    /// Time by which the caller expects the first output.
    pub expected_by: Timestamp,
    /// Time after which the caller has no use for the answer.
    pub deadline: Timestamp,
    /// Random number that spreads the retries of callers that are refused together.
    pub draw: u64,
}

/// What happens to a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent to an engine.
    Accept,
    /// It must not be sent to any engine now.
    Refuse {
        /// When a retry makes sense.
        retry_at: Timestamp,
    },
}

/// Tokens that were recently requested and accepted, with exponentially decreasing weight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RecentWork {
    requested: f64,
    accepted: f64,
    updated_at: Timestamp,
}

impl RecentWork {
    fn at(self, now: Timestamp) -> RecentWork {
        let elapsed_ms = (now - self.updated_at).as_secs_f64() * 1e3;
        let weight = (-elapsed_ms / RECENT_WORK_MS).exp();
        RecentWork {
            requested: self.requested * weight,
            accepted: self.accepted * weight,
            updated_at: now,
        }
    }
}

/// A priority whose prompts were seen recently.
#[derive(Clone, Copy, Debug)]
struct UrgencyClass {
    priority: u8,
    max_wait_ms: f64,
    work: RecentWork,
}

/// Longest waits in milliseconds.
#[derive(Clone, Copy, Debug)]
struct WaitLimits {
    own_ms: f64,
    /// That of the most urgent class that is present.
    most_urgent_ms: f64,
}

/// Recent work of the teams and classes of one service, at one router.
#[derive(Clone, Debug, Default)]
pub struct RoomShares {
    teams: HashMap<TeamKey, RecentWork>,
    classes: Vec<UrgencyClass>,
    pressure: QueuePressure,
}

impl RoomShares {
    /// Decides whether a prompt is accepted, and records it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use dogwoodway_routing::direct::fair_admission::{
    ///     AdmissionRequest, RoomShares, TeamKey, Verdict,
    /// };
    /// use dogwoodway_types::Timestamp;
    ///
    /// let mut shares = RoomShares::default();
    /// let now = Timestamp::from_millis(1_000);
    /// let request = AdmissionRequest {
    ///     team: TeamKey(1),
    ///     priority: 0,
    ///     tokens: 2_000,
    ///     wait_ms: 10.0,
    ///     expected_by: now + Duration::from_millis(500),
    ///     deadline: now + Duration::from_millis(3_000),
    ///     draw: 7,
    /// };
    /// for _ in 0..8 {
    ///     assert_eq!(shares.decide(now, &request), Verdict::Accept);
    /// }
    /// let other_team = AdmissionRequest { team: TeamKey(2), ..request };
    /// assert_eq!(shares.decide(now, &other_team), Verdict::Accept);
    /// let long_queue = |request| AdmissionRequest { wait_ms: 300.0, ..request };
    /// assert!(matches!(shares.decide(now, &long_queue(request)), Verdict::Refuse { .. }));
    /// assert_eq!(shares.decide(now, &long_queue(other_team)), Verdict::Accept);
    /// ```
    pub fn decide(&mut self, now: Timestamp, request: &AdmissionRequest) -> Verdict {
        let tokens = f64::from(request.tokens);
        self.pressure.record(now, request.wait_ms);
        let limits = self.wait_limits(now, request);
        let class = self.classes.iter_mut().find(|class| class.priority == request.priority);
        let is_class_short = class.is_some_and(|class| {
            class.work = class.work.at(now);
            class.work.requested += tokens;
            class.work.accepted + tokens <= class.work.requested * MIN_CLASS_SHARE
        });
        let work = self.teams.entry(request.team).or_default();
        *work = work.at(now);
        work.requested += tokens;
        let accepted = work.accepted + tokens;

        let fullness = request.wait_ms / limits.own_ms;
        let share = (fullness > SHORT_QUEUE_SHARE).then(|| self.team_share(now, fullness));
        let is_accepted = match share {
            None => true,
            Some(_) if is_class_short => request.wait_ms <= limits.most_urgent_ms,
            Some(_) if fullness > 1.0 => false,
            Some(share) => accepted - tokens <= share,
        };
        if !is_accepted {
            let share = share.unwrap_or(accepted);
            let retry_at = self.retry_at(now, request, limits.own_ms, share);
            return Verdict::Refuse { retry_at };
        }
        if let Some(work) = self.teams.get_mut(&request.team) {
            work.accepted = accepted;
        }
        let mut classes = self.classes.iter_mut();
        if let Some(class) = classes.find(|class| class.priority == request.priority) {
            class.work.accepted += tokens;
        }
        Verdict::Accept
    }

    /// Returns the longest waits, of which the own one is a share of the expected time, and for a
    /// less urgent prompt at most that of the more urgent classes that are present.
    fn wait_limits(&mut self, now: Timestamp, request: &AdmissionRequest) -> WaitLimits {
        let own_ms = (request.expected_by - now).as_secs_f64() * 1e3 * MAX_WAIT_SHARE;
        let presence = Duration::from_millis(CLASS_PRESENCE_MS);
        self.classes.retain(|class| now - class.work.updated_at < presence);
        match self.classes.iter_mut().find(|class| class.priority == request.priority) {
            Some(class) => class.max_wait_ms = own_ms,
            None => {
                let work = RecentWork { updated_at: now, ..RecentWork::default() };
                let class = UrgencyClass { priority: request.priority, max_wait_ms: own_ms, work };
                self.classes.push(class);
            }
        }
        let more_urgent = self.classes.iter().filter(|class| class.priority < request.priority);
        let more_urgent_ms = more_urgent.map(|class| class.max_wait_ms).min_by(f64::total_cmp);
        let wait_share = 1.0 - (1.0 - LESS_URGENT_WAIT_SHARE) * self.pressure.level();
        WaitLimits {
            own_ms: more_urgent_ms.map_or(own_ms, |ms| own_ms.min(ms * wait_share)).max(1.0),
            most_urgent_ms: more_urgent_ms.map_or(own_ms, |ms| own_ms.min(ms)),
        }
    }

    /// Returns the recent tokens that a team may have accepted. `fullness` is the queueing time as a
    /// part of the longest wait; the room decreases as it grows.
    fn team_share(&mut self, now: Timestamp, fullness: f64) -> f64 {
        self.teams.retain(|_, work| {
            *work = work.at(now);
            work.requested >= MIN_RECENT_TOKENS
        });
        let accepted: f64 = self.teams.values().map(|work| work.accepted).sum();
        let level = (fullness - SHORT_QUEUE_SHARE) / (1.0 - SHORT_QUEUE_SHARE);
        let room = accepted * (1.0 - MAX_ROOM_REDUCTION * level.min(1.0));
        let mut requested: Vec<_> = self.teams.values().map(|work| work.requested).collect();
        let equal_share = accepted / requested.len().max(1) as f64;
        max_min_share(&mut requested, room).max(equal_share * EQUAL_SHARE_TOLERANCE)
    }

    /// Returns when a refused caller is asked to retry: after the queue has become short, spread
    /// over the time in which the share of its team covers what was refused to the team.
    fn retry_at(
        &self,
        now: Timestamp,
        request: &AdmissionRequest,
        max_wait_ms: f64,
        share: f64,
    ) -> Timestamp {
        let work = self.teams.get(&request.team).copied().unwrap_or_default();
        let refused = (work.requested - work.accepted).max(0.0);
        let spread_ms = RECENT_WORK_MS * refused / share.max(MIN_RECENT_TOKENS);
        let drain_ms = (request.wait_ms - max_wait_ms * SHORT_QUEUE_SHARE).max(MIN_RETRY_DELAY_MS);
        let left_ms = (request.deadline - now).as_secs_f64() * 1e3 / f64::from(RETRY_AFTER_DIVISOR);
        let max_spread_ms = (left_ms - drain_ms).max(MIN_RETRY_DELAY_MS);
        let part = request.draw as f64 / u64::MAX as f64;
        let delay_ms = drain_ms.min(left_ms) + spread_ms.min(max_spread_ms) * part;
        now + Duration::from_micros((delay_ms.max(MIN_RETRY_DELAY_MS) * 1e3) as u64)
    }
}

/// Returns the largest share such that all get the smaller of the share and what they request, and
/// together no more than the room; infinite if the room covers all requests.
///
/// ```
/// use dogwoodway_routing::direct::fair_admission::max_min_share;
///
/// assert_eq!(max_min_share(&mut [8.0, 1.0, 1.0], 6.0), 4.0);
/// assert_eq!(max_min_share(&mut [3.0, 3.0, 3.0], 6.0), 2.0);
/// assert_eq!(max_min_share(&mut [1.0, 2.0], 6.0), f64::INFINITY);
/// ```
pub fn max_min_share(requested: &mut [f64], room: f64) -> f64 {
    requested.sort_unstable_by(f64::total_cmp);
    let (mut room, mut others) = (room, requested.len());
    for amount in requested {
        let share = room / others as f64;
        if *amount > share {
            return share;
        }
        (room, others) = (room - *amount, others - 1);
    }
    f64::INFINITY
}
