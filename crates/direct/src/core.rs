//! What one entry believes, shared by all tasks on its thread.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt::Write,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use pondwalk_config::DirectSettings;
use pondwalk_decide::direct::{
    Cascade, Engine, Fleet, Freshness, RollOut, ServerFacts, Sessions, Weighed, WindowBudget,
    WindowLimits,
};
use pondwalk_types::ServerId;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::sync::Notify;

use crate::{
    catalog::{BackendServer, Catalog, ServerState, ServiceId},
    clock::Clock,
    dialect::Dialect,
    journal::Journal,
    membership::{NewsLog, Outbox, Replica, Roster, Source},
    metrics::Metrics,
    upstream::Connect,
};

/// Longest time that a request of a session may run, by which its memory outlasts its end.
const LONGEST_REQUEST_S: f64 = 25.0;

/// Whether the process is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopping {
    /// It is not.
    No,
    /// Callers are asked to go elsewhere; work is still taken.
    Leaving,
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
    pub journal: Journal,
    /// Counters.
    pub metrics: Metrics,
    /// Whether the process is to end.
    pub stopping: Cell<Stopping>,
    /// The entries that are listed.
    pub roster: Roster,
    /// Random number of this life of the process, by which other entries tell it from the next.
    pub incarnation: u64,
    /// Entry that told the first state, as long as no other is known.
    pub told_by: Cell<Option<SocketAddr>>,
    /// News that all entries are to hear.
    pub news: RefCell<NewsLog>,
    /// News that only goes up the tree.
    pub news_for_above: RefCell<NewsLog>,
    /// Items of news that this entry has told.
    pub news_told: Cell<u64>,
    /// News to be passed on.
    pub outbox: Outbox,
    /// Wakes those that wait for a confirmation or for news.
    pub something_new: Notify,
    /// Requests under way.
    pub under_way: Cell<usize>,
    /// What changes.
    pub state: RefCell<State>,
}

/// The part of it that changes with what is learned.
pub struct State {
    /// The configuration in force, once one is held.
    pub catalog: Option<Rc<Catalog>>,
    /// How long ago the store confirmed it.
    pub freshness: Freshness,
    /// Whether the last call to the store failed.
    pub source_lost: bool,
    /// How long the last answer of the store took, here or where this entry's state comes from.
    pub store_takes: Duration,
    /// When the store last came back after an entry that asks it had lost it.
    pub store_returned: Option<Duration>,
    /// Confirmations so far.
    pub turn: u64,
    /// The store's keys, for other entries.
    pub replica: Replica,
    /// Backend servers by service.
    pub fleets: HashMap<ServiceId, Fleet>,
    /// Service of each backend server.
    pub service_of: HashMap<ServerId, ServiceId>,
    /// Roll-outs under way or done, by service.
    pub roll_outs: HashMap<ServiceId, RollOut>,
    /// Versions of running sessions.
    pub sessions: Sessions,
    /// Budgets of further sends, by service.
    pub budgets: HashMap<ServiceId, WindowBudget>,
    /// What is known of the engines, by service.
    pub engines: HashMap<ServiceId, Engine>,
    /// Which models are asked, by service.
    pub cascades: HashMap<ServiceId, Cascade>,
    /// Source of random numbers.
    pub rng: SmallRng,
    limits: WindowLimits,
    home: String,
    weighed: Weighed,
}

impl Core {
    /// A process that knows nothing yet.
    pub fn new(
        settings: DirectSettings,
        dialect: Dialect,
        clock: Clock,
        connect: Connect,
        journal: Journal,
        seed: u64,
    ) -> Self {
        let state = State::new(&settings, seed);
        let roster = Roster::new(&settings);
        let incarnation = SmallRng::seed_from_u64(seed).random();
        Core {
            settings,
            dialect,
            clock,
            connect,
            journal,
            metrics: Metrics::default(),
            stopping: Cell::new(Stopping::No),
            roster,
            incarnation,
            told_by: Cell::new(None),
            news: RefCell::new(NewsLog::for_all()),
            news_for_above: RefCell::new(NewsLog::for_above()),
            news_told: Cell::new(0),
            outbox: Outbox::default(),
            something_new: Notify::new(),
            under_way: Cell::new(0),
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
    pub fn source(&self) -> Source {
        match (self.roster.source(self.clock.now()), self.told_by.get()) {
            (Source::StoreAlone, Some(address)) => {
                Source::Entry { name: address.to_string(), address }
            }
            (Source::StoreAlone, None) if self.other_seeds().next().is_some() => Source::Store,
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
    pub fn above(&self) -> Vec<SocketAddr> {
        match self.source() {
            Source::Entry { address, .. } => vec![address],
            Source::Store if self.roster.count() == 0 => self.other_seeds().collect(),
            Source::Store => self.roster.other_roots(self.clock.now()),
            Source::StoreAlone => Vec::new(),
        }
    }

    /// Age of the last confirmation by the store that the state rests on, if any.
    pub fn state_age(&self) -> Option<Duration> {
        self.state.borrow().freshness.age(self.clock.now())
    }

    /// Counters, histograms, and where this entry stands among the others, one a line.
    pub fn metrics_text(&self) -> String {
        let mut text = self.metrics.text();
        let asks_store = !matches!(self.source(), Source::Entry { .. });
        let mut gauges = vec![
            ("entries_listed", self.roster.count() as u64),
            ("asks_store", u64::from(asks_store)),
            ("news_remembered", self.news.borrow().all(self.clock.now()).count() as u64),
        ];
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
        let serves = !catalog.asks_for_keys() || state.freshness.honours_keys(self.clock.now());
        self.stopping.get() == Stopping::No && serves
    }
}

impl State {
    fn new(settings: &DirectSettings, seed: u64) -> Self {
        let retries = settings.retries;
        let memory_s = settings.session_ttl.as_secs_f64() + LONGEST_REQUEST_S;
        State {
            catalog: None,
            freshness: Freshness::new(settings.state_bound, settings.key_bound),
            source_lost: false,
            store_takes: Duration::ZERO,
            store_returned: None,
            turn: 0,
            replica: Replica::default(),
            fleets: HashMap::new(),
            service_of: HashMap::new(),
            roll_outs: HashMap::new(),
            sessions: Sessions::new(Duration::from_secs_f64(memory_s)),
            budgets: HashMap::new(),
            engines: HashMap::new(),
            cascades: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            limits: WindowLimits {
                ratio: retries.ratio,
                extra: retries.extra / f64::from(retries.entries),
                window: retries.window,
            },
            home: settings.data_centre.clone(),
            weighed: Weighed {
                named_servers: settings.policy.named_servers,
                delays: settings.policy.delays,
                told_loads: settings.policy.told_loads,
            },
        }
    }

    /// The servers of a service.
    pub fn fleet(&mut self, service: &ServiceId) -> &mut Fleet {
        let (home, weighed) = (&self.home, self.weighed);
        let fleet = self.fleets.entry(service.clone());
        fleet.or_insert_with(|| Fleet::weighing(home, weighed))
    }

    /// The budget of a service.
    pub fn budget(&mut self, service: &ServiceId) -> &mut WindowBudget {
        let limits = self.limits;
        self.budgets.entry(service.clone()).or_insert_with(|| WindowBudget::new(limits))
    }

    /// Learns of a backend server, or of a change of it.
    pub fn put_server(&mut self, server: BackendServer) {
        self.service_of.insert(server.id.clone(), server.service.clone());
        let facts = ServerFacts {
            id: server.id,
            address: server.address,
            data_centre: server.data_centre,
            version: server.version,
            slots: server.slots,
            ready: server.state == ServerState::Ready,
        };
        self.fleet(&server.service).put(facts);
    }

    /// The store lists a backend server no longer, and may have lost it while away.
    pub fn lapse_server(&mut self, id: &str, now: Duration) {
        if let Some(service) = self.service_of.get(id).cloned() {
            self.fleet(&service).lapse(id, now);
        }
    }

    /// Forgets the backend servers that lapsed and did not come back in time, and tells which.
    pub fn take_lapsed(&mut self, now: Duration) -> Vec<ServerId> {
        let lapsed = self.fleets.values_mut().flat_map(|fleet| fleet.take_lapsed(now));
        let lapsed: Vec<ServerId> = lapsed.collect();
        for id in &lapsed {
            self.service_of.remove(id);
        }
        lapsed
    }

    /// Forgets a backend server.
    pub fn remove_server(&mut self, id: &str) {
        if let Some(service) = self.service_of.remove(id) {
            self.fleet(&service).remove(id);
        }
    }
}
