//! Claims on idempotency keys around the life of a request.

use pondwalk_ledger::ClaimTicket;
use pondwalk_types::Refusal;

use crate::{core::Core, incoming::Incoming};

/// Claims the key of a request that may not be repeated; others need no claim.
pub async fn claim(core: &Core, incoming: &Incoming) -> Result<Option<ClaimTicket>, Refusal> {
    let (false, Some(key)) = (incoming.repeatable, &incoming.idempotency_key) else {
        return Ok(None);
    };
    let ticket = core.claims.claim(&incoming.workspace, key, &incoming.request, rand::random());
    ticket.await.map(Some)
}

/// Gives a claim back where it is sure that nothing ran, so that the caller may try again.
pub fn release(core: &Core, ticket: Option<ClaimTicket>) {
    let Some(ticket) = ticket else {
        return;
    };
    let claims = core.claims.clone();
    core.traffic.spawn(async move {
        // NB: a claim that cannot be released blocks its key, which is safe.
        let _ = claims.release(ticket).await;
    });
}
