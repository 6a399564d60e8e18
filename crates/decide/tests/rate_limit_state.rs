//! Which report of a server's rate limit applies, and when it is published to other entries.

use std::time::Duration;

use pondwalk_decide::direct::{RateLimit, RateLimitState, ReportedRateLimit};
use quickcheck::{Gen, QuickCheck};

fn limit(text: &str) -> RateLimit {
    RateLimit::try_from(text).expect("a valid limit")
}

fn reported(text: &str) -> ReportedRateLimit {
    ReportedRateLimit::Limit(limit(text))
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Uses a fixed seed.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 43))
}

/// The state after a report of two requests a second at 100 ms.
fn two_a_second() -> RateLimitState {
    let mut state = RateLimitState::default();
    assert!(state.apply_reported(reported("2"), at(50), at(100)));
    state
}

#[test]
fn a_request_sent_before_the_report_cannot_raise_the_limit() {
    let mut state = two_a_second();
    assert!(!state.apply_reported(ReportedRateLimit::NoLimit, at(90), at(150)));
    assert!(!state.apply_reported(reported("9"), at(90), at(150)));
    assert_eq!(state.limit(), Some(limit("2")));
    assert!(
        state.apply_reported(reported("1"), at(90), at(160)),
        "a lower limit is certainly no older"
    );
    assert_eq!(state.limit(), Some(limit("1")));
}

#[test]
fn a_request_sent_after_the_report_can_raise_the_limit() {
    let mut state = two_a_second();
    assert!(state.apply_reported(reported("9"), at(110), at(150)));
    assert_eq!(state.limit(), Some(limit("9")));
    assert!(state.apply_reported(ReportedRateLimit::NoLimit, at(160), at(200)));
    assert_eq!(state.limit(), None);
}

#[test]
fn an_answer_without_a_valid_report_changes_nothing() {
    let mut state = two_a_second();
    assert!(!state.apply_reported(ReportedRateLimit::NotReported, at(500), at(600)));
    assert_eq!(state.limit(), Some(limit("2")));
    assert!(!RateLimitState::default().apply_reported(ReportedRateLimit::NoLimit, at(1), at(2)));
}

#[test]
fn the_latest_report_counts_whether_own_or_of_a_peer() {
    let mut state = two_a_second();
    assert!(!state.apply_from_peer(None, at(90)), "an older report of a peer");
    assert_eq!(state.limit(), Some(limit("2")));
    assert!(state.apply_from_peer(None, at(150)));
    assert_eq!(state.limit(), None);
    assert!(!state.apply_from_peer(Some(limit("2")), at(120)));
    assert_eq!(state.limit(), None);
}

#[test]
fn a_limit_is_published_once_and_again_after_a_large_change() {
    let mut state = two_a_second();
    assert!(state.take_due_publication(at(100)));
    assert!(!state.take_due_publication(at(5_000)), "nothing has changed");
    state.apply_reported(reported("1.9"), at(5_000), at(5_100));
    assert!(!state.take_due_publication(at(5_100)), "a small change");
    state.apply_reported(reported("1"), at(5_100), at(5_200));
    assert!(state.take_due_publication(at(5_200)), "lowered by half");
    state.apply_reported(reported("0.5"), at(5_200), at(5_300));
    assert!(!state.take_due_publication(at(5_300)), "too soon after the last publication");
    assert!(state.take_due_publication(at(6_300)));
    state.apply_reported(reported("8"), at(6_300), at(6_400));
    assert!(!state.take_due_publication(at(8_000)), "a raised limit may be published later");
    assert!(state.take_due_publication(at(11_400)));
    state.apply_reported(ReportedRateLimit::NoLimit, at(12_000), at(12_500));
    assert!(state.take_due_publication(at(12_500)), "the limit was removed");
}

#[test]
fn a_limit_received_from_a_peer_is_not_published_again() {
    let mut state = RateLimitState::default();
    state.apply_from_peer(Some(limit("2")), at(100));
    state.apply_reported(reported("2"), at(150), at(200));
    assert!(!state.take_due_publication(at(5_000)));
}

#[test]
fn the_absence_of_a_limit_is_not_published() {
    let mut state = RateLimitState::default();
    state.apply_reported(ReportedRateLimit::NoLimit, at(1), at(2));
    assert!(!state.take_due_publication(at(1_000)));
}

#[test]
fn a_limit_is_kept_for_a_minute() {
    let state = two_a_second();
    assert!(state.is_recent(at(60_000)));
    assert!(!state.is_recent(at(60_200)));
}

#[test]
fn only_decimal_numbers_are_accepted() {
    fn property(text: String) -> bool {
        let is_plain =
            text.trim().chars().all(|character| character.is_ascii_digit() || character == '.');
        RateLimit::try_from(text.as_str()).is_err() || is_plain
    }
    seeded().quickcheck(property as fn(String) -> bool);
}

#[test]
fn a_limit_is_parsed_to_a_thousandth() {
    fn property(milli_per_s: u32) -> bool {
        let text = format!("{}.{:03}", milli_per_s / 1_000, milli_per_s % 1_000);
        let parsed = (limit(&text).per_s() * 1_000.0).round() as u32;
        // NB: never more than was reported, and at most a thousandth less.
        parsed <= milli_per_s && milli_per_s - parsed <= 1
    }
    seeded().quickcheck(property as fn(u32) -> bool);
    assert!([1_001, 4_294_967_295].into_iter().all(property));
}
