//! Permits for servers that name a rate limit: what one entry grants, alone and beside one that stands in for it.

use std::time::Duration;

use pondwalk_decide::direct::{GranterRole, PermitBuckets, RateLimit};
use quickcheck::{Gen, QuickCheck};

const WINDOW: Duration = Duration::from_secs(4);
/// Longest time for which a permit may wait to be used.
const USED_LATE: Duration = Duration::from_millis(250);

fn limit(text: &str) -> RateLimit {
    RateLimit::try_from(text).expect("a limit")
}

/// Requests that a server may get in four seconds.
fn allowed(limit: RateLimit) -> usize {
    (1.5 * limit.per_s() * WINDOW.as_secs_f64() + 5.0) as usize
}

/// When permits are granted to whoever asks each so often.
fn granted(
    buckets: &mut PermitBuckets,
    (limit, granter): (RateLimit, GranterRole),
    (from, to, gap): (Duration, Duration, Duration),
) -> Vec<Duration> {
    let mut granted = Vec::new();
    let mut now = from;
    while now < to {
        if buckets.take("s1", limit, granter, now).is_ok() {
            granted.push(now);
        }
        now += gap;
    }
    granted
}

/// Most requests in four seconds, if each permit may be used at once or late.
fn most_used(granted: &[Duration]) -> usize {
    let span = WINDOW + USED_LATE;
    let mut first = 0;
    let mut most = 0;
    for (last, at) in granted.iter().enumerate() {
        while *at >= granted[first] + span {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

const MINUTE: Duration = Duration::from_secs(60);
const GAP: Duration = Duration::from_millis(3);

#[test]
fn what_a_server_takes_is_granted_and_no_more() {
    for text in ["0.05", "0.4", "1.7", "12", "64", "300"] {
        let limit = limit(text);
        let mut buckets = PermitBuckets::default();
        let granted =
            granted(&mut buckets, (limit, GranterRole::Primary), (Duration::ZERO, MINUTE, GAP));
        assert!(most_used(&granted) <= allowed(limit), "{text}");
        let taken = limit.per_s() * MINUTE.as_secs_f64();
        let count = granted.len() as f64;
        assert!(count <= taken + 3.0 && count >= taken * 0.95 - 1.0, "{count} of {taken}");
    }
}

#[test]
fn a_stand_in_and_the_first_together_stay_below_what_is_allowed() {
    for text in ["0", "0.05", "0.4", "1.7", "12", "64", "300"] {
        let limit = limit(text);
        // NB: both have saved up all they may.
        let rested = MINUTE * 2;
        let mut all = Vec::new();
        for granter in [GranterRole::Primary, GranterRole::Backup] {
            let mut buckets = PermitBuckets::default();
            let _ = buckets.take("s1", limit, granter, Duration::ZERO);
            all.extend(granted(&mut buckets, (limit, granter), (rested, rested + MINUTE, GAP)));
        }
        all.sort();
        let most = most_used(&all);
        assert!(most <= allowed(limit), "{most} at {text}, {} allowed", allowed(limit));
    }
}

#[test]
fn an_entry_that_starts_anew_grants_nothing_that_its_life_before_may_have_granted() {
    for text in ["0.4", "1.7", "12", "64"] {
        let limit = limit(text);
        let mut all = Vec::new();
        for life in 0..8 {
            let mut buckets = PermitBuckets::default();
            let from = Duration::from_millis(1_500) * life;
            let span = (from, from + Duration::from_millis(1_500), GAP);
            all.extend(granted(&mut buckets, (limit, GranterRole::Primary), span));
        }
        assert!(most_used(&all) <= allowed(limit), "{text}");
    }
}

#[test]
fn a_limit_that_is_lowered_takes_what_was_saved_up() {
    let mut buckets = PermitBuckets::default();
    let _ = buckets.take("s1", limit("60"), GranterRole::Primary, Duration::ZERO);
    let from = Duration::from_secs(10);
    let low = limit("0.4");
    let granted = granted(&mut buckets, (low, GranterRole::Primary), (from, from + MINUTE, GAP));
    assert!(most_used(&granted) <= allowed(low));
    assert!(granted.len() <= 27);
}

#[test]
fn those_who_are_refused_come_back_one_after_the_other() {
    let mut buckets = PermitBuckets::default();
    let ask = |buckets: &mut PermitBuckets| {
        buckets.take("s1", limit("2"), GranterRole::Primary, Duration::ZERO).expect_err("none yet")
    };
    let told: Vec<Duration> = (0..100).map(|_| ask(&mut buckets)).collect();
    assert_eq!(told[0], Duration::from_millis(500), "when there is one");
    assert!(told.windows(2).all(|pair| pair[0] <= pair[1]));
    assert!(told[20] >= Duration::from_secs(2), "{:?}", told[20]);
    assert!(told.iter().all(|at| *at <= Duration::from_secs(5)), "none is sent away for long");
}

#[test]
fn a_server_that_takes_nothing_is_asked_now_and_then() {
    let mut buckets = PermitBuckets::default();
    let granted = granted(
        &mut buckets,
        (limit("0"), GranterRole::Primary),
        (Duration::ZERO, MINUTE * 5, GAP),
    );
    assert!((10..=17).contains(&granted.len()), "{} in five minutes", granted.len());
}

#[test]
fn no_order_of_questions_gets_more() {
    fn holds(milli_per_s: u16, gaps_ms: Vec<u8>) -> bool {
        let limit = limit(&format!("{:.3}", f64::from(milli_per_s) / 1_000.0));
        let mut buckets = PermitBuckets::default();
        let mut now = Duration::ZERO;
        let mut granted = Vec::new();
        for gap_ms in gaps_ms.iter().cycle().take(gaps_ms.len() * 20) {
            now += Duration::from_millis(u64::from(*gap_ms));
            if buckets.take("s1", limit, GranterRole::Primary, now).is_ok() {
                granted.push(now);
            }
        }
        most_used(&granted) <= allowed(limit)
    }
    let drawn = Gen::from_size_and_seed(100, 43);
    QuickCheck::new().rng(drawn).quickcheck(holds as fn(u16, Vec<u8>) -> bool);
}
