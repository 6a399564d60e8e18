//! Claims on idempotency keys for the duration of a request.

use pondwalk_ledger::ClaimTicket;
use pondwalk_types::Refusal;

use crate::{core::Core, incoming::IncomingRequest};

/// Claims the idempotency key of a non-repeatable request; other requests need no claim.
pub async fn claim(
    core: &Core,
    incoming: &IncomingRequest,
) -> Result<Option<ClaimTicket>, Refusal> {
    let (false, Some(key)) = (incoming.repeatable, &incoming.idempotency_key) else {
        return Ok(None);
    };
    let ticket = core.claims.claim(&incoming.workspace, key, &incoming.request, rand::random());
    ticket.await.map(Some)
}

/// Releases a claim in the background, so that the caller may retry.
///
/// Only for requests that were certainly not executed.
pub fn release(core: &Core, ticket: Option<ClaimTicket>) {
    let Some(ticket) = ticket else {
        return;
    };
    let claims = core.claims.clone();
    core.traffic.spawn(async move {
        // NB: a claim that is not released blocks its key, which is safe.
        let _ = claims.release(ticket).await;
    });
}
