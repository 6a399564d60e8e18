//! The backend servers of one service as one entry sees them, and the choice among them.
//!
//! A server's cost for a request is a time: what is read there before it, what of its own prompt
//! must be read, the way to another data centre, and a penalty for recent failures. What other
//! entries send is not seen; rendezvous hashing (Thaler and Ravishankar, 1998) on the prompt's
//! shared part brings requests that share it to the same servers from every entry.

mod availability;
mod load;
mod notice;
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
pub use permit_rule::{PermitRequest, Placeability};
pub use placement_request::{
    DataCentreRule, Forecast, PlacementRequest, PromptPart, Ticket, VersionRule,
};
pub use rate_limit::{RateLimit, RateLimitError, RateLimitState, ReportedRateLimit};
pub use server::{IncarnationNumber, ServerInfo};

use super::{bound_sharing::BoundSharing, hash::mix, warm_up::ColdServerPacing};
use notice::Notice;
use permit_rule::PermitRule;
use server::Server;

/// Position of a server in its fleet; reused once the server is gone.
pub type ServerIndex = usize;

/// Chance that the server that hashing names for a shared part holds it, by another entry's doing.
const NAMED_HOLDS: f64 = 0.7;
/// Price of reading a part again, as a time in milliseconds for a thousand tokens.
const READ_AGAIN_MS_PER_K: f64 = 50.0;
/// Time that the prompt of another entry's request takes to read until this entry's own have shown
/// it, in milliseconds.
const READ_PRIOR_MS: f64 = 100.0;
/// Weight of the newest request in what is known of that.
const READ_GAIN: f64 = 0.02;

/// A server that could take a request.
#[derive(Debug)]
struct Candidate {
    index: ServerIndex,
    cost: f64,
    prefill_ms: f64,
    first_byte_ms: f64,
}

/// What a fleet weighs in its choice of a server, beside what it must.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScoringTerms {
    /// The server that hashing names for a shared part.
    pub named_servers: bool,
    /// How late a server's answers came.
    pub delays: bool,
    /// What a server tells of its load.
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
    /// Versions that were found bad; their servers get nothing, whatever a rule allows.
    excluded_versions: Vec<VersionId>,
    /// Data centres whose servers get nothing for now.
    evacuated: Vec<DataCentreId>,
    /// What cold servers may get; nothing is held back where servers bear everything at once.
    pacing: Option<ColdServerPacing>,
    /// The entries among which that is shared.
    bound_sharing: BoundSharing,
    /// Lives of servers known so far.
    incarnations: IncarnationNumber,
    /// Whether any server may name a rate limit.
    may_have_rate_limits: bool,
    /// What servers asked for whose entries are gone, by their identities; an entry may come back.
    remembered: HashMap<ServerId, (ServerIncarnation, Notice)>,
    /// Time that a request placed here takes to be read, in milliseconds, on the average; other
    /// entries' requests are taken to be alike.
    mean_prefill_ms: f64,
}

impl Fleet {
    /// No servers; `home` is the entry's own data centre.
    pub fn new(home: &str) -> Self {
        Self::with_scoring(home, ScoringTerms::default())
    }

    /// The same, where not everything is weighed.
    pub fn with_scoring(home: &str, weighed: ScoringTerms) -> Self {
        Fleet {
            local_data_centre: home.to_owned(),
            scoring: weighed,
            servers: Vec::new(),
            excluded_versions: Vec::new(),
            evacuated: Vec::new(),
            pacing: None,
            bound_sharing: BoundSharing::default(),
            incarnations: 0,
            may_have_rate_limits: false,
            remembered: HashMap::new(),
            mean_prefill_ms: READ_PRIOR_MS,
        }
    }

    /// Learns of a server, or of a change of it. A server once seen to leave stays so for its life;
    /// one that is born anew under its identity holds and knows nothing of before.
    pub fn apply_server(&mut self, facts: ServerInfo) {
        let known = self.servers.iter_mut().flatten().find(|one| one.info.id == facts.id);
        if let Some(server) = known {
            let told = ServerIncarnation::of(&facts);
            let (mark, notice) = match server.incarnation.matches(&told) {
                true => (
                    server.incarnation.clone().updated_with(told),
                    std::mem::take(&mut server.notice),
                ),
                false => (told, Notice::default()),
            };
            if server.is_restarted(&facts) {
                self.incarnations += 1;
                *server = Server::new(facts, self.incarnations);
            } else {
                server.apply_info(facts);
            }
            server.incarnation = mark;
            server.notice = notice;
            return;
        }
        self.incarnations += 1;
        let recalled = self.recall(&facts);
        let mut server = Server::new(facts, self.incarnations);
        if let Some((mark, notice)) = recalled {
            self.may_have_rate_limits |= notice.rate_limit().is_some();
            server.incarnation = mark.updated_with(server.incarnation);
            server.notice = notice;
        }
        match self.servers.iter_mut().find(|slot| slot.is_none()) {
            Some(slot) => *slot = Some(server),
            None => self.servers.push(Some(server)),
        }
    }

    /// Whether the word on a server speaks of another life of it than the one that is known.
    pub fn is_restarted(&self, facts: &ServerInfo) -> bool {
        let known = self.servers.iter().flatten().find(|one| one.info.id == facts.id);
        known.is_some_and(|server| server.is_restarted(facts))
    }

    /// Leaves a version out from now on, as a roll-out of it was reverted.
    pub fn exclude_version(&mut self, version: &str) {
        if !self.is_excluded(version) {
            self.excluded_versions.push(version.to_owned());
        }
    }

    /// Lets a version in again, as it is to be rolled out anew.
    pub fn readmit_version(&mut self, version: &str) {
        self.excluded_versions.retain(|bad| bad != version);
    }

    fn is_excluded(&self, version: &str) -> bool {
        self.excluded_versions.iter().any(|bad| bad == version)
    }

    /// Whether a server may get work by a rule.
    fn may_serve(&self, server: &Server, versions: VersionRule<'_>, now: Duration) -> bool {
        let version = &server.info.version;
        server.is_open(now)
            && versions.allows(version)
            && !self.is_excluded(version)
            && !self.is_evacuated(&server.info.data_centre)
    }

    /// The store lists a server no longer, but may have lost it while away: it gets work for a
    /// short time yet, and is told then by [`Fleet::take_lapsed`].
    pub fn lapse(&mut self, id: &str, now: Duration) {
        for server in self.servers.iter_mut().flatten().filter(|server| server.info.id == id) {
            server.lapse(now);
        }
    }

    /// Forgets the servers that lapsed and did not come back in time, and tells which.
    pub fn remove_lapsed(&mut self, now: Duration) -> Vec<ServerId> {
        self.remembered.retain(|_, (_, notice)| !notice.is_expired(now));
        let over = |server: &&Server| !server.is_listed(now);
        let lapsed = self.servers.iter().flatten().filter(over);
        let lapsed: Vec<ServerId> = lapsed.map(|server| server.info.id.clone()).collect();
        for id in &lapsed {
            self.remove(id);
        }
        lapsed
    }

    /// Forgets a server.
    pub fn remove(&mut self, id: &str) {
        for slot in &mut self.servers {
            let Some(server) = slot.take_if(|server| server.info.id == id) else { continue };
            if server.notice != Notice::default() {
                self.remembered.insert(server.info.id, (server.incarnation, server.notice));
            }
        }
    }

    /// What is known of a server.
    pub fn server_info(&self, id: &str) -> Option<&ServerInfo> {
        self.servers.iter().flatten().map(|server| &server.info).find(|facts| facts.id == id)
    }

    /// Requests under way at servers of the versions allowed, sent by this entry.
    pub fn in_flight(&self, versions: VersionRule<'_>) -> u32 {
        let servers = self.servers.iter().flatten();
        let servers = servers.filter(|server| versions.allows(&server.info.version));
        servers.map(|server| server.running).sum()
    }

    /// Chooses a server and counts the request there; `None` if no server may take it now.
    pub fn place(
        &mut self,
        ask: &PlacementRequest<'_>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<Ticket> {
        let best =
            self.best_candidate(ask, now, PermitRule::Granted, || rng.random_range(0.0..1.0))?;
        let expected_ms = best.prefill_ms + ask.base_ms;
        self.mean_prefill_ms += READ_GAIN * (expected_ms - self.mean_prefill_ms);
        let is_paced = self.pacing.is_some();
        let server = self.servers[best.index].as_mut()?;
        if is_paced {
            server.warm_up.record_sent(now);
        }
        let permit = server.notice.rate_limit().and_then(|_| server.permits.take(now));
        let ahead_ms = server.waiting_ms;
        server.admit(ask, expected_ms, now);
        Some(Ticket {
            index: best.index,
            server: server.info.id.clone(),
            incarnation_number: server.incarnation_number,
            incarnation: server.incarnation.clone(),
            placed_at: now,
            permit_granted_at: permit,
            expected_ms,
            prefill_tokens: best.prefill_ms / ask.prefill_ms_per_token.max(f64::MIN_POSITIVE),
            queued_ms: ahead_ms,
            is_waiting: true,
        })
    }

    /// What placing a request now would lead to; `None` if no server may take it now. Permits that may be asked
    /// for count as given.
    pub fn forecast(&self, ask: &PlacementRequest<'_>, now: Duration) -> Option<Forecast> {
        let best = self.best_candidate(ask, now, PermitRule::Requestable, || 0.0)?;
        Some(Forecast { first_byte_ms: best.first_byte_ms, prefill_ms: best.prefill_ms })
    }

    /// The server of the least cost; `scatter` keeps equal ones from being taken in turn.
    fn best_candidate(
        &self,
        ask: &PlacementRequest<'_>,
        now: Duration,
        permission: PermitRule,
        mut scatter: impl FnMut() -> f64,
    ) -> Option<Candidate> {
        let shared = shared_part(ask.parts);
        let hashed = shared.filter(|_| self.scoring.named_servers);
        let named = hashed.and_then(|part| self.preferred_server(part.id, ask, now));
        let stranger_ms = NAMED_HOLDS * ask.prefill_ms_per_token + READ_AGAIN_MS_PER_K / 1_000.0;
        let mut best: Option<Candidate> = None;
        for (index, server) in self.servers.iter().enumerate() {
            let Some(server) = server else { continue };
            let open =
                self.may_serve(server, ask.versions, now) && self.has_room(server, permission, now);
            if !open || !ask.allows(&server.info) {
                continue;
            }
            let read_ms = server.uncached_tokens(ask, now) * ask.prefill_ms_per_token;
            let begins_ms = server.first_byte_ms(ask, read_ms, self.mean_prefill_ms, now);
            let mut cost = server.cost(ask, begins_ms, now, &self.local_data_centre);
            // NB: a server that won by chance when a permit was asked for wins again once it is at hand.
            if !server.permits.is_available(now) {
                cost += scatter();
            }
            if named.is_some_and(|named| named != index) {
                let tokens = shared.map_or(0, |part| part.tokens);
                cost += f64::from(tokens) * stranger_ms;
            }
            if best.as_ref().is_none_or(|best| cost < best.cost) {
                best =
                    Some(Candidate { index, cost, prefill_ms: read_ms, first_byte_ms: begins_ms });
            }
        }
        best
    }

    /// The answer began after `took_ms`.
    pub fn on_answer_started(&mut self, ticket: &mut Ticket, took_ms: f64, now: Duration) {
        let waiting = std::mem::replace(&mut ticket.is_waiting, false);
        let delays = self.scoring.delays;
        if let Some(server) = self.server_of(ticket).filter(|_| waiting) {
            server.on_answer_started(ticket, now);
            if delays {
                server.record_delay(took_ms - ticket.expected_with_queue_ms(), now);
            }
        }
    }

    /// The server told its load with an answer.
    pub fn on_load_reported(&mut self, ticket: &Ticket, load: ServerLoad, now: Duration) {
        if !self.scoring.told_loads {
            return;
        }
        if let Some(server) = self.server_of(ticket) {
            server.on_load_reported(load, now);
        }
    }

    /// The request is over.
    pub fn on_finished(&mut self, ticket: &Ticket) {
        if let Some(server) = self.server_of(ticket) {
            server.on_finished(ticket.expected_ms, ticket.is_waiting);
        }
    }

    /// The server answered; `failed` tells whether with a failure of its own.
    pub fn record_outcome(&mut self, ticket: &Ticket, failed: bool, now: Duration) {
        if let Some(server) = self.server_of(ticket) {
            server.record_outcome(failed, now);
        }
    }

    /// The server refused without running; it is left alone a while.
    pub fn on_refused(&mut self, ticket: &Ticket, now: Duration) {
        if let Some(server) = self.server_of(ticket) {
            server.on_refused(now);
        }
    }

    /// Another server has its address, or it has another identity now.
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

    /// The server that hashing names for a shared part.
    ///
    /// NB: never a cold one, one that wants nothing or one that names a rate limit. All that share the part would
    /// turn to a server that takes a few of them.
    fn preferred_server(
        &self,
        part: u64,
        ask: &PlacementRequest<'_>,
        now: Duration,
    ) -> Option<ServerIndex> {
        let servers = self.servers.iter().enumerate();
        let servers = servers.filter_map(|(index, server)| Some((index, server.as_ref()?)));
        let open = servers.filter(|(_, server)| {
            self.may_serve(server, ask.versions, now)
                && ask.data_centres.allows(&server.info.data_centre)
                && !self.is_cold(server, now)
                && server.notice.backoff_until(now).is_none()
                && server.notice.rate_limit().is_none()
        });
        let named = open.max_by_key(|(_, server)| mix(server.hash ^ part));
        named.map(|(index, _)| index)
    }

    fn server_of(&mut self, ticket: &Ticket) -> Option<&mut Server> {
        let server = self.servers.get_mut(ticket.index)?.as_mut()?;
        (server.incarnation_number == ticket.incarnation_number).then_some(server)
    }
}

/// The last part that several requests share; the one behind it is the request's own.
fn shared_part(parts: &[PromptPart]) -> Option<PromptPart> {
    let count = parts.len();
    (count >= 2).then(|| parts[count - 2])
}
