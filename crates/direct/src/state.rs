//! The mutable state of an entry.

use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use pondwalk_config::{DirectSettings, min_outage};
use pondwalk_decide::direct::{
    Admission, BoundSharing, Cascade, ColdServerBound, ColdServerPacing, EngineEstimates,
    FairShares, Fleet, Freshness, Quarantine, RollOut, ScoringTerms, ServerInfo, Sessions,
    WindowBudget, WindowLimits, name_key,
};
use pondwalk_types::{DataCentreId, ServerId};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    catalog::{BackendServer, Catalog, ServerState, ServiceId},
    configuration_status::ConfigurationStatus,
    membership::Replica,
    outage::OutageLog,
};

/// Maximum duration of a session's request in seconds; a session is remembered for this long beyond
/// its TTL.
const MAX_REQUEST_S: f64 = 25.0;
/// Maximum warm-up time accepted from a server. Servers are cold for some seconds; one that reports
/// hours would never be used.
const MAX_WARM_UP: Duration = Duration::from_secs(60);
/// Heartbeats within which a recovered server has reported its state: it does so with its first
/// heartbeat, and the store propagates that within another.
const HEARTBEATS_TO_REPORT: u32 = 2;

/// The state that changes with store updates and observations.
pub struct State {
    /// The configuration in force, if one is held.
    pub catalog: Option<Rc<Catalog>>,
    /// Which configuration the store holds, compared with the one in force.
    pub configuration: ConfigurationStatus,
    /// When the store last confirmed the state.
    pub freshness: Freshness,
    /// Whether the last call to the store failed.
    pub store_call_failed: bool,
    /// Duration of the last store call, by this entry or by the one it gets its state from.
    pub store_latency: Duration,
    /// The last outage of the store.
    pub outages: OutageLog,
    /// Number of confirmations so far.
    pub confirmation_count: u64,
    /// Copy of the store's keys, served to other entries.
    pub replica: Replica,
    /// Backend servers by service.
    pub fleets: HashMap<ServiceId, Fleet>,
    /// Data centres whose backend servers currently get no requests.
    pub evacuated: BTreeSet<DataCentreId>,
    /// Service of each backend server.
    pub service_of: HashMap<ServerId, ServiceId>,
    /// Current and completed roll-outs, by service.
    pub roll_outs: HashMap<ServiceId, RollOut>,
    /// Versions pinned by active sessions.
    pub sessions: Sessions,
    /// Retry budgets, by service.
    pub budgets: HashMap<ServiceId, WindowBudget>,
    /// Engine estimates, by service.
    pub engines: HashMap<ServiceId, EngineEstimates>,
    /// Model cascades, by service.
    pub cascades: HashMap<ServiceId, Cascade>,
    /// Admission under load, by service; empty while it is switched off.
    pub admissions: HashMap<ServiceId, Admission>,
    /// Demands and shares of workspaces, by service; empty while they are switched off.
    pub shares: HashMap<ServiceId, FairShares>,
    /// Features of requests under which servers have crashed.
    pub quarantine: Quarantine,
    /// Random number generator.
    pub rng: SmallRng,
    /// Sends beyond the ratio of the retry budgets, over all entries.
    retry_extra: f64,
    /// A retry budget as of now without requests and sends.
    unused_budget: WindowBudget,
    local_data_centre: String,
    scoring_terms: ScoringTerms,
    cold_bound: Option<ColdServerBound>,
    bound_sharing: BoundSharing,
}

impl State {
    /// Creates an empty state; `seed` initializes the random number generator.
    pub fn new(settings: &DirectSettings, seed: u64) -> Self {
        let retries = settings.retries;
        let memory_s = settings.session_ttl.as_secs_f64() + MAX_REQUEST_S;
        let bound_sharing = match settings.peers {
            Some(_) => BoundSharing::new(&settings.name),
            None => BoundSharing::sole(&settings.name),
        };
        State {
            catalog: None,
            configuration: ConfigurationStatus::default(),
            freshness: Freshness::new(settings.state_bound, settings.key_bound),
            store_call_failed: false,
            store_latency: Duration::ZERO,
            outages: OutageLog::new(
                min_outage(settings.server_heartbeat)
                    .max(settings.membership.times.fallback_propagation()),
            ),
            confirmation_count: 0,
            replica: Replica::default(),
            fleets: HashMap::new(),
            evacuated: BTreeSet::new(),
            service_of: HashMap::new(),
            roll_outs: HashMap::new(),
            sessions: Sessions::new(Duration::from_secs_f64(memory_s)),
            budgets: HashMap::new(),
            engines: HashMap::new(),
            cascades: HashMap::new(),
            admissions: HashMap::new(),
            shares: HashMap::new(),
            quarantine: Quarantine::default(),
            rng: SmallRng::seed_from_u64(seed),
            retry_extra: retries.extra,
            unused_budget: WindowBudget::new(WindowLimits {
                ratio: retries.ratio,
                extra: retries.extra * bound_sharing.fraction(),
                window: retries.window,
                rounding: bound_sharing.rounding(),
            }),
            local_data_centre: settings.data_centre.clone(),
            scoring_terms: ScoringTerms {
                named_servers: settings.policy.named_servers,
                delays: settings.policy.delays,
                told_loads: settings.policy.told_loads,
            },
            cold_bound: settings.warm_up.map(|warm_up| ColdServerBound {
                overshoot: warm_up.overshoot,
                tolerance: warm_up.tolerance,
                report_delay: warm_up.heartbeat * HEARTBEATS_TO_REPORT,
            }),
            bound_sharing,
        }
    }

    /// The servers of a service, created on first use.
    pub fn fleet(&mut self, service: &ServiceId) -> &mut Fleet {
        let pacing = self.pacing(service);
        let State { fleets, local_data_centre, scoring_terms, bound_sharing, evacuated, .. } = self;
        fleets.entry(service.clone()).or_insert_with(|| {
            let mut fleet = Fleet::with_scoring(local_data_centre, *scoring_terms);
            fleet.set_pacing(pacing);
            fleet.set_bound_sharing(bound_sharing);
            fleet.set_load_key(name_key(service));
            evacuated.iter().for_each(|data_centre| fleet.evacuate(data_centre));
            fleet
        })
    }

    /// Limits on requests to cold servers of a service.
    fn pacing(&self, service: &ServiceId) -> Option<ColdServerPacing> {
        let service = self.catalog.as_ref()?.service(service)?;
        ColdServerPacing::of(service.warm_up, self.cold_bound)
    }

    /// Puts a configuration in force.
    pub fn install(&mut self, catalog: Catalog) {
        self.catalog = Some(Rc::new(catalog));
        let pacings: Vec<(ServiceId, Option<ColdServerPacing>)> =
            self.fleets.keys().map(|service| (service.clone(), self.pacing(service))).collect();
        for (service, pacing) in pacings {
            self.fleet(&service).set_pacing(pacing);
        }
    }

    /// Sets the names of the entries that share the global bounds.
    pub fn set_bound_sharing<'a>(&mut self, names: impl Iterator<Item = &'a str>, now: Duration) {
        self.bound_sharing.set_entries(names);
        let extra = self.retry_extra * self.bound_sharing.fraction();
        let rounding = self.bound_sharing.rounding();
        for budget in self.budgets.values_mut().chain([&mut self.unused_budget]) {
            budget.set_share(extra, rounding, now);
        }
        for fleet in self.fleets.values_mut() {
            fleet.set_bound_sharing(&self.bound_sharing);
        }
    }

    /// Stops sending requests to the servers of a data centre; returns whether it was not evacuated
    /// before.
    pub fn evacuate(&mut self, data_centre: &str) -> bool {
        self.fleets.values_mut().for_each(|fleet| fleet.evacuate(data_centre));
        self.evacuated.insert(data_centre.to_owned())
    }

    /// Ends the evacuation of a data centre; returns whether it was evacuated.
    pub fn reinstate(&mut self, data_centre: &str, now: Duration) -> bool {
        let was_evacuated = self.evacuated.remove(data_centre);
        if was_evacuated {
            self.fleets.values_mut().for_each(|fleet| fleet.reinstate(data_centre, now));
        }
        was_evacuated
    }

    /// The retry budget of a service, created on first use.
    pub fn budget(&mut self, service: &ServiceId) -> &mut WindowBudget {
        let State { budgets, unused_budget, .. } = self;
        budgets.entry(service.clone()).or_insert_with(|| unused_budget.clone())
    }

    /// The admission of a service, created on first use.
    pub fn admission(&mut self, service: &ServiceId) -> &mut Admission {
        self.admissions.entry(service.clone()).or_default()
    }

    /// Adds or updates a backend server. Returns whether it was restarted under the same id, in
    /// which case observations of its previous incarnation are dropped.
    pub fn put_server(&mut self, server: BackendServer, now: Duration) -> bool {
        let previous_service = self.service_of.insert(server.id.clone(), server.service.clone());
        // A server restarted under its id may belong to another service.
        if let Some(previous_service) =
            previous_service.filter(|previous_service| *previous_service != server.service)
        {
            self.fleet(&previous_service).remove(&server.id);
        }
        let info = ServerInfo {
            id: server.id.clone(),
            born_ms: server.started_at_ms,
            address: server.address,
            data_centre: server.data_centre,
            version: server.version,
            slots: server.slots,
            ready: server.state == ServerState::Ready,
            cold_until: match server.warm_up_left {
                Duration::ZERO => Duration::ZERO,
                left => now + left.min(MAX_WARM_UP),
            },
        };
        let fleet = self.fleet(&server.service);
        let is_restarted = fleet.is_restarted(&info);
        fleet.apply_server(info);
        if is_restarted && let Some(roll_out) = self.roll_outs.get_mut(&server.service) {
            roll_out.forget_server(&server.id);
        }
        is_restarted
    }

    /// Whether a backend server's record is already known.
    pub fn is_server_known(&self, server: &BackendServer) -> bool {
        let known =
            self.fleets.get(&server.service).and_then(|fleet| fleet.server_info(&server.id));
        known.is_some_and(|info| {
            info.born_ms == server.started_at_ms
                && info.address == server.address
                && info.version == server.version
                && info.ready == (server.state == ServerState::Ready)
                && server.warm_up_left.is_zero()
        })
    }

    /// Whether a backend server is known to be draining in the same incarnation.
    pub fn is_draining(&self, server: &BackendServer) -> bool {
        let known =
            self.fleets.get(&server.service).and_then(|fleet| fleet.server_info(&server.id));
        known.is_some_and(|info| !info.ready && info.born_ms == server.started_at_ms)
    }

    /// Keeps a backend server until `until` that is missing from a store that may have lost it
    /// during an outage.
    pub fn lapse_server(&mut self, id: &str, until: Duration) {
        if let Some(service) = self.service_of.get(id).cloned() {
            self.fleet(&service).lapse(id, until);
        }
    }

    /// Removes the backend servers that lapsed and didn't return in time; returns their ids.
    pub fn remove_lapsed(&mut self, now: Duration) -> Vec<ServerId> {
        let lapsed = self.fleets.values_mut().flat_map(|fleet| fleet.remove_lapsed(now));
        let lapsed: Vec<ServerId> = lapsed.collect();
        for id in &lapsed {
            self.service_of.remove(id);
        }
        lapsed
    }

    /// Removes a backend server.
    pub fn remove_server(&mut self, id: &str) {
        if let Some(service) = self.service_of.remove(id) {
            self.fleet(&service).remove(id);
        }
    }
}
