//! The configuration in force: routes, services, workspaces and limits.

use std::{collections::HashMap, rc::Rc, time::Duration};

use pondwalk_decide::direct::WarmUp;
use pondwalk_types::{ModelId, RegionId, ServerId, VersionId, WorkspaceId};

/// Names a group of backend servers that serve the same routes.
pub type ServiceId = Rc<str>;

/// Number of a configuration; rises with each change.
pub type CatalogVersion = u64;

/// What may be done with a request of a route after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run more than once.
    Repeatable,
    /// It may run at most once.
    Once,
    /// It is answered by a series of events; the flag tells whether it may be resumed.
    Stream {
        /// Whether another backend server may go on after the last event delivered.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::Stream { resumable: true })
    }

    /// Whether answers are series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Share {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the route's services.
    pub weight: f64,
}

/// One route, found by host and path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name in logs.
    pub name: String,
    /// Host it belongs to, in lower case and without a port.
    pub host: String,
    /// Start of the paths it covers.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a request is held.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is worth most.
    pub objective: Duration,
    /// Longest pause between events that keeps a stream in time.
    pub max_event_gap: Option<Duration>,
    /// Rank, 0 first.
    pub priority: u8,
    /// Models to choose from, smallest first; empty if the caller names one or none is needed.
    pub models: Vec<ModelId>,
    /// Services that run it, with their weights.
    pub shares: Vec<Share>,
    /// Most backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether no key is asked for.
    pub anonymous: bool,
    /// Regions that its requests must not leave; empty if they may go anywhere.
    pub allowed_regions: Vec<RegionId>,
}

/// A model that a service's backend servers run.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelPrice {
    /// The model.
    pub model: ModelId,
    /// Price of a thousand tokens made; tokens read count a quarter.
    pub price: f64,
}

/// Figures of a service's model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that one backend server runs at once.
    pub slots: u32,
    /// Tokens that one backend server's memory holds.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// Models with their prices, as the service lists them.
    pub models: Vec<ModelPrice>,
}

/// A group of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Connections that one backend server takes from all entries together.
    pub max_connections: u32,
    /// Figures of its engines, if it runs models.
    pub engine: Option<Engine>,
    /// How its backend servers warm up, if they do not bear everything from their start.
    pub warm_up: Option<WarmUp>,
}

/// A customer with its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceId,
    /// Its keys.
    pub keys: Vec<String>,
    /// Rank of its requests, if it goes before that of the route.
    pub priority: Option<u8>,
    /// Regions that its requests must not leave; empty if they may go anywhere.
    pub allowed_regions: Vec<RegionId>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a request's head.
    pub header_timeout: Duration,
    /// Time for which a connection may rest.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// In force until a configuration is held.
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One whole configuration.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Its number.
    pub version: CatalogVersion,
    /// Bounds on callers.
    pub limits: Limits,
    by_host: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<ServiceId, Rc<Service>>,
    workspaces: Vec<Rc<Workspace>>,
    by_key: HashMap<String, usize>,
}

impl Catalog {
    /// Builds the indexes.
    pub fn new(
        version: CatalogVersion,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Vec<Workspace>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let by_key = workspaces.iter().enumerate().flat_map(|(index, workspace)| {
            workspace.keys.iter().map(move |key| (key.clone(), index))
        });
        let by_key = by_key.collect();
        let services = services.into_iter().map(|service| (service.name.clone(), Rc::new(service)));
        Catalog {
            version,
            limits,
            by_host,
            services: services.collect(),
            by_key,
            workspaces: workspaces.into_iter().map(Rc::new).collect(),
        }
    }

    /// The route with the longest prefix of `path` at `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The workspace that holds a key.
    pub fn workspace_of(&self, key: &str) -> Option<&Rc<Workspace>> {
        self.by_key.get(key).map(|index| &self.workspaces[*index])
    }

    /// Whether callers need keys at all.
    pub fn requires_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values()
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.services.get(name)
    }
}

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// A backend server as the store tells of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Identity of the server; it may start again under the one that it had.
    pub id: ServerId,
    /// When it started, in milliseconds of Unix time, where it tells.
    pub born_ms: Option<u64>,
    /// Service it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Data centre it runs in.
    pub data_centre: String,
    /// Version of its software.
    pub version: VersionId,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// How much longer it was cold when it told this.
    pub warm_up_left: Duration,
}
