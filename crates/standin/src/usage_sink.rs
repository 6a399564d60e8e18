//! The platform's address for calls that one entry makes for all, in memory and on tokio's clock.
//!
//! It takes reports of usage, fares as it is told to, and says which of the platform's rules were violations:
//! two reports of one window that differ, one number used by two holders, a lower number after a higher
//! one, and holders that act by turns within the lease.

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

/// A call as it arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageCall {
    /// Name of the entry that calls.
    pub holder: String,
    /// Its number.
    pub fencing_token: u64,
    /// Window that it reports.
    pub window: u64,
    /// Requests by workspace.
    pub counts: BTreeMap<String, u64>,
}

/// What the caller hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportResponse {
    /// It was accepted.
    Accepted,
    /// A higher number has been seen.
    Refused,
    /// Too many calls are made.
    TooManyRequests,
    /// Nothing.
    NoResponse,
}

/// How calls fare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SinkFaultMode {
    /// They are carried out and answered at once.
    #[default]
    Normal,
    /// They are turned away.
    TooManyRequests,
    /// They are lost without a word.
    Silent,
    /// They are carried out, and their answers lost.
    AnswersLost,
    /// They are carried out only after this long, without an answer.
    Delayed(Duration),
}

/// A call that was carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedCall {
    /// The call.
    pub call: UsageCall,
    /// When it was carried out.
    pub at: Instant,
    /// Whether it was carried out when it was made.
    is_prompt: bool,
}

#[derive(Debug, Default)]
struct State {
    accepted: Vec<AcceptedCall>,
    /// Calls that arrived, whatever became of them.
    calls: u64,
    highest_token: u64,
    violations: Vec<String>,
}

/// The platform's address.
#[derive(Debug, Clone, Default)]
pub struct UsageSink {
    state: Rc<RefCell<State>>,
    fault_mode: Rc<Cell<SinkFaultMode>>,
    /// Entry whose calls alone are lost, if any is.
    dropped_holder: Rc<RefCell<Option<String>>>,
}

/// Time for which a holder is not to be passed over, as the tests' deployments have it.
const LEASE_TIME: Duration = Duration::from_secs(3);

impl UsageSink {
    /// Sets how calls fare from now on.
    pub fn set_fault_mode(&self, fault_mode: SinkFaultMode) {
        self.fault_mode.set(fault_mode);
    }

    /// Loses the calls of one entry from now on, or of none.
    pub fn drop_calls_from(&self, holder: Option<&str>) {
        *self.dropped_holder.borrow_mut() = holder.map(str::to_owned);
    }

    /// Calls that arrived so far.
    pub fn calls(&self) -> u64 {
        self.state.borrow().calls
    }

    /// Calls that were carried out, in order.
    pub fn accepted(&self) -> Vec<AcceptedCall> {
        self.state.borrow().accepted.clone()
    }

    /// What was reported, by window.
    pub fn reported(&self) -> BTreeMap<u64, BTreeMap<String, u64>> {
        let accepted = self.accepted().into_iter();
        accepted.map(|accepted| (accepted.call.window, accepted.call.counts)).collect()
    }

    /// The holder whose call was carried out last.
    pub fn holder(&self) -> Option<String> {
        self.state.borrow().accepted.last().map(|accepted| accepted.call.holder.clone())
    }

    /// Rules that were violations.
    pub fn violations(&self) -> Vec<String> {
        self.state.borrow().violations.clone()
    }

    /// Takes a call; the caller waits for `limit` at most.
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
                let platform = self.clone();
                spawn_local(async move {
                    sleep(delay).await;
                    platform.accept(call, false);
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
            self.violations.push(format!("{holder} uses the number {token} of another holder"));
        }
        if is_prompt && token < self.highest_token {
            self.violations
                .push(format!("{holder} calls under {token} after {}", self.highest_token));
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
        let within =
            |accepted: &&AcceptedCall| latest.at < accepted.at + LEASE_TIME && accepted.is_prompt;
        let recent: Vec<&AcceptedCall> = self.accepted.iter().filter(within).collect();
        let own = recent.iter().position(|accepted| accepted.call.holder == latest.call.holder);
        let has_returned = own.is_some_and(|own| {
            recent[own..].iter().any(|accepted| accepted.call.holder != latest.call.holder)
        });
        if latest.is_prompt && has_returned {
            self.violations.push(format!("{} is back within the lease", latest.call.holder));
        }
    }
}
