//! Retry and spend budgets.

use crate::tuning::{MAX_RETRY_TOKENS, RETRIES_PER_REQUEST};

/// Limits retries to a share of first attempts, so that retries do not amplify overload.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: MAX_RETRY_TOKENS }
    }
}

impl RetryBudget {
    /// Adds the retry share of one first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_RETRY_TOKENS);
    }

    /// Withdraws one retry; returns whether the budget covered it.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// The part of a workspace's spend cap that this process may use.
///
/// Processes take the cap of the fleet in slices; this is the sum of the slices taken here.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpendBudget {
    limit: Option<f64>,
    spent: f64,
    reserved: f64,
}

impl SpendBudget {
    /// Sets the limit; `None` means unlimited.
    pub fn set_limit(&mut self, limit: Option<f64>) {
        self.limit = limit;
    }

    /// Whether the budget covers a further run of this cost.
    pub fn can_afford(&self, cost: f64) -> bool {
        self.limit.is_none_or(|limit| self.spent + self.reserved + cost <= limit)
    }

    /// Amount neither spent nor reserved; `None` means unlimited.
    pub fn remaining(&self) -> Option<f64> {
        self.limit.map(|limit| limit - self.spent - self.reserved)
    }

    /// Reserves the expected cost of a run that is about to start.
    pub fn reserve(&mut self, cost: f64) {
        self.reserved += cost;
    }

    /// Releases a reservation and records the actual cost.
    pub fn settle(&mut self, reserved: f64, spent: f64) {
        self.reserved = (self.reserved - reserved).max(0.0);
        self.spent += spent;
    }

    /// Amount spent so far.
    pub fn spent(&self) -> f64 {
        self.spent
    }
}
