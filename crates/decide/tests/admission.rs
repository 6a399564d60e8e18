//! The agent's admission queue: fair shares, deadlines, displacement, backoff and rate limits.

use std::time::Duration;

use pondwalk_decide::{Admission, AdmissionQueue, QueuedWork, direct::RateLimit};
use pondwalk_types::Refusal;

const SECOND: Duration = Duration::from_secs(1);

fn work(ticket: u32, workspace: &str, priority: u8) -> QueuedWork<u32> {
    QueuedWork {
        ticket,
        workspace: workspace.to_owned(),
        priority,
        share_weight: 1.0,
        expected_service_time: SECOND,
        deadline: SECOND * 1_000,
        stated_deadline: SECOND * 1_000,
    }
}

/// Fills the only slot, queues `waiting`, and returns the order in which they start.
fn start_order(limit: u32, waiting: &[QueuedWork<u32>]) -> Vec<u32> {
    let mut queue = AdmissionQueue::new(1, limit);
    assert_eq!(queue.offer(Duration::ZERO, work(0, "first", 5)), Admission::Start);
    for work in waiting {
        queue.offer(Duration::ZERO, work.clone());
    }
    let mut order = Vec::new();
    while let Some(ticket) = queue.finish(Duration::ZERO).start {
        order.push(ticket);
    }
    order
}

#[test]
fn small_workspace_does_not_wait_for_the_backlog_of_a_large_one() {
    let mut waiting: Vec<_> = (1..=20).map(|ticket| work(ticket, "large", 5)).collect();
    waiting.push(work(100, "small", 5));
    let order = start_order(64, &waiting);
    let position = order.iter().position(|ticket| *ticket == 100).expect("the request starts");
    assert!(position <= 1, "the small workspace's only request starts at position {position}");
}

#[test]
fn higher_priority_gets_a_larger_share_without_starving_the_lower() {
    let mut waiting: Vec<_> = (1..=16).map(|ticket| work(ticket, "high", 7)).collect();
    waiting.extend((101..=116).map(|ticket| work(ticket, "low", 5)));
    let order = start_order(64, &waiting);
    let high_in_first_ten = order[..10].iter().filter(|ticket| **ticket < 100).count();
    assert!(
        (7..=9).contains(&high_in_first_ten),
        "{high_in_first_ten} of the first ten have high priority"
    );
}

#[test]
fn full_queue_displaces_the_last_request_of_the_largest_backlog() {
    let mut queue = AdmissionQueue::new(1, 2);
    queue.offer(Duration::ZERO, work(0, "large", 5));
    queue.offer(Duration::ZERO, work(1, "large", 5));
    queue.offer(Duration::ZERO, work(2, "large", 5));
    let Admission::Queued { displaced: Some((displaced, refusal)) } =
        queue.offer(Duration::ZERO, work(3, "small", 5))
    else {
        panic!("the request of the small workspace is not queued");
    };
    assert_eq!(displaced, 2);
    assert!(matches!(refusal, Refusal::Overloaded { .. }));
    let more = queue.offer(Duration::ZERO, work(4, "large", 5));
    assert!(matches!(more, Admission::Refused(Refusal::Overloaded { .. })));
}

#[test]
fn request_past_its_deadline_is_shed() {
    let mut queue = AdmissionQueue::new(1, 8);
    queue.offer(Duration::ZERO, work(0, "a", 5));
    let urgent = QueuedWork { deadline: SECOND, ..work(1, "a", 5) };
    assert_eq!(queue.offer(Duration::ZERO, urgent), Admission::Queued { displaced: None });
    let dispatch = queue.finish(SECOND * 2);
    assert_eq!(dispatch.start, None);
    assert!(matches!(dispatch.shed[..], [(1, Refusal::TooLate { .. })]));
}

#[test]
fn slots_are_never_exceeded() {
    let mut queue = AdmissionQueue::new(3, 100);
    let started =
        (0..50).filter(|t| queue.offer(Duration::ZERO, work(*t, "a", 5)) == Admission::Start);
    assert_eq!(started.count(), 3);
    assert_eq!((queue.running(), queue.load()), (3, 50));
}

#[test]
fn no_request_starts_during_a_backoff_and_refusals_state_the_remaining_time() {
    let mut queue = AdmissionQueue::new(2, 8);
    assert_eq!(queue.offer(Duration::ZERO, work(0, "one", 5)), Admission::Start);
    assert_eq!(queue.offer(Duration::ZERO, work(1, "one", 5)), Admission::Start);
    queue.offer(Duration::ZERO, work(2, "one", 5));
    queue.back_off(Duration::ZERO, SECOND * 4);
    queue.back_off(Duration::ZERO, SECOND);
    assert_eq!(queue.finish(SECOND).start, None, "a waiting request started during the backoff");
    let refused = queue.offer(SECOND, work(3, "one", 5));
    assert_eq!(
        refused,
        Admission::Refused(Refusal::Overloaded { retry_after_ms: 3_000 }),
        "a shorter backoff shortened a longer one"
    );
    assert_eq!(queue.dispatch_next(SECOND * 4).start, Some(2));
}

#[test]
fn rate_limit_bounds_starts_and_refusals_state_a_retry_delay() {
    let mut queue = AdmissionQueue::new(8, 8);
    let limit = RateLimit::try_from("2").expect("a valid rate limit");
    queue.set_rate_limit(Some(limit));
    let mut started = 0;
    for ms in (0..10_000).step_by(20) {
        let now = Duration::from_millis(ms);
        match queue.offer(now, QueuedWork { deadline: SECOND * 60, ..work(ms as u32, "one", 5) }) {
            Admission::Start => started += 1,
            Admission::Refused(Refusal::Overloaded { retry_after_ms }) => {
                assert!(retry_after_ms <= 5_000);
            }
            other => panic!("{other:?}"),
        }
        while queue.running() > 0 {
            queue.finish(now);
        }
    }
    assert!((18..=20).contains(&started), "{started} requests started in ten seconds");
    queue.set_rate_limit(None);
    let last = QueuedWork { deadline: SECOND * 60, ..work(0, "one", 5) };
    assert_eq!(queue.offer(SECOND * 10, last), Admission::Start);
}

#[test]
fn waiting_requests_start_at_the_rate_limit() {
    let mut queue = AdmissionQueue::new(1, 20);
    (0..12).for_each(|n| {
        let request = QueuedWork { deadline: SECOND * 600, ..work(n, "one", 5) };
        queue.offer(Duration::ZERO, request);
    });
    queue.set_rate_limit(Some(RateLimit::try_from("1").expect("a valid rate limit")));
    let mut started = 0;
    for ms in (0..8_000).step_by(100) {
        let now = Duration::from_millis(ms);
        started += u32::from(queue.finish(now).start.is_some());
    }
    assert!((6..=8).contains(&started), "{started} requests started in eight seconds");
}
