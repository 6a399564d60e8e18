//! Whose turn it is to make a step that is due at all entries at once.
//!
//! The first entry in order makes it at once, and the next ones only if, after as long as the news
//! of it takes to reach them, the step is still due. So mostly one entry writes a step, and one that
//! has died delays it by a bounded time.

use std::{collections::HashMap, time::Duration};

use pondwalk_decide::direct::RollOutStep;

use crate::catalog::ServiceId;

/// Entries in order that wait for one another. If all of them are gone, the others follow together.
const MAX_ORDERED_ENTRIES: u32 = 3;
/// Time for each entry over which the others spread their tries then.
const UNORDERED_DELAY_PER_ENTRY: Duration = Duration::from_millis(5);

/// The steps that are due, and since when.
#[derive(Debug, Default)]
pub struct Rotation {
    due: HashMap<ServiceId, (RollOutStep, Duration)>,
}

impl Rotation {
    /// Notes which steps are due now. Returns those services whose step has been due for as long as
    /// `wait` says, and the time until the next one will have been.
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

/// How long the entry at place `rank` of the order waits with a step, where news of one takes
/// `news` to reach it.
pub fn rotation_delay(rank: usize, propagation: Duration) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let others = rank.saturating_sub(MAX_ORDERED_ENTRIES);
    propagation * rank.min(MAX_ORDERED_ENTRIES) + UNORDERED_DELAY_PER_ENTRY.saturating_mul(others)
}
