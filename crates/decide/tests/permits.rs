//! Permits for servers with a rate limit: grants of one entry, alone and beside a backup.

use std::time::Duration;

use pondwalk_decide::direct::{GranterRole, PermitBuckets, RateLimit};
use quickcheck::{Gen, QuickCheck};

const WINDOW: Duration = Duration::from_secs(4);
/// Longest time between the grant of a permit and its use.
const MAX_USE_DELAY: Duration = Duration::from_millis(250);

fn limit(text: &str) -> RateLimit {
    RateLimit::try_from(text).expect("a valid limit")
}

/// Number of requests that a server may get in four seconds.
fn max_allowed(limit: RateLimit) -> usize {
    (1.5 * limit.per_s() * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Times of the grants if a permit is requested at every `gap`.
fn grants(
    buckets: &mut PermitBuckets,
    (limit, role): (RateLimit, GranterRole),
    (from, to, gap): (Duration, Duration, Duration),
) -> Vec<Duration> {
    let mut grants = Vec::new();
    let mut now = from;
    while now < to {
        if buckets.take("s1", limit, role, now).is_ok() {
            grants.push(now);
        }
        now += gap;
    }
    grants
}

/// Largest number of requests in four seconds if each permit may be used at once or late.
fn max_used(grants: &[Duration]) -> usize {
    let span = WINDOW + MAX_USE_DELAY;
    let mut first = 0;
    let mut max = 0;
    for (last, at) in grants.iter().enumerate() {
        while *at >= grants[first] + span {
            first += 1;
        }
        max = max.max(last + 1 - first);
    }
    max
}

const MINUTE: Duration = Duration::from_secs(60);
const GAP: Duration = Duration::from_millis(3);

#[test]
fn the_limit_is_granted_and_not_exceeded() {
    for text in ["0.05", "0.4", "1.7", "12", "64", "300"] {
        let limit = limit(text);
        let mut buckets = PermitBuckets::default();
        let grants =
            grants(&mut buckets, (limit, GranterRole::Primary), (Duration::ZERO, MINUTE, GAP));
        assert!(max_used(&grants) <= max_allowed(limit), "{text}");
        let expected = limit.per_s() * MINUTE.as_secs_f64();
        let count = grants.len() as f64;
        assert!(count <= expected + 3.0 && count >= expected * 0.95 - 1.0, "{count} of {expected}");
    }
}

#[test]
fn primary_and_backup_together_stay_within_the_bound() {
    for text in ["0", "0.05", "0.4", "1.7", "12", "64", "300"] {
        let limit = limit(text);
        // NB: both have accumulated the maximum number of permits.
        let start = MINUTE * 2;
        let mut all = Vec::new();
        for role in [GranterRole::Primary, GranterRole::Backup] {
            let mut buckets = PermitBuckets::default();
            let _ = buckets.take("s1", limit, role, Duration::ZERO);
            all.extend(grants(&mut buckets, (limit, role), (start, start + MINUTE, GAP)));
        }
        all.sort();
        let max = max_used(&all);
        assert!(max <= max_allowed(limit), "{max} at {text}, {} allowed", max_allowed(limit));
    }
}

#[test]
fn restarts_of_the_granter_stay_within_the_bound() {
    for text in ["0.4", "1.7", "12", "64"] {
        let limit = limit(text);
        let mut all = Vec::new();
        for incarnation in 0..8 {
            let mut buckets = PermitBuckets::default();
            let from = Duration::from_millis(1_500) * incarnation;
            let span = (from, from + Duration::from_millis(1_500), GAP);
            all.extend(grants(&mut buckets, (limit, GranterRole::Primary), span));
        }
        assert!(max_used(&all) <= max_allowed(limit), "{text}");
    }
}

#[test]
fn lowering_the_limit_discards_accumulated_permits() {
    let mut buckets = PermitBuckets::default();
    let _ = buckets.take("s1", limit("60"), GranterRole::Primary, Duration::ZERO);
    let from = Duration::from_secs(10);
    let low = limit("0.4");
    let grants = grants(&mut buckets, (low, GranterRole::Primary), (from, from + MINUTE, GAP));
    assert!(max_used(&grants) <= max_allowed(low));
    assert!(grants.len() <= 27);
}

#[test]
fn refused_requesters_are_staggered() {
    let mut buckets = PermitBuckets::default();
    let refused_until = |buckets: &mut PermitBuckets| {
        buckets
            .take("s1", limit("2"), GranterRole::Primary, Duration::ZERO)
            .expect_err("no permit yet")
    };
    let retry_at: Vec<Duration> = (0..100).map(|_| refused_until(&mut buckets)).collect();
    assert_eq!(retry_at[0], Duration::from_millis(500), "when a permit is available");
    assert!(retry_at.windows(2).all(|pair| pair[0] <= pair[1]));
    assert!(retry_at[20] >= Duration::from_secs(2), "{:?}", retry_at[20]);
    assert!(retry_at.iter().all(|at| *at <= Duration::from_secs(5)), "retry times are bounded");
}

#[test]
fn a_limit_of_zero_still_grants_a_minimum_rate() {
    let mut buckets = PermitBuckets::default();
    let grants =
        grants(&mut buckets, (limit("0"), GranterRole::Primary), (Duration::ZERO, MINUTE * 5, GAP));
    assert!((10..=17).contains(&grants.len()), "{} in five minutes", grants.len());
}

#[test]
fn no_sequence_of_requests_exceeds_the_bound() {
    fn property(milli_per_s: u16, gaps_ms: Vec<u8>) -> bool {
        let limit = limit(&format!("{:.3}", f64::from(milli_per_s) / 1_000.0));
        let mut buckets = PermitBuckets::default();
        let mut now = Duration::ZERO;
        let mut grants = Vec::new();
        for gap_ms in gaps_ms.iter().cycle().take(gaps_ms.len() * 20) {
            now += Duration::from_millis(u64::from(*gap_ms));
            if buckets.take("s1", limit, GranterRole::Primary, now).is_ok() {
                grants.push(now);
            }
        }
        max_used(&grants) <= max_allowed(limit)
    }
    let generator = Gen::from_size_and_seed(100, 43);
    QuickCheck::new().rng(generator).quickcheck(property as fn(u16, Vec<u8>) -> bool);
}
