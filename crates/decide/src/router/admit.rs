//! Admission of requests by the policy, and their binding to versions.

use std::time::Duration;

use pondwalk_types::{Refusal, TaskPolicy, VersionState};

use super::Router;
use crate::{
    in_flight::InFlightRequest,
    intern::{VersionIx, WorkspaceIx},
    request::Request,
    tuning::EXPECTED_SESSION_REQUESTS,
};

impl Router {
    /// Checks a request against the policy and creates its in-flight state.
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
        let mut in_flight = InFlightRequest {
            workspace,
            task,
            target: None,
            bound_version: None,
            session: request.session.filter(|_| request.service.is_none()).map(Box::from),
            session_restarted: false,
            prompt_tokens: request.prompt_tokens,
            prefix: request.prefix,
            arrived: request.arrived,
            deadline: request.deadline,
            repeatable: request.repeatable,
            streaming: request.streaming,
            tried_versions: Vec::new(),
            avoided_servers: Vec::new(),
            refusals: 0,
            run: None,
            is_pass_through: false,
            answer: None,
            previous_answer: None,
            expected_meets: None,
            spent: 0.0,
        };
        match request.service {
            Some(service) => in_flight.bound_version = Some(self.service(workspace, service)?),
            None => self.admit_chat(now, request, &mut in_flight)?,
        }
        if now >= in_flight.deadline {
            return Err(Refusal::TooLate { deadline_ms: in_flight.stated_deadline_ms() });
        }
        Ok(in_flight)
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
        in_flight: &mut InFlightRequest,
    ) -> Result<(), Refusal> {
        in_flight.target = self.target(in_flight.workspace, in_flight.task);
        self.estimates.add_deadline(in_flight.task, in_flight.time_left(in_flight.arrived));
        let only_listed =
            self.workspace(in_flight.workspace).is_some_and(|w| w.policy.only_listed_tasks);
        if only_listed && in_flight.target.is_none() {
            return Err(Refusal::TaskNotAllowed);
        }
        if let Some(name) = request.version {
            in_flight.bound_version = Some(self.requested_version(in_flight.workspace, name)?);
        }
        if let Some(session) = request.session {
            self.sessions.record_request(in_flight.workspace, in_flight.task);
            if let Some(balance) = self.balance_mut(in_flight.workspace, in_flight.task) {
                balance.consume_commitment();
            }
            let remembered_pin = || self.sessions.pinned_version(in_flight.workspace, session, now);
            let pin = request.pin.and_then(|pin| self.versions.find(pin)).or_else(remembered_pin);
            if let Some(pin) = pin {
                self.apply_pin(now, in_flight, pin)?;
            }
        }
        Ok(())
    }

    pub(super) fn target(&self, workspace: WorkspaceIx, task: usize) -> Option<TaskPolicy> {
        self.workspace(workspace)?.tasks.get(task).copied().flatten()
    }

    /// The index of the version that the caller requests explicitly.
    fn requested_version(&self, workspace: WorkspaceIx, name: &str) -> Result<VersionIx, Refusal> {
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

    /// Binds a request to its session's version, or restarts the session if it is unavailable.
    fn apply_pin(
        &mut self,
        now: Duration,
        in_flight: &mut InFlightRequest,
        pin: VersionIx,
    ) -> Result<(), Refusal> {
        if in_flight.bound_version.is_some_and(|version| version != pin)
            && self.is_still_allowed(in_flight, pin)
        {
            return Err(Refusal::BadSessionPin);
        }
        in_flight.bound_version = Some(pin);
        if let Some(session) = in_flight.session.as_deref() {
            self.sessions.pin_session(in_flight.workspace, session, pin, now);
        }
        self.revalidate_binding(now, in_flight)
    }

    /// Checks the bound version of a request again, because the configuration may have changed
    /// since the request arrived.
    pub(super) fn revalidate_binding(
        &mut self,
        now: Duration,
        in_flight: &mut InFlightRequest,
    ) -> Result<(), Refusal> {
        // NB: another request may have restarted the session in the meantime.
        let session = in_flight.session.as_deref();
        let current_pin = session
            .and_then(|session| self.sessions.pinned_version(in_flight.workspace, session, now));
        if in_flight.bound_version.is_some() && current_pin.is_some() {
            in_flight.bound_version = current_pin;
        }
        let Some(bound_version) =
            in_flight.bound_version.filter(|bound_version| !self.services.contains(bound_version))
        else {
            return Ok(());
        };
        if self.is_still_allowed(in_flight, bound_version) {
            return Ok(());
        }
        if in_flight.session.is_none() || !self.restart_allowed(in_flight.workspace) {
            return Err(Refusal::VersionWithdrawn(self.versions.name(bound_version).to_owned()));
        }
        in_flight.bound_version = None;
        in_flight.session_restarted = true;
        self.counters.session_restarts += 1;
        Ok(())
    }

    /// Pins the request's session, if it has one, to the chosen version.
    pub(super) fn pin_session(
        &mut self,
        now: Duration,
        in_flight: &mut InFlightRequest,
        version: VersionIx,
    ) {
        let Some(session) = in_flight.session.as_deref() else {
            return;
        };
        self.sessions.pin_session(in_flight.workspace, session, version, now);
        if in_flight.bound_version.replace(version).is_none() {
            self.commit_session(in_flight.workspace, version);
        }
    }

    fn is_still_allowed(&self, in_flight: &InFlightRequest, version: VersionIx) -> bool {
        let allowed =
            self.workspace(in_flight.workspace).is_some_and(|w| w.allowed.contains(&version));
        allowed && self.accepts_session_work(version)
    }

    /// Adds the expected answers of a new session to the quality balance of each task.
    fn commit_session(&mut self, workspace: WorkspaceIx, version: VersionIx) {
        let task_shares: Vec<_> = self.sessions.task_shares(workspace).collect();
        for (task, share) in task_shares {
            let Some(target) = self.target(workspace, task) else {
                continue;
            };
            let p_meets = self.estimates.p_meets(version, task, target.quality_target);
            if let Some(balance) = self.balance_mut(workspace, task) {
                balance.commit_answers(target, p_meets, share * EXPECTED_SESSION_REQUESTS);
            }
        }
    }
}
