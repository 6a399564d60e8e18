//! Budgets: retries, and money.

use crate::tuning::{RETRIES_PER_REQUEST, RETRY_SAVINGS};

/// Keeps retries in proportion to first attempts, so that overload does not multiply.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: RETRY_SAVINGS }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(RETRY_SAVINGS);
    }

    /// Takes one retry out, if there is one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// What a workspace may still spend at this process.
///
/// NB: the fleet's cap is cut into slices that processes lease; this is one slice.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpendBudget {
    limit: Option<f64>,
    spent: f64,
    reserved: f64,
}

impl SpendBudget {
    /// Sets the slice in force; `None` means without limit.
    pub fn set_limit(&mut self, limit: Option<f64>) {
        self.limit = limit;
    }

    /// Whether a run of this cost still fits.
    pub fn affords(&self, cost: f64) -> bool {
        self.limit.is_none_or(|limit| self.spent + self.reserved + cost <= limit)
    }

    /// What is neither spent nor set aside; `None` means without limit.
    pub fn left(&self) -> Option<f64> {
        self.limit.map(|limit| limit - self.spent - self.reserved)
    }

    /// Sets money aside for a run that is about to start.
    pub fn reserve(&mut self, cost: f64) {
        self.reserved += cost;
    }

    /// Gives back what was set aside and counts what was really spent.
    pub fn settle(&mut self, reserved: f64, spent: f64) {
        self.reserved = (self.reserved - reserved).max(0.0);
        self.spent += spent;
    }

    /// What was spent so far.
    pub fn spent(&self) -> f64 {
        self.spent
    }
}
