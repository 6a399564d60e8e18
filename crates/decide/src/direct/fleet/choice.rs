//! The choice among the servers that may take a request.

use std::time::Duration;

use super::{Fleet, PlacementRequest, PromptPart, ServerIndex, permit_rule::PermitRule};
use crate::direct::hash::mix;

/// Probability that the preferred server of a shared part has it cached because of another entry's
/// requests.
const PREFERRED_CACHE_PROBABILITY: f64 = 0.7;
/// Price of computing a cached part again elsewhere, in milliseconds for a thousand tokens.
const RECOMPUTE_MS_PER_1000_TOKENS: f64 = 50.0;
/// The same price where the other entries' work is known. Queues that are visible pull requests
/// away from the servers that have their shared parts cached: at the price above, twice as many
/// tokens of shared parts were computed again.
const RECOMPUTE_WITH_VIEW_MS_PER_1000_TOKENS: f64 = 150.0;

/// A server that could take a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) index: ServerIndex,
    cost: f64,
    /// Whether the server is in another data centre; it never counts as equal to a local one.
    is_remote: bool,
    pub(super) prefill_ms: f64,
    pub(super) first_byte_ms: f64,
    /// Part of that time due to other entries' requests and the server's pace, in milliseconds.
    pub(super) peer_ms: f64,
}

impl Fleet {
    /// Returns the server of the lowest cost, or one of those that count as equal to it;
    /// `tie_breaker` returns a random amount from 0 to 1, and 0 selects the lowest cost.
    pub(super) fn best_candidate(
        &self,
        request: &PlacementRequest<'_>,
        now: Duration,
        permit_rule: PermitRule,
        mut tie_breaker: impl FnMut() -> f64,
    ) -> Option<Candidate> {
        let shared = shared_part(request.parts);
        let hashed_part = shared.filter(|_| self.scoring.named_servers);
        let preferred = hashed_part.and_then(|part| self.preferred_server(part.id, request, now));
        let spread_ms = self.work.spread_ms(self.mean_prefill_ms, now);
        let recompute_ms = match spread_ms {
            Some(_) => RECOMPUTE_WITH_VIEW_MS_PER_1000_TOKENS,
            None => RECOMPUTE_MS_PER_1000_TOKENS,
        };
        let uncached_ms_per_token =
            PREFERRED_CACHE_PROBABILITY * request.prefill_ms_per_token + recompute_ms / 1_000.0;
        let mut candidates = Vec::new();
        let mut best: Option<Candidate> = None;
        for (index, server) in self.servers.iter().enumerate() {
            let Some(server) = server else { continue };
            let is_available = self.may_serve(server, request.versions, now)
                && self.has_room(server, permit_rule, now);
            if !is_available || !request.allows(&server.info) {
                continue;
            }
            let prefill_ms = server.uncached_tokens(request, now) * request.prefill_ms_per_token;
            let first_byte_ms =
                server.first_byte_ms(request, prefill_ms, self.mean_prefill_ms, now);
            let mut cost = server.cost(request, first_byte_ms, now, &self.local_data_centre);
            // NB: without the random amount, the server that was chosen when its permit was
            // requested is chosen again once the permit is available.
            if !server.permits.is_available(now) {
                cost += tie_breaker();
            }
            if preferred.is_some_and(|preferred| preferred != index) {
                let tokens = shared.map_or(0, |part| part.tokens);
                cost += f64::from(tokens) * uncached_ms_per_token;
            }
            let peer_ms = server.peer_ms(prefill_ms, now);
            let is_remote = server.info.data_centre != self.local_data_centre;
            let candidate =
                Candidate { index, cost, is_remote, prefill_ms, first_byte_ms, peer_ms };
            if spread_ms.is_some() {
                candidates.push(candidate);
            }
            if best.as_ref().is_none_or(|best| cost < best.cost) {
                best = Some(candidate);
            }
        }
        match (best, spread_ms) {
            (Some(best), Some(spread_ms)) if !self.holds_permit(best.index, now) => {
                candidates.retain(|candidate| {
                    candidate.index != best.index
                        && candidate.is_remote == best.is_remote
                        && candidate.cost <= best.cost + spread_ms
                });
                let held = candidates.iter().find(|one| self.holds_permit(one.index, now));
                match held {
                    Some(held) => Some(*held),
                    None => draw_candidate(best, &candidates, tie_breaker()),
                }
            }
            (best, _) => best,
        }
    }

    /// Whether a server has a permit available, which would be lost if another server were chosen.
    fn holds_permit(&self, index: ServerIndex, now: Duration) -> bool {
        let server = self.servers[index].as_ref();
        server.is_some_and(|server| server.permits.is_available(now))
    }

    /// The server that rendezvous hashing names for a shared part.
    ///
    /// NB: never a server that is cold, backs off or reports a rate limit. All requests that share
    /// the part would be sent to a server that can take only a few of them.
    fn preferred_server(
        &self,
        part_id: u64,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Option<ServerIndex> {
        let servers = self.servers.iter().enumerate();
        let servers = servers.filter_map(|(index, server)| Some((index, server.as_ref()?)));
        let open = servers.filter(|(_, server)| {
            self.may_serve(server, request.versions, now)
                && request.data_centres.allows(&server.info.data_centre)
                && !self.is_cold(server, now)
                && server.notice.backoff_until(now).is_none()
                && server.notice.rate_limit().is_none()
        });
        let preferred = open.max_by_key(|(_, server)| mix(server.hash ^ part_id));
        preferred.map(|(index, _)| index)
    }
}

/// Draws the best candidate or one of the others, each with the same probability.
fn draw_candidate(best: Candidate, others: &[Candidate], draw: f64) -> Option<Candidate> {
    let position = (draw * (others.len() + 1) as f64) as usize;
    let drawn = position.checked_sub(1).and_then(|position| others.get(position));
    Some(drawn.copied().unwrap_or(best))
}

/// The last part that several requests share; the part after it belongs to the request alone.
fn shared_part(parts: &[PromptPart]) -> Option<PromptPart> {
    let count = parts.len();
    (count >= 2).then(|| parts[count - 2])
}
