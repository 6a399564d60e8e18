//! The platform's address for calls that one entry makes for all, in memory and on tokio's clock.
//!
//! It takes reports of usage, fares as it is told to, and says which of the platform's rules were broken:
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
pub enum ReportAnswer {
    /// It was taken.
    Taken,
    /// A higher number has been seen.
    Refused,
    /// Too many calls are made.
    TooMany,
    /// Nothing.
    None,
}

/// How calls fare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Reach {
    /// They are carried out and answered at once.
    #[default]
    Fair,
    /// They are turned away.
    TooMany,
    /// They are lost without a word.
    Silent,
    /// They are carried out, and their answers lost.
    AnswersLost,
    /// They are carried out only after this long, without an answer.
    LateBy(Duration),
}

/// A call that was carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Taken {
    /// The call.
    pub call: UsageCall,
    /// When it was carried out.
    pub at: Instant,
    /// Whether it was carried out when it was made.
    is_prompt: bool,
}

#[derive(Debug, Default)]
struct State {
    taken: Vec<Taken>,
    /// Calls that arrived, whatever became of them.
    calls: u64,
    highest: u64,
    broken: Vec<String>,
}

/// The platform's address.
#[derive(Debug, Clone, Default)]
pub struct UsageSink {
    state: Rc<RefCell<State>>,
    reach: Rc<Cell<Reach>>,
    /// Entry whose calls alone are lost, if any is.
    cut: Rc<RefCell<Option<String>>>,
}

/// Time for which a holder is not to be passed over, as the tests' deployments have it.
const LEASE: Duration = Duration::from_secs(3);

impl UsageSink {
    /// Sets how calls fare from now on.
    pub fn set_reach(&self, reach: Reach) {
        self.reach.set(reach);
    }

    /// Loses the calls of one entry from now on, or of none.
    pub fn cut(&self, holder: Option<&str>) {
        *self.cut.borrow_mut() = holder.map(str::to_owned);
    }

    /// Calls that arrived so far.
    pub fn calls(&self) -> u64 {
        self.state.borrow().calls
    }

    /// Calls that were carried out, in order.
    pub fn taken(&self) -> Vec<Taken> {
        self.state.borrow().taken.clone()
    }

    /// What was reported, by window.
    pub fn reported(&self) -> BTreeMap<u64, BTreeMap<String, u64>> {
        let taken = self.taken().into_iter();
        taken.map(|taken| (taken.call.window, taken.call.counts)).collect()
    }

    /// The holder whose call was carried out last.
    pub fn holder(&self) -> Option<String> {
        self.state.borrow().taken.last().map(|taken| taken.call.holder.clone())
    }

    /// Rules that were broken.
    pub fn broken(&self) -> Vec<String> {
        self.state.borrow().broken.clone()
    }

    /// Takes a call; the caller waits for `limit` at most.
    pub async fn take(&self, call: UsageCall, limit: Duration) -> ReportAnswer {
        self.state.borrow_mut().calls += 1;
        let is_cut = self.cut.borrow().as_deref() == Some(call.holder.as_str());
        let reach = if is_cut { Reach::Silent } else { self.reach.get() };
        match reach {
            Reach::Fair => return self.carry_out(call, true),
            Reach::TooMany => return ReportAnswer::TooMany,
            Reach::Silent => {}
            Reach::AnswersLost => {
                self.carry_out(call, true);
            }
            Reach::LateBy(late) => {
                let platform = self.clone();
                spawn_local(async move {
                    sleep(late).await;
                    platform.carry_out(call, false);
                });
            }
        }
        sleep(limit).await;
        ReportAnswer::None
    }

    fn carry_out(&self, call: UsageCall, is_prompt: bool) -> ReportAnswer {
        let mut state = self.state.borrow_mut();
        state.check_number(&call, is_prompt);
        if call.fencing_token < state.highest {
            return ReportAnswer::Refused;
        }
        state.highest = call.fencing_token;
        state.check_words(&call);
        let taken = Taken { call, at: Instant::now(), is_prompt };
        state.check_turns(&taken);
        state.taken.push(taken);
        ReportAnswer::Taken
    }
}

impl State {
    fn check_number(&mut self, call: &UsageCall, is_prompt: bool) {
        let (holder, token) = (&call.holder, call.fencing_token);
        let has_other_user =
            |taken: &Taken| taken.call.fencing_token == token && taken.call.holder != *holder;
        if self.taken.iter().any(has_other_user) {
            self.broken.push(format!("{holder} uses the number {token} of another holder"));
        }
        if is_prompt && token < self.highest {
            self.broken.push(format!("{holder} calls under {token} after {}", self.highest));
        }
    }

    fn check_words(&mut self, call: &UsageCall) {
        let differs =
            |taken: &Taken| taken.call.window == call.window && taken.call.counts != call.counts;
        if self.taken.iter().any(differs) {
            self.broken.push(format!("two reports of window {} differ", call.window));
        }
    }

    fn check_turns(&mut self, latest: &Taken) {
        let within = |taken: &&Taken| latest.at < taken.at + LEASE && taken.is_prompt;
        let lately: Vec<&Taken> = self.taken.iter().filter(within).collect();
        let own = lately.iter().position(|taken| taken.call.holder == latest.call.holder);
        let is_back = own.is_some_and(|own| {
            lately[own..].iter().any(|taken| taken.call.holder != latest.call.holder)
        });
        if latest.is_prompt && is_back {
            self.broken.push(format!("{} is back within the lease", latest.call.holder));
        }
    }
}
