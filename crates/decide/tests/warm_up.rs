//! Cold servers: what all entries together send them, whatever each of them knows.

mod common;

use std::time::Duration;

use common::{ask, ms, server};
use pondwalk_decide::direct::{
    BoundSharing, ColdReason, ColdServerBound, ColdServerPacing, Fleet, ServerInfo, Ticket,
    UnreachableReason, WarmUp,
};
use quickcheck::{Gen, QuickCheck};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

const WARM_UP: WarmUp = WarmUp { time: Duration::from_secs(3), requests_per_s: 14.0 };
const BOUND: ColdServerBound =
    ColdServerBound { overshoot: 1.5, tolerance: 5.0, report_delay: Duration::from_millis(2_400) };
/// What the bound allows in a second: 14 x 1.5 + 5.
const MOST: usize = 26;

fn name(n: usize) -> String {
    format!("edge-hall-{n}")
}

/// A fleet as the entry `own` keeps it, which knows the entries `listed`.
fn fleet_of(own: usize, listed: &[usize], servers: usize, cold_until: Duration) -> Fleet {
    let mut fleet = Fleet::new("dc1");
    fleet.set_pacing(ColdServerPacing::of(Some(WARM_UP), Some(BOUND)));
    let mut sharers = BoundSharing::new(&name(own));
    let names: Vec<String> = listed.iter().map(|n| name(*n)).collect();
    sharers.set_entries(names.iter().map(String::as_str));
    fleet.set_bound_sharing(&sharers);
    (0..servers).for_each(|n| fleet.apply_server(cold(&format!("s{n}"), cold_until)));
    fleet
}

fn cold(id: &str, cold_until: Duration) -> ServerInfo {
    ServerInfo { cold_until, ..server(id, "v1") }
}

/// Most sends to one server within any second.
fn most_in_a_second(sends: &mut [(String, Duration)]) -> usize {
    sends.sort();
    let mut most = 0;
    for (first, (server, at)) in sends.iter().enumerate() {
        let within = |(other, later): &&(String, Duration)| {
            other == server && *later < *at + Duration::from_secs(1)
        };
        most = most.max(sends[first..].iter().take_while(within).count());
    }
    most
}

/// All entries place whatever they can for `time`, beginning at `from` of their clocks.
fn flood(fleets: &mut [Fleet], from: Duration, time: Duration) -> Vec<(String, Duration)> {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut sends = Vec::new();
    let mut now = from;
    while now < from + time {
        fleets.shuffle(&mut rng);
        for fleet in fleets.iter_mut() {
            while let Some(ticket) = fleet.place(&ask(&[]), now, &mut rng) {
                sends.push((ticket.server.clone(), now));
                fleet.on_finished(&ticket);
            }
        }
        now += ms(20);
    }
    sends
}

#[test]
fn any_number_of_entries_keep_the_bound_of_servers_that_are_all_cold() {
    for entries in [1, 2, 4, 7, 13, 23, 100, 300, 420] {
        let all: Vec<usize> = (0..entries).collect();
        let fleet = |own| fleet_of(own, &all, 3, ms(60_000));
        let mut fleets: Vec<Fleet> = all.iter().map(|own| fleet(*own)).collect();
        let mut sends = flood(&mut fleets, ms(10_000), ms(3_500));
        let most = most_in_a_second(&mut sends);
        assert!(most <= MOST / 2, "{entries} entries sent {most} in a second");
        // NB: a bound kept by sending nothing would be no use.
        assert!(sends.len() > 3 * 3 * 10, "{entries} entries sent only {}", sends.len());
    }
}

#[test]
fn two_halves_that_do_not_know_each_other_keep_it_together() {
    for entries in [8, 23, 100, 420] {
        let halves: [Vec<usize>; 2] =
            [(0..entries / 2).collect(), (entries / 2..entries).collect()];
        let mut fleets = Vec::new();
        for half in &halves {
            fleets.extend(half.iter().map(|own| fleet_of(*own, half, 2, ms(60_000))));
        }
        let most = most_in_a_second(&mut flood(&mut fleets, ms(10_000), ms(3_000)));
        assert!(most <= MOST, "{entries} entries in two halves sent {most} in a second");
    }
}

#[test]
fn entries_that_each_miss_some_of_the_others_keep_it() {
    fn property(missing: Vec<u8>) -> bool {
        let entries = 40;
        let mut rng = Pcg64Mcg::seed_from_u64(missing.len() as u64);
        let mut fleets = Vec::new();
        for own in 0..entries {
            let part = f64::from(missing.get(own).copied().unwrap_or(0) % 50) / 100.0;
            let known = |n: &usize| *n == own || rng_keeps(&mut rng, part);
            let listed: Vec<usize> = (0..entries).filter(known).collect();
            fleets.push(fleet_of(own, &listed, 1, ms(60_000)));
        }
        most_in_a_second(&mut flood(&mut fleets, ms(10_000), ms(2_000))) <= MOST
    }
    fn rng_keeps(rng: &mut Pcg64Mcg, missing: f64) -> bool {
        !rng.random_bool(missing)
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(40, 5)).tests(60);
    check.quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn entries_that_have_just_started_send_cold_servers_nothing_for_a_second() {
    let all: Vec<usize> = (0..300).collect();
    let mut before: Vec<Fleet> =
        all.iter().map(|own| fleet_of(*own, &all, 2, ms(60_000))).collect();
    let mut sends = flood(&mut before, ms(10_000), ms(1_000));
    // NB: their clocks begin anew with them, and nothing of what they sent is remembered.
    let mut after: Vec<Fleet> = all.iter().map(|own| fleet_of(*own, &all, 2, ms(60_000))).collect();
    let later = flood(&mut after, ms(0), ms(2_500));
    assert!(later.iter().all(|(_, at)| *at >= ms(1_000)));
    sends.extend(later.into_iter().map(|(server, at)| (server, at + ms(11_000))));
    assert!(most_in_a_second(&mut sends) <= MOST);
}

#[test]
fn an_entry_that_is_not_listed_sends_cold_servers_nothing() {
    let others: Vec<usize> = (1..23).collect();
    let mut alone = [fleet_of(0, &[], 2, ms(60_000)), fleet_of(0, &others, 2, ms(60_000))];
    assert!(flood(&mut alone, ms(10_000), ms(2_000)).is_empty());
}

#[test]
fn what_went_to_a_server_before_it_turned_cold_counts() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = fleet_of(0, &[0], 1, ms(0));
    let tickets: Vec<Ticket> =
        (0..20).filter_map(|_| fleet.place(&ask(&[]), ms(10_000), &mut rng)).collect();
    assert_eq!(tickets.len(), 20, "a warm server takes all");
    fleet.apply_server(cold("s0", ms(13_000)));
    assert!(fleet.place(&ask(&[]), ms(10_500), &mut rng).is_none());
    assert_eq!(
        fleet.next_availability(&ask(&[]), ms(10_500)).map(|opening| opening.at),
        Some(ms(11_050))
    );
    assert!(fleet.place(&ask(&[]), ms(11_050), &mut rng).is_some());
}

#[test]
fn a_request_whose_server_turned_cold_meanwhile_does_not_leave() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = fleet_of(0, &[0], 1, ms(0));
    let tickets: Vec<Ticket> =
        (0..20).filter_map(|_| fleet.place(&ask(&[]), ms(10_000), &mut rng)).collect();
    fleet.apply_server(cold("s0", ms(13_000)));
    let left = tickets.iter().filter(|ticket| fleet.may_send(ticket, ms(10_200))).count();
    assert!(left <= MOST / 2, "{left} requests left for a server that had turned cold");
}

#[test]
fn requests_held_up_by_a_freeze_do_not_join_those_after_it() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let all: Vec<usize> = (0..2).collect();
    let mut fleets = [fleet_of(0, &all, 1, ms(60_000)), fleet_of(1, &all, 1, ms(60_000))];
    let mut left = 0;
    for fleet in &mut fleets {
        let held: Vec<Ticket> =
            std::iter::from_fn(|| fleet.place(&ask(&[]), ms(10_000), &mut rng)).collect();
        assert!(!held.is_empty());
        // NB: the process stood still for five seconds; new requests come first.
        let woken: Vec<Ticket> =
            std::iter::from_fn(|| fleet.place(&ask(&[]), ms(15_000), &mut rng)).collect();
        let late = held.iter().filter(|ticket| fleet.may_send(ticket, ms(15_001))).count();
        left += woken.len() + late;
    }
    assert!(left <= MOST, "{left} requests left at once");
}

#[test]
fn a_server_turns_cold_for_the_second_time_by_its_word() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = fleet_of(0, &[1, 2], 1, ms(3_000));
    assert_eq!(fleet.cold_reason("s0", ms(2_000)), Some(ColdReason::Reported));
    assert!(fleet.place(&ask(&[]), ms(3_000), &mut rng).is_some(), "it is warm");
    fleet.apply_server(cold("s0", ms(9_000)));
    assert!(fleet.place(&ask(&[]), ms(7_000), &mut rng).is_none(), "it is cold again");
    fleet.apply_server(cold("s0", ms(0)));
    assert!(fleet.place(&ask(&[]), ms(7_500), &mut rng).is_some(), "it tells that it is warm");
}

#[test]
fn a_server_that_was_not_reached_counts_as_cold_until_it_must_have_told() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = fleet_of(0, &[1, 2], 1, ms(0));
    let ticket = fleet.place(&ask(&[]), ms(5_000), &mut rng).expect("a place");
    assert!(
        !fleet.on_unreachable(&ticket, UnreachableReason::TimedOut, ms(5_000)),
        "a packet may be lost"
    );
    assert_eq!(fleet.cold_reason("s0", ms(5_001)), None);
    assert!(fleet.on_unreachable(&ticket, UnreachableReason::Refused, ms(5_000)));
    assert_eq!(fleet.cold_reason("s0", ms(10_399)), Some(ColdReason::Unreachable));
    assert_eq!(fleet.cold_reason("s0", ms(10_400)), None);
    assert!(fleet.apply_peer_unreachable("s0", ms(11_000), ms(11_300)));
    assert_eq!(fleet.cold_reason("s0", ms(16_399)), Some(ColdReason::Unreachable));
}

#[test]
fn an_evacuated_data_centre_gets_nothing_and_comes_back_cold() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = fleet_of(0, &[1, 2], 2, ms(0));
    fleet.apply_server(ServerInfo { data_centre: "dc2".to_owned(), ..cold("far", ms(0)) });
    let placed = fleet.place(&ask(&[]), ms(5_000), &mut rng).expect("a place");
    fleet.evacuate("dc1");
    assert!(!fleet.may_send(&placed, ms(5_001)), "its connection stood too late");
    for _ in 0..20 {
        let ticket = fleet.place(&ask(&[]), ms(5_010), &mut rng).expect("a place");
        assert_eq!(ticket.server, "far");
    }
    fleet.apply_server(cold("s7", ms(0)));
    let ticket = fleet.place(&ask(&[]), ms(5_020), &mut rng).expect("a place");
    assert_eq!(ticket.server, "far", "a server that starts there gets nothing either");
    fleet.reinstate("dc1", ms(8_000));
    assert_eq!(fleet.cold_reason("s0", ms(10_999)), Some(ColdReason::Reinstated));
    assert_eq!(fleet.cold_reason("s0", ms(11_000)), None);
    assert_eq!(fleet.cold_reason("far", ms(8_000)), None);
}

#[test]
fn servers_of_services_that_bear_everything_at_once_are_never_cold() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = Fleet::new("dc1");
    fleet.apply_server(cold("s0", ms(60_000)));
    let tickets = (0..100).filter_map(|_| fleet.place(&ask(&[]), ms(1), &mut rng)).count();
    assert_eq!(tickets, 100);
    let none = WarmUp { time: Duration::ZERO, requests_per_s: 0.0 };
    assert_eq!(ColdServerPacing::of(Some(none), None), None);
}

#[test]
fn a_server_born_anew_under_its_identity_holds_and_knows_nothing_of_before() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let born = |ms| ServerInfo { born_ms: Some(ms), ..server("s0", "v1") };
    let mut fleet = Fleet::new("dc1");
    fleet.apply_server(born(1_000));
    let prompt = common::parts(&[2_000, 10]);
    let first = fleet.place(&ask(&prompt), ms(0), &mut rng).expect("a place");
    let cached = fleet.forecast(&ask(&prompt), ms(1)).expect("a place").prefill_ms;
    (0..4).for_each(|_| fleet.record_outcome(&first, true, ms(2)));
    fleet.mark_replaced(&first);
    assert!(fleet.place(&ask(&prompt), ms(3), &mut rng).is_none(), "it is leaving");
    fleet.apply_server(born(2_000));
    let anew = fleet.forecast(&ask(&prompt), ms(4)).expect("it takes work again");
    assert!(anew.prefill_ms > cached + 50.0, "nothing is held there: {} {cached}", anew.prefill_ms);
    assert_eq!(fleet.in_flight(pondwalk_decide::direct::VersionRule::Any), 0);
    assert!(!fleet.may_send(&first, ms(5)), "what was placed in its life before is placed anew");
    let second = fleet.place(&ask(&prompt), ms(5), &mut rng).expect("a place");
    assert!(fleet.may_send(&second, ms(5)));
    // NB: what belongs to the life before changes nothing any more.
    fleet.mark_replaced(&first);
    fleet.on_finished(&first);
    assert_eq!(fleet.in_flight(pondwalk_decide::direct::VersionRule::Any), 1);
    fleet.on_finished(&second);
    assert!(fleet.place(&ask(&prompt), ms(6), &mut rng).is_some());
}

#[test]
fn a_server_removed_and_listed_again_is_not_the_one_before() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = Fleet::new("dc1");
    fleet.apply_server(server("s0", "v1"));
    let first = fleet.place(&ask(&[]), ms(0), &mut rng).expect("a place");
    fleet.remove("s0");
    assert!(!fleet.may_send(&first, ms(1)), "its server has gone");
    fleet.apply_server(server("s0", "v1"));
    let second = fleet.place(&ask(&[]), ms(1), &mut rng).expect("a place");
    fleet.on_finished(&first);
    assert_eq!(fleet.in_flight(pondwalk_decide::direct::VersionRule::Any), 1);
    fleet.on_finished(&second);
}
