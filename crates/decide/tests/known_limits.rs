//! Which word on a server's rate limit counts, and what others are told of it.

use std::time::Duration;

use pondwalk_decide::direct::{RateLimit, RateLimitState, ReportedRateLimit};
use quickcheck::{Gen, QuickCheck};

fn limit(text: &str) -> RateLimit {
    RateLimit::try_from(text).expect("a limit")
}

fn named(text: &str) -> ReportedRateLimit {
    ReportedRateLimit::Limit(limit(text))
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Draws the same cases each time.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 43))
}

/// A server that named two a second at 100 ms.
fn two_a_second() -> RateLimitState {
    let mut known = RateLimitState::default();
    assert!(known.apply_reported(named("2"), at(50), at(100)));
    known
}

#[test]
fn an_answer_to_a_request_sent_before_the_word_neither_lifts_nor_raises_it() {
    let mut known = two_a_second();
    assert!(!known.apply_reported(ReportedRateLimit::NoLimit, at(90), at(150)));
    assert!(!known.apply_reported(named("9"), at(90), at(150)));
    assert_eq!(known.limit(), Some(limit("2")));
    assert!(known.apply_reported(named("1"), at(90), at(160)), "a lower one is certainly no older");
    assert_eq!(known.limit(), Some(limit("1")));
}

#[test]
fn an_answer_to_a_later_request_lifts_and_raises_it() {
    let mut known = two_a_second();
    assert!(known.apply_reported(named("9"), at(110), at(150)));
    assert_eq!(known.limit(), Some(limit("9")));
    assert!(known.apply_reported(ReportedRateLimit::NoLimit, at(160), at(200)));
    assert_eq!(known.limit(), None);
}

#[test]
fn an_answer_that_says_nothing_changes_nothing() {
    let mut known = two_a_second();
    assert!(!known.apply_reported(ReportedRateLimit::NotReported, at(500), at(600)));
    assert_eq!(known.limit(), Some(limit("2")));
    assert!(!RateLimitState::default().apply_reported(ReportedRateLimit::NoLimit, at(1), at(2)));
}

#[test]
fn the_latest_of_what_was_heard_and_told_counts() {
    let mut known = two_a_second();
    assert!(!known.apply_from_peer(None, at(90)), "what another heard before");
    assert_eq!(known.limit(), Some(limit("2")));
    assert!(known.apply_from_peer(None, at(150)));
    assert_eq!(known.limit(), None);
    assert!(!known.apply_from_peer(Some(limit("2")), at(120)));
    assert_eq!(known.limit(), None);
}

#[test]
fn a_limit_is_told_once_and_again_when_it_has_changed_by_much() {
    let mut known = two_a_second();
    assert!(known.take_due_publication(at(100)));
    assert!(!known.take_due_publication(at(5_000)), "nothing has changed");
    known.apply_reported(named("1.9"), at(5_000), at(5_100));
    assert!(!known.take_due_publication(at(5_100)), "by little");
    known.apply_reported(named("1"), at(5_100), at(5_200));
    assert!(known.take_due_publication(at(5_200)), "lowered by half");
    known.apply_reported(named("0.5"), at(5_200), at(5_300));
    assert!(!known.take_due_publication(at(5_300)), "so soon after the last");
    assert!(known.take_due_publication(at(6_300)));
    known.apply_reported(named("8"), at(6_300), at(6_400));
    assert!(!known.take_due_publication(at(8_000)), "who hears late of a raised one does no harm");
    assert!(known.take_due_publication(at(11_400)));
    known.apply_reported(ReportedRateLimit::NoLimit, at(12_000), at(12_500));
    assert!(known.take_due_publication(at(12_500)), "lifted");
}

#[test]
fn what_others_have_told_is_not_told_again() {
    let mut known = RateLimitState::default();
    known.apply_from_peer(Some(limit("2")), at(100));
    known.apply_reported(named("2"), at(150), at(200));
    assert!(!known.take_due_publication(at(5_000)));
}

#[test]
fn a_server_that_names_no_limit_is_no_news() {
    let mut known = RateLimitState::default();
    known.apply_reported(ReportedRateLimit::NoLimit, at(1), at(2));
    assert!(!known.take_due_publication(at(1_000)));
}

#[test]
fn a_limit_is_remembered_for_a_minute() {
    let known = two_a_second();
    assert!(known.is_recent(at(60_000)));
    assert!(!known.is_recent(at(60_200)));
}

#[test]
fn only_plain_decimal_numbers_are_limits() {
    fn holds(text: String) -> bool {
        let is_plain = text.trim().chars().all(|one| one.is_ascii_digit() || one == '.');
        RateLimit::try_from(text.as_str()).is_err() || is_plain
    }
    seeded().quickcheck(holds as fn(String) -> bool);
}

#[test]
fn a_limit_is_read_to_a_thousandth() {
    fn holds(milli_per_s: u32) -> bool {
        let text = format!("{}.{:03}", milli_per_s / 1_000, milli_per_s % 1_000);
        let read = (limit(&text).per_s() * 1_000.0).round() as u32;
        // NB: no more than was named, and a thousandth less at most.
        read <= milli_per_s && milli_per_s - read <= 1
    }
    seeded().quickcheck(holds as fn(u32) -> bool);
    assert!([1_001, 4_294_967_295].into_iter().all(holds));
}
