//! The effect of reported loads on the choice of a server.

mod common;

use common::{fleet, ms, request, server};
use pondwalk_decide::direct::{Fleet, LoadError, PlacementRequest, ScoringTerms, ServerLoad};
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Server `s0` answers a request of this entry and reports its load with the answer.
fn report_load(fleet: &mut Fleet, load: ServerLoad, rng: &mut Pcg64Mcg) {
    let others = ["s1".to_owned()];
    let only = PlacementRequest { excluded_servers: &others, ..request(&[]) };
    let mut ticket = fleet.place(&only, ms(0), rng).expect("a server");
    fleet.on_answer_started(&mut ticket, 20.0, ms(0));
    fleet.on_load_reported(&ticket, load, ms(0));
    fleet.on_finished(&ticket);
}

#[test]
fn a_load_header_is_parsed_or_rejected() {
    let load = ServerLoad { running: 7, waiting: 2, slots: 64 };
    assert_eq!(ServerLoad::try_from("7,2,64"), Ok(load));
    assert_eq!(ServerLoad::try_from(" 7, 2 ,64"), Ok(load));
    assert_eq!(ServerLoad::try_from("7,2"), Err(LoadError::WrongFieldCount));
    for text in ["", "a,2,64", "7,-2,64", "7,2,64,1,9", "7,2,64,quick", "7,2,64,-1"] {
        assert!(ServerLoad::try_from(text).is_err(), "{text}");
    }
}

#[test]
fn a_load_header_may_have_a_pace() {
    let load = ServerLoad { running: 7, waiting: 2, slots: 64 };
    assert_eq!(ServerLoad::try_from("7,2,64,100"), Ok(load));
    assert_eq!(ServerLoad::try_from("7,2,64, 350.5 "), Ok(load));
}

#[test]
fn a_server_loaded_by_others_is_avoided_until_its_report_is_old() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = fleet(2);
    report_load(&mut fleet, ServerLoad { running: 10, waiting: 5, slots: 64 }, &mut rng);
    let mut placed = |at| {
        let ticket = fleet.place(&request(&[]), at, &mut rng).expect("a server");
        fleet.on_finished(&ticket);
        ticket.server
    };
    assert!((0..20).all(|n| placed(ms(10 + n)) == "s1"));
    assert!((0..20).any(|n| placed(ms(20_000 + n)) == "s0"));
}

#[test]
fn reported_loads_are_ignored_without_their_cost_term() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let scoring = ScoringTerms { told_loads: false, ..ScoringTerms::default() };
    let mut fleet = Fleet::with_scoring("dc1", scoring);
    (0..2).for_each(|n| fleet.apply_server(server(&format!("s{n}"), "v1")));
    let before = fleet.forecast(&request(&[]), ms(0));
    report_load(&mut fleet, ServerLoad { running: 10, waiting: 5, slots: 64 }, &mut rng);
    assert_eq!(fleet.forecast(&request(&[]), ms(0)), before);
}

#[test]
fn own_requests_are_not_counted_twice() {
    fn property(running: u8, waiting: u8) -> bool {
        let (running, waiting) = (running / 2, waiting / 2);
        let mut rng = Pcg64Mcg::seed_from_u64(2);
        let mut fleet = fleet(1);
        let mut tickets: Vec<_> = (0..running + waiting)
            .filter_map(|_| fleet.place(&request(&[]), ms(0), &mut rng))
            .collect();
        // NB: answers that begin at once show no delay.
        tickets
            .iter_mut()
            .take(running.into())
            .for_each(|ticket| fleet.on_answer_started(ticket, 0.0, ms(0)));
        let before = fleet.forecast(&request(&[]), ms(0));
        let load = ServerLoad { running: running.into(), waiting: waiting.into(), slots: 512 };
        if let Some(ticket) = tickets.first() {
            fleet.on_load_reported(ticket, load, ms(0));
        }
        fleet.forecast(&request(&[]), ms(0)) == before
    }
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(60, 17)).tests(300);
    checker.quickcheck(property as fn(u8, u8) -> bool);
}
