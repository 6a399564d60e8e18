//! State and services of one entry, shared by all tasks on its thread.

use std::{
    cell::{Cell, RefCell},
    fmt::Write,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use hyper::http::response::Parts;
use pondwalk_config::DirectSettings;
use pondwalk_decide::direct::Fleet;
use pondwalk_inbound::{BufferPool, MessageLimits, Pacer};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::sync::Notify;

use crate::{
    clock::Clock,
    deliveries::Deliveries,
    dialect::Dialect,
    event_log::EventLog,
    latch::Latch,
    loans::Lenders,
    membership::{
        ChangeSource, GossipLog, LoadExchange, MIN_GOSSIP_TARGETS, Members, Outbox, RelayRequests,
        root_count,
    },
    metrics::Metrics,
    permits::PermitState,
    quarantine::{ObservedCrashes, PendingClearances, ReleasedProbes},
    resident::resident_bytes,
    state::State,
    upstream::{self, Connect, Exchange, StreamBody},
    usage::Usage,
};

/// Rate at which long messages are read, all together: half of what a link of
/// 1 Gbit/s carries.
const LONG_MESSAGES_BYTES_PER_S: u32 = 64 * 1024 * 1024;

/// Phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// No shutdown was requested.
    Running,
    /// Callers are directed elsewhere; new work is still accepted.
    Draining,
    /// Only work whose deadline lies before the end is accepted.
    Closing {
        /// When requests in flight get their final answer, on the process's clock.
        end: Duration,
    },
    /// No work is accepted: it would not be in the usage published last.
    Ending,
}

/// State and services shared by all tasks of an entry.
pub struct Core {
    /// Settings from the start of the process.
    pub settings: DirectSettings,
    /// Header names and fixed texts.
    pub dialect: Dialect,
    /// Process clock.
    pub clock: Clock,
    /// Opens connections to backend servers.
    pub connect: Connect,
    /// Memory for requests and answers.
    pub traffic_buffers: BufferPool,
    /// Memory for messages of the store and of other entries.
    pub control_buffers: BufferPool,
    /// Limits of backend servers' responses.
    pub response_limits: MessageLimits,
    /// Limits the rate at which long messages are read, all together.
    pub pacer: Rc<Pacer>,
    /// Event log.
    pub event_log: EventLog,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Phase of the shutdown.
    pub shutdown: Cell<ShutdownPhase>,
    /// Set when the process is about to end: what is still in flight gets its final answer.
    pub ending: Latch,
    /// The listed entries.
    pub members: Members,
    /// Random id of this incarnation of the process, which distinguishes it from others of the same
    /// name.
    pub incarnation: u64,
    /// Entry that provided the initial state, used until the listed entries are known.
    pub initial_source: Cell<Option<SocketAddr>>,
    /// Gossip for all entries.
    pub gossip: RefCell<GossipLog>,
    /// Gossip sent towards the root only.
    pub gossip_for_parents: RefCell<GossipLog>,
    /// Number of gossip items published by this entry.
    pub gossip_sent: Cell<u64>,
    /// Gossip waiting to be sent.
    pub outbox: Outbox,
    /// Notified when the state was confirmed or gossip arrived.
    pub state_changed: Notify,
    /// Number of requests in flight.
    pub in_flight: Cell<usize>,
    /// Answers that are not written to their connections yet.
    pub deliveries: Deliveries,
    /// Crashes observed recently and not yet published.
    pub observed_crashes: ObservedCrashes,
    /// Contents to clear at other entries.
    pub pending_clearances: PendingClearances,
    /// Entries that lend requests at cold servers.
    pub lenders: Lenders,
    /// Permits granted for servers with a rate limit.
    pub permits: PermitState,
    /// Unused probes to release.
    pub released_probes: ReleasedProbes,
    /// Usage counts and reporter, if the deployment reports usage.
    pub usage: Option<Usage>,
    /// Exchange of work with other entries.
    pub load_exchange: LoadExchange,
    /// Store calls requested by other entries.
    pub relay_requests: RelayRequests,
    /// Mutable state.
    pub state: RefCell<State>,
}

impl Core {
    /// Creates the core of a process that has no state yet.
    pub fn new(
        settings: DirectSettings,
        dialect: Dialect,
        clock: Clock,
        connect: Connect,
        control_buffers: BufferPool,
        event_log: EventLog,
        seed: u64,
    ) -> Self {
        let state = State::new(&settings, seed);
        let members = Members::new(&settings);
        let incarnation = SmallRng::seed_from_u64(seed).random();
        let inbound = settings.inbound;
        let pacer = Rc::new(Pacer::new(LONG_MESSAGES_BYTES_PER_S));
        let response_limits =
            upstream::response_limits(inbound.max_answer_bytes, inbound.kept_answer_bytes, &pacer);
        let usage = settings.usage.map(|usage| Usage::new(&settings.name, incarnation, usage));
        Core {
            settings,
            dialect,
            clock,
            connect,
            traffic_buffers: BufferPool::new(inbound.traffic_bytes),
            control_buffers,
            response_limits,
            pacer,
            event_log,
            metrics: Metrics::default(),
            shutdown: Cell::new(ShutdownPhase::Running),
            ending: Latch::default(),
            members,
            incarnation,
            initial_source: Cell::new(None),
            gossip: RefCell::new(GossipLog::for_all()),
            gossip_for_parents: RefCell::new(GossipLog::for_roots()),
            gossip_sent: Cell::new(0),
            outbox: Outbox::default(),
            state_changed: Notify::new(),
            in_flight: Cell::new(0),
            deliveries: Deliveries::default(),
            observed_crashes: ObservedCrashes::default(),
            pending_clearances: PendingClearances::default(),
            lenders: Lenders::default(),
            permits: PermitState::default(),
            released_probes: ReleasedProbes::default(),
            usage,
            load_exchange: LoadExchange::default(),
            relay_requests: RelayRequests::default(),
            state: RefCell::new(state),
        }
    }

    /// Duration of the store outage if the last call failed: time since the last confirmation, or
    /// since the start.
    pub fn outage(&self) -> Option<Duration> {
        let state = self.state.borrow();
        let now = self.clock.now();
        state.store_call_failed.then(|| state.freshness.age(now).unwrap_or(self.clock.uptime()))
    }

    /// Source of state changes. Until entries are listed, that is the entry that provided the
    /// initial state, and a seed must expect to be that entry.
    pub fn source(&self) -> ChangeSource {
        self.with_initial_source(self.members.source(self.clock.now()))
    }

    /// Like [`Core::source`], for messages that need no state of the store: entries whose state is
    /// stale keep their places in the tree.
    pub fn parent_without_store(&self) -> ChangeSource {
        self.with_initial_source(self.members.parent_without_store(self.clock.now()))
    }

    fn with_initial_source(&self, source: ChangeSource) -> ChangeSource {
        match (source, self.initial_source.get()) {
            (ChangeSource::StoreStandalone, Some(address)) => {
                ChangeSource::Entry { name: address.to_string(), address }
            }
            (ChangeSource::StoreStandalone, None) if self.other_seeds().next().is_some() => {
                ChangeSource::Store
            }
            (source, _) => source,
        }
    }

    /// All seeds except this entry.
    fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        let seeds = self.settings.membership.seeds.iter().copied();
        seeds.filter(|seed| Some(*seed) != self.settings.peers)
    }

    /// Entries to which gossip is forwarded: the one that this entry queries, or the other roots.
    /// Until entries are listed, the seeds stand in for the roots.
    pub fn parents(&self) -> Vec<SocketAddr> {
        match self.source() {
            ChangeSource::Entry { address, .. } => vec![address],
            ChangeSource::Store if self.members.count() == 0 => self.other_seeds().collect(),
            ChangeSource::Store => self.members.other_roots(self.clock.now()),
            ChangeSource::StoreStandalone => Vec::new(),
        }
    }

    /// Whether all gossip towards the root reaches this entry: it queries the store, or is among
    /// the next to do so.
    pub fn receives_all_gossip(&self) -> bool {
        let queries_store = !matches!(self.source(), ChangeSource::Entry { .. });
        queries_store
            || self.members.rank() < root_count(self.members.count()).max(MIN_GOSSIP_TARGETS)
    }

    /// Whether this entry makes the writes that are left to the entries that query the store: it is
    /// one of them, or calls the store for one that gets no response.
    pub fn writes_for_others(&self) -> bool {
        let max_age = self.settings.membership.times.max_peer_confirmation_age;
        let from = self.clock.now().saturating_sub(max_age);
        !matches!(self.source(), ChangeSource::Entry { .. })
            || self.relay_requests.has_succeeded_since(from)
    }

    /// Age of the last store confirmation of the state, if any.
    pub fn state_age(&self) -> Option<Duration> {
        self.state.borrow().freshness.age(self.clock.now())
    }

    /// Whether the state has not been confirmed for so long that the store may be unavailable.
    pub fn is_state_outdated(&self) -> bool {
        let state = self.state.borrow();
        let limit = self.settings.membership.times.fallback_age + state.store_latency;
        state.freshness.age(self.clock.now()).is_none_or(|age| age > limit)
    }

    /// Shares the global bounds among the entries listed now.
    pub fn update_bound_shares(&self) {
        let names = self.members.names();
        let now = self.clock.now();
        self.state.borrow_mut().set_bound_sharing(names.iter().map(String::as_str), now);
    }

    /// Counters, histograms and gauges in text form, one per line.
    pub fn metrics_text(&self) -> String {
        let mut text = self.metrics.text();
        let queries_store = !matches!(self.source(), ChangeSource::Entry { .. });
        let state = self.state.borrow();
        let cold = state.fleets.values().map(|fleet| fleet.count_cold(self.clock.now()));
        let notices = state.fleets.values().map(|fleet| fleet.count_notices(self.clock.now()));
        let limited = state.fleets.values().map(Fleet::count_rate_limited);
        let (draining, backing_off) =
            notices.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let (contents_held, parts_held) = state.quarantine.count_quarantined();
        let buffered_bytes = self.traffic_buffers.used_bytes() + self.control_buffers.used_bytes();
        let mut gauges = vec![
            ("servers_told_leaving", draining as u64),
            ("servers_backing_off", backing_off as u64),
            ("servers_limited", limited.sum::<usize>() as u64),
            ("servers_cold", cold.sum::<usize>() as u64),
            ("data_centres_evacuated", state.evacuated.len() as u64),
            ("contents_remembered", state.quarantine.len() as u64),
            ("contents_held", contents_held as u64),
            ("prompt_parts_held", parts_held as u64),
            ("prompt_parts_known_good", state.quarantine.successful_part_count() as u64),
            ("contents_given_way", state.quarantine.evicted()),
            ("entries_listed", self.members.count() as u64),
            ("asks_store", u64::from(queries_store)),
            ("store_era", state.replica.position().era),
            ("buffered_bytes", buffered_bytes as u64),
            ("news_remembered", self.gossip.borrow().all(self.clock.now()).count() as u64),
        ];
        drop(state);
        if let Some(bytes) = resident_bytes() {
            gauges.push(("resident_bytes", bytes));
        }
        if let Some(age) = self.state_age() {
            gauges.push(("state_age_ms", age.as_millis() as u64));
        }
        let state = self.state.borrow();
        if let Some(age) = state.freshness.configuration_age(self.clock.now()) {
            gauges.push(("configuration_confirmed_age_ms", age.as_millis() as u64));
        }
        let version = state.catalog.as_ref().map(|catalog| catalog.version);
        state.configuration.write_metrics(version, self.clock.now(), &mut text);
        drop(state);
        if let Some(age) = self.load_exchange.view_age(self.clock.now()) {
            gauges.push(("load_view_age_ms", age.as_millis() as u64));
        }
        for (name, value) in gauges {
            // Writing to a string can't fail.
            let _ = writeln!(text, "pondwalk_{name} {value}");
        }
        text
    }

    /// Limits of the messages on callers' connections. Heads and bodies have limits in the
    /// configuration; what is neither counts here.
    pub fn request_limits(&self) -> MessageLimits {
        MessageLimits { head_bytes: u64::MAX, message_bytes: u64::MAX, pace: None }
    }

    /// Size up to which an answer that is not complete by its deadline is not too long.
    pub fn max_kept_bytes(&self) -> u64 {
        self.settings.inbound.kept_answer_bytes as u64
    }

    /// Splits the exchange into the response's head and body, whose long part is read at a limited
    /// rate.
    pub fn split_response(&self, exchange: Exchange) -> (Parts, StreamBody) {
        StreamBody::split(exchange, self.settings.inbound.kept_answer_bytes, &self.pacer)
    }

    /// Whether the entry accepts callers.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let Some(catalog) = &state.catalog else { return false };
        // Without keys an outdated configuration grants nothing that it must not.
        let serves = !catalog.requires_keys() || state.freshness.accepts_keys(self.clock.now());
        self.shutdown.get() == ShutdownPhase::Running && serves
    }
}
