//! Places the next send of a request, and waits for a placement if necessary.

use std::{rc::Rc, time::Duration};

use pondwalk_decide::direct::{Placeability, RouteModelIndex, UnavailableReason, max_cold_wait};
use tokio::{
    task::spawn_local,
    time::{sleep_until, timeout},
};

use super::in_flight::InFlightRequest;
use crate::{
    metrics::Counter,
    permits::PermitWaiter,
    placement::{NextSend, Placement, PlacementError},
};

/// Minimum pause of a request that waits for capacity at a cold server.
const MIN_PAUSE: Duration = Duration::from_millis(5);

/// Maximum number of permits requested in a row before a request is placed: at first, and after
/// each wait. With hundreds of servers at their limits, this keeps the load on each granter low.
const INITIAL_PERMIT_REQUESTS: usize = 4;
const FURTHER_PERMIT_REQUESTS: usize = 1;
/// Minimum pause of a request that waits for a permit.
const MIN_PERMIT_PAUSE: Duration = Duration::from_millis(25);
/// Timeout of a permit request, after which another server is considered.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(20);

impl InFlightRequest {
    /// Parameters of the next send.
    fn next_send(&self) -> NextSend<'_> {
        let failed = self.failed_version.as_deref();
        NextSend { model: self.model, avoid: &self.avoid, failed }
    }

    /// How certain a placement with this model is now, or why there is none.
    pub fn certainty_of(&self, model: RouteModelIndex) -> Result<Placeability, PlacementError> {
        Placement::placeability(&self.core, &self.job, NextSend { model, ..self.next_send() })
    }

    /// Whether the request could be retried on a server other than that of `placement`, now or after
    /// a short wait.
    pub fn retry_certainty(&self, placement: &Placement) -> Result<Placeability, PlacementError> {
        let mut avoid = self.avoid.clone();
        avoid.push(placement.server().clone());
        let failed = Some(placement.version.as_str());
        let next = NextSend { model: self.model, avoid: &avoid, failed };
        match Placement::placeability(&self.core, &self.job, next) {
            Err(PlacementError::Unavailable(availability))
                if !depends_on_others(availability.reason)
                    && availability.at < self.wait_deadline() =>
            {
                Ok(Placeability::Now)
            }
            outlook => outlook,
        }
    }

    /// Reserves the placement of the next send if it depends on a permit. Returns whether the send
    /// is certain, so that the current response may be discarded.
    pub async fn reserve(&mut self, certainty: Placeability) -> bool {
        if certainty == Placeability::Now {
            return true;
        }
        self.request_permits(INITIAL_PERMIT_REQUESTS).await;
        self.reserved = Placement::find(&self.core, &self.job, self.next_send()).ok();
        if let Some(reserved) = &self.reserved {
            reserved.mark_finished();
        }
        self.reserved.is_some()
    }

    /// Requests permits for the servers that the request would go to, at most `limit`.
    ///
    /// A permit that arrives too late serves the next request, and this one goes elsewhere.
    async fn request_permits(&self, limit: usize) {
        for _ in 0..limit {
            let wanted = Placement::wanted_permit(&self.core, &self.job, self.next_send());
            let Some(wanted) = wanted else { return };
            let core = Rc::clone(&self.core);
            let request = spawn_local(core.request_permit(self.job.service.name.clone(), wanted));
            // The fleet records the result.
            let _ = timeout(PERMIT_TIMEOUT, request).await;
        }
    }

    /// Requests a loan for the cold server that the request would go to.
    ///
    /// Like a permit, one that arrives too late serves the next request.
    async fn request_loan(&self) {
        let wanted = Placement::wanted_loan(&self.core, &self.job, self.next_send());
        let Some(wanted) = wanted else { return };
        let core = Rc::clone(&self.core);
        let request = spawn_local(core.request_loan(self.job.service.name.clone(), wanted));
        // The fleet records the result.
        let _ = timeout(PERMIT_TIMEOUT, request).await;
    }

    /// Joins the queue for permits, unless more requests wait already than permits are due before
    /// `until`.
    fn join_permit_queue(&self, until: Duration) -> Option<PermitWaiter> {
        let limit = Placement::permits_before(&self.core, &self.job, self.next_send(), until);
        PermitWaiter::enter(&self.core, &self.job.service.name, limit)
    }

    /// Deadline of the wait for an unavailable server.
    fn wait_deadline(&self) -> Duration {
        let longest = max_cold_wait(self.job.route.objective);
        (self.core.clock.now() + longest).min(self.job.deadline)
    }

    /// Finds a placement for the next send. Waits if the possible servers are only temporarily
    /// unavailable: capacity may return within a fraction of a second, while a refusal costs the
    /// caller a new attempt.
    pub async fn wait_for_placement(&mut self) -> Result<Placement, PlacementError> {
        if let Some(reserved) = self.reserved.take() {
            reserved.mark_unfinished();
            return Ok(reserved);
        }
        let until = self.wait_deadline();
        let mut is_counted = false;
        let mut waiting = None;
        let mut permits = INITIAL_PERMIT_REQUESTS;
        loop {
            self.request_permits(std::mem::replace(&mut permits, FURTHER_PERMIT_REQUESTS)).await;
            let mut found = Placement::find(&self.core, &self.job, self.next_send());
            if is_borrowable(&found) {
                self.request_loan().await;
                found = Placement::find(&self.core, &self.job, self.next_send());
            }
            let availability = match found {
                Err(PlacementError::Unavailable(availability)) if availability.at < until => {
                    availability
                }
                found => return found,
            };
            if availability.reason == UnavailableReason::Limited && waiting.is_none() {
                waiting = self.join_permit_queue(until);
                if waiting.is_none() {
                    return Err(PlacementError::Unavailable(availability));
                }
            }
            if !std::mem::replace(&mut is_counted, true) {
                self.core.metrics.count(Counter::WaitedForCapacity);
            }
            // Other requests may have taken the capacity by then, so the pause has a minimum.
            let pause = match availability.reason {
                UnavailableReason::Limited | UnavailableReason::ColdBorrowable => MIN_PERMIT_PAUSE,
                UnavailableReason::Cold | UnavailableReason::Backoff => MIN_PAUSE,
            };
            let at = availability.at.max(self.core.clock.now() + pause);
            sleep_until(self.core.clock.instant(at)).await;
        }
    }
}

/// Whether other entries decide when a server may take the request.
fn depends_on_others(reason: UnavailableReason) -> bool {
    matches!(reason, UnavailableReason::Limited | UnavailableReason::ColdBorrowable)
}

fn is_borrowable(found: &Result<Placement, PlacementError>) -> bool {
    let Err(PlacementError::Unavailable(availability)) = found else { return false };
    availability.reason == UnavailableReason::ColdBorrowable
}
