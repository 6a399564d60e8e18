//! Decisions of an entry without agents: where requests run, and what keeps its promises.

mod common;

use std::time::Duration;

use common::{ask, fleet, ms, server};
use pondwalk_decide::direct::{
    Cascade, Evidence, Fleet, Freshness, ModelCost, PlacementRequest, PromptPart, RESUMED_RANK,
    RollOut, RollOutStep, Sessions, Stage, VersionRule, WindowBudget, WindowLimits, queue_rank,
    session_key,
};
use quickcheck::{Gen, QuickCheck};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn check(property: impl quickcheck::Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 17)).tests(300).quickcheck(property);
}

const PROMPT: [PromptPart; 3] = [
    PromptPart { id: 1, tokens: 2_000 },
    PromptPart { id: 2, tokens: 4_000 },
    PromptPart { id: 3, tokens: 500 },
];

#[test]
fn freshness_never_moves_back_and_ends_at_its_bound() {
    fn property(stamps: Vec<u16>, now: u16) -> bool {
        let mut freshness = Freshness::new(ms(4_500), ms(9_000));
        stamps.iter().for_each(|stamp| freshness.confirm(ms(u64::from(*stamp))));
        let newest = stamps.iter().max().map(|stamp| ms(u64::from(*stamp)));
        let now = ms(u64::from(now));
        let within = |bound| newest.is_some_and(|newest| now.saturating_sub(newest) < ms(bound));
        freshness.is_current(now) == within(4_500) && freshness.accepts_keys(now) == within(9_000)
    }
    check(property as fn(Vec<u16>, u16) -> bool);
}

#[test]
fn further_sends_stay_within_the_window_whatever_the_order() {
    fn property(events: Vec<(bool, u8)>) -> bool {
        let limits = WindowLimits { ratio: 0.5, extra: 6.0, window: ms(10_000), rounding: 0.0 };
        let mut budget = WindowBudget::new(limits);
        let (mut now, mut requests, mut extras) = (Duration::ZERO, Vec::new(), Vec::new());
        for (is_request, pause) in events {
            now += ms(u64::from(pause) * 10);
            if is_request {
                budget.record_request(now);
                requests.push(now);
            } else if budget.try_take(now, 0.0) {
                extras.push(now);
            }
        }
        let within = |times: &[Duration], end: Duration, window: Duration| {
            times.iter().filter(|at| **at <= end && **at + window > end).count() as f64
        };
        extras.iter().all(|end| {
            let taken = within(&extras, *end, ms(9_500));
            taken <= 0.5 * within(&requests, *end, ms(10_500)) + 6.0
        })
    }
    check(property as fn(Vec<(bool, u8)>) -> bool);
}

#[test]
fn a_reserve_is_left_for_more_urgent_sends() {
    let mut budget = WindowBudget::new(WindowLimits {
        ratio: 0.0,
        extra: 20.0,
        window: ms(10_000),
        rounding: 0.0,
    });
    let patient = (0..100).filter(|_| budget.try_take(ms(1), 0.5)).count();
    let urgent = (0..100).filter(|_| budget.try_take(ms(1), 0.0)).count();
    assert!(patient >= 7 && urgent >= 7, "{patient} {urgent}");
    assert!(budget.try_take(ms(20_000), 0.0), "a window later there is room again");
}

#[test]
fn requests_that_share_a_part_meet_at_one_server_until_it_is_loaded() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = fleet(8);
    let first = fleet.place(&ask(&PROMPT), ms(0), &mut rng).expect("a place");
    fleet.on_finished(&first);
    let again = fleet.place(&ask(&PROMPT), ms(10), &mut rng).expect("a place");
    assert_eq!(first.server, again.server);
    assert!(again.expected_ms < first.expected_ms, "what was read is not read again");
    let places: Vec<String> = (0..20)
        .map(|_| fleet.place(&ask(&PROMPT), ms(20), &mut rng).expect("a place").server)
        .collect();
    assert!(places.iter().any(|server| *server != first.server), "load moves them on");
}

#[test]
fn what_a_server_read_long_ago_is_read_again() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut fleet = fleet(1);
    let mut place = |at: Duration, id: u64| {
        let prompt = [PromptPart { id, tokens: 4_000 }, PromptPart { id: 99, tokens: 10 }];
        let ticket = fleet.place(&ask(&prompt), at, &mut rng).expect("a place");
        fleet.on_finished(&ticket);
        ticket.expected_ms
    };
    let first = place(ms(0), 1);
    (2..400).for_each(|id| {
        place(ms(id * 100), id);
    });
    assert!(place(ms(39_950), 399) < first);
    // NB: the part behind it was used all the time, but counts only if all before it are kept.
    assert_eq!(place(ms(40_000), 1), first);
}

#[test]
fn another_entry_names_the_same_server() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    for part in 0..50 {
        let prompt = [PromptPart { id: part, tokens: 4_000 }, PromptPart { id: 99, tokens: 10 }];
        let one = fleet(8).place(&ask(&prompt), ms(0), &mut rng).expect("a place");
        let mut other = Fleet::new("dc1");
        (0..8).rev().for_each(|n| other.apply_server(server(&format!("s{n}"), "v1")));
        let two = other.place(&ask(&prompt), ms(0), &mut rng).expect("a place");
        assert_eq!(one.server, two.server);
    }
}

#[test]
fn leaving_and_avoided_servers_get_nothing_in_any_order() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(3);
        let mut fleet = fleet(4);
        let mut closed = [false; 4];
        for (step, which) in steps {
            let n = usize::from(which % 4);
            let id = format!("s{n}");
            match step % 4 {
                0 => {
                    let others: Vec<String> =
                        (0..4).filter(|m| *m != n).map(|m| format!("s{m}")).collect();
                    let asked = PlacementRequest { excluded_servers: &others, ..ask(&[]) };
                    let placed = fleet.place(&asked, ms(0), &mut rng);
                    if placed.is_none() != closed[n] {
                        return false;
                    }
                    if let Some(ticket) = placed {
                        fleet.on_finished(&ticket);
                        fleet.mark_replaced(&ticket);
                    }
                    closed[n] = true;
                }
                1 => {
                    fleet.remove(&id);
                    fleet.apply_server(server(&id, "v1"));
                    closed[n] = false;
                }
                // NB: the list may still say ready; one's own evidence stands.
                2 => fleet.apply_server(server(&id, "v1")),
                _ => {
                    let avoid = [id.clone()];
                    let asked = PlacementRequest { excluded_servers: &avoid, ..ask(&[]) };
                    if let Some(ticket) = fleet.place(&asked, ms(0), &mut rng) {
                        let placed: usize = ticket.server[1..].parse().unwrap_or(9);
                        if closed[placed] || placed == n {
                            return false;
                        }
                        fleet.on_finished(&ticket);
                    }
                }
            }
        }
        true
    }
    check(property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn a_failing_or_refusing_server_is_left_alone_and_tried_again() {
    let mut rng = Pcg64Mcg::seed_from_u64(4);
    let mut fleet = fleet(2);
    let ticket = fleet.place(&ask(&[]), ms(0), &mut rng).expect("a place");
    (0..4).for_each(|_| fleet.record_outcome(&ticket, true, ms(0)));
    fleet.on_finished(&ticket);
    for _ in 0..10 {
        let next = fleet.place(&ask(&[]), ms(10), &mut rng).expect("a place");
        assert_ne!(next.server, ticket.server);
        fleet.on_finished(&next);
    }
    let later = ms(60_000);
    let tried = (0..40).any(|_| {
        let next = fleet.place(&ask(&[]), later, &mut rng).expect("a place");
        fleet.on_finished(&next);
        next.server == ticket.server
    });
    assert!(tried);
}

/// Three models on servers at ease.
fn terms() -> [ModelCost; 3] {
    let term = |model, price, load| ModelCost {
        model,
        price,
        server_time: load,
        first_byte_ratio: 0.1,
        end_ratio: 0.2,
    };
    [term(0, 0.02, 0.1), term(1, 0.14, 0.26), term(2, 0.27, 1.0)]
}

#[test]
fn a_cascade_keeps_confident_answers_and_learns_what_a_middle_model_adds() {
    let terms = terms();
    let mut cascade = Cascade::default();
    assert_eq!(cascade.next_model(&[(0, 90)], &terms), None);
    assert_eq!(cascade.next_model(&[], &terms), None, "nothing is told");
    assert_eq!(cascade.next_model(&[(0, 0)], &[]), None, "there is no choice");
    assert_eq!(cascade.next_model(&[(2, 0)], &terms), None);
    assert_eq!(cascade.next_model(&[(0, 0)], &terms), Some(2));
    assert_eq!(cascade.next_model(&[(0, 50)], &terms), Some(1));
    assert_eq!(cascade.next_model(&[(0, 50), (1, 20)], &terms), Some(2), "it did not do");
    assert_eq!(cascade.next_model(&[(0, 50), (1, 70)], &terms), None);
    (0..200).for_each(|_| cascade.learn((0, 40), (1, 42)));
    assert_eq!(cascade.next_model(&[(0, 50)], &terms), Some(2), "it adds too little");
    (0..400).for_each(|_| cascade.learn((0, 40), (1, 80)));
    assert_eq!(cascade.next_model(&[(0, 25)], &terms), Some(1), "it adds a lot");
}

#[test]
fn a_model_that_would_be_late_is_not_asked_where_less_is_worth_more() {
    let cascade = Cascade::default();
    let mut terms = terms();
    terms[2].first_byte_ratio = 2.0;
    assert_eq!(cascade.next_model(&[(0, 40)], &terms), Some(1), "it may do, and in time");
    terms[1].first_byte_ratio = 2.0;
    assert_eq!(cascade.next_model(&[(0, 50)], &terms), None);
}

#[test]
fn a_model_that_would_not_end_in_time_is_not_asked() {
    let cascade = Cascade::default();
    let mut terms = terms();
    terms[2].end_ratio = 1.2;
    assert_eq!(cascade.next_model(&[(0, 40)], &terms), Some(1), "it may do, and in time");
    assert_eq!(cascade.next_model(&[(0, 5)], &terms), None, "nothing better ends in time");
}

#[test]
fn under_strain_the_largest_model_is_kept_for_where_it_adds_most() {
    let mut cascade = Cascade::default();
    let mut terms = terms();
    assert_eq!(cascade.next_model(&[(0, 30)], &terms), Some(2));
    (0..100).for_each(|_| cascade.record_strain(0.14));
    assert_eq!(cascade.next_model(&[(0, 10)], &terms), Some(2), "poor answers go on to it");
    assert_eq!(cascade.next_model(&[(0, 45)], &terms), Some(1), "others to a lighter one");
    terms[2].server_time = 1.6;
    assert_eq!(cascade.next_model(&[(0, 10)], &terms), None, "its time is worth more elsewhere");
    (0..200).for_each(|_| cascade.record_strain(0.9));
    terms[2].server_time = 1.0;
    assert_eq!(cascade.next_model(&[(0, 10)], &terms), None);
    (0..200).for_each(|_| cascade.record_strain(0.01));
    assert_eq!(cascade.next_model(&[(0, 30)], &terms), Some(2), "ease gives it back");
}

#[test]
fn what_one_route_teaches_of_two_models_holds_for_routes_that_list_fewer() {
    let [smallest, _, largest] = terms();
    let mut cascade = Cascade::default();
    (0..400).for_each(|_| cascade.learn((0, 40), (1, 40)));
    // NB: the largest model stands second in this route's list, where the middle one adds nothing.
    assert_eq!(cascade.next_model(&[(0, 45)], &[smallest, largest]), Some(1));
}

#[test]
fn shorter_requests_are_never_ranked_behind_longer_ones() {
    fn property(one: u32, other: u32) -> bool {
        let (shorter, longer) = (one.min(other) % 10_000, one.max(other) % 10_000);
        let (shorter, longer) = (shorter.min(longer), shorter.max(longer));
        let (first, second) = (queue_rank(f64::from(shorter)), queue_rank(f64::from(longer)));
        RESUMED_RANK < first && first <= second && second <= 9
    }
    check(property as fn(u32, u32) -> bool);
    assert!(queue_rank(30.0) < queue_rank(500.0));
}

#[test]
fn of_two_models_a_worse_answer_is_never_kept_where_a_better_one_is_not() {
    fn property(confidence: u8, strain: u8, load: u8) -> bool {
        let mut cascade = Cascade::default();
        (0..200).for_each(|_| cascade.record_strain(f64::from(strain) / 255.0));
        let [smallest, _, mut largest] = terms();
        largest.server_time = 0.2 + f64::from(load) / 100.0;
        let terms = [smallest, largest];
        let (worse, better) = (confidence % 100, confidence % 100 + 1);
        let keeps = |confidence| cascade.next_model(&[(0, confidence)], &terms).is_none();
        !keeps(worse) || keeps(better)
    }
    check(property as fn(u8, u8, u8) -> bool);
}

#[test]
fn sessions_are_forgotten_when_they_have_ended() {
    let mut sessions = Sessions::new(ms(5_000));
    sessions.record(7, &"v1".to_owned(), ms(0));
    sessions.record(7, &"v2".to_owned(), ms(4_000));
    assert_eq!(sessions.version(7, ms(8_000)).map(String::as_str), Some("v2"));
    assert_eq!(sessions.version(7, ms(9_000)), None);
}

fn roll_out() -> RollOut {
    RollOut::new("v2".to_owned(), ms(20_000), ms(0), 0.1, ms(300))
}

fn evidence(server: &str, failed: bool, slowness: f64) -> Evidence<'_> {
    Evidence { kind: "k", server, failed, slowness }
}

#[test]
fn failures_of_a_server_that_has_started_anew_count_no_more() {
    let trips = |anew: bool| {
        let mut one = roll_out();
        one.apply_stage(Stage::Trial, ms(1_000));
        let v2 = "v2".to_owned();
        let (a, b) = (evidence("a", true, 1.0), evidence("b", true, 1.0));
        (0..2).for_each(|_| assert!(!one.record_answer(&v2, &a, ms(3_000))));
        assert!(!one.record_answer(&v2, &b, ms(3_100)));
        if anew {
            one.forget_server("a");
        }
        one.record_answer(&v2, &b, ms(3_200))
    };
    assert!(trips(false), "four failures of two servers call a version bad");
    assert!(!trips(true), "two of them are of a life that is over");
}

#[test]
fn a_roll_out_moves_by_its_stages_and_never_back() {
    fn property(steps: Vec<(u8, u16)>) -> bool {
        let mut one = roll_out();
        let mut now = Duration::ZERO;
        let mut furthest = None;
        for (step, pause) in steps {
            now += ms(u64::from(pause) % 3_000);
            if let Some(next) = one.next_step(now) {
                let stage = match next {
                    RollOutStep::Keep => {
                        one.add_kept_sessions([1, 2, 3]);
                        one.record_kept_published();
                        continue;
                    }
                    RollOutStep::Begin => Stage::Trial,
                    RollOutStep::Widen => Stage::Widening,
                    RollOutStep::Complete => Stage::Completed,
                    RollOutStep::Revert => Stage::Reverted,
                };
                if furthest.is_some_and(|furthest| stage <= furthest) {
                    return false;
                }
                if step % 3 > 0 {
                    one.apply_stage(stage, now);
                }
            }
            if step % 5 == 0 {
                // NB: what an answer that came late tells is older than what is known.
                one.apply_stage(Stage::Trial, now);
            }
            if one.published_stage() < furthest {
                return false;
            }
            furthest = one.published_stage();
            let share = one.share(now);
            let expected = match furthest {
                None | Some(Stage::Reverted) => share == 0.0,
                // NB: the trial starts a little after it is known.
                Some(Stage::Trial) => share == 0.1 || share == 0.0,
                Some(Stage::Widening) => (0.1..=1.0).contains(&share),
                Some(Stage::Completed) => share == 1.0,
            };
            if !expected {
                return false;
            }
        }
        true
    }
    check(property as fn(Vec<(u8, u16)>) -> bool);
}

#[test]
fn every_entry_puts_a_session_on_the_same_side_and_keeps_it_there() {
    let mut one = roll_out();
    one.apply_stage(Stage::Trial, ms(0));
    let now = ms(2_000);
    let on_new = |n: u32| {
        one.version_rule(session_key(&format!("s{n}")), None, None, now) == VersionRule::Only("v2")
    };
    let share = (0..2_000).filter(|n| on_new(*n)).count();
    assert!((140..=260).contains(&share), "{share} of 2000");
    let (old, new) = ("v1".to_owned(), "v2".to_owned());
    for n in 0..200 {
        let key = session_key(&format!("s{n}"));
        assert_eq!(one.version_rule(key, Some(&new), None, now), VersionRule::Only("v2"));
        assert_eq!(one.version_rule(key, Some(&old), None, now), VersionRule::Except("v2"));
    }
}

#[test]
fn a_session_that_runs_already_through_any_entry_is_kept() {
    let mut one = roll_out();
    one.apply_stage(Stage::Trial, ms(0));
    assert_eq!(one.share(ms(1_000)), 0.0, "not before the entries have heard of one another's");
    let now = ms(2_000);
    let tried: Vec<u64> = (0..500)
        .map(|n| session_key(&format!("s{n}")))
        .filter(|session| one.version_rule(*session, None, None, now) == VersionRule::Only("v2"))
        .collect();
    assert!(tried.iter().all(|session| one.is_in_trial_share(*session)));
    one.add_kept_sessions([tried[0]]);
    assert_eq!(one.version_rule(tried[0], None, None, now), VersionRule::Except("v2"));
    assert_eq!(one.version_rule(tried[1], None, None, now), VersionRule::Only("v2"));
    one.apply_stage(Stage::Widening, ms(10_000));
    assert_eq!(one.version_rule(tried[0], None, None, ms(14_000)), VersionRule::Only("v2"));
}

#[test]
fn a_version_that_fails_trips_after_a_few_answers_of_two_servers() {
    let mut one = roll_out();
    one.apply_stage(Stage::Trial, ms(0));
    let tripped = (0..6)
        .map(|n| one.record_answer("v2", &evidence(&format!("s{}", n % 2), true, 1.0), ms(1)));
    assert_eq!(tripped.filter(|tripped| *tripped).count(), 1);
    assert_eq!((one.share(ms(1)), one.next_step(ms(1))), (0.0, Some(RollOutStep::Revert)));
    let mut other = roll_out();
    other.apply_stage(Stage::Trial, ms(0));
    assert!(
        !(0..20).any(|_| other.record_answer("v2", &evidence("s1", true, 1.0), ms(1))),
        "one sick server"
    );
}

#[test]
fn a_request_that_failed_on_a_doubtful_version_is_tried_on_the_old_one() {
    let mut one = roll_out();
    one.apply_stage(Stage::Trial, ms(0));
    let new = "v2".to_owned();
    let rule = |one: &RollOut| {
        one.version_rule(1, Some(&new), Some("v2"), ms(1)) == VersionRule::Only("v2")
    };
    one.record_answer("v2", &evidence("s1", true, 1.0), ms(1));
    assert!(rule(&one), "one failure may be the server's");
    one.record_answer("v2", &evidence("s2", true, 1.0), ms(1));
    assert!(!rule(&one));
    assert_eq!(one.version_rule(1, Some(&new), None, ms(1)), VersionRule::Only("v2"));
}

#[test]
fn a_few_failures_among_many_answers_raise_no_doubt() {
    let mut one = roll_out();
    one.apply_stage(Stage::Trial, ms(0));
    one.record_kept_published();
    for n in 0..20 {
        one.record_answer("v2", &evidence(&format!("s{n}"), n % 10 == 9, 1.0), ms(1));
        assert_eq!(one.next_step(ms(1)), None);
    }
}

#[test]
fn a_slow_version_trips_and_an_equal_one_hardly_ever() {
    let trips = |factor: f64, seed: u64| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut one = roll_out();
        one.apply_stage(Stage::Trial, ms(0));
        for n in 0..60 {
            let draw = |rng: &mut Pcg64Mcg| 0.5 + rng.random::<f64>() * 2.0;
            for _ in 0..8 {
                let slowness = draw(&mut rng);
                one.record_answer("v1", &evidence("old", false, slowness), ms(1));
            }
            let slow = if rng.random::<bool>() { factor } else { 1.0 };
            let slowness = slow * draw(&mut rng);
            if one.record_answer("v2", &evidence(&format!("s{}", n % 3), false, slowness), ms(1)) {
                return true;
            }
        }
        false
    };
    let slow = (0..200).filter(|seed| trips(8.0, *seed)).count();
    let equal = (0..1_000).filter(|seed| trips(1.0, *seed)).count();
    assert!(slow >= 199, "{slow} of 200 slow ones");
    assert!(equal <= 5, "{equal} of 1000 equal ones");
}
