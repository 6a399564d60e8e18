//! Requests against the policy, and the versions that they are bound to.

use std::time::Duration;

use pondwalk_types::{Refusal, TaskPolicy, VersionState};

use super::Router;
use crate::{
    flight::InFlightRequest,
    intern::{VersionIx, WorkspaceIx},
    request::Request,
    tuning::SESSION_REQUESTS,
};

impl Router {
    /// Checks a request against the policy and opens its flight.
    pub(super) fn admit(
        &mut self,
        now: Duration,
        request: &Request<'_>,
    ) -> Result<InFlightRequest, Refusal> {
        if self.generation == 0 {
            return Err(Refusal::NoConfiguration);
        }
        let workspace = self.workspace_names.find(request.workspace);
        let workspace =
            workspace.filter(|ix| self.workspace(*ix).is_some()).ok_or(Refusal::UnknownCaller)?;
        let task = self.tasks.intern(request.task);
        let mut flight = InFlightRequest {
            workspace,
            task,
            target: None,
            only: None,
            session: request.session.filter(|_| request.service.is_none()).map(Box::from),
            session_restarted: false,
            prompt_tokens: request.prompt_tokens,
            prefix: request.prefix,
            arrived: request.arrived,
            deadline: request.deadline,
            repeatable: request.repeatable,
            streaming: request.streaming,
            tried: Vec::new(),
            avoid: Vec::new(),
            refusals: 0,
            run: None,
            is_pass_through: false,
            answer: None,
            former: None,
            booked: None,
            spent: 0.0,
        };
        match request.service {
            Some(service) => flight.only = Some(self.service(workspace, service)?),
            None => self.admit_chat(now, request, &mut flight)?,
        }
        if now >= flight.deadline {
            return Err(Refusal::TooLate { deadline_ms: flight.stated_deadline_ms() });
        }
        Ok(flight)
    }

    fn service(&self, workspace: WorkspaceIx, service: &str) -> Result<VersionIx, Refusal> {
        let refusal = || Refusal::VersionNotAllowed(service.to_owned());
        let version = self.versions.find(service).ok_or_else(refusal)?;
        let allowed = self.workspace(workspace).is_some_and(|w| w.allowed.contains(&version));
        if !allowed || !self.services.contains(&version) {
            return Err(refusal());
        }
        Ok(version)
    }

    fn admit_chat(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        flight: &mut InFlightRequest,
    ) -> Result<(), Refusal> {
        flight.target = self.target(flight.workspace, flight.task);
        self.estimates.add_deadline(flight.task, flight.time_left(flight.arrived));
        let only_listed =
            self.workspace(flight.workspace).is_some_and(|w| w.policy.only_listed_tasks);
        if only_listed && flight.target.is_none() {
            return Err(Refusal::TaskNotAllowed);
        }
        if let Some(name) = request.version {
            flight.only = Some(self.insisted(flight.workspace, name)?);
        }
        if let Some(session) = request.session {
            self.sessions.count(flight.workspace, flight.task);
            if let Some(account) = self.account_mut(flight.workspace, flight.task) {
                account.redeem();
            }
            let remembered = || self.sessions.pin(flight.workspace, session, now);
            let pin = request.pin.and_then(|pin| self.versions.find(pin)).or_else(remembered);
            if let Some(pin) = pin {
                self.apply_pin(now, flight, pin)?;
            }
        }
        Ok(())
    }

    pub(super) fn target(&self, workspace: WorkspaceIx, task: usize) -> Option<TaskPolicy> {
        self.workspace(workspace)?.tasks.get(task).copied().flatten()
    }

    /// The version that the caller insists on.
    fn insisted(&self, workspace: WorkspaceIx, name: &str) -> Result<VersionIx, Refusal> {
        let refusal = || Refusal::VersionNotAllowed(name.to_owned());
        let version = self.versions.find(name).ok_or_else(refusal)?;
        if !self.workspace(workspace).is_some_and(|w| w.allowed.contains(&version)) {
            return Err(refusal());
        }
        match self.state(version) {
            None => Err(refusal()),
            Some(VersionState::Withdrawn) => Err(Refusal::VersionWithdrawn(name.to_owned())),
            Some(_) if self.is_tripped(version) => Err(Refusal::VersionWithdrawn(name.to_owned())),
            Some(_) => Ok(version),
        }
    }

    /// Binds a request to its session's version, or ends the session if that version is gone.
    fn apply_pin(
        &mut self,
        now: Duration,
        flight: &mut InFlightRequest,
        pin: VersionIx,
    ) -> Result<(), Refusal> {
        if flight.only.is_some_and(|insisted| insisted != pin) && self.may_go_on(flight, pin) {
            return Err(Refusal::BadSessionPin);
        }
        flight.only = Some(pin);
        if let Some(session) = flight.session.as_deref() {
            self.sessions.keep(flight.workspace, session, pin, now);
        }
        self.check_binding(now, flight)
    }

    /// Looks again at the only version that a request may run on, since the configuration may
    /// have changed while it waited.
    pub(super) fn check_binding(
        &mut self,
        now: Duration,
        flight: &mut InFlightRequest,
    ) -> Result<(), Refusal> {
        // NB: another request of the session may have started it anew while this one waited.
        let session = flight.session.as_deref();
        let renewed = session.and_then(|session| self.sessions.pin(flight.workspace, session, now));
        if flight.only.is_some() && renewed.is_some() {
            flight.only = renewed;
        }
        let Some(only) = flight.only.filter(|only| !self.services.contains(only)) else {
            return Ok(());
        };
        if self.may_go_on(flight, only) {
            return Ok(());
        }
        if flight.session.is_none() || !self.restart_allowed(flight.workspace) {
            return Err(Refusal::VersionWithdrawn(self.versions.name(only).to_owned()));
        }
        flight.only = None;
        flight.session_restarted = true;
        self.counters.session_restarts += 1;
        Ok(())
    }

    /// Pins the request's session, if it has one, to the version chosen.
    pub(super) fn bind_session(
        &mut self,
        now: Duration,
        flight: &mut InFlightRequest,
        version: VersionIx,
    ) {
        let Some(session) = flight.session.as_deref() else {
            return;
        };
        self.sessions.keep(flight.workspace, session, version, now);
        if flight.only.replace(version).is_none() {
            self.commit_session(flight.workspace, version);
        }
    }

    fn may_go_on(&self, flight: &InFlightRequest, version: VersionIx) -> bool {
        let allowed =
            self.workspace(flight.workspace).is_some_and(|w| w.allowed.contains(&version));
        allowed && self.serves_sessions(version)
    }

    /// Expects of each task's account what a new session is likely to bring.
    fn commit_session(&mut self, workspace: WorkspaceIx, version: VersionIx) {
        let mix: Vec<_> = self.sessions.mix(workspace).collect();
        for (task, share) in mix {
            let Some(target) = self.target(workspace, task) else {
                continue;
            };
            let meets = self.estimates.meets(version, task, target.quality_target);
            if let Some(account) = self.account_mut(workspace, task) {
                account.commit(target, meets, share * SESSION_REQUESTS);
            }
        }
    }
}
