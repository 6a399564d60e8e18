//! Quality accounts: how far a workspace's answers to one task are above its target share.
//!
//! Each answer that meets the target earns `1 - share`, each that misses it costs `share`; an
//! answer not rated yet counts by its expectation. A balance of zero or more means that the
//! share is met. The penalty grows exponentially as the balance falls, so that quality is bought
//! dearly when it is short and saved on when there is plenty.

use pondwalk_types::TaskPolicy;

use crate::tuning::{ACCOUNT_LIMIT, SHORTFALL_DECAY, SHORTFALL_SCALE};

/// One workspace's account for one task.
#[derive(Debug, Clone, Copy, Default)]
pub struct Account {
    balance: f64,
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
    pub fn penalty(&self, task: TaskPolicy, met: bool) -> f64 {
        self.standing() * growth(task, met)
    }

    /// Expected penalty after `answers` that each meet the target with probability `meets`.
    pub fn expected_penalty(&self, task: TaskPolicy, meets: f64, answers: f64) -> f64 {
        let growth = meets * growth(task, true) + (1.0 - meets) * growth(task, false);
        self.standing() * growth.powf(answers)
    }

    fn standing(&self) -> f64 {
        SHORTFALL_SCALE * (-SHORTFALL_DECAY * self.balance).exp()
    }

    fn shift(&mut self, change: f64) {
        self.balance = (self.balance + change).clamp(-ACCOUNT_LIMIT, ACCOUNT_LIMIT);
    }
}

/// Factor by which one answer changes the penalty.
fn growth(task: TaskPolicy, met: bool) -> f64 {
    let change = f64::from(u8::from(met)) - task.target_share;
    (-SHORTFALL_DECAY * change).exp()
}
