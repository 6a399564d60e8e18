//! Write order of the entries for steps that become due at all of them at once.
//!
//! The first entry in rotation writes immediately; each next one only if the step is still due
//! after the time that a write takes to reach it. Usually a single entry writes, and an entry that
//! has failed delays the step by a bounded time.

use std::{collections::HashMap, time::Duration};

use pondwalk_decide::direct::RollOutStep;

use crate::catalog::ServiceId;

/// Entries that wait for one another in rotation. If all of them are gone, the others follow
/// together.
const MAX_ORDERED_ENTRIES: u32 = 3;
/// Additional delay per entry after those, to spread their attempts.
const UNORDERED_DELAY_PER_ENTRY: Duration = Duration::from_millis(5);

/// Due steps, and since when each has been due.
#[derive(Debug, Default)]
pub struct Rotation {
    due: HashMap<ServiceId, (RollOutStep, Duration)>,
}

impl Rotation {
    /// Updates the set of due steps. Returns the services whose step has been due for at least
    /// `wait`, and the time until the next one will have been.
    pub fn ready(
        &mut self,
        due: &[(ServiceId, RollOutStep)],
        now: Duration,
        wait: impl Fn(&ServiceId, RollOutStep) -> Duration,
    ) -> (Vec<ServiceId>, Option<Duration>) {
        self.due.retain(|service, (step, _)| due.contains(&(service.clone(), *step)));
        let mut ready = Vec::new();
        let mut next: Option<Duration> = None;
        for (service, step) in due {
            let (_, since) = *self.due.entry(service.clone()).or_insert((*step, now));
            match (since + wait(service, *step)).checked_sub(now) {
                Some(left) if !left.is_zero() => {
                    next = Some(next.map_or(left, |next| next.min(left)));
                }
                _ => ready.push(service.clone()),
            }
        }
        (ready, next)
    }
}

/// Delay of the entry at position `rank` in rotation, where a write takes `propagation` to reach
/// it.
pub fn rotation_delay(rank: usize, propagation: Duration) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let others = rank.saturating_sub(MAX_ORDERED_ENTRIES);
    propagation * rank.min(MAX_ORDERED_ENTRIES) + UNORDERED_DELAY_PER_ENTRY.saturating_mul(others)
}
