//! Quality accounts: how far a workspace's answers to one task are above its target share.
//!
//! Each answer that meets the target earns `1 - share`, each that misses it costs `share`; an
//! answer not rated yet counts by its expectation. A balance of zero or more means that the
//! share is met. What a missing answer is worth rises from nothing, when there is plenty, to a fixed
//! price when there is none, so that quality is bought when it is short and saved on otherwise.

use pondwalk_types::TaskPolicy;

use crate::tuning::{
    ACCOUNT_LIMIT, BALANCE_RESERVE, BALANCE_SOFTNESS, SESSION_REQUESTS, SHORTFALL_PENALTY,
    SLACK_GAIN, SLACK_LIMIT, SLACK_START,
};

/// One workspace's account for one task.
#[derive(Debug, Clone, Copy, Default)]
pub struct Account {
    balance: f64,
    /// Change of the balance that sessions under way are expected to bring.
    committed: f64,
}

impl Account {
    /// Counts an answer that meets the target with probability `meets`.
    pub fn expect(&mut self, task: TaskPolicy, meets: f64) {
        self.shift(meets - task.target_share);
    }

    /// Replaces an expectation by another.
    pub fn expect_instead(&mut self, before: f64, meets: f64) {
        self.shift(meets - before);
    }

    /// Takes back an answer that never came.
    pub fn take_back(&mut self, task: TaskPolicy, expected: f64) {
        self.shift(task.target_share - expected);
    }

    /// Replaces an expectation by what was seen.
    pub fn correct(&mut self, expected: f64, met: bool) {
        self.expect_instead(expected, f64::from(u8::from(met)));
    }

    /// Penalty after one answer, in runs of the dearest version.
    pub fn penalty(&self, task: TaskPolicy, met: bool, level: SlackLevel) -> f64 {
        let change = f64::from(u8::from(met)) - task.target_share;
        level.penalty(self.expected() + change)
    }

    /// Penalty once a session has brought `answers` that meet the target with that probability.
    pub fn penalty_after(
        &self,
        task: TaskPolicy,
        meets: f64,
        answers: f64,
        level: SlackLevel,
    ) -> f64 {
        level.penalty(self.expected() + answers * (meets - task.target_share))
    }

    /// Counts on a new session to bring `answers` that meet the target with that probability.
    pub fn commit(&mut self, task: TaskPolicy, meets: f64, answers: f64) {
        let drift = answers * (meets - task.target_share);
        self.committed = (self.committed + drift).clamp(-ACCOUNT_LIMIT, ACCOUNT_LIMIT);
    }

    /// Notes that one request of a session has come: a part of what was expected is past.
    pub fn redeem(&mut self) {
        self.committed *= 1.0 - 1.0 / SESSION_REQUESTS;
    }

    /// Balance with what sessions under way are expected to bring.
    pub fn expected(&self) -> f64 {
        self.balance + self.committed
    }

    fn shift(&mut self, change: f64) {
        self.balance = (self.balance + change).clamp(-ACCOUNT_LIMIT, ACCOUNT_LIMIT);
    }
}

/// The balance at which quality is worth half its highest price, for one task in all workspaces.
///
/// It moves slowly until balances stay near the reserve on average. So the price of quality comes
/// to rest where the last answer is worth saving on, whatever the versions cost, and a balance
/// that is high for a moment is not spent on savings too small to deserve it.
#[derive(Debug, Clone, Copy)]
pub struct SlackLevel {
    level: f64,
}

impl Default for SlackLevel {
    fn default() -> Self {
        SlackLevel { level: SLACK_START }
    }
}

impl SlackLevel {
    /// Takes in the balance of one account at a request.
    pub fn observe(&mut self, balance: f64) {
        let error = (BALANCE_RESERVE - balance).clamp(-1.0, 1.0);
        self.level = (self.level + SLACK_GAIN * error).clamp(-SLACK_LIMIT, SLACK_LIMIT);
    }

    /// Penalty of standing at a balance: linear far below the level, fading to nothing above it.
    fn penalty(self, balance: f64) -> f64 {
        let short = (self.level - balance) / BALANCE_SOFTNESS;
        // NB: the logarithm of 1 + e^x in a form that does not overflow.
        let softplus = short.max(0.0) + (-short.abs()).exp().ln_1p();
        SHORTFALL_PENALTY * BALANCE_SOFTNESS * softplus
    }
}
