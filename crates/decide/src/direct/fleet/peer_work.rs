//! Work of other entries at the servers of a fleet, and the speed of these servers.
//!
//! Entries exchange what they have placed ([`LoadSummary`]). Without a recent summary every term
//! here is neutral, so that the entry decides by its own requests alone.

use std::{collections::HashMap, time::Duration};

use super::{
    Fleet, PlacementRequest, Ticket, VersionRule, permit_rule::PermitRule, server::Server,
};
use crate::direct::{
    engine::{QuantileEstimate, ServiceModelIndex},
    load_summary::{LoadKey, LoadSummary, ServerWork, server_key},
    stream_pace::StreamForecast,
};

/// Time that one running request of another entry adds to the cost of a server, in milliseconds.
const PEER_RUNNING_MS: f64 = 8.0;
/// Time in which the number of running requests decays by a factor of e; most streams last some
/// seconds.
const RUNNING_DECAY: Duration = Duration::from_secs(3);
/// Time constant of the rate at which prefill is placed.
const RATE_DECAY: Duration = Duration::from_secs(1);
/// Time in which a pace sample loses weight by a factor of e.
const PACE_DECAY: Duration = Duration::from_secs(20);
/// Samples at the mean pace of the service that are added to those of a server, so that a few
/// samples have little effect.
const PACE_PRIOR_SAMPLES: f64 = 4.0;
/// Range of the pace factor.
const PACE_RANGE: (f64, f64) = (0.4, 4.0);
/// Largest logarithm taken from one pace sample; a pause of one stream is not a measure of
/// the server's pace.
const MAX_PACE_LOG: f64 = 3.0;
/// Weight below which pace samples are dropped.
const MIN_PACE_SAMPLES: f64 = 0.05;
/// Initial estimate of the time per output token, in milliseconds.
const TOKEN_PRIOR_MS: f64 = 12.0;
/// Age of a view at which other entries may have placed one typical prefill at the cheapest server.
const SPREAD_AGE_MS: f64 = 200.0;
/// Age of a view when it is received, in milliseconds: one interval of the exchange. Without it,
/// all entries chose the same servers right after an exchange, and in `tests/peer_work.rs` the
/// answers began later than without a view.
const RECEIVED_AGE_MS: f64 = 100.0;
/// Rate below which a service counts as idle, in milliseconds per second.
const MIN_RATE_MS_PER_S: f64 = 0.01;

/// Requests that are placed and places for them, over all entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Places {
    /// Requests that wait or run at open servers.
    pub taken: u32,
    /// Slots of the open servers.
    pub total: u32,
}

/// Expected wait of a placed request for the start of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedWait {
    /// From the placement; the larger of that expected then and the time in which the server would
    /// work off what waits there now.
    pub total: Duration,
    /// From now on, if everything that waits there is served first.
    pub remaining: Duration,
}

/// Sum and number of pace samples, which decay.
#[derive(Debug, Clone, Copy, Default)]
struct PaceSamples {
    log_sum: f64,
    count: f64,
    recorded_at: Duration,
}

impl PaceSamples {
    fn decayed(&self, now: Duration) -> PaceSamples {
        let decay = decay(now.saturating_sub(self.recorded_at), PACE_DECAY);
        let (log_sum, count) = (self.log_sum * decay, self.count * decay);
        if count < MIN_PACE_SAMPLES {
            return PaceSamples { recorded_at: now, ..PaceSamples::default() };
        }
        PaceSamples { log_sum, count, recorded_at: now }
    }

    /// Weight of the samples against the prior.
    fn weight(&self) -> f64 {
        self.count / (self.count + PACE_PRIOR_SAMPLES)
    }
}

/// Work of other entries at one server, and the server's pace.
#[derive(Debug)]
pub struct PeerWork {
    work: ServerWork,
    received_at: Duration,
    /// Pace samples of this entry.
    own_pace: PaceSamples,
    /// Time that work takes, as a multiple of that at an average server of the service.
    pace: f64,
}

impl Default for PeerWork {
    fn default() -> Self {
        PeerWork {
            work: ServerWork::default(),
            received_at: Duration::ZERO,
            own_pace: PaceSamples::default(),
            pace: 1.0,
        }
    }
}

impl PeerWork {
    /// Time that work takes, as a multiple of that at an average server of the service.
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Time until the server has worked off what waits there: `own_ms` of this entry at normal
    /// speed, and that of other entries; in milliseconds.
    pub fn queued_ms(&self, own_ms: f64, now: Duration) -> f64 {
        let elapsed_ms = self.age(now).as_secs_f64() * 1_000.0;
        let peer_ms = f64::from(self.work.queued_ms) * self.pace - elapsed_ms;
        own_ms * self.pace + peer_ms.max(0.0)
    }

    /// Time that the running requests of other entries add to the cost, in milliseconds.
    pub fn running_ms(&self, now: Duration) -> f64 {
        self.running(now) * PEER_RUNNING_MS
    }

    fn running(&self, now: Duration) -> f64 {
        f64::from(self.work.running) * decay(self.age(now), RUNNING_DECAY)
    }

    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_at)
    }

    /// Pace samples of all entries.
    fn pooled_pace(&self, now: Duration) -> PaceSamples {
        let own = self.own_pace.decayed(now);
        PaceSamples {
            log_sum: own.log_sum + f64::from(self.work.pace_log_sum),
            count: own.count + f64::from(self.work.pace_samples),
            recorded_at: now,
        }
    }

    fn record_pace(&mut self, log: f64, now: Duration) {
        let known = self.own_pace.decayed(now);
        self.own_pace = PaceSamples {
            log_sum: known.log_sum + log,
            count: known.count + 1.0,
            recorded_at: now,
        };
    }
}

/// Work for a whole service.
#[derive(Debug, Default)]
pub struct FleetWork {
    /// Key of the service; `None` if its work is not exchanged.
    key: Option<LoadKey>,
    /// When the other entries' work was received; `None` if it is not known.
    received_at: Option<Duration>,
    /// Prefill that the other entries place per second, in milliseconds.
    peer_rate_ms_per_s: f64,
    own_rate_ms_per_s: f64,
    own_rate_at: Duration,
    /// Usual time per output token by model, in milliseconds.
    token_ms: HashMap<ServiceModelIndex, QuantileEstimate>,
}

impl FleetWork {
    /// Records that a request with this expected prefill was placed.
    pub fn record_placed(&mut self, prefill_ms: f64, now: Duration) {
        self.own_rate_ms_per_s = self.own_rate(now) + prefill_ms / RATE_DECAY.as_secs_f64();
        self.own_rate_at = now;
    }

    fn own_rate(&self, now: Duration) -> f64 {
        self.own_rate_ms_per_s * decay(now.saturating_sub(self.own_rate_at), RATE_DECAY)
    }

    /// Difference in cost within which servers count as equal, in milliseconds: what other entries
    /// may have placed since their work was received. `None` if their work is not known.
    ///
    /// NB: all entries read the same view. If each took the cheapest server, that server would get
    /// the requests of all of them.
    pub fn spread_ms(&self, prefill_ms: f64, now: Duration) -> Option<f64> {
        let elapsed = now.saturating_sub(self.received_at?);
        let age_ms = RECEIVED_AGE_MS + elapsed.as_secs_f64() * 1_000.0;
        Some(prefill_ms * (age_ms / SPREAD_AGE_MS).min(1.0))
    }
}

impl Fleet {
    /// Sets the key under which the service's work is exchanged.
    pub fn set_load_key(&mut self, key: LoadKey) {
        self.work.key = Some(key);
    }

    /// Adds this entry's own work at the servers to `summary`.
    pub fn collect_load(&self, now: Duration, summary: &mut LoadSummary) {
        for server in self.servers.iter().flatten() {
            let pace = server.peer_work.own_pace.decayed(now);
            if server.running == 0 && pace.count <= 0.0 {
                continue;
            }
            let work = ServerWork {
                queued_ms: server.waiting_ms as f32,
                waiting: server.waiting,
                running: server.running.saturating_sub(server.waiting),
                pace_log_sum: pace.log_sum as f32,
                pace_samples: pace.count as f32,
            };
            summary.servers.entry(server_key(&server.info)).or_default().add(&work);
        }
        let rate = self.work.own_rate(now);
        if let Some(key) = self.work.key.filter(|_| rate > MIN_RATE_MS_PER_S) {
            summary.services.entry(key).or_default().prefill_ms_per_s += rate as f32;
        }
    }

    /// Applies the sum of the other entries' work; `None` if it is not known, in which case the
    /// entry decides by its own work.
    pub fn apply_peer_load(&mut self, peers: Option<&LoadSummary>, now: Duration) {
        let service = peers.zip(self.work.key).and_then(|(peers, key)| peers.services.get(&key));
        self.work.peer_rate_ms_per_s =
            service.map_or(0.0, |service| f64::from(service.prefill_ms_per_s));
        self.work.received_at = peers.map(|_| now);
        for server in self.servers.iter_mut().flatten() {
            let work = peers.and_then(|peers| peers.servers.get(&server_key(&server.info)));
            server.peer_work.work = work.copied().unwrap_or_default();
            server.peer_work.received_at = now;
            server.peer_work.pace = 1.0;
        }
        if peers.is_some() {
            self.update_paces(now);
        }
    }

    /// Sets the pace of each server relative to the mean over the service, so that a service that
    /// is slow as a whole has paces around 1.
    fn update_paces(&mut self, now: Duration) {
        let mut weighted_sum = 0.0;
        let mut weight_sum = 0.0;
        for server in self.servers.iter().flatten() {
            let samples = server.peer_work.pooled_pace(now);
            if samples.count > 0.0 {
                weighted_sum += samples.weight() * samples.log_sum / samples.count;
                weight_sum += samples.weight();
            }
        }
        if weight_sum <= 0.0 {
            return;
        }
        let mean_log = weighted_sum / weight_sum;
        let (min, max) = PACE_RANGE;
        for server in self.servers.iter_mut().flatten() {
            let samples = server.peer_work.pooled_pace(now);
            let deviation = samples.log_sum - samples.count * mean_log;
            let log = deviation / (samples.count + PACE_PRIOR_SAMPLES);
            server.peer_work.pace = log.exp().clamp(min, max);
        }
    }

    /// Records the time per token of a stream, in milliseconds, measured over a short time.
    pub fn record_pace(&mut self, ticket: &Ticket, token_ms: f64, now: Duration) {
        if !token_ms.is_finite() || token_ms <= 0.0 {
            return;
        }
        let usual = self.work.token_ms.entry(ticket.model);
        let usual = usual.or_insert_with(|| QuantileEstimate::new(TOKEN_PRIOR_MS));
        usual.record(token_ms);
        let log = (token_ms / usual.value()).ln().clamp(-MAX_PACE_LOG, MAX_PACE_LOG);
        if let Some(server) = self.server_of(ticket) {
            server.peer_work.record_pace(log, now);
        }
    }

    /// Predicts how a stream would continue at the best server for `request`; `None` if there is
    /// none or the other entries' work is not known.
    pub fn stream_forecast(
        &self,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Option<StreamForecast> {
        self.work.received_at?;
        let best = self.best_candidate(request, now, PermitRule::Requestable, || 0.0)?;
        let usual = self.work.token_ms.get(&request.model);
        let usual_ms = usual.map_or(TOKEN_PRIOR_MS, QuantileEstimate::value);
        let pace = self.servers[best.index].as_ref()?.peer_work.pace;
        Some(StreamForecast { first_byte_ms: best.first_byte_ms, token_ms: usual_ms * pace })
    }

    /// Expected wait of a placed request; `None` if the other entries' work is not known or the
    /// server is gone.
    pub fn expected_wait(&self, ticket: &Ticket, now: Duration) -> Option<ExpectedWait> {
        self.work.received_at?;
        let server = self.servers.get(ticket.index)?.as_ref()?;
        if server.incarnation_number != ticket.incarnation_number {
            return None;
        }
        let queued_ms = server.peer_work.queued_ms(server.waiting_ms, now);
        let total_ms = ticket.expected_with_queue_ms().max(queued_ms);
        let remaining_ms = queued_ms + server.delay_ms(now);
        Some(ExpectedWait {
            total: Duration::from_secs_f64(total_ms / 1_000.0),
            remaining: Duration::from_secs_f64(remaining_ms / 1_000.0),
        })
    }

    /// Prefill placed by all entries as a share of what the open servers can process; `None` if the
    /// other entries' work is not known or no server is open.
    pub fn utilization(&self, now: Duration) -> Option<f64> {
        self.work.received_at?;
        let open = self.available_servers(VersionRule::Any, now);
        let capacity_ms_per_s: f64 = open.map(|server| 1_000.0 / server.peer_work.pace).sum();
        let placed_ms_per_s = self.work.own_rate(now) + self.work.peer_rate_ms_per_s;
        (capacity_ms_per_s > 0.0).then(|| placed_ms_per_s / capacity_ms_per_s)
    }

    /// Requests of all entries at the open servers, and the slots of these; `None` if the other
    /// entries' work is not known.
    pub fn places(&self, now: Duration) -> Option<Places> {
        self.work.received_at?;
        let taken = |server: &Server| {
            let peers = &server.peer_work;
            let peer_running = peers.running(now).round() as u32;
            server.running.saturating_add(peers.work.waiting).saturating_add(peer_running)
        };
        let open = self.available_servers(VersionRule::Any, now);
        let places = open.fold((0u32, 0u32), |(taken_sum, total), server| {
            let total = total.saturating_add(server.info.slots);
            (taken_sum.saturating_add(taken(server)), total)
        });
        Some(Places { taken: places.0, total: places.1 })
    }
}

/// Factor by which a value decays in `elapsed`.
fn decay(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
