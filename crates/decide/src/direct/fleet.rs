//! The backend servers of one service as one entry sees them, and the choice among them.
//!
//! The cost of a server for a request is a time: the prefill queued before it, the prefill of its
//! own prompt, the distance to another data centre, and a penalty for recent failures. Requests of
//! other entries count as far as the entries exchange them. Rendezvous hashing (Thaler and
//! Ravishankar, 1998) of the prompt's shared part sends requests that share it to the same servers
//! from every entry.

mod availability;
mod choice;
mod load;
mod notice;
mod peer_work;
mod permit_rule;
mod placement_request;
mod rate_limit;
mod server;
mod server_notices;
mod server_permits;

use std::{collections::HashMap, time::Duration};

use pondwalk_types::{DataCentreId, ServerId, VersionId};
use rand::Rng;

pub use availability::{NextAvailability, UnavailableReason, UnreachableReason};
pub use load::{LoadError, ServerLoad};
pub use notice::{ServerIncarnation, backoff_jitter};
pub use peer_work::{ExpectedWait, Places};
pub use permit_rule::{LoanRequest, PermitRequest, Placeability};
pub use placement_request::{
    DataCentreRule, Forecast, PlacementRequest, PromptPart, Ticket, VersionRule,
};
pub use rate_limit::{RateLimit, RateLimitError, RateLimitState, ReportedRateLimit};
pub use server::{IncarnationNumber, ServerInfo};

use super::{bound_sharing::BoundSharing, warm_up::ColdServerPacing};
use notice::Notice;
use peer_work::FleetWork;
use permit_rule::PermitRule;
use server::Server;

/// Position of a server in its fleet; reused after the server is removed.
pub type ServerIndex = usize;

/// Initial estimate of the prefill time of another entry's request, in milliseconds. This entry's
/// own requests replace it.
const PREFILL_PRIOR_MS: f64 = 100.0;
/// Weight of the newest request in that estimate.
const PREFILL_GAIN: f64 = 0.02;

/// Optional terms of a server's cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScoringTerms {
    /// Preference for the server that rendezvous hashing names for a shared part.
    pub named_servers: bool,
    /// How late a server's answers began.
    pub delays: bool,
    /// The load that a server reports.
    pub told_loads: bool,
}

impl Default for ScoringTerms {
    fn default() -> Self {
        ScoringTerms { named_servers: true, delays: true, told_loads: true }
    }
}

/// The backend servers of one service.
#[derive(Debug)]
pub struct Fleet {
    local_data_centre: DataCentreId,
    scoring: ScoringTerms,
    servers: Vec<Option<Server>>,
    /// Versions found bad; their servers get no requests, whatever a rule allows.
    excluded_versions: Vec<VersionId>,
    /// Evacuated data centres; their servers get no requests.
    evacuated: Vec<DataCentreId>,
    /// Limits on cold servers; `None` if servers need no warm-up.
    pacing: Option<ColdServerPacing>,
    /// The entries that share those limits.
    bound_sharing: BoundSharing,
    /// Number of server incarnations seen so far.
    incarnations: IncarnationNumber,
    /// Whether any server may report a rate limit.
    may_have_rate_limits: bool,
    /// Notices of servers that the store does not list at the moment, by identity; a server may be
    /// listed again.
    remembered: HashMap<ServerId, (ServerIncarnation, Notice)>,
    /// Mean prefill time of the requests placed here, in milliseconds; the requests of other
    /// entries are assumed to be alike.
    mean_prefill_ms: f64,
    /// Work of all entries for the service.
    work: FleetWork,
}

impl Fleet {
    /// Creates an empty fleet; `local_data_centre` is the entry's own data centre.
    pub fn new(local_data_centre: &str) -> Self {
        Self::with_scoring(local_data_centre, ScoringTerms::default())
    }

    /// Creates an empty fleet that applies only some of the optional cost terms.
    pub fn with_scoring(local_data_centre: &str, scoring: ScoringTerms) -> Self {
        Fleet {
            local_data_centre: local_data_centre.to_owned(),
            scoring,
            servers: Vec::new(),
            excluded_versions: Vec::new(),
            evacuated: Vec::new(),
            pacing: None,
            bound_sharing: BoundSharing::default(),
            incarnations: 0,
            may_have_rate_limits: false,
            remembered: HashMap::new(),
            mean_prefill_ms: PREFILL_PRIOR_MS,
            work: FleetWork::default(),
        }
    }

    /// Adds a server, or applies a change of it. A server that was seen draining stays so for its
    /// incarnation; an incarnation restarted under the same identity starts with empty state.
    pub fn apply_server(&mut self, info: ServerInfo) {
        let known_server =
            self.servers.iter_mut().flatten().find(|server| server.info.id == info.id);
        if let Some(server) = known_server {
            let reported = ServerIncarnation::of(&info);
            let (incarnation, notice) = match server.incarnation.matches(&reported) {
                true => (
                    server.incarnation.clone().updated_with(reported),
                    std::mem::take(&mut server.notice),
                ),
                false => (reported, Notice::default()),
            };
            if server.is_restarted(&info) {
                self.incarnations += 1;
                *server = Server::new(info, self.incarnations);
            } else {
                server.apply_info(info);
            }
            server.incarnation = incarnation;
            server.notice = notice;
            return;
        }
        self.incarnations += 1;
        let restored = self.restore_notice(&info);
        let mut server = Server::new(info, self.incarnations);
        if let Some((incarnation, notice)) = restored {
            self.may_have_rate_limits |= notice.rate_limit().is_some();
            server.incarnation = incarnation.updated_with(server.incarnation);
            server.notice = notice;
        }
        match self.servers.iter_mut().find(|slot| slot.is_none()) {
            Some(slot) => *slot = Some(server),
            None => self.servers.push(Some(server)),
        }
    }

    /// Whether `info` describes another incarnation of a server than the known one.
    pub fn is_restarted(&self, info: &ServerInfo) -> bool {
        let known_server = self.servers.iter().flatten().find(|server| server.info.id == info.id);
        known_server.is_some_and(|server| server.is_restarted(info))
    }

    /// Excludes a version from now on, since its roll-out was reverted.
    pub fn exclude_version(&mut self, version: &str) {
        if !self.is_excluded(version) {
            self.excluded_versions.push(version.to_owned());
        }
    }

    /// Admits a version again, since it is to be rolled out again.
    pub fn readmit_version(&mut self, version: &str) {
        self.excluded_versions.retain(|excluded| excluded != version);
    }

    fn is_excluded(&self, version: &str) -> bool {
        self.excluded_versions.iter().any(|excluded| excluded == version)
    }

    /// Whether a server may get requests under a version rule.
    fn may_serve(&self, server: &Server, versions: VersionRule<'_>, now: Duration) -> bool {
        let version = &server.info.version;
        server.is_open(now)
            && versions.allows(version)
            && !self.is_excluded(version)
            && !self.is_evacuated(&server.info.data_centre)
    }

    /// Marks a server that the store does not list any more but may have lost during an outage. It
    /// gets requests until `until`, after which [`Fleet::remove_lapsed`] returns it.
    pub fn lapse(&mut self, id: &str, until: Duration) {
        for server in self.servers.iter_mut().flatten().filter(|server| server.info.id == id) {
            server.lapse(until);
        }
    }

    /// Removes the servers whose grace period is over without their being listed again, and returns
    /// their identities.
    pub fn remove_lapsed(&mut self, now: Duration) -> Vec<ServerId> {
        self.remembered.retain(|_, (_, notice)| !notice.is_expired(now));
        let is_lapsed = |server: &&Server| !server.is_listed(now);
        let lapsed = self.servers.iter().flatten().filter(is_lapsed);
        let lapsed: Vec<ServerId> = lapsed.map(|server| server.info.id.clone()).collect();
        for id in &lapsed {
            self.remove(id);
        }
        lapsed
    }

    /// Removes a server.
    pub fn remove(&mut self, id: &str) {
        for slot in &mut self.servers {
            let Some(server) = slot.take_if(|server| server.info.id == id) else { continue };
            if server.notice != Notice::default() {
                self.remembered.insert(server.info.id, (server.incarnation, server.notice));
            }
        }
    }

    /// Returns what the store lists about a server.
    pub fn server_info(&self, id: &str) -> Option<&ServerInfo> {
        self.servers.iter().flatten().map(|server| &server.info).find(|info| info.id == id)
    }

    /// Number of this entry's requests in flight at servers of the versions allowed.
    pub fn in_flight(&self, versions: VersionRule<'_>) -> u32 {
        let servers = self.servers.iter().flatten();
        let servers = servers.filter(|server| versions.allows(&server.info.version));
        servers.map(|server| server.running).sum()
    }

    /// Hashes of the servers that are answering a request of this entry.
    pub fn answering_servers(&self) -> impl Iterator<Item = u64> {
        let servers = self.servers.iter().flatten();
        servers.filter(|server| server.running > server.waiting).map(|server| server.hash)
    }

    /// Chooses a server and counts the request there; `None` if no server may take it now.
    pub fn place(
        &mut self,
        request: &PlacementRequest<'_>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<Ticket> {
        let best =
            self.best_candidate(request, now, PermitRule::Granted, || rng.random_range(0.0..1.0))?;
        let expected_ms = best.prefill_ms + request.base_ms;
        self.mean_prefill_ms += PREFILL_GAIN * (expected_ms - self.mean_prefill_ms);
        self.work.record_placed(best.prefill_ms, now);
        let is_paced = self.pacing.is_some();
        let needs_loan = self.servers[best.index].as_ref().is_some_and(|server| {
            self.is_cold(server, now)
                && self.next_cold_send_at(server, now) > now
                && self.has_loan(server, now)
        });
        let server = self.servers[best.index].as_mut()?;
        // A loan counts at the entry that granted it.
        if is_paced && !needs_loan {
            server.warm_up.record_sent(now);
        }
        let needs_permit = needs_loan || server.notice.rate_limit().is_some();
        let permit_granted_at = needs_permit.then(|| server.permits.take(now)).flatten();
        let queued_ms = server.waiting_ms;
        server.admit(request, expected_ms, now);
        Some(Ticket {
            index: best.index,
            server: server.info.id.clone(),
            incarnation_number: server.incarnation_number,
            incarnation: server.incarnation.clone(),
            placed_at: now,
            permit_granted_at,
            expected_ms,
            prefill_tokens: best.prefill_ms / request.prefill_ms_per_token.max(f64::MIN_POSITIVE),
            queued_ms,
            peer_ms: best.peer_ms,
            model: request.model,
            is_waiting: true,
        })
    }

    /// Predicts the outcome of placing a request now; `None` if no server may take it now. Permits
    /// that may be requested count as granted.
    pub fn forecast(&self, request: &PlacementRequest<'_>, now: Duration) -> Option<Forecast> {
        let best = self.best_candidate(request, now, PermitRule::Requestable, || 0.0)?;
        Some(Forecast { first_byte_ms: best.first_byte_ms, prefill_ms: best.prefill_ms })
    }

    /// Records that the answer began `elapsed_ms` milliseconds after the request was sent.
    pub fn on_answer_started(&mut self, ticket: &mut Ticket, elapsed_ms: f64, now: Duration) {
        let waiting = std::mem::replace(&mut ticket.is_waiting, false);
        let delays = self.scoring.delays;
        if let Some(server) = self.server_of(ticket).filter(|_| waiting) {
            server.on_answer_started(ticket, now);
            if delays {
                server.record_delay(elapsed_ms - ticket.expected_with_queue_ms(), now);
            }
        }
    }

    /// Applies the load that the server reported with an answer.
    pub fn on_load_reported(&mut self, ticket: &Ticket, load: ServerLoad, now: Duration) {
        if !self.scoring.told_loads {
            return;
        }
        if let Some(server) = self.server_of(ticket) {
            server.on_load_reported(load, now);
        }
    }

    /// Ends a request.
    pub fn on_finished(&mut self, ticket: &Ticket) {
        if let Some(server) = self.server_of(ticket) {
            server.on_finished(ticket.expected_ms, ticket.is_waiting);
        }
    }

    /// Records an answer of the server; `failed` says whether it was a failure of the server
    /// itself.
    pub fn record_outcome(&mut self, ticket: &Ticket, failed: bool, now: Duration) {
        if let Some(server) = self.server_of(ticket) {
            server.record_outcome(failed, now);
        }
    }

    /// Records that the server refused a request without running it, which starts a backoff.
    pub fn on_refused(&mut self, ticket: &Ticket, now: Duration) {
        if let Some(server) = self.server_of(ticket) {
            server.on_refused(now);
        }
    }

    /// Records an answer that is none in the protocol, which starts a backoff.
    pub fn on_invalid_answer(&mut self, ticket: &Ticket, now: Duration) {
        if let Some(server) = self.server_of(ticket) {
            server.on_invalid_answer(now);
        }
    }

    /// Records that another server listens at the address, or that the server has another identity.
    pub fn mark_replaced(&mut self, ticket: &Ticket) {
        if let Some(server) = self.server_of(ticket) {
            server.mark_replaced();
        }
    }

    fn available_servers(
        &self,
        versions: VersionRule<'_>,
        now: Duration,
    ) -> impl Iterator<Item = &Server> {
        let servers = self.servers.iter().flatten();
        servers.filter(move |server| self.may_serve(server, versions, now))
    }

    fn server_of(&mut self, ticket: &Ticket) -> Option<&mut Server> {
        let server = self.servers.get_mut(ticket.index)?.as_mut()?;
        (server.incarnation_number == ticket.incarnation_number).then_some(server)
    }
}
