//! Permits to send requests to backend servers that name a rate limit.
//!
//! A limit is for all entries together, and small: mostly less than one request a second for each entry. So for
//! each server one entry grants the permits of all, from a token bucket, and what the server takes is used
//! wherever its callers are. Rendezvous hashing (Thaler and Ravishankar, 1998) on the names of server and entry
//! names it, and those that stand in for it while it cannot be reached.
//!
//! A stand-in grants a part only: where entries are cut in two, those on the other side may still get permits
//! from the first in order. With bursts and permits that are used late, both together stay below one and a half
//! times the limit.

use std::{collections::HashMap, time::Duration};

use pondwalk_types::ServerId;

use super::fleet::RateLimit;

/// Part of a limit that a stand-in grants.
const STAND_IN_PART: f64 = 0.3;
/// Permits that the first in order may save up, and a stand-in, besides those of so long. Askers come a little after
/// the moment at which there is one.
const SAVED_BY_FIRST: f64 = 2.0;
const SAVED_BY_STAND_IN: f64 = 1.0;
const BURST_TIME: Duration = Duration::from_millis(200);
/// Askers that are told to come back for each permit. Some find another server meanwhile, or have no request
/// just then.
const ASKERS_PER_PERMIT: f64 = 4.0;
/// Least permits a second. A server that takes fewer is asked so often whether that still holds, since only its
/// answers tell.
const LEAST_PER_S: f64 = 0.05;
/// Longest time after which an asker may come back. It may be served sooner where others have stopped to ask.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// Time for which a server's bucket is remembered after it was last asked for.
const BUCKET_MEMORY: Duration = Duration::from_secs(120);
/// Buckets remembered before those that are over are looked for.
const MIN_BUCKETS: usize = 64;

/// In which place an entry grants permits for a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GranterRole {
    /// It is the first in order.
    Primary,
    /// It stands in for those before it, which it cannot reach.
    Backup,
}

impl GranterRole {
    /// Permits a second that it may grant.
    fn per_s(self, limit: RateLimit) -> f64 {
        let part = match self {
            GranterRole::Primary => 1.0,
            GranterRole::Backup => STAND_IN_PART,
        };
        part * limit.per_s().max(LEAST_PER_S)
    }

    /// Permits that it may save up where it grants so many a second.
    fn max_saved(self, per_s: f64) -> f64 {
        let saved = match self {
            GranterRole::Primary => SAVED_BY_FIRST,
            GranterRole::Backup => SAVED_BY_STAND_IN,
        };
        saved + per_s * BURST_TIME.as_secs_f64()
    }
}

/// The permits that this entry grants, by server.
#[derive(Debug, Clone, Default)]
pub struct PermitBuckets {
    buckets: HashMap<ServerId, Bucket>,
    sweep_at: usize,
}

/// Permits for one server.
///
/// NB: it starts empty, since an earlier life of this entry, or another entry, may have granted some just now.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    permits: f64,
    filled_at: Duration,
    /// When the last asker that was refused may come back.
    last_retry_at: Duration,
}

impl PermitBuckets {
    /// Takes a permit for a server, or tells when to ask again.
    pub fn take(
        &mut self,
        server: &str,
        limit: RateLimit,
        granter: GranterRole,
        now: Duration,
    ) -> Result<(), Duration> {
        self.sweep(now);
        let empty = Bucket { permits: 0.0, filled_at: now, last_retry_at: now };
        let bucket = self.buckets.entry(server.to_owned()).or_insert(empty);
        let per_s = granter.per_s(limit);
        bucket.take(per_s, granter.max_saved(per_s), now)
    }

    fn sweep(&mut self, now: Duration) {
        if self.buckets.len() < self.sweep_at.max(MIN_BUCKETS) {
            return;
        }
        self.buckets.retain(|_, bucket| now < bucket.filled_at + BUCKET_MEMORY);
        // NB: doubling keeps the work of sweeping in proportion to that of inserting.
        self.sweep_at = 2 * self.buckets.len();
    }
}

impl Bucket {
    fn take(&mut self, per_s: f64, most: f64, now: Duration) -> Result<(), Duration> {
        let since_s = now.saturating_sub(self.filled_at).as_secs_f64();
        self.permits = (self.permits + since_s * per_s).min(most);
        self.filled_at = now;
        if self.permits >= 1.0 {
            self.permits -= 1.0;
            return Ok(());
        }
        Err(self.next_retry_at(per_s, now))
    }

    /// When the next asker may come back: behind most of those that were refused before it.
    fn next_retry_at(&mut self, per_s: f64, now: Duration) -> Duration {
        let latest = now + LONGEST_PAUSE;
        let after =
            |permits: f64| Duration::try_from_secs_f64(permits / per_s).unwrap_or(LONGEST_PAUSE);
        let next = now + after(1.0 - self.permits);
        let behind = self.last_retry_at + after(1.0 / ASKERS_PER_PERMIT);
        self.last_retry_at = next.max(behind).min(latest);
        self.last_retry_at
    }
}
