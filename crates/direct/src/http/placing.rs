//! Where a request under way may go next, and the wait for it.

use std::{rc::Rc, time::Duration};

use pondwalk_decide::direct::{Placeability, RouteModelIndex, UnavailableReason, max_cold_wait};
use tokio::{
    task::spawn_local,
    time::{sleep_until, timeout},
};

use super::run::Run;
use crate::{
    metrics::Counter,
    permits::PermitWaiter,
    placement::{NextSend, Placement, PlacementError},
};

/// Shortest pause of a request that waits for room at a cold server.
const SHORTEST_PAUSE: Duration = Duration::from_millis(5);

/// Permits that a request asks for in a row before it looks where it may go, at first and each time that it has
/// waited. Where hundreds of servers have none to give, each is asked seldom.
const PERMITS_AT_FIRST: usize = 4;
const PERMITS_LATER: usize = 1;
/// Shortest pause of a request that waits for a permit.
const PERMIT_PAUSE: Duration = Duration::from_millis(25);
/// Time for which a request waits for a permit before it looks for another server.
const PERMIT_PATIENCE: Duration = Duration::from_millis(20);

impl Run {
    /// What the next send asks for.
    fn next_send(&self) -> NextSend<'_> {
        let failed = self.failed_version.as_deref();
        NextSend { model: self.model, avoid: &self.avoid, failed }
    }

    /// How surely the request could be sent with a model now, and if it could not, why.
    pub fn outlook(&self, model: RouteModelIndex) -> Result<Placeability, PlacementError> {
        Placement::placeability(&self.core, &self.job, NextSend { model, ..self.next_send() })
    }

    /// Whether it could be sent once more to a server other than this one, now or after a short wait.
    pub fn could_go_on(&self, besides: &Placement) -> Result<Placeability, PlacementError> {
        let mut avoid = self.avoid.clone();
        avoid.push(besides.server().clone());
        let failed = Some(besides.version.as_str());
        let next = NextSend { model: self.model, avoid: &avoid, failed };
        match Placement::placeability(&self.core, &self.job, next) {
            Err(PlacementError::Unavailable(opening))
                if opening.reason != UnavailableReason::Limited
                    && opening.at < self.wait_until() =>
            {
                Ok(Placeability::Now)
            }
            outlook => outlook,
        }
    }

    /// Takes the place of the next send already, where it hangs on a permit. Returns whether the send is sure of a
    /// place, so that an answer at hand may be dropped for it.
    pub async fn secure(&mut self, certainty: Placeability) -> bool {
        if certainty == Placeability::Now {
            return true;
        }
        self.ask_for_permits(PERMITS_AT_FIRST).await;
        self.reserved = Placement::find(&self.core, &self.job, self.next_send()).ok();
        if let Some(reserved) = &self.reserved {
            reserved.mark_finished();
        }
        self.reserved.is_some()
    }

    /// Asks for the permits that stand between the request and the servers it would go to, `most` at most.
    ///
    /// NB: a permit that comes late serves the next request; this one goes elsewhere meanwhile.
    async fn ask_for_permits(&self, most: usize) {
        for _ in 0..most {
            let wanted = Placement::wanted_permit(&self.core, &self.job, self.next_send());
            let Some(wanted) = wanted else { return };
            let core = Rc::clone(&self.core);
            let asking = spawn_local(core.request_permit(self.job.service.name.clone(), wanted));
            // NB: what came of it stands in the fleet.
            let _ = timeout(PERMIT_PATIENCE, asking).await;
        }
    }

    /// Joins those that wait for a permit, if as many may come before `until`; whoever comes later has nothing to wait
    /// for.
    fn wait_for_permit(&self, until: Duration) -> Option<PermitWaiter> {
        let most = Placement::permits_before(&self.core, &self.job, self.next_send(), until);
        PermitWaiter::enter(&self.core, &self.job.service.name, most)
    }

    /// Until when a request waits for a server that is shut.
    fn wait_until(&self) -> Duration {
        let longest = max_cold_wait(self.job.route.objective);
        (self.core.clock.now() + longest).min(self.job.deadline)
    }

    /// A place for the next send, waited for if the servers that could take it are merely shut for now. There
    /// may be room again within a fraction of a second, and a refusal costs its caller a new attempt.
    pub async fn wait_for_place(&mut self) -> Result<Placement, PlacementError> {
        if let Some(reserved) = self.reserved.take() {
            reserved.mark_unfinished();
            return Ok(reserved);
        }
        let until = self.wait_until();
        let mut has_waited = false;
        let mut waiting = None;
        let mut permits = PERMITS_AT_FIRST;
        loop {
            self.ask_for_permits(std::mem::replace(&mut permits, PERMITS_LATER)).await;
            let opening = match Placement::find(&self.core, &self.job, self.next_send()) {
                Err(PlacementError::Unavailable(opening)) if opening.at < until => opening,
                found => return found,
            };
            if opening.reason == UnavailableReason::Limited && waiting.is_none() {
                waiting = self.wait_for_permit(until);
                if waiting.is_none() {
                    return Err(PlacementError::Unavailable(opening));
                }
            }
            if !std::mem::replace(&mut has_waited, true) {
                self.core.metrics.count(Counter::WaitedForCapacity);
            }
            // NB: others may have taken the room by then, so the shortest pause is more than none.
            let pause = if opening.reason == UnavailableReason::Limited {
                PERMIT_PAUSE
            } else {
                SHORTEST_PAUSE
            };
            let at = opening.at.max(self.core.clock.now() + pause);
            sleep_until(self.core.clock.instant(at)).await;
        }
    }
}
