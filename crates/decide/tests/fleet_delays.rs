//! What late answers tell of a server, and what they don't.

mod common;

use std::time::Duration;

use common::{ask, fleet, ms, server};
use pondwalk_decide::direct::{Fleet, PlacementRequest, PromptPart, ScoringTerms, Ticket};
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const LONG: [PromptPart; 2] =
    [PromptPart { id: 1, tokens: 12_000 }, PromptPart { id: 99, tokens: 100 }];

/// An answer that began after this time, and ended at once.
fn answer(fleet: &mut Fleet, ticket: &mut Ticket, took_ms: f64, at: Duration) {
    fleet.on_answer_started(ticket, took_ms, at);
    fleet.on_finished(ticket);
}

#[test]
fn short_requests_that_waited_a_little_drive_no_long_prompt_from_its_server() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let named = fleet(4).place(&ask(&LONG), ms(0), &mut rng).expect("a place").server;
    let mut fleet = fleet(4);
    let others: Vec<String> = (0..4).map(|n| format!("s{n}")).filter(|id| *id != named).collect();
    for n in 0..20 {
        let short = PlacementRequest { excluded_servers: &others, ..ask(&[]) };
        let mut ticket = fleet.place(&short, ms(n), &mut rng).expect("a place");
        answer(&mut fleet, &mut ticket, 150.0, ms(n));
    }
    let long = fleet.place(&ask(&LONG), ms(100), &mut rng).expect("a place");
    assert_eq!(long.server, named);
}

#[test]
fn a_server_whose_answers_come_late_is_passed_over_and_tried_again() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut fleet = fleet(2);
    let other = ["s1".to_owned()];
    for n in 0..20 {
        let only = PlacementRequest { excluded_servers: &other, ..ask(&[]) };
        let mut ticket = fleet.place(&only, ms(n), &mut rng).expect("a place");
        answer(&mut fleet, &mut ticket, 2_000.0, ms(n));
    }
    let mut placed = |at| {
        let ticket = fleet.place(&ask(&[]), at, &mut rng).expect("a place");
        fleet.on_finished(&ticket);
        ticket.server
    };
    assert!((0..20).all(|n| placed(ms(30 + n)) == "s1"));
    assert!((0..20).any(|n| placed(ms(30_000 + n)) == "s0"));
}

#[test]
fn a_delay_counts_for_nothing_where_it_is_not_weighed() {
    let mut rng = Pcg64Mcg::seed_from_u64(4);
    let weighed = ScoringTerms { delays: false, ..ScoringTerms::default() };
    let mut fleet = Fleet::with_scoring("dc1", weighed);
    fleet.apply_server(server("s0", "v1"));
    let before = fleet.forecast(&ask(&[]), ms(0));
    let mut ticket = fleet.place(&ask(&[]), ms(0), &mut rng).expect("a place");
    answer(&mut fleet, &mut ticket, 2_000.0, ms(0));
    assert_eq!(fleet.forecast(&ask(&[]), ms(0)), before);
}

#[test]
fn a_delay_stays_within_what_answers_told() {
    fn property(late: Vec<u16>) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(3);
        let mut fleet = fleet(1);
        let longest = late.iter().copied().max().map_or(0.0, f64::from);
        for (n, late_ms) in late.into_iter().enumerate() {
            let at = ms(n as u64);
            let Some(mut ticket) = fleet.place(&ask(&[]), at, &mut rng) else { return false };
            answer(&mut fleet, &mut ticket, 20.0 + f64::from(late_ms), at);
        }
        let forecast = fleet.forecast(&ask(&[]), ms(0));
        forecast.is_some_and(|forecast| {
            (20.0..=20.0 + longest.min(10_000.0) + 1e-6).contains(&forecast.first_byte_ms)
        })
    }
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(60, 17)).tests(300);
    checker.quickcheck(property as fn(Vec<u16>) -> bool);
}
