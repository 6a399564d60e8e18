//! One request as read from a caller, checked against the configuration in force.

use std::{cell::OnceCell, collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, StatusCode,
    header::{self, HeaderName},
};
use pondwalk_decide::direct::{
    ContentHash, DataCentreRule, PromptPart, RouteModelIndex, ServiceModelIndex, SessionKey,
};
use pondwalk_types::{DataCentreId, RegionId};
use thiserror::Error;

use crate::{
    catalog::{Catalog, Route, Service, Workspace},
    content::{Parts, content_of},
};

/// Why a request is not answered by a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// No configuration is held yet.
    #[error("no configuration is held yet")]
    NotConfigured,
    /// The configuration was last confirmed too long ago to honour keys.
    #[error("the configuration was last confirmed too long ago")]
    Stale,
    /// The process is about to end.
    #[error("the process is about to end")]
    Closing,
    /// The head cannot be understood.
    #[error("the head of the request is malformed")]
    Malformed,
    /// The body could not be read.
    #[error("the body could not be read")]
    BodyUnreadable,
    /// The body is larger than allowed.
    #[error("the body is larger than allowed")]
    BodyTooLarge,
    /// No route covers host and path.
    #[error("no route covers the host and path")]
    NoRoute,
    /// The key is missing or not known.
    #[error("the key is missing or not known")]
    UnknownKey,
    /// No backend server takes new work.
    #[error("no backend server takes new work")]
    NoServer,
    /// No backend server takes new work in the regions that it must not leave.
    #[error("no backend server takes new work in the regions that the request must not leave")]
    NoServerInAllowedRegions,
    /// The backend servers that could take it are cold, and have no room soon enough.
    #[error("all backend servers are cold")]
    AllCold {
        /// Time until one has room.
        available_in: Duration,
    },
    /// All backend servers that could take it leave.
    #[error("all backend servers are leaving")]
    AllDraining,
    /// The backend servers that could take it have asked to be sent nothing for a while.
    #[error("all backend servers have asked for a pause")]
    AllBackingOff {
        /// Time until one may be asked again.
        available_in: Duration,
    },
    /// The backend servers that could take it name rate limits, which other requests have used up.
    #[error("all backend servers take no more requests for now")]
    AllLimited {
        /// Time until one may take another.
        available_in: Duration,
    },
    /// Backend servers have ended under requests of this content, and it may not run for now.
    #[error("backend servers have ended under this very request; it is not worth repeating")]
    CrashesServers {
        /// Time until it may be tried again.
        available_in: Duration,
    },
    /// Backend servers ended while they ran it, this time too.
    #[error("backend servers ended while they ran this request; it is not worth repeating")]
    CrashedServers,
    /// The backend servers asked turned the request away without running it.
    #[error("the backend servers turned the request away")]
    TurnedAway,
    /// It ran out of time before it was sent.
    #[error("the time ran out before the request was sent")]
    ExpiredUnsent,
    /// It may have run, and no answer came in time.
    #[error("no answer came in time")]
    TimedOut,
    /// It may have run, and its answer is lost or spoiled.
    #[error("the answer of the backend server was lost")]
    OutcomeUnknown,
}

impl Refusal {
    /// HTTP status. Only 4xx and 503 promise that nothing ran.
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
            | Refusal::Stale
            | Refusal::Closing
            | Refusal::NoServer
            | Refusal::NoServerInAllowedRegions
            | Refusal::AllCold { .. }
            | Refusal::AllDraining
            | Refusal::AllBackingOff { .. }
            | Refusal::AllLimited { .. }
            | Refusal::TurnedAway
            | Refusal::ExpiredUnsent => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Stable name for callers and logs.
    pub fn code(self) -> &'static str {
        match self {
            Refusal::NotConfigured => "not_configured",
            Refusal::Stale => "stale",
            Refusal::Closing => "closing",
            Refusal::Malformed => "malformed",
            Refusal::BodyUnreadable => "body_unreadable",
            Refusal::BodyTooLarge => "body_too_large",
            Refusal::NoRoute => "no_route",
            Refusal::UnknownKey => "unknown_key",
            Refusal::NoServer => "no_server",
            Refusal::NoServerInAllowedRegions => "no_server_at_home",
            Refusal::AllCold { .. } => "all_cold",
            Refusal::AllDraining => "all_leaving",
            Refusal::AllBackingOff { .. } => "all_backing_off",
            Refusal::AllLimited { .. } => "all_limited",
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

    /// When the caller may come back, if that is worth it; `outage` is how long the store has been
    /// away, if it is.
    pub fn retry_after(self, outage: Option<Duration>) -> Option<Duration> {
        match (self, outage) {
            // NB: without an outage the configuration is being read, which takes some milliseconds.
            (Refusal::NotConfigured, None) => Some(LOADING_RETRY_AFTER),
            (Refusal::NotConfigured, Some(outage)) => {
                let (min, max) = START_RETRY_AFTER;
                Some(outage.clamp(min, max))
            }
            (Refusal::Stale, _) => Some(Duration::from_millis(500)),
            (Refusal::Closing, _) => Some(Duration::from_millis(50)),
            (Refusal::AllCold { available_in }, _) => {
                let (min, max) = COLD_RETRY_AFTER;
                Some(available_in.clamp(min, max))
            }
            // NB: those that replace them are heard of within a heartbeat of their start, or once the store is
            // back.
            (Refusal::AllDraining, None) => Some(DRAINING_RETRY_AFTER),
            (Refusal::AllDraining, Some(outage)) => {
                Some(outage.clamp(DRAINING_RETRY_AFTER, START_RETRY_AFTER.1))
            }
            (Refusal::AllBackingOff { available_in } | Refusal::AllLimited { available_in }, _) => {
                Some(available_in.max(MIN_BACKOFF_RETRY_AFTER))
            }
            (Refusal::CrashesServers { available_in }, _) => {
                Some(available_in.max(MIN_QUARANTINE_RETRY_AFTER))
            }
            (Refusal::NoServer | Refusal::NoServerInAllowedRegions | Refusal::TurnedAway, _) => {
                Some(Duration::from_millis(200))
            }
            _ => None,
        }
    }
}

/// Pause for callers while an entry reads its first configuration.
const LOADING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Shortest and longest pause for callers of an entry that started without the store. An outage is
/// expected to last about as long again as it has lasted; a caller that tries only once more is
/// not served if it comes back too soon, and only late if it comes back too late.
const START_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(1_000), Duration::from_secs(4));

/// Shortest and longest pause for callers while all servers are cold. Room comes several times a second
/// for each server, and servers are cold for some seconds.
const COLD_RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));

/// Pause for callers while all servers leave: a server tells of itself each second or so, and word of it takes
/// about as long.
const DRAINING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Shortest pause for callers while all servers pause, or have got what they take.
const MIN_BACKOFF_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Shortest pause for callers of a request that is held: a run of it may be under way.
const MIN_QUARANTINE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Headers that concern one connection only.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
];

/// Takes off the headers that concern one connection only, those it names included.
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

/// One request.
#[derive(Debug)]
pub struct Job {
    /// The caller's id of it.
    pub id: String,
    /// Its method.
    pub method: Method,
    /// Path and query as they came.
    pub target: String,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Route that covers it.
    pub route: Rc<Route>,
    /// Service that runs it.
    pub service: Rc<Service>,
    /// Workspace of its key, where one is asked for.
    pub workspace: Option<Rc<Workspace>>,
    /// Its key, where one is asked for.
    pub key: Option<String>,
    /// When it arrived.
    pub arrived: Duration,
    /// When it must be answered at the latest.
    pub deadline: Duration,
    /// Whether the model is left to the entry.
    pub chooses_model: bool,
    /// Prompt and output sizes.
    pub prompt: Prompt,
    /// Its conversation, if it belongs to one.
    pub session: Option<SessionKey>,
    /// Data centres that it must not leave, if there are any such.
    pub allowed_data_centres: Option<Vec<DataCentreId>>,
    /// Last event of a stream that the caller has already.
    pub last_event_id: Option<String>,
    /// Configuration it was checked against.
    pub catalog_version: u64,
    /// What it carries, once that was asked for.
    pub content_cell: OnceCell<ContentHash>,
}

impl Job {
    /// The data centres whose servers may run it.
    pub fn allowed_data_centres(&self) -> DataCentreRule<'_> {
        self.allowed_data_centres.as_deref().map_or(DataCentreRule::Any, DataCentreRule::Only)
    }

    /// What it carries, by which it is known again when its caller tries once more.
    pub fn content(&self) -> ContentHash {
        *self.content_cell.get_or_init(|| {
            let caller = self.workspace.as_ref().map_or("", |workspace| &workspace.name);
            let (host, target) = (self.route.host.as_str(), self.target.as_str());
            content_of(Parts { caller, host, target, body: &self.body })
        })
    }

    /// The model at a position of the route's list, among those of the service.
    ///
    /// NB: routes may list different models of one service, and what is learned of a model or held
    /// for it belongs to the service. One that the service does not list counts by its position.
    pub fn service_model(&self, number: RouteModelIndex) -> ServiceModelIndex {
        let model = self.route.models.get(usize::from(number));
        let listed = self.service.engine.as_ref().map_or(&[][..], |engine| &engine.models);
        let place = model.and_then(|model| listed.iter().position(|one| one.model == *model));
        place.and_then(|place| u8::try_from(place).ok()).unwrap_or(number)
    }

    /// Prices of the route's models, smallest first; zero for one that the service lacks.
    pub fn prices(&self) -> Vec<f64> {
        let listed = self.service.engine.as_ref().map_or(&[][..], |engine| &engine.models);
        let price = |model: &String| {
            let found = listed.iter().find(|entry| entry.model == *model);
            found.map_or(0.0, |entry| entry.price)
        };
        self.route.models.iter().map(price).collect()
    }
}

/// What the head tells of the prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts in order, where the caller gives them.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Most tokens out.
    pub tokens_out: u32,
}

impl Prompt {
    /// Reads `ID:TOKENS,...` and `IN,OUT`; what cannot be read counts as absent.
    pub fn parse(parts: Option<&str>, usage: Option<&str>) -> Self {
        let parts = parts.unwrap_or_default().split(',').filter_map(parse_part).collect();
        let (tokens_in, tokens_out) =
            usage.and_then(|text| text.split_once(',')).unwrap_or_default();
        let tokens = |text: &str| text.trim().parse().unwrap_or(0);
        Prompt { parts, tokens_in: tokens(tokens_in), tokens_out: tokens(tokens_out) }
    }
}

fn parse_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
}

/// The data centres that lie in the regions allowed by a route and by a workspace; `None` if neither names
/// any. One whose region is not known lies in none.
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

/// Whether a job's key is still held by the same workspace.
pub fn is_key_valid(job: &Job, catalog: &Catalog) -> bool {
    let (Some(key), Some(workspace)) = (&job.key, &job.workspace) else { return true };
    catalog.workspace_of(key).is_some_and(|holder| holder.name == workspace.name)
}
