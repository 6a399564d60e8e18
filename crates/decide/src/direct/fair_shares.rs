//! Shares of workspaces in a service that is overloaded.
//!
//! Load: one workspace at 12 and 25 times its usual traffic for some seconds, at 27
//! entries. Without shares the workspace that sends most gets most, and all others are late with
//! it.
//!
//! Demand is the server time that a workspace's requests would take, refused ones included, over
//! all entries. While the sum is within the capacity, shares have no effect. Otherwise each
//! workspace gets at most the max-min fair level of equal weights: the demands below the level are
//! met, and the others get the level each, which uses up the capacity. Requests are admitted at
//! random with the probability that yields this, so entries need not agree on individual requests,
//! and the share does not depend on the entry that a workspace reaches.
//!
//! The capacity is nine tenths of the server time ([`CAPACITY_SHARE`]); at the full server time,
//! random arrivals alone would build up a queue. The time constant of demands is 1 s: of a burst of
//! 5 s, the first fifth passes before the level follows.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use super::{
    admission::FLOOR_INTERVAL,
    decayed_rate::{DecayedRate, RATE_TIME_CONSTANT_S},
    load_summary::LoadKey,
};

/// Part of the server time that workspaces share.
const CAPACITY_SHARE: f64 = 0.9;
/// Demand in milliseconds per second below which a workspace is forgotten: that of one request of
/// 30 ms, 4 s later.
const MIN_DEMAND_MS_PER_S: f64 = 0.5;
/// Time for which a computed level is used. The demands change by 1% in it, and an entry with
/// hundreds of workspaces and requests per second need not sort the demands for each request.
const LEVEL_VALIDITY: Duration = Duration::from_millis(10);
/// Expected time of a plain service's request before any answer, in milliseconds.
const PLAIN_REQUEST_PRIOR_MS: f64 = 30.0;
/// Weight of the newest answer in that time.
const PLAIN_REQUEST_GAIN: f64 = 0.05;
/// Longest such time taken from one answer, in milliseconds; a pause of seconds is not work.
const MAX_PLAIN_REQUEST_MS: f64 = 1_000.0;

/// Server time that can be used per second, in milliseconds, if `units` requests can use it at
/// once: the servers of an engine, or the slots of a plain service.
pub fn capacity_ms_per_s(units: u32) -> f64 {
    f64::from(units) * 1_000.0 * CAPACITY_SHARE
}

/// Demands of the workspaces at one service, and their shares of it.
#[derive(Debug)]
pub struct FairShares {
    own: HashMap<LoadKey, DecayedRate>,
    /// Sums over the other entries in milliseconds per second, if known.
    peers: Option<BTreeMap<LoadKey, f64>>,
    capacity_ms_per_s: f64,
    plain_request_ms: f64,
    /// The latest level and when it was computed.
    computed: Option<(Duration, Option<f64>)>,
}

impl Default for FairShares {
    fn default() -> Self {
        FairShares {
            own: HashMap::new(),
            peers: None,
            capacity_ms_per_s: 0.0,
            plain_request_ms: PLAIN_REQUEST_PRIOR_MS,
            computed: None,
        }
    }
}

impl FairShares {
    /// Records a request of a workspace that would take `offered_ms` milliseconds of server time;
    /// ignores it unless that is a positive finite number.
    pub fn record(&mut self, workspace: LoadKey, offered_ms: f64, now: Duration) {
        if offered_ms.is_finite() && offered_ms > 0.0 {
            self.own.entry(workspace).or_default().add(offered_ms, now);
        }
    }

    /// Demands at this entry in milliseconds per second. Forgets workspaces without demand.
    pub fn own_demands(&mut self, now: Duration) -> impl Iterator<Item = (LoadKey, f64)> {
        self.own.retain(|_, rate| rate.per_s(now) >= MIN_DEMAND_MS_PER_S);
        self.own.iter().map(move |(workspace, rate)| (*workspace, rate.per_s(now)))
    }

    /// Replaces the sums over the other entries, in milliseconds per second; `None` if they are not
    /// known.
    pub fn set_peers(&mut self, demands: Option<impl Iterator<Item = (LoadKey, f64)>>) {
        let is_valid = |demand: &f64| demand.is_finite() && *demand >= MIN_DEMAND_MS_PER_S;
        self.peers = demands.map(|demands| demands.filter(|(_, one)| is_valid(one)).collect());
        self.computed = None;
    }

    /// Sets the server time that can be used per second, in milliseconds.
    pub fn set_capacity(&mut self, capacity_ms_per_s: f64) {
        if self.capacity_ms_per_s.to_bits() != capacity_ms_per_s.to_bits() {
            self.capacity_ms_per_s = capacity_ms_per_s;
            self.computed = None;
        }
    }

    /// Demand of a workspace over all entries, in milliseconds per second.
    pub fn demand(&self, workspace: LoadKey, now: Duration) -> f64 {
        let own = self.own.get(&workspace).map_or(0.0, |rate| rate.per_s(now));
        own + self.peers.as_ref().and_then(|peers| peers.get(&workspace)).unwrap_or(&0.0)
    }

    /// The max-min fair level in milliseconds per second; `None` while all demands can be met, or
    /// if the demands at other entries or the capacity are not known.
    pub fn level(&mut self, now: Duration) -> Option<f64> {
        if let Some((at, level)) = self.computed
            && now.saturating_sub(at) < LEVEL_VALIDITY
        {
            return level;
        }
        let level = self.compute_level(now);
        self.computed = Some((now, level));
        level
    }

    /// Whether a request of a workspace is within the workspace's share; `draw` is random, from 0
    /// to 1.
    ///
    /// The probability is lower than level over demand by the part that
    /// [`Admission::takes_floor`](super::Admission::takes_floor) adds. Otherwise a tenth of what a
    /// workspace sends above its share would exceed the capacity.
    pub fn admits(&mut self, workspace: LoadKey, draw: f64, now: Duration) -> bool {
        let Some(level) = self.level(now) else { return true };
        let demand = self.demand(workspace, now);
        if demand <= level {
            return true;
        }
        let floor = 1.0 / f64::from(FLOOR_INTERVAL);
        let probability = ((level / demand - floor) / (1.0 - floor)).max(0.0);
        let is_refused = draw >= probability;
        !is_refused
    }

    /// Time in which the demand of a workspace decays to the level if it sends no more.
    pub fn excess_time(&mut self, workspace: LoadKey, now: Duration) -> Duration {
        let Some(level) = self.level(now) else { return Duration::ZERO };
        let excess = (self.demand(workspace, now) / level.max(MIN_DEMAND_MS_PER_S)).max(1.0);
        Duration::from_secs_f64(RATE_TIME_CONSTANT_S * excess.ln())
    }

    /// Records the time from send to answer of a plain service's request, in milliseconds; ignores
    /// it unless it is a finite number that is not negative.
    pub fn record_answer(&mut self, answer_ms: f64) {
        if answer_ms.is_finite() && answer_ms >= 0.0 {
            let answer_ms = answer_ms.min(MAX_PLAIN_REQUEST_MS);
            self.plain_request_ms += PLAIN_REQUEST_GAIN * (answer_ms - self.plain_request_ms);
        }
    }

    /// Expected server time of a plain service's request, in milliseconds.
    pub fn plain_request_ms(&self) -> f64 {
        self.plain_request_ms
    }

    fn compute_level(&mut self, now: Duration) -> Option<f64> {
        let mut demands = self.peers.clone()?;
        let capacity = self.capacity_ms_per_s;
        if !capacity.is_finite() || capacity <= 0.0 {
            return None;
        }
        for (workspace, demand) in self.own_demands(now) {
            *demands.entry(workspace).or_default() += demand;
        }
        fair_level(demands.into_values().collect(), capacity)
    }
}

/// The level at which demands cut to it add up to the capacity; `None` if they are within it.
fn fair_level(mut demands: Vec<f64>, capacity: f64) -> Option<f64> {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    let mut sharers = demands.len() as f64;
    for demand in demands {
        if demand * sharers > left {
            return Some(left / sharers);
        }
        left -= demand;
        sharers -= 1.0;
    }
    None
}
