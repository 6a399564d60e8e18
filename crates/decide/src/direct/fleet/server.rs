//! One backend server as an entry sees it.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use pondwalk_types::{DataCentreId, ServerId, VersionId};

use super::{
    load::{PeerLoad, ServerLoad},
    notice::{Notice, ServerIncarnation},
    peer_work::PeerWork,
    placement_request::{PlacementRequest, PromptPart, Ticket},
    server_permits::ServerPermits,
};
use crate::direct::{hash::hash_text, load_summary::server_key, warm_up::WarmUpState};

/// Time that one running request adds to the cost of a server, in milliseconds.
const RUNNING_MS: f64 = 4.0;
/// Cost of a server in another data centre, in milliseconds.
const REMOTE_MS: f64 = 150.0;
/// Cost of a server whose latest answers were all failures, in milliseconds.
const FAILURE_MS: f64 = 3_000.0;
/// Weight of the newest outcome in a server's share of failures.
const FAILURE_GAIN: f64 = 0.2;
/// Weight of the newest answer in a server's delay. Most of a single answer's delay is chance, such
/// as a long prompt that another entry had just sent.
const DELAY_GAIN: f64 = 0.15;
/// Time in which a delay decays by a factor of e without new answers, so that the server is tried
/// again; prompts that others sent are prefilled by then.
const DELAY_DECAY: Duration = Duration::from_secs(3);
/// Largest delay taken from one answer, in milliseconds; a pause of seconds is not a queue.
const MAX_DELAY_MS: f64 = 10_000.0;
/// Initial backoff after a server could not be reached or refused; doubles with each further
/// failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest such backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);
/// Initial backoff after an answer that is none; doubles with each further one. Longer than the
/// others, since a request that can't be repeated is lost to find out whether the server has
/// recovered.
const INITIAL_INVALID_BACKOFF: Duration = Duration::from_secs(30);
/// Number of times that it doubles at most.
const MAX_INVALID_DOUBLINGS: u32 = 3;
/// Time for which a prompt part is assumed to stay in a server's cache after its last use.
const PART_CACHE_TTL: Duration = Duration::from_secs(20);
/// Number of cached parts of one server from which expired ones are swept.
const MIN_PARTS: usize = 64;
/// Cost of a server whose record lapsed during a store outage, in milliseconds: a listed server is
/// preferred unless it is busy.
const LAPSED_MS: f64 = 150.0;
/// Rate at which a share of failures decays, so that a server is tried again.
const FAILURE_DECAY_PER_S: f64 = 0.2;

/// Number of a server's incarnation among all that a fleet has seen.
pub type IncarnationNumber = u64;

/// What the store lists about a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerInfo {
    /// Identity of the server; it may stay the same across a restart.
    pub id: ServerId,
    /// Start time in milliseconds of Unix time, if the server reports it.
    pub born_ms: Option<u64>,
    /// Address at which the server listens.
    pub address: SocketAddr,
    /// Data centre that the server runs in.
    pub data_centre: DataCentreId,
    /// Version of the server software.
    pub version: VersionId,
    /// Requests that the server can run at once.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub ready: bool,
    /// End of the reported warm-up, by this entry's clock.
    pub cold_until: Duration,
}

/// One server with the state that this entry keeps of it.
#[derive(Debug)]
pub struct Server {
    /// What the store lists about the server.
    pub info: ServerInfo,
    /// Number of the incarnation.
    pub incarnation_number: IncarnationNumber,
    /// Warm-up state, and recent sends.
    pub warm_up: WarmUpState,
    /// Hash of the identity for rendezvous hashing.
    pub hash: u64,
    /// Distinguishes this incarnation from others.
    pub incarnation: ServerIncarnation,
    /// What the server has asked of this entry.
    pub notice: Notice,
    /// Permits for the server, if it reports a rate limit.
    pub permits: ServerPermits,
    /// Whether another server was seen at the address, whatever the store lists.
    is_replaced: bool,
    /// Until when the server gets requests though the store no longer lists it.
    lapses_at: Option<Duration>,
    /// Sum of `expected_ms` of the requests whose answers have not begun.
    pub waiting_ms: f64,
    /// Requests of this entry that wait or run there.
    pub running: u32,
    /// Requests among them whose answers have not begun.
    pub waiting: u32,
    /// Requests of other entries, if the server reports its load.
    peer_load: PeerLoad,
    /// Requests of other entries as these report them, and the server's pace.
    pub peer_work: PeerWork,
    failure_share: f64,
    failure_recorded_at: Duration,
    refusals: u32,
    /// Consecutive answers that were none.
    invalid_answers: u32,
    backoff_until: Duration,
    /// Mean delay of answers beyond the expected time, in milliseconds, when last recorded.
    delay_ms: f64,
    delay_recorded_at: Duration,
    parts: HashMap<(u64, u8), Duration>,
    sweep_parts_at: usize,
}

impl Server {
    /// Creates a server without observations.
    pub fn new(info: ServerInfo, incarnation_number: IncarnationNumber) -> Self {
        let mut warm_up = WarmUpState::default();
        warm_up.apply_reported(info.cold_until);
        Server {
            hash: hash_text(&info.id),
            incarnation: ServerIncarnation::of(&info),
            info,
            incarnation_number,
            warm_up,
            notice: Notice::default(),
            permits: ServerPermits::default(),
            is_replaced: false,
            lapses_at: None,
            waiting_ms: 0.0,
            running: 0,
            waiting: 0,
            peer_load: PeerLoad::default(),
            peer_work: PeerWork::default(),
            failure_share: 0.0,
            failure_recorded_at: Duration::ZERO,
            refusals: 0,
            invalid_answers: 0,
            backoff_until: Duration::ZERO,
            delay_ms: 0.0,
            delay_recorded_at: Duration::ZERO,
            parts: HashMap::new(),
            sweep_parts_at: MIN_PARTS,
        }
    }

    /// Whether the server accepts new requests.
    pub fn is_open(&self, now: Duration) -> bool {
        self.info.ready && !self.is_replaced && !self.notice.is_draining(now) && self.is_listed(now)
    }

    /// Whether the server is draining, by its own report or the store's.
    pub fn is_draining(&self, now: Duration) -> bool {
        !self.info.ready || self.notice.is_draining(now)
    }

    /// Whether the store lists the server, or may have lost it a short time ago.
    pub fn is_listed(&self, now: Duration) -> bool {
        self.lapses_at.is_none_or(|at| now < at)
    }

    /// Expected time to first byte of a request, in milliseconds, if the prefill of its prompt
    /// takes `prefill_ms` and that of another entry's request `peer_prefill_ms`.
    pub fn first_byte_ms(
        &self,
        request: &PlacementRequest<'_>,
        prefill_ms: f64,
        peer_prefill_ms: f64,
        now: Duration,
    ) -> f64 {
        let queued_ms = self.peer_work.queued_ms(self.waiting_ms, now);
        let queued_ms = queued_ms + self.peer_load.cost_ms(peer_prefill_ms, now);
        let prefill_ms = prefill_ms * self.peer_work.pace();
        queued_ms + prefill_ms + request.base_ms + self.delay_ms(now)
    }

    /// Part of that time due to other entries' requests and the server's pace, in milliseconds.
    pub fn peer_ms(&self, prefill_ms: f64, now: Duration) -> f64 {
        let queued_ms = self.peer_work.queued_ms(self.waiting_ms, now) - self.waiting_ms;
        queued_ms + prefill_ms * (self.peer_work.pace() - 1.0)
    }

    /// Cost of a request with this expected time to first byte, as a time in milliseconds.
    pub fn cost(
        &self,
        request: &PlacementRequest<'_>,
        first_byte_ms: f64,
        now: Duration,
        local_data_centre: &str,
    ) -> f64 {
        let mut cost = first_byte_ms + f64::from(self.running) * RUNNING_MS;
        cost += self.peer_work.running_ms(now);
        if self.info.data_centre != local_data_centre {
            cost += REMOTE_MS;
        }
        if self.lapses_at.is_some() {
            cost += LAPSED_MS;
        }
        if self.running >= self.info.slots {
            cost += request.base_ms * f64::from(self.running - self.info.slots + 1);
        }
        if self.backoff_until > now {
            cost += FAILURE_MS;
        }
        cost + self.failure_share_now(now) * FAILURE_MS
    }

    /// Share of failures among the latest answers, decayed by the time since the last.
    fn failure_share_now(&self, now: Duration) -> f64 {
        let idle_s = now.saturating_sub(self.failure_recorded_at).as_secs_f64();
        (self.failure_share * (-FAILURE_DECAY_PER_S * idle_s).exp()).max(0.0)
    }

    /// Tokens of a prompt that are not in the server's cache.
    pub fn uncached_tokens(&self, request: &PlacementRequest<'_>, now: Duration) -> f64 {
        let is_cached = |part: &&PromptPart| {
            let used = self.parts.get(&(part.id, request.model));
            used.is_some_and(|at| now.saturating_sub(*at) < PART_CACHE_TTL)
        };
        let cached = request.parts.iter().take_while(is_cached).count();
        f64::from(request.parts[cached..].iter().map(|part| part.tokens).sum::<u32>())
    }

    /// Applies what the store lists, changed or repeated.
    pub fn apply_info(&mut self, info: ServerInfo) {
        self.warm_up.apply_reported(info.cold_until);
        if server_key(&info) != server_key(&self.info) {
            self.peer_work = PeerWork::default();
        }
        self.info = info;
        self.lapses_at = None;
    }

    /// Whether `info` describes another incarnation than this one.
    pub fn is_restarted(&self, info: &ServerInfo) -> bool {
        self.info.born_ms != info.born_ms
    }

    /// Keeps a server until `until` that the store lists no longer but may have lost during an
    /// outage.
    pub fn lapse(&mut self, until: Duration) {
        self.lapses_at.get_or_insert(until);
    }

    /// Records that another server listens at the address.
    pub fn mark_replaced(&mut self) {
        self.is_replaced = true;
    }

    /// Records a request sent to the server.
    pub fn admit(&mut self, request: &PlacementRequest<'_>, expected_ms: f64, now: Duration) {
        self.waiting_ms += expected_ms;
        self.running += 1;
        self.waiting += 1;
        if self.parts.len() >= self.sweep_parts_at {
            self.parts.retain(|_, used| now.saturating_sub(*used) < PART_CACHE_TTL);
            // NB: doubling keeps the work of sweeping in proportion to that of inserting.
            self.sweep_parts_at = (2 * self.parts.len()).max(MIN_PARTS);
        }
        for part in request.parts {
            self.parts.insert((part.id, request.model), now);
        }
    }

    /// Records that an answer began.
    pub fn on_answer_started(&mut self, ticket: &Ticket, now: Duration) {
        self.notice.on_answer_started(self.info.slots, now);
        self.waiting = self.waiting.saturating_sub(1);
        self.waiting_ms = (self.waiting_ms - ticket.expected_ms).max(0.0);
    }

    /// Records how much later than expected an answer began, in milliseconds; negative if sooner.
    pub fn record_delay(&mut self, late_ms: f64, now: Duration) {
        let late_ms = late_ms.clamp(0.0, MAX_DELAY_MS);
        let known_ms = self.delay_ms(now);
        self.delay_ms = known_ms + DELAY_GAIN * (late_ms - known_ms);
        self.delay_recorded_at = now;
    }

    /// Applies the load that the server reported with an answer.
    pub fn on_load_reported(&mut self, load: ServerLoad, now: Duration) {
        let own_running = self.running.saturating_sub(self.waiting);
        self.peer_load.record(load, own_running, self.waiting, now);
    }

    /// Mean delay of answers beyond the expected time, in milliseconds; mostly requests that
    /// other entries have waiting there.
    ///
    /// NB: a time, not a multiple of the expected one. A request of 30 ms that waits for 200 ms
    /// would make the server look seven times as slow, and would drive away long prompts whose
    /// shared parts it has cached.
    pub fn delay_ms(&self, now: Duration) -> f64 {
        let idle_s = now.saturating_sub(self.delay_recorded_at).as_secs_f64();
        self.delay_ms * (-idle_s / DELAY_DECAY.as_secs_f64()).exp()
    }

    /// Ends a request; `waiting` says whether its answer had not begun.
    pub fn on_finished(&mut self, expected_ms: f64, waiting: bool) {
        if waiting {
            self.waiting = self.waiting.saturating_sub(1);
            self.waiting_ms = (self.waiting_ms - expected_ms).max(0.0);
        }
        self.running = self.running.saturating_sub(1);
    }

    /// Records an answer; `failed` says whether it was a failure of the server itself.
    pub fn record_outcome(&mut self, failed: bool, now: Duration) {
        let outcome = if failed { 1.0 } else { 0.0 };
        self.failure_share =
            self.failure_share_now(now) * (1.0 - FAILURE_GAIN) + outcome * FAILURE_GAIN;
        self.failure_recorded_at = now;
        self.refusals = 0;
        if !failed {
            self.invalid_answers = 0;
        }
    }

    /// Starts a backoff after an answer that is none in the protocol.
    pub fn on_invalid_answer(&mut self, now: Duration) {
        let doublings = self.invalid_answers.min(MAX_INVALID_DOUBLINGS);
        let backoff = INITIAL_INVALID_BACKOFF * 2u32.pow(doublings);
        self.backoff_until = self.backoff_until.max(now + backoff);
        self.invalid_answers = self.invalid_answers.saturating_add(1);
    }

    /// Starts a backoff after the server could not be reached, or refused without running the
    /// request. Returns the number of consecutive failures.
    pub fn on_refused(&mut self, now: Duration) -> u32 {
        self.notice.on_refused();
        let backoff = INITIAL_BACKOFF * 2u32.pow(self.refusals.min(4));
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.refusals = self.refusals.saturating_add(1);
        self.refusals
    }
}
