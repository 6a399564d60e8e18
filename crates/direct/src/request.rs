//! A caller's request, validated against the configuration in force.

use std::{cell::OnceCell, collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, StatusCode,
    header::{self, HeaderName},
};
use pondwalk_decide::direct::{
    DataCentreRule, FeatureHash, MIN_RETRY_AFTER, PromptPart, RouteModelIndex, ServiceModelIndex,
    SessionKey, part_feature,
};
use pondwalk_types::{DataCentreId, RegionId};
use thiserror::Error;

use crate::{
    catalog::{Catalog, Route, Service, Workspace},
    content::{Parts, content_of},
};

/// Why a request is refused instead of answered by a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// No configuration is held yet.
    #[error("no configuration is held yet")]
    NotConfigured,
    /// What the configuration says about the request can't be read.
    #[error("the configuration can't be read where it concerns this request")]
    ConfigurationUnreadable,
    /// The configuration was last confirmed too long ago to accept keys.
    #[error("the configuration was last confirmed too long ago")]
    Stale,
    /// The process is shutting down.
    #[error("the process is about to end")]
    Closing,
    /// The request head is malformed.
    #[error("the head of the request is malformed")]
    Malformed,
    /// The body could not be read.
    #[error("the body could not be read")]
    BodyUnreadable,
    /// The body exceeds the size limit.
    #[error("the body is larger than allowed")]
    BodyTooLarge,
    /// The requests and answers in progress take up all memory for them.
    #[error("the buffers for requests are full")]
    BuffersFull,
    /// No route matches the host and path.
    #[error("no route covers the host and path")]
    NoRoute,
    /// The key is missing or unknown.
    #[error("the key is missing or not known")]
    UnknownKey,
    /// No backend server accepts new work.
    #[error("no backend server takes new work")]
    NoServer,
    /// No backend server in the allowed regions accepts new work.
    #[error("no backend server takes new work in the regions that the request must not leave")]
    NoServerInAllowedRegions,
    /// All eligible backend servers are cold, and none has capacity soon enough.
    #[error("all backend servers are cold")]
    AllCold {
        /// Time until a server has capacity.
        available_in: Duration,
    },
    /// All eligible backend servers are draining.
    #[error("all backend servers are leaving")]
    AllDraining,
    /// All eligible backend servers have requested a backoff.
    #[error("all backend servers have asked for a pause")]
    AllBackingOff {
        /// Time until the first backoff ends.
        available_in: Duration,
    },
    /// All eligible backend servers are at their reported rate limit.
    #[error("all backend servers take no more requests for now")]
    AllLimited {
        /// Time until a server accepts another request.
        available_in: Duration,
    },
    /// The service is overloaded, and the answer would begin too late.
    #[error("the service is overloaded and could not answer in time")]
    Overloaded {
        /// Time until the request may be retried.
        available_in: Duration,
    },
    /// The service is overloaded, and the workspace exceeds its share of it.
    #[error("the service is overloaded and the workspace exceeds its share")]
    ShareExceeded {
        /// Time until the request may be retried.
        available_in: Duration,
    },
    /// The content or a prompt part is quarantined: backend servers have crashed while they ran it.
    #[error(
        "backend servers have ended under this request or one that shares a part of its prompt; \
         it is not worth repeating"
    )]
    CrashesServers {
        /// Time until the request may be retried.
        available_in: Duration,
    },
    /// Backend servers crashed while they ran this request.
    #[error("backend servers ended while they ran this request; it is not worth repeating")]
    CrashedServers,
    /// The backend servers rejected the request without running it.
    #[error("the backend servers turned the request away")]
    TurnedAway,
    /// The deadline passed before the request was sent.
    #[error("the time ran out before the request was sent")]
    ExpiredUnsent,
    /// The request may have run, and no answer arrived in time.
    #[error("no answer came in time")]
    TimedOut,
    /// The request may have run, and its answer is lost or corrupted.
    #[error("the answer of the backend server was lost")]
    OutcomeUnknown,
}

impl Refusal {
    /// HTTP status. Only 4xx and 503 guarantee that nothing ran.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::Malformed | Refusal::BodyUnreadable => StatusCode::BAD_REQUEST,
            Refusal::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::OutcomeUnknown | Refusal::CrashedServers => StatusCode::BAD_GATEWAY,
            Refusal::CrashesServers { .. } => StatusCode::TOO_MANY_REQUESTS,
            Refusal::NotConfigured
            | Refusal::ConfigurationUnreadable
            | Refusal::Stale
            | Refusal::Closing
            | Refusal::BuffersFull
            | Refusal::NoServer
            | Refusal::NoServerInAllowedRegions
            | Refusal::AllCold { .. }
            | Refusal::AllDraining
            | Refusal::AllBackingOff { .. }
            | Refusal::AllLimited { .. }
            | Refusal::Overloaded { .. }
            | Refusal::ShareExceeded { .. }
            | Refusal::TurnedAway
            | Refusal::ExpiredUnsent => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Stable code for callers and logs.
    pub fn code(self) -> &'static str {
        match self {
            Refusal::NotConfigured => "not_configured",
            Refusal::ConfigurationUnreadable => "configuration_unreadable",
            Refusal::Stale => "stale",
            Refusal::Closing => "closing",
            Refusal::Malformed => "malformed",
            Refusal::BodyUnreadable => "body_unreadable",
            Refusal::BodyTooLarge => "body_too_large",
            Refusal::BuffersFull => "buffers_full",
            Refusal::NoRoute => "no_route",
            Refusal::UnknownKey => "unknown_key",
            Refusal::NoServer => "no_server",
            Refusal::NoServerInAllowedRegions => "no_server_at_home",
            Refusal::AllCold { .. } => "all_cold",
            Refusal::AllDraining => "all_leaving",
            Refusal::AllBackingOff { .. } => "all_backing_off",
            Refusal::AllLimited { .. } => "all_limited",
            Refusal::Overloaded { .. } => "overloaded",
            Refusal::ShareExceeded { .. } => "share_exceeded",
            Refusal::CrashesServers { .. } => "ends_servers",
            Refusal::CrashedServers => "ended_servers",
            Refusal::TurnedAway => "turned_away",
            Refusal::ExpiredUnsent => "expired_unsent",
            Refusal::TimedOut => "timed_out",
            Refusal::OutcomeUnknown => "outcome_unknown",
        }
    }

    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Refusal::TimedOut | Refusal::OutcomeUnknown | Refusal::CrashedServers)
    }

    /// `Retry-After` for the caller, if a retry makes sense; `outage` is the duration of the
    /// current store outage.
    pub fn retry_after(self, outage: Option<Duration>) -> Option<Duration> {
        match (self, outage) {
            // Without an outage the configuration is being loaded, which takes milliseconds.
            (Refusal::NotConfigured, None) => Some(LOADING_RETRY_AFTER),
            (Refusal::NotConfigured, Some(outage)) => {
                let (min, max) = START_RETRY_AFTER;
                Some(outage.clamp(min, max))
            }
            (Refusal::ConfigurationUnreadable, _) => Some(CORRECTION_RETRY_AFTER),
            (Refusal::Stale, _) => Some(Duration::from_millis(500)),
            (Refusal::Closing, _) => Some(Duration::from_millis(50)),
            (Refusal::AllCold { available_in }, _) => {
                let (min, max) = COLD_RETRY_AFTER;
                Some(available_in.clamp(min, max))
            }
            // Replacements become known within a heartbeat of their start, or once the store is
            // back.
            (Refusal::AllDraining, None) => Some(DRAINING_RETRY_AFTER),
            (Refusal::AllDraining, Some(outage)) => {
                Some(outage.clamp(DRAINING_RETRY_AFTER, START_RETRY_AFTER.1))
            }
            (Refusal::AllBackingOff { available_in } | Refusal::AllLimited { available_in }, _) => {
                Some(available_in.max(MIN_BACKOFF_RETRY_AFTER))
            }
            (Refusal::Overloaded { available_in } | Refusal::ShareExceeded { available_in }, _) => {
                Some(available_in.max(MIN_RETRY_AFTER))
            }
            (Refusal::CrashesServers { available_in }, _) => {
                Some(available_in.max(MIN_QUARANTINE_RETRY_AFTER))
            }
            (Refusal::NoServer | Refusal::NoServerInAllowedRegions | Refusal::TurnedAway, _) => {
                Some(Duration::from_millis(200))
            }
            (Refusal::BuffersFull, _) => Some(BUFFERS_RETRY_AFTER),
            _ => None,
        }
    }
}

/// `Retry-After` while an entry loads its first configuration.
const LOADING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// `Retry-After` until the operator has corrected the configuration. Only another entry, of another
/// release, might serve the request sooner.
const CORRECTION_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Minimum and maximum `Retry-After` of an entry that started during a store outage. An outage is
/// expected to last about as long again as it has lasted. A caller that retries only once is not
/// served if it returns too early, but merely late if it returns too late.
const START_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(1_000), Duration::from_secs(4));

/// Minimum and maximum `Retry-After` while all servers are cold. Each server gets capacity several
/// times a second, and stays cold for some seconds.
const COLD_RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));

/// `Retry-After` while the buffers are full. Most requests end within a second.
const BUFFERS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` while all servers are draining: servers send a heartbeat about once a second,
/// which takes about as long to propagate.
const DRAINING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Minimum `Retry-After` while all servers are backing off or at their rate limit.
const MIN_BACKOFF_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Maximum number of prompt parts that are logged or related to crashes; callers may name
/// thousands.
const MAX_SHARED_PARTS: usize = 16;

/// Minimum `Retry-After` of a quarantined request, of which a probe may be running.
const MIN_QUARANTINE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Hop-by-hop headers.
const HOP_BY_HOP_HEADERS: [HeaderName; 11] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
];

/// Removes the hop-by-hop headers, including those named by `Connection`.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// A validated request.
#[derive(Debug)]
pub struct Job {
    /// Id set by the caller.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query as received.
    pub target: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Route that matches the request.
    pub route: Rc<Route>,
    /// Service that runs the request.
    pub service: Rc<Service>,
    /// Workspace that held the key when the request arrived, if any did.
    pub workspace: Option<Rc<Workspace>>,
    /// The key that the caller presented.
    pub key: Option<String>,
    /// Whether the request may be sent only while its key is in force.
    pub requires_key: bool,
    /// Time of arrival.
    pub arrived: Duration,
    /// Time by which the request must be answered.
    pub deadline: Duration,
    /// Whether the entry chooses the model.
    pub chooses_model: bool,
    /// Sizes of prompt and output.
    pub prompt: Prompt,
    /// Session of the request, if any.
    pub session: Option<SessionKey>,
    /// Data centres that the request must not leave; `None` if it is unrestricted.
    pub allowed_data_centres: Option<Vec<DataCentreId>>,
    /// Last stream event that the caller has received.
    pub last_event_id: Option<String>,
    /// Version of the configuration the request was validated against.
    pub catalog_version: u64,
    /// Features of the request, computed on first use.
    pub features_cell: OnceCell<Vec<FeatureHash>>,
}

impl Job {
    /// The data centres whose servers may run the request.
    pub fn allowed_data_centres(&self) -> DataCentreRule<'_> {
        self.allowed_data_centres.as_deref().map_or(DataCentreRule::Any, DataCentreRule::Only)
    }

    /// Priority, 0 first: that of the workspace if it has one, else that of the route.
    pub fn priority(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Features that may be the cause if servers crash under the request: its content, which
    /// identifies it across its caller's retries, and the shared parts of its prompt.
    pub fn features(&self) -> &[FeatureHash] {
        self.features_cell.get_or_init(|| {
            let caller = self.workspace.as_ref().map_or("", |workspace| &workspace.name);
            let (host, target) = (self.route.host.as_str(), self.target.as_str());
            let content = content_of(Parts { caller, host, target, body: &self.body });
            let mut features = vec![content];
            for part in self.prompt.shared_parts() {
                let feature = part_feature(&self.service.name, part.id);
                if !features.contains(&feature) {
                    features.push(feature);
                }
            }
            features
        })
    }

    /// The whole content of the request.
    pub fn content(&self) -> FeatureHash {
        self.features()[0]
    }

    /// The shared parts of the prompt, as features.
    pub fn part_features(&self) -> &[FeatureHash] {
        &self.features()[1..]
    }

    /// Index in the service's models of the model at a position of the route's list.
    ///
    /// Routes may list different models of one service, but estimates and reservations belong to
    /// the service. A model that the service doesn't list keeps its position in the route.
    pub fn service_model(&self, number: RouteModelIndex) -> ServiceModelIndex {
        let model = self.route.models.get(usize::from(number));
        let listed = self.service.engine.as_ref().map_or(&[][..], |engine| &engine.models);
        let place = model.and_then(|model| listed.iter().position(|one| one.model == *model));
        place.and_then(|place| u8::try_from(place).ok()).unwrap_or(number)
    }

    /// Prices of the route's models, smallest model first; zero for a model that the service lacks.
    pub fn prices(&self) -> Vec<f64> {
        let listed = self.service.engine.as_ref().map_or(&[][..], |engine| &engine.models);
        let price = |model: &String| {
            let found = listed.iter().find(|entry| entry.model == *model);
            found.map_or(0.0, |entry| entry.price)
        };
        self.route.models.iter().map(price).collect()
    }
}

/// Prompt sizes from the request headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts of the prompt in order, if the caller sends them.
    pub parts: Vec<PromptPart>,
    /// Number of prompt tokens.
    pub tokens_in: u32,
    /// Maximum number of output tokens.
    pub tokens_out: u32,
}

impl Prompt {
    /// Parses `ID:TOKENS,...` and `IN,OUT`; malformed values count as absent.
    pub fn parse(parts: Option<&str>, usage: Option<&str>) -> Self {
        let parts = parts.unwrap_or_default().split(',').filter_map(parse_part).collect();
        let (tokens_in, tokens_out) =
            usage.and_then(|text| text.split_once(',')).unwrap_or_default();
        let tokens = |text: &str| text.trim().parse().unwrap_or(0);
        Prompt { parts, tokens_in: tokens(tokens_in), tokens_out: tokens(tokens_out) }
    }

    /// The first parts that other requests may share; the last part belongs to the request or its
    /// session.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        &shared[..shared.len().min(MAX_SHARED_PARTS)]
    }

    /// Ids of the shared parts for logs, separated by commas.
    pub fn shared_parts_text(&self) -> String {
        let ids: Vec<String> =
            self.shared_parts().iter().map(|part| format!("{:x}", part.id)).collect();
        ids.join(",")
    }
}

fn parse_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
}

/// The data centres in the regions allowed by both the route and the workspace; `None` if neither
/// restricts them. A data centre of unknown region is never allowed.
pub fn allowed_data_centres_of(
    route: &Route,
    workspace: Option<&Workspace>,
    regions: &BTreeMap<DataCentreId, RegionId>,
) -> Option<Vec<DataCentreId>> {
    let of_workspace = workspace.map_or(&[][..], |workspace| &workspace.allowed_regions);
    if route.allowed_regions.is_empty() && of_workspace.is_empty() {
        return None;
    }
    let allows = |allowed: &[RegionId], region| allowed.is_empty() || allowed.contains(region);
    let inside = regions.iter().filter(|(_, region)| {
        allows(&route.allowed_regions, region) && allows(of_workspace, region)
    });
    Some(inside.map(|(data_centre, _)| data_centre.clone()).collect())
}

/// Whether the job's key still belongs to the same workspace.
pub fn is_key_held(job: &Job, catalog: &Catalog) -> bool {
    let (Some(key), Some(workspace)) = (&job.key, &job.workspace) else { return false };
    catalog.workspace_of(key).is_some_and(|holder| holder.name == workspace.name)
}
