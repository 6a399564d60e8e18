//! Grants permits to send requests to backend servers that report a rate limit.
//!
//! A limit applies to all entries together and is small, mostly less than one request a second for
//! each entry. For each server one entry therefore grants the permits of all entries from a token
//! bucket, so that the whole rate can be used wherever the callers are. Rendezvous hashing (Thaler
//! and Ravishankar, 1998) of the names of server and entry gives the order of the granters: the
//! primary, and the backups that replace it while it cannot be reached.
//!
//! A backup grants only a fraction. In a network partition the entries on the other side may still
//! get permits from the primary. With bursts and permits that are used late, both together stay
//! below one and a half times the limit.

use std::{collections::HashMap, time::Duration};

use pondwalk_types::ServerId;

use super::fleet::RateLimit;

/// Fraction of a limit that a backup grants.
const BACKUP_FRACTION: f64 = 0.3;
/// Permits that the primary and a backup may accumulate, beside those of `BURST_TIME`. Requests for
/// a permit arrive a little after the moment at which there is one.
const PRIMARY_BURST: f64 = 2.0;
const BACKUP_BURST: f64 = 1.0;
const BURST_TIME: Duration = Duration::from_millis(200);
/// Number of refused requesters that are sent back to retry for each permit. Some find another
/// server meanwhile, or have no request at that moment.
const REQUESTERS_PER_PERMIT: f64 = 4.0;
/// Lowest rate of permits. A server with a lower limit is still sent this many requests, since only
/// its answers show whether the limit still applies.
const MIN_PERMITS_PER_S: f64 = 0.05;
/// Longest time until a retry. A retry may succeed sooner if other requesters have given up.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Time for which a server's bucket is kept after its last use.
const BUCKET_RETENTION: Duration = Duration::from_secs(120);
/// Number of buckets from which expired ones are swept.
const MIN_SWEEP_BUCKETS: usize = 64;

/// Position of an entry among the granters of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GranterRole {
    /// First in order.
    Primary,
    /// Replaces the entries before it in order, which cannot be reached.
    Backup,
}

impl GranterRole {
    /// Rate of permits in this role, per second.
    fn per_s(self, limit: RateLimit) -> f64 {
        let fraction = match self {
            GranterRole::Primary => 1.0,
            GranterRole::Backup => BACKUP_FRACTION,
        };
        fraction * limit.per_s().max(MIN_PERMITS_PER_S)
    }

    /// Permits that may accumulate in this role at a rate of `per_s`.
    fn max_saved(self, per_s: f64) -> f64 {
        let burst = match self {
            GranterRole::Primary => PRIMARY_BURST,
            GranterRole::Backup => BACKUP_BURST,
        };
        burst + per_s * BURST_TIME.as_secs_f64()
    }
}

/// Token buckets for the permits that this entry grants, by server.
#[derive(Debug, Clone, Default)]
pub struct PermitBuckets {
    buckets: HashMap<ServerId, Bucket>,
    sweep_at: usize,
}

/// Token bucket of one server.
///
/// NB: it starts empty, since an earlier incarnation of this entry, or another entry, may have
/// granted permits just before.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    permits: f64,
    filled_at: Duration,
    /// When the last requester that was refused may retry.
    last_retry_at: Duration,
}

impl PermitBuckets {
    /// Takes a permit for a server, or returns when to retry.
    pub fn take(
        &mut self,
        server: &str,
        limit: RateLimit,
        role: GranterRole,
        now: Duration,
    ) -> Result<(), Duration> {
        self.sweep(now);
        let empty = Bucket { permits: 0.0, filled_at: now, last_retry_at: now };
        let bucket = self.buckets.entry(server.to_owned()).or_insert(empty);
        let per_s = role.per_s(limit);
        bucket.take(per_s, role.max_saved(per_s), now)
    }

    fn sweep(&mut self, now: Duration) {
        if self.buckets.len() < self.sweep_at.max(MIN_SWEEP_BUCKETS) {
            return;
        }
        self.buckets.retain(|_, bucket| now < bucket.filled_at + BUCKET_RETENTION);
        // NB: doubling keeps the work of sweeping in proportion to that of inserting.
        self.sweep_at = 2 * self.buckets.len();
    }
}

impl Bucket {
    fn take(&mut self, per_s: f64, max: f64, now: Duration) -> Result<(), Duration> {
        let elapsed_s = now.saturating_sub(self.filled_at).as_secs_f64();
        self.permits = (self.permits + elapsed_s * per_s).min(max);
        self.filled_at = now;
        if self.permits >= 1.0 {
            self.permits -= 1.0;
            return Ok(());
        }
        Err(self.next_retry_at(per_s, now))
    }

    /// When the next requester may retry: after most of those that were refused before it.
    fn next_retry_at(&mut self, per_s: f64, now: Duration) -> Duration {
        let latest = now + MAX_RETRY_DELAY;
        let after =
            |permits: f64| Duration::try_from_secs_f64(permits / per_s).unwrap_or(MAX_RETRY_DELAY);
        let next = now + after(1.0 - self.permits);
        let staggered = self.last_retry_at + after(1.0 / REQUESTERS_PER_PERMIT);
        self.last_retry_at = next.max(staggered).min(latest);
        self.last_retry_at
    }
}
