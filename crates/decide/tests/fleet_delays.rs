//! The effect of late answers on the choice of a server.

mod common;

use std::time::Duration;

use common::{fleet, ms, request, server};
use pondwalk_decide::direct::{Fleet, PlacementRequest, PromptPart, ScoringTerms, Ticket};
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const LONG: [PromptPart; 2] =
    [PromptPart { id: 1, tokens: 12_000 }, PromptPart { id: 99, tokens: 100 }];

/// An answer that began after this time, and ended at once.
fn answer(fleet: &mut Fleet, ticket: &mut Ticket, elapsed_ms: f64, at: Duration) {
    fleet.on_answer_started(ticket, elapsed_ms, at);
    fleet.on_finished(ticket);
}

#[test]
fn small_delays_of_short_requests_do_not_move_long_prompts() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let preferred = fleet(4).place(&request(&LONG), ms(0), &mut rng).expect("a server").server;
    let mut fleet = fleet(4);
    let others: Vec<String> =
        (0..4).map(|n| format!("s{n}")).filter(|id| *id != preferred).collect();
    for n in 0..20 {
        let short = PlacementRequest { excluded_servers: &others, ..request(&[]) };
        let mut ticket = fleet.place(&short, ms(n), &mut rng).expect("a server");
        answer(&mut fleet, &mut ticket, 150.0, ms(n));
    }
    let long = fleet.place(&request(&LONG), ms(100), &mut rng).expect("a server");
    assert_eq!(long.server, preferred);
}

#[test]
fn a_server_with_late_answers_is_avoided_and_retried_later() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut fleet = fleet(2);
    let other = ["s1".to_owned()];
    for n in 0..20 {
        let only = PlacementRequest { excluded_servers: &other, ..request(&[]) };
        let mut ticket = fleet.place(&only, ms(n), &mut rng).expect("a server");
        answer(&mut fleet, &mut ticket, 2_000.0, ms(n));
    }
    let mut placed = |at| {
        let ticket = fleet.place(&request(&[]), at, &mut rng).expect("a server");
        fleet.on_finished(&ticket);
        ticket.server
    };
    assert!((0..20).all(|n| placed(ms(30 + n)) == "s1"));
    assert!((0..20).any(|n| placed(ms(30_000 + n)) == "s0"));
}

#[test]
fn delays_are_ignored_without_their_cost_term() {
    let mut rng = Pcg64Mcg::seed_from_u64(4);
    let scoring = ScoringTerms { delays: false, ..ScoringTerms::default() };
    let mut fleet = Fleet::with_scoring("dc1", scoring);
    fleet.apply_server(server("s0", "v1"));
    let before = fleet.forecast(&request(&[]), ms(0));
    let mut ticket = fleet.place(&request(&[]), ms(0), &mut rng).expect("a server");
    answer(&mut fleet, &mut ticket, 2_000.0, ms(0));
    assert_eq!(fleet.forecast(&request(&[]), ms(0)), before);
}

#[test]
fn the_expected_delay_is_bounded_by_the_observed_delays() {
    fn property(late: Vec<u16>) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(3);
        let mut fleet = fleet(1);
        let max_late_ms = late.iter().copied().max().map_or(0.0, f64::from);
        for (n, late_ms) in late.into_iter().enumerate() {
            let at = ms(n as u64);
            let Some(mut ticket) = fleet.place(&request(&[]), at, &mut rng) else { return false };
            answer(&mut fleet, &mut ticket, 20.0 + f64::from(late_ms), at);
        }
        let forecast = fleet.forecast(&request(&[]), ms(0));
        forecast.is_some_and(|forecast| {
            (20.0..=20.0 + max_late_ms.min(10_000.0) + 1e-6).contains(&forecast.first_byte_ms)
        })
    }
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(60, 17)).tests(300);
    checker.quickcheck(property as fn(Vec<u16>) -> bool);
}
