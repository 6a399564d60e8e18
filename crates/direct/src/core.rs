//! What one entry believes, shared by all tasks on its thread.

use std::{
    cell::{Cell, RefCell},
    fmt::Write,
    net::SocketAddr,
    time::Duration,
};

use pondwalk_config::DirectSettings;
use pondwalk_decide::direct::Fleet;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::sync::Notify;

use crate::{
    clock::Clock,
    dialect::Dialect,
    event_log::EventLog,
    membership::{ChangeSource, GossipLog, MIN_GOSSIP_TARGETS, Members, Outbox, root_count},
    metrics::Metrics,
    permits::PermitState,
    quarantine::{PendingClearances, ReleasedProbes, SeenCrashes},
    state::State,
    upstream::Connect,
    usage::Usage,
};

/// Whether the process is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// It is not.
    Running,
    /// Callers are asked to go elsewhere; work is still taken.
    Draining,
    /// Only work is taken whose own time limit ends before this one does.
    Closing {
        /// When the process ends, on its own clock.
        end: Duration,
    },
}

/// Everything that tasks share.
pub struct Core {
    /// What the process was told at its start.
    pub settings: DirectSettings,
    /// Names of headers.
    pub dialect: Dialect,
    /// Time since the start.
    pub clock: Clock,
    /// Opens connections to backend servers.
    pub connect: Connect,
    /// Logs.
    pub event_log: EventLog,
    /// Counters.
    pub metrics: Metrics,
    /// Whether the process is to end.
    pub shutdown: Cell<ShutdownPhase>,
    /// The entries that are listed.
    pub members: Members,
    /// Random number of this life of the process, by which other entries tell it from the next.
    pub incarnation: u64,
    /// Entry that told the first state, as long as no other is known.
    pub initial_source: Cell<Option<SocketAddr>>,
    /// News that all entries are to hear.
    pub gossip: RefCell<GossipLog>,
    /// News that only goes up the tree.
    pub gossip_for_parents: RefCell<GossipLog>,
    /// Items of news that this entry has told.
    pub gossip_sent: Cell<u64>,
    /// News to be passed on.
    pub outbox: Outbox,
    /// Wakes those that wait for a confirmation or for news.
    pub state_changed: Notify,
    /// Requests under way.
    pub in_flight: Cell<usize>,
    /// Ends of servers seen a moment ago.
    pub seen_crashes: SeenCrashes,
    /// Contents that others hold and that came to a good end here.
    pub pending_clearances: PendingClearances,
    /// Permits granted for servers that name a rate limit.
    pub permits: PermitState,
    /// Leave to run that is to be given back.
    pub released_probes: ReleasedProbes,
    /// Usage that is counted and reported, where the deployment asks for that.
    pub usage: Option<Usage>,
    /// What changes.
    pub state: RefCell<State>,
}

impl Core {
    /// A process that knows nothing yet.
    pub fn new(
        settings: DirectSettings,
        dialect: Dialect,
        clock: Clock,
        connect: Connect,
        event_log: EventLog,
        seed: u64,
    ) -> Self {
        let state = State::new(&settings, seed);
        let members = Members::new(&settings);
        let incarnation = SmallRng::seed_from_u64(seed).random();
        let usage = settings.usage.map(|usage| Usage::new(&settings.name, incarnation, usage));
        Core {
            settings,
            dialect,
            clock,
            connect,
            event_log,
            metrics: Metrics::default(),
            shutdown: Cell::new(ShutdownPhase::Running),
            members,
            incarnation,
            initial_source: Cell::new(None),
            gossip: RefCell::new(GossipLog::for_all()),
            gossip_for_parents: RefCell::new(GossipLog::for_roots()),
            gossip_sent: Cell::new(0),
            outbox: Outbox::default(),
            state_changed: Notify::new(),
            in_flight: Cell::new(0),
            seen_crashes: SeenCrashes::default(),
            pending_clearances: PendingClearances::default(),
            permits: PermitState::default(),
            released_probes: ReleasedProbes::default(),
            usage,
            state: RefCell::new(state),
        }
    }

    /// How long the store has been away, if the last call to it failed: since it last confirmed
    /// anything, or since the start.
    pub fn outage(&self) -> Option<Duration> {
        let state = self.state.borrow();
        let now = self.clock.now();
        state.source_lost.then(|| state.freshness.age(now).unwrap_or(self.clock.uptime()))
    }

    /// Where this entry learns of changes. While nobody is listed yet, the entry that told the first
    /// state tells the rest, and a seed must expect to be that one.
    pub fn source(&self) -> ChangeSource {
        match (self.members.source(self.clock.now()), self.initial_source.get()) {
            (ChangeSource::StoreStandalone, Some(address)) => {
                ChangeSource::Entry { name: address.to_string(), address }
            }
            (ChangeSource::StoreStandalone, None) if self.other_seeds().next().is_some() => {
                ChangeSource::Store
            }
            (source, _) => source,
        }
    }

    /// The seeds without this entry.
    fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        let seeds = self.settings.membership.seeds.iter().copied();
        seeds.filter(|seed| Some(*seed) != self.settings.peers)
    }

    /// Entries to which news is passed on: the one that this entry asks, or the other roots. While
    /// nobody is listed yet, the seeds take the place of the roots.
    pub fn parents(&self) -> Vec<SocketAddr> {
        match self.source() {
            ChangeSource::Entry { address, .. } => vec![address],
            ChangeSource::Store if self.members.count() == 0 => self.other_seeds().collect(),
            ChangeSource::Store => self.members.other_roots(self.clock.now()),
            ChangeSource::StoreStandalone => Vec::new(),
        }
    }

    /// Whether all news that goes up reaches this entry: it asks the store, or stands next in order to.
    pub fn receives_all_gossip(&self) -> bool {
        let asks_store = !matches!(self.source(), ChangeSource::Entry { .. });
        asks_store || self.members.rank() < root_count(self.members.count()).max(MIN_GOSSIP_TARGETS)
    }

    /// Age of the last confirmation by the store that the state rests on, if any.
    pub fn state_age(&self) -> Option<Duration> {
        self.state.borrow().freshness.age(self.clock.now())
    }

    /// Whether nobody has confirmed this entry's state for so long, and `further`, that the store may be away.
    pub fn is_state_outdated(&self, further: Duration) -> bool {
        let state = self.state.borrow();
        // NB: where the store answers late to all, one more that asks it learns nothing sooner.
        let limit = self.settings.membership.times.fallback_age + state.store_latency + further;
        state.freshness.age(self.clock.now()).is_none_or(|age| age > limit)
    }

    /// Lets the bounds over all entries be shared by the entries that are listed now.
    pub fn update_bound_shares(&self) {
        let names = self.members.names();
        self.state.borrow_mut().set_bound_sharing(names.iter().map(String::as_str));
    }

    /// Counters, histograms, and where this entry stands among the others, one a line.
    pub fn metrics_text(&self) -> String {
        let mut text = self.metrics.text();
        let asks_store = !matches!(self.source(), ChangeSource::Entry { .. });
        let state = self.state.borrow();
        let cold = state.fleets.values().map(|fleet| fleet.count_cold(self.clock.now()));
        let notices = state.fleets.values().map(|fleet| fleet.count_notices(self.clock.now()));
        let limited = state.fleets.values().map(Fleet::count_rate_limited);
        let (leaving, backing_off) =
            notices.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let mut gauges = vec![
            ("servers_told_leaving", leaving as u64),
            ("servers_backing_off", backing_off as u64),
            ("servers_limited", limited.sum::<usize>() as u64),
            ("servers_cold", cold.sum::<usize>() as u64),
            ("data_centres_evacuated", state.evacuated.len() as u64),
            ("contents_remembered", state.quarantine.len() as u64),
            ("contents_held", state.quarantine.count_quarantined(self.clock.now()) as u64),
            ("contents_given_way", state.quarantine.evicted()),
            ("entries_listed", self.members.count() as u64),
            ("asks_store", u64::from(asks_store)),
            ("store_era", state.replica.position().era),
            ("news_remembered", self.gossip.borrow().all(self.clock.now()).count() as u64),
        ];
        drop(state);
        if let Some(age) = self.state_age() {
            gauges.push(("state_age_ms", age.as_millis() as u64));
        }
        for (name, value) in gauges {
            // NB: writing to a string does not fail.
            let _ = writeln!(text, "pondwalk_{name} {value}");
        }
        text
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let Some(catalog) = &state.catalog else { return false };
        // NB: without keys there is nothing that an old configuration must not be trusted with.
        let serves = !catalog.requires_keys() || state.freshness.accepts_keys(self.clock.now());
        self.shutdown.get() == ShutdownPhase::Running && serves
    }
}
