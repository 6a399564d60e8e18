//! The configuration in force: routes, services, workspaces and limits.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    rc::Rc,
    time::Duration,
};

use pondwalk_decide::direct::WarmUp;
use pondwalk_types::{ModelId, RegionId, ServerId, VersionId, WorkspaceId};
use serde::Serialize;

/// Name of a group of backend servers that serve the same routes.
pub type ServiceId = Rc<str>;

/// Version of a configuration; increases with each change.
pub type CatalogVersion = u64;

/// Retry semantics of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run more than once.
    Repeatable,
    /// The request may run at most once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether another backend server may resume after the last event delivered.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::Stream { resumable: true })
    }

    /// Whether answers are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Share {
    /// Service that receives the share.
    pub service: ServiceId,
    /// Weight relative to the route's other services.
    pub weight: f64,
}

/// A route, matched by host and path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name in logs.
    pub name: String,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Prefix of the matching paths.
    pub path_prefix: String,
    /// Retry semantics.
    pub kind: RouteKind,
    /// Maximum time to answer a request.
    pub timeout: Duration,
    /// Target time to an answer, or to a stream's first event.
    pub objective: Duration,
    /// Maximum gap between events for a stream to count as on time.
    pub max_event_gap: Option<Duration>,
    /// Priority, 0 first.
    pub priority: u8,
    /// Models to choose from, smallest first; empty if the caller names one or none is needed.
    pub models: Vec<ModelId>,
    /// Services that run the requests, with their weights.
    pub shares: Vec<Share>,
    /// Maximum number of backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Regions that requests must not leave; empty if unrestricted.
    pub allowed_regions: Vec<RegionId>,
}

/// A model that a service's backend servers run.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelPrice {
    /// Id of the model.
    pub model: ModelId,
    /// Price of a thousand output tokens; a prompt token costs a quarter.
    pub price: f64,
}

/// Model engine parameters of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that one backend server runs concurrently.
    pub slots: u32,
    /// Tokens that fit into one backend server's memory.
    pub memory_tokens: u64,
    /// Tokens per stream event.
    pub event_tokens: u32,
    /// Models with their prices, in the service's order.
    pub models: Vec<ModelPrice>,
}

/// A group of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceId,
    /// Maximum number of connections to one backend server from all entries together.
    pub max_connections: u32,
    /// Engine parameters, if the service runs models.
    pub engine: Option<Engine>,
    /// Warm-up of the backend servers, if they can't take full load from the start.
    pub warm_up: Option<WarmUp>,
}

/// A customer with its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// API keys.
    pub keys: Vec<String>,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Regions that requests must not leave; empty if unrestricted.
    pub allowed_regions: Vec<RegionId>,
}

/// Timeout of a route whose own can't be read. Callers that state a deadline don't wait longer than
/// that.
pub const DEFAULT_ROUTE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of defects of a configuration that are listed.
pub const MAX_DEFECTS_LISTED: usize = 64;

/// What a configuration says that can't be put in force as it was written.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Defects {
    /// The first [`MAX_DEFECTS_LISTED`] defects.
    pub list: Vec<Defect>,
    /// Number of defects.
    pub count: usize,
    /// Whether the version is unknown.
    pub lacks_version: bool,
    /// Whether some routes are missing, so that a request without a route may have one.
    pub lacks_routes: bool,
    /// Whether some keys are missing, or it is unknown whether a route needs one, so that a request
    /// without a known key may be allowed.
    pub lacks_access: bool,
}

impl Defects {
    /// Adds a defect.
    pub fn push(&mut self, defect: Defect) {
        self.count += 1;
        if self.list.len() < MAX_DEFECTS_LISTED {
            self.list.push(defect);
        }
    }
}

/// A value of a configuration that can't be used as it was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Defect {
    /// Element that the value belongs to.
    pub element: String,
    /// Field of the element.
    pub field: String,
    /// The value, shortened. Only its type is given where it may contain a key.
    pub value: String,
    /// What holds in its place.
    pub effect: DefectEffect,
}

impl fmt::Display for Defect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Defect { element, field, value, effect } = self;
        let effect = match effect {
            DefectEffect::Clamped => "is out of range and was clamped",
            DefectEffect::Default => "can't be used and counts as left out",
            DefectEffect::LeftOut => "can't be used and was left out with its element",
        };
        write!(f, "{element}: {field} {value} {effect}")
    }
}

/// What holds in place of a value that can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DefectEffect {
    /// The nearest value that can be used.
    Clamped,
    /// The default of the field.
    Default,
    /// The element that the value belongs to is not in force.
    LeftOut,
}

impl DefectEffect {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            DefectEffect::Clamped => "clamped",
            DefectEffect::Default => "default",
            DefectEffect::LeftOut => "left_out",
        }
    }
}

/// Limits on callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving a request head.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// The limits in force until a configuration is held.
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A complete configuration.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Version of the configuration.
    pub version: CatalogVersion,
    /// Limits on callers.
    pub limits: Limits,
    /// What can't be put in force as it was written.
    pub defects: Defects,
    by_host: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<ServiceId, Rc<Service>>,
    workspaces: Vec<Rc<Workspace>>,
    by_key: HashMap<String, usize>,
    /// Keys of workspaces that can't be served.
    withheld_keys: HashSet<String>,
}

impl Catalog {
    /// Creates a configuration and its indexes.
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
            defects: Defects::default(),
            by_host,
            services: services.collect(),
            by_key,
            withheld_keys: HashSet::new(),
            workspaces: workspaces.into_iter().map(Rc::new).collect(),
        }
    }

    /// Adds keys of workspaces that exist and can't be served.
    pub fn withhold_keys(&mut self, keys: impl IntoIterator<Item = String>) {
        self.withheld_keys.extend(keys);
    }

    /// The route with the longest prefix of `path` at `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The workspace that holds a key, if it can be served.
    pub fn workspace_of(&self, key: &str) -> Option<&Rc<Workspace>> {
        if self.is_withheld(key) {
            return None;
        }
        self.by_key.get(key).map(|index| &self.workspaces[*index])
    }

    /// Whether a key belongs to a workspace that can't be served.
    pub fn is_withheld(&self, key: &str) -> bool {
        self.withheld_keys.contains(key)
    }

    /// Whether a text is the key of a workspace.
    pub fn is_key(&self, text: &str) -> bool {
        self.by_key.contains_key(text) || self.is_withheld(text)
    }

    /// Whether callers must present keys.
    pub fn requires_keys(&self) -> bool {
        !self.workspaces.is_empty() || !self.withheld_keys.is_empty() || self.defects.lacks_access
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

/// Whether a backend server accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts new work.
    Ready,
    /// The server is draining and accepts none.
    Draining,
}

/// A backend server's record in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Id of the server, which is kept across restarts.
    pub id: ServerId,
    /// Start time in milliseconds since the Unix epoch, if reported.
    pub started_at_ms: Option<u64>,
    /// Service of the server.
    pub service: ServiceId,
    /// Listen address.
    pub address: std::net::SocketAddr,
    /// Data centre of the server.
    pub data_centre: String,
    /// Software version.
    pub version: VersionId,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new work.
    pub state: ServerState,
    /// Remaining warm-up time at the time of the report.
    pub warm_up_left: Duration,
}
