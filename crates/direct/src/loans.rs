//! Loans of requests at cold backend servers.
//!
//! Few entries have a share of the requests that a cold server may get. If callers are concentrated
//! at one entry, most shares belong to others, so that entry borrows from them, a request at a time.
//! What is lent counts at the lender as if it had sent the request itself.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use pondwalk_decide::direct::{Fleet, ServerIncarnation};
use pondwalk_types::ServerId;
use serde::{Deserialize, Serialize};

use crate::catalog::ServiceId;

/// Lenders asked for one loan.
const MAX_LENDERS_ASKED: usize = 3;
/// Time for which an entry that did not reply is not asked again.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(500);
/// Number of refusals from which expired ones are removed.
const MIN_SWEEP_REFUSALS: usize = 1_024;

/// Query to an entry that has a share of a cold server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanQuery {
    /// Service of the server.
    pub service: String,
    /// The server.
    pub server: ServerId,
    /// Its incarnation.
    pub incarnation: ServerIncarnation,
}

/// Reply to a loan query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanReply {
    /// One request may be sent.
    Lent,
    /// None may be sent for this long.
    Refused {
        /// Time until the lender's share allows another request.
        opens_in: Duration,
    },
}

/// Decides on another entry's query by the share of this one.
pub fn answer_loan_query(
    fleets: &mut HashMap<ServiceId, Fleet>,
    query: &LoanQuery,
    now: Duration,
) -> LoanReply {
    let fleet = fleets.get_mut(query.service.as_str());
    let Some(fleet) = fleet else { return LoanReply::Refused { opens_in: UNANSWERED_BACKOFF } };
    match fleet.lend(&query.server, &query.incarnation, now) {
        Ok(()) => LoanReply::Lent,
        Err(until) => LoanReply::Refused { opens_in: until.saturating_sub(now) },
    }
}

/// Entries with shares of cold servers, and until when each lends nothing more.
#[derive(Debug, Default)]
pub struct Lenders {
    refused_until: RefCell<HashMap<(ServerId, SocketAddr), Duration>>,
}

impl Lenders {
    /// Asks the owners of a server's shares for a loan with `ask`, from the one at index `first` on.
    /// `now` returns the time. Returns when to ask again if none was granted.
    pub async fn borrow<E>(
        &self,
        server: &ServerId,
        owners: &[SocketAddr],
        first: usize,
        now: impl Fn() -> Duration,
        ask: impl AsyncFn(SocketAddr) -> Result<LoanReply, E>,
    ) -> Result<(), Duration> {
        let mut asked = 0;
        for step in 0..owners.len() {
            let owner = owners[(first + step) % owners.len()];
            if asked == MAX_LENDERS_ASKED {
                break;
            }
            if self.opens_at(server, owner) > now() {
                continue;
            }
            asked += 1;
            let opens_in = match ask(owner).await {
                Ok(LoanReply::Lent) => return Ok(()),
                Ok(LoanReply::Refused { opens_in }) => opens_in,
                Err(_) => UNANSWERED_BACKOFF,
            };
            self.record_refusal(server, owner, now() + opens_in, now());
        }
        let opens_at = owners.iter().map(|owner| self.opens_at(server, *owner)).min();
        Err(opens_at.unwrap_or_else(|| now() + UNANSWERED_BACKOFF))
    }

    fn opens_at(&self, server: &ServerId, owner: SocketAddr) -> Duration {
        let refused_until = self.refused_until.borrow();
        refused_until.get(&(server.clone(), owner)).copied().unwrap_or_default()
    }

    fn record_refusal(&self, server: &ServerId, owner: SocketAddr, until: Duration, now: Duration) {
        let mut refused_until = self.refused_until.borrow_mut();
        if refused_until.len() >= MIN_SWEEP_REFUSALS {
            refused_until.retain(|_, until| now < *until);
        }
        refused_until.insert((server.clone(), owner), until);
    }
}
