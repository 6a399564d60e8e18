//! The platform's receiver of usage reports, which one entry sends for all, in memory and on
//! tokio's clock.
//!
//! It accepts reports, injects faults, and records violations of the platform's rules: two
//! differing reports of one window, one fencing token used by two holders, a lower fencing token
//! after a higher one, and holders that alternate within the lease.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

/// A usage report, as the caller sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageCall {
    /// Name of the entry that sends the report.
    pub holder: String,
    /// Fencing token of the holder.
    pub fencing_token: u64,
    /// Number of the reported window.
    pub window: u64,
    /// Requests by workspace.
    pub counts: BTreeMap<String, u64>,
}

/// Response to a report, as the caller receives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportResponse {
    /// The report was accepted.
    Accepted,
    /// The fencing token is lower than one accepted before.
    Refused,
    /// The caller sends too many reports.
    TooManyRequests,
    /// No response arrived in time.
    NoResponse,
}

/// Fault injected into the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SinkFaultMode {
    /// No fault: calls are accepted and answered at once.
    #[default]
    Normal,
    /// Calls are rejected.
    TooManyRequests,
    /// Calls are lost without a response.
    Silent,
    /// Calls are accepted, but their responses are lost.
    AnswersLost,
    /// Calls are accepted after this time, and their responses are lost.
    Delayed(Duration),
}

/// A call that was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedCall {
    /// The call.
    pub call: UsageCall,
    /// Time at which the call was accepted.
    pub at: Instant,
    /// Whether the call was accepted as soon as it was made.
    is_prompt: bool,
}

#[derive(Debug, Default)]
struct State {
    accepted: Vec<AcceptedCall>,
    /// Number of calls made, including those lost or rejected.
    calls: u64,
    highest_token: u64,
    violations: Vec<String>,
}

/// Handle on the receiver; clones share it.
#[derive(Debug, Clone, Default)]
pub struct UsageSink {
    state: Rc<RefCell<State>>,
    fault_mode: Rc<Cell<SinkFaultMode>>,
    /// Entry whose calls are lost, if any, regardless of the fault mode.
    dropped_holder: Rc<RefCell<Option<String>>>,
}

/// Time for which a holder keeps the lease, as configured in the tests.
const LEASE_TIME: Duration = Duration::from_secs(3);

impl UsageSink {
    /// Sets the fault mode of later calls.
    pub fn set_fault_mode(&self, fault_mode: SinkFaultMode) {
        self.fault_mode.set(fault_mode);
    }

    /// Drops later calls of one entry, or of none.
    pub fn drop_calls_from(&self, holder: Option<&str>) {
        *self.dropped_holder.borrow_mut() = holder.map(str::to_owned);
    }

    /// Returns the number of calls made so far, including those lost or rejected.
    pub fn calls(&self) -> u64 {
        self.state.borrow().calls
    }

    /// Returns the accepted calls, in order.
    pub fn accepted(&self) -> Vec<AcceptedCall> {
        self.state.borrow().accepted.clone()
    }

    /// Returns the reported counts by window, from the last accepted report of each.
    pub fn reported(&self) -> BTreeMap<u64, BTreeMap<String, u64>> {
        let accepted = self.accepted().into_iter();
        accepted.map(|accepted| (accepted.call.window, accepted.call.counts)).collect()
    }

    /// Returns the holder of the last accepted call.
    pub fn holder(&self) -> Option<String> {
        self.state.borrow().accepted.last().map(|accepted| accepted.call.holder.clone())
    }

    /// Returns descriptions of the rule violations so far.
    pub fn violations(&self) -> Vec<String> {
        self.state.borrow().violations.clone()
    }

    /// Receives a call; the caller waits for a response for `limit` at most.
    pub async fn report(&self, call: UsageCall, limit: Duration) -> ReportResponse {
        self.state.borrow_mut().calls += 1;
        let is_dropped = self.dropped_holder.borrow().as_deref() == Some(call.holder.as_str());
        let fault_mode = if is_dropped { SinkFaultMode::Silent } else { self.fault_mode.get() };
        match fault_mode {
            SinkFaultMode::Normal => return self.accept(call, true),
            SinkFaultMode::TooManyRequests => return ReportResponse::TooManyRequests,
            SinkFaultMode::Silent => {}
            SinkFaultMode::AnswersLost => {
                self.accept(call, true);
            }
            SinkFaultMode::Delayed(delay) => {
                let sink = self.clone();
                spawn_local(async move {
                    sleep(delay).await;
                    sink.accept(call, false);
                });
            }
        }
        sleep(limit).await;
        ReportResponse::NoResponse
    }

    fn accept(&self, call: UsageCall, is_prompt: bool) -> ReportResponse {
        let mut state = self.state.borrow_mut();
        state.check_fencing_token(&call, is_prompt);
        if call.fencing_token < state.highest_token {
            return ReportResponse::Refused;
        }
        state.highest_token = call.fencing_token;
        state.check_counts(&call);
        let accepted = AcceptedCall { call, at: Instant::now(), is_prompt };
        state.check_alternation(&accepted);
        state.accepted.push(accepted);
        ReportResponse::Accepted
    }
}

impl State {
    fn check_fencing_token(&mut self, call: &UsageCall, is_prompt: bool) {
        let (holder, token) = (&call.holder, call.fencing_token);
        let is_of_other_holder = |accepted: &AcceptedCall| {
            accepted.call.fencing_token == token && accepted.call.holder != *holder
        };
        if self.accepted.iter().any(is_of_other_holder) {
            self.violations.push(format!("{holder} uses fencing token {token} of another holder"));
        }
        if is_prompt && token < self.highest_token {
            self.violations
                .push(format!("{holder} uses fencing token {token} after {}", self.highest_token));
        }
    }

    fn check_counts(&mut self, call: &UsageCall) {
        let differs = |accepted: &AcceptedCall| {
            accepted.call.window == call.window && accepted.call.counts != call.counts
        };
        if self.accepted.iter().any(differs) {
            self.violations.push(format!("two reports of window {} differ", call.window));
        }
    }

    fn check_alternation(&mut self, latest: &AcceptedCall) {
        let is_recent =
            |accepted: &&AcceptedCall| latest.at < accepted.at + LEASE_TIME && accepted.is_prompt;
        let recent: Vec<&AcceptedCall> = self.accepted.iter().filter(is_recent).collect();
        let first_own =
            recent.iter().position(|accepted| accepted.call.holder == latest.call.holder);
        let has_returned = first_own.is_some_and(|first_own| {
            recent[first_own..].iter().any(|accepted| accepted.call.holder != latest.call.holder)
        });
        if latest.is_prompt && has_returned {
            self.violations.push(format!(
                "{} reports again within the lease time of another holder",
                latest.call.holder
            ));
        }
    }
}
