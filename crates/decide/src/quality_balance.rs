//! Quality balances: how far a workspace's answers to one task are above its target share.
//!
//! Each answer that meets the target adds `1 - target_share`, each that misses it subtracts
//! `target_share`; an answer without a rating counts with its expected value. The target share is
//! met while the balance is at least zero. The penalty of a missed answer falls smoothly from a
//! fixed price at low balances to zero at high ones, so that money is spent on quality only when
//! quality is short.

use pondwalk_types::TaskPolicy;

use crate::tuning::{
    BALANCE_TRANSITION_ANSWERS, EXPECTED_SESSION_REQUESTS, INITIAL_MIDPOINT_ANSWERS,
    MAX_BALANCE_ANSWERS, MAX_MIDPOINT_ANSWERS, MIDPOINT_GAIN, SHORTFALL_PENALTY_RUNS,
    TARGET_BALANCE_ANSWERS,
};

/// One workspace's balance for one task, in answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct QualityBalance {
    recorded: f64,
    /// Change of the balance expected from active sessions.
    committed: f64,
}

impl QualityBalance {
    /// Adds an answer that meets the target with probability `p_meets`.
    pub fn add_expected(&mut self, task: TaskPolicy, p_meets: f64) {
        self.shift(p_meets - task.target_share);
    }

    /// Replaces the expected value of an answer.
    pub fn replace_expected(&mut self, before: f64, p_meets: f64) {
        self.shift(p_meets - before);
    }

    /// Removes the expected value of an answer that was never produced.
    pub fn remove_expected(&mut self, task: TaskPolicy, expected: f64) {
        self.shift(task.target_share - expected);
    }

    /// Replaces the expected value of an answer by its rated outcome.
    pub fn record_outcome(&mut self, expected: f64, met: bool) {
        self.replace_expected(expected, f64::from(u8::from(met)));
    }

    /// Penalty after one more answer, in runs of the most expensive version.
    pub fn penalty(&self, task: TaskPolicy, met: bool, midpoint: BalanceMidpoint) -> f64 {
        let change = f64::from(u8::from(met)) - task.target_share;
        midpoint.penalty(self.projected() + change)
    }

    /// Penalty after `answers` more answers, each meeting the target with probability `p_meets`.
    pub fn penalty_after_answers(
        &self,
        task: TaskPolicy,
        p_meets: f64,
        answers: f64,
        midpoint: BalanceMidpoint,
    ) -> f64 {
        midpoint.penalty(self.projected() + answers * (p_meets - task.target_share))
    }

    /// Adds the expected answers of a new session to the projected balance.
    pub fn commit_answers(&mut self, task: TaskPolicy, p_meets: f64, answers: f64) {
        let drift = answers * (p_meets - task.target_share);
        self.committed = (self.committed + drift).clamp(-MAX_BALANCE_ANSWERS, MAX_BALANCE_ANSWERS);
    }

    /// Removes the share of one session request from the expected change.
    pub fn consume_commitment(&mut self) {
        self.committed *= 1.0 - 1.0 / EXPECTED_SESSION_REQUESTS;
    }

    /// Balance including the change expected from active sessions.
    pub fn projected(&self) -> f64 {
        self.recorded + self.committed
    }

    fn shift(&mut self, change: f64) {
        self.recorded = (self.recorded + change).clamp(-MAX_BALANCE_ANSWERS, MAX_BALANCE_ANSWERS);
    }
}

/// The balance at which the marginal penalty is half its maximum, for one task in all workspaces.
///
/// An integral controller moves it slowly until balances settle near the target on average. The
/// price of quality thus adapts to the prices of the versions, and a temporarily high balance is
/// not spent on small savings.
#[derive(Debug, Clone, Copy)]
pub struct BalanceMidpoint {
    midpoint: f64,
}

impl Default for BalanceMidpoint {
    fn default() -> Self {
        BalanceMidpoint { midpoint: INITIAL_MIDPOINT_ANSWERS }
    }
}

impl BalanceMidpoint {
    /// Adjusts the midpoint by the balance of one workspace after a request.
    pub fn update(&mut self, balance: f64) {
        let error = (TARGET_BALANCE_ANSWERS - balance).clamp(-1.0, 1.0);
        self.midpoint = (self.midpoint + MIDPOINT_GAIN * error)
            .clamp(-MAX_MIDPOINT_ANSWERS, MAX_MIDPOINT_ANSWERS);
    }

    /// Penalty of a balance: linear far below the midpoint, approaching zero above it.
    fn penalty(self, balance: f64) -> f64 {
        let shortfall = (self.midpoint - balance) / BALANCE_TRANSITION_ANSWERS;
        // NB: ln(1 + e^x) in a form that does not overflow.
        let softplus = shortfall.max(0.0) + (-shortfall.abs()).exp().ln_1p();
        SHORTFALL_PENALTY_RUNS * BALANCE_TRANSITION_ANSWERS * softplus
    }
}
