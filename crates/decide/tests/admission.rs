//! The agent's queue: fair shares, deadlines, displacement.

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

/// Fills one slot and lets `waiting` queue up; returns the order in which they start.
fn order(limit: u32, waiting: &[QueuedWork<u32>]) -> Vec<u32> {
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
fn a_large_workspace_waits_for_itself_and_not_small_ones_for_it() {
    let mut waiting: Vec<_> = (1..=20).map(|ticket| work(ticket, "large", 5)).collect();
    waiting.push(work(100, "small", 5));
    let order = order(64, &waiting);
    let place = order.iter().position(|ticket| *ticket == 100).expect("it starts");
    assert!(place <= 1, "the small workspace's only request starts in place {place}");
}

#[test]
fn higher_priority_gets_the_larger_share_without_starving_the_lower() {
    let mut waiting: Vec<_> = (1..=16).map(|ticket| work(ticket, "high", 7)).collect();
    waiting.extend((101..=116).map(|ticket| work(ticket, "low", 5)));
    let order = order(64, &waiting);
    let high_in_first_ten = order[..10].iter().filter(|ticket| **ticket < 100).count();
    assert!((7..=9).contains(&high_in_first_ten), "{high_in_first_ten} of the first ten");
}

#[test]
fn a_full_queue_gives_up_the_last_of_the_greediest() {
    let mut queue = AdmissionQueue::new(1, 2);
    queue.offer(Duration::ZERO, work(0, "large", 5));
    queue.offer(Duration::ZERO, work(1, "large", 5));
    queue.offer(Duration::ZERO, work(2, "large", 5));
    let Admission::Queued { displaced: Some((out, refusal)) } =
        queue.offer(Duration::ZERO, work(3, "small", 5))
    else {
        panic!("the small workspace must get a place");
    };
    assert_eq!(out, 2);
    assert!(matches!(refusal, Refusal::Overloaded { .. }));
    let more = queue.offer(Duration::ZERO, work(4, "large", 5));
    assert!(matches!(more, Admission::Refused(Refusal::Overloaded { .. })));
}

#[test]
fn work_that_cannot_be_on_time_is_not_started() {
    let mut queue = AdmissionQueue::new(1, 8);
    queue.offer(Duration::ZERO, work(0, "a", 5));
    let soon = QueuedWork { deadline: SECOND, ..work(1, "a", 5) };
    assert_eq!(queue.offer(Duration::ZERO, soon), Admission::Queued { displaced: None });
    let admitted = queue.finish(SECOND * 2);
    assert_eq!(admitted.start, None);
    assert!(matches!(admitted.shed[..], [(1, Refusal::TooLate { .. })]));
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
fn a_server_that_asked_for_a_pause_is_left_alone_and_callers_hear_for_how_long() {
    let mut queue = AdmissionQueue::new(2, 8);
    assert_eq!(queue.offer(Duration::ZERO, work(0, "one", 5)), Admission::Start);
    assert_eq!(queue.offer(Duration::ZERO, work(1, "one", 5)), Admission::Start);
    queue.offer(Duration::ZERO, work(2, "one", 5));
    queue.back_off(Duration::ZERO, SECOND * 4);
    queue.back_off(Duration::ZERO, SECOND);
    assert_eq!(queue.finish(SECOND).start, None, "what waits goes on waiting");
    let refused = queue.offer(SECOND, work(3, "one", 5));
    assert_eq!(
        refused,
        Admission::Refused(Refusal::Overloaded { retry_after_ms: 3_000 }),
        "the shorter word does not shorten the longer one"
    );
    assert_eq!(queue.dispatch_next(SECOND * 4).start, Some(2));
}

#[test]
fn a_server_that_names_a_limit_starts_no_more_and_callers_hear_when_to_come_back() {
    let mut queue = AdmissionQueue::new(8, 8);
    let limit = RateLimit::try_from("2").expect("a limit");
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
    assert!((18..=20).contains(&started), "{started} in ten seconds");
    queue.set_rate_limit(None);
    let last = QueuedWork { deadline: SECOND * 60, ..work(0, "one", 5) };
    assert_eq!(queue.offer(SECOND * 10, last), Admission::Start);
}

#[test]
fn what_waits_when_a_server_names_a_limit_starts_at_its_rate() {
    let mut queue = AdmissionQueue::new(1, 20);
    (0..12).for_each(|n| {
        let patient = QueuedWork { deadline: SECOND * 600, ..work(n, "one", 5) };
        queue.offer(Duration::ZERO, patient);
    });
    queue.set_rate_limit(Some(RateLimit::try_from("1").expect("a limit")));
    let mut started = 0;
    for ms in (0..8_000).step_by(100) {
        let now = Duration::from_millis(ms);
        started += u32::from(queue.finish(now).start.is_some());
    }
    assert!((6..=8).contains(&started), "{started} in eight seconds");
}
