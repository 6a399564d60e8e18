//! Cold servers: what all entries together send them, whatever each entry knows of the others.

mod common;

use std::time::Duration;

use common::{ms, request, server};
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
/// The bound on requests in a second: 14 x 1.5 + 5.
const MAX_PER_SECOND: usize = 26;

fn name(n: usize) -> String {
    format!("edge-hall-{n}")
}

/// The fleet of the entry `own`, which knows the entries `listed`.
fn fleet_of(own: usize, listed: &[usize], servers: usize, cold_until: Duration) -> Fleet {
    let mut fleet = Fleet::new("dc1");
    fleet.set_pacing(ColdServerPacing::of(Some(WARM_UP), Some(BOUND)));
    let mut bound_sharing = BoundSharing::new(&name(own));
    let names: Vec<String> = listed.iter().map(|n| name(*n)).collect();
    bound_sharing.set_entries(names.iter().map(String::as_str));
    fleet.set_bound_sharing(&bound_sharing);
    (0..servers).for_each(|n| fleet.apply_server(cold(&format!("s{n}"), cold_until)));
    fleet
}

fn cold(id: &str, cold_until: Duration) -> ServerInfo {
    ServerInfo { cold_until, ..server(id, "v1") }
}

/// Largest number of sends to one server within any second.
fn max_per_second(sends: &mut [(String, Duration)]) -> usize {
    sends.sort();
    let mut max = 0;
    for (first, (server, at)) in sends.iter().enumerate() {
        let within = |(other, later): &&(String, Duration)| {
            other == server && *later < *at + Duration::from_secs(1)
        };
        max = max.max(sends[first..].iter().take_while(within).count());
    }
    max
}

/// All entries place as many requests as they can for `time`, beginning at `from` on their clocks.
fn place_all(fleets: &mut [Fleet], from: Duration, time: Duration) -> Vec<(String, Duration)> {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut sends = Vec::new();
    let mut now = from;
    while now < from + time {
        fleets.shuffle(&mut rng);
        for fleet in fleets.iter_mut() {
            while let Some(ticket) = fleet.place(&request(&[]), now, &mut rng) {
                sends.push((ticket.server.clone(), now));
                fleet.on_finished(&ticket);
            }
        }
        now += ms(20);
    }
    sends
}

#[test]
fn any_number_of_entries_keeps_the_bound_of_cold_servers() {
    for entries in [1, 2, 4, 7, 13, 23, 100, 300, 420] {
        let all: Vec<usize> = (0..entries).collect();
        let fleet = |own| fleet_of(own, &all, 3, ms(60_000));
        let mut fleets: Vec<Fleet> = all.iter().map(|own| fleet(*own)).collect();
        let mut sends = place_all(&mut fleets, ms(10_000), ms(3_500));
        let max = max_per_second(&mut sends);
        assert!(max <= MAX_PER_SECOND / 2, "{entries} entries sent {max} in a second");
        // NB: sending nothing would keep any bound.
        assert!(sends.len() > 3 * 3 * 10, "{entries} entries sent only {}", sends.len());
    }
}

#[test]
fn two_partitions_keep_the_bound_together() {
    for entries in [8, 23, 100, 420] {
        let halves: [Vec<usize>; 2] =
            [(0..entries / 2).collect(), (entries / 2..entries).collect()];
        let mut fleets = Vec::new();
        for half in &halves {
            fleets.extend(half.iter().map(|own| fleet_of(*own, half, 2, ms(60_000))));
        }
        let max = max_per_second(&mut place_all(&mut fleets, ms(10_000), ms(3_000)));
        assert!(max <= MAX_PER_SECOND, "{entries} entries in two halves sent {max} in a second");
    }
}

#[test]
fn entries_with_incomplete_lists_keep_the_bound() {
    fn property(missing: Vec<u8>) -> bool {
        let entries = 40;
        let mut rng = Pcg64Mcg::seed_from_u64(missing.len() as u64);
        let mut fleets = Vec::new();
        for own in 0..entries {
            let missing_share = f64::from(missing.get(own).copied().unwrap_or(0) % 50) / 100.0;
            let is_known = |n: &usize| *n == own || rng_keeps(&mut rng, missing_share);
            let listed: Vec<usize> = (0..entries).filter(is_known).collect();
            fleets.push(fleet_of(own, &listed, 1, ms(60_000)));
        }
        max_per_second(&mut place_all(&mut fleets, ms(10_000), ms(2_000))) <= MAX_PER_SECOND
    }
    fn rng_keeps(rng: &mut Pcg64Mcg, missing: f64) -> bool {
        !rng.random_bool(missing)
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(40, 5)).tests(60);
    check.quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn restarted_entries_send_cold_servers_nothing_for_a_second() {
    let all: Vec<usize> = (0..300).collect();
    let mut before: Vec<Fleet> =
        all.iter().map(|own| fleet_of(*own, &all, 2, ms(60_000))).collect();
    let mut sends = place_all(&mut before, ms(10_000), ms(1_000));
    // NB: their clocks start from zero, and their earlier sends are forgotten.
    let mut after: Vec<Fleet> = all.iter().map(|own| fleet_of(*own, &all, 2, ms(60_000))).collect();
    let later = place_all(&mut after, ms(0), ms(2_500));
    assert!(later.iter().all(|(_, at)| *at >= ms(1_000)));
    sends.extend(later.into_iter().map(|(server, at)| (server, at + ms(11_000))));
    assert!(max_per_second(&mut sends) <= MAX_PER_SECOND);
}

#[test]
fn an_unlisted_entry_sends_cold_servers_nothing() {
    let others: Vec<usize> = (1..23).collect();
    let mut alone = [fleet_of(0, &[], 2, ms(60_000)), fleet_of(0, &others, 2, ms(60_000))];
    assert!(place_all(&mut alone, ms(10_000), ms(2_000)).is_empty());
}

#[test]
fn requests_before_a_server_turned_cold_count() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = fleet_of(0, &[0], 1, ms(0));
    let tickets: Vec<Ticket> =
        (0..20).filter_map(|_| fleet.place(&request(&[]), ms(10_000), &mut rng)).collect();
    assert_eq!(tickets.len(), 20, "a warm server accepts all");
    fleet.apply_server(cold("s0", ms(13_000)));
    assert!(fleet.place(&request(&[]), ms(10_500), &mut rng).is_none());
    assert_eq!(
        fleet.next_availability(&request(&[]), ms(10_500)).map(|opening| opening.at),
        Some(ms(11_050))
    );
    assert!(fleet.place(&request(&[]), ms(11_050), &mut rng).is_some());
}

#[test]
fn placed_requests_are_not_all_sent_to_a_server_that_turned_cold() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = fleet_of(0, &[0], 1, ms(0));
    let tickets: Vec<Ticket> =
        (0..20).filter_map(|_| fleet.place(&request(&[]), ms(10_000), &mut rng)).collect();
    fleet.apply_server(cold("s0", ms(13_000)));
    let sent = tickets.iter().filter(|ticket| fleet.may_send(ticket, ms(10_200))).count();
    assert!(
        sent <= MAX_PER_SECOND / 2,
        "{sent} requests were sent to a server that had turned cold"
    );
}

#[test]
fn requests_placed_before_a_suspension_count_after_it() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let all: Vec<usize> = (0..2).collect();
    let mut fleets = [fleet_of(0, &all, 1, ms(60_000)), fleet_of(1, &all, 1, ms(60_000))];
    let mut sent = 0;
    for fleet in &mut fleets {
        let before_suspension: Vec<Ticket> =
            std::iter::from_fn(|| fleet.place(&request(&[]), ms(10_000), &mut rng)).collect();
        assert!(!before_suspension.is_empty());
        // NB: the process was suspended for five seconds; new requests come first.
        let after_suspension: Vec<Ticket> =
            std::iter::from_fn(|| fleet.place(&request(&[]), ms(15_000), &mut rng)).collect();
        let late =
            before_suspension.iter().filter(|ticket| fleet.may_send(ticket, ms(15_001))).count();
        sent += after_suspension.len() + late;
    }
    assert!(sent <= MAX_PER_SECOND, "{sent} requests were sent at once");
}

#[test]
fn a_server_may_report_cold_again() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = fleet_of(0, &[1, 2], 1, ms(3_000));
    assert_eq!(fleet.cold_reason("s0", ms(2_000)), Some(ColdReason::Reported));
    assert!(fleet.place(&request(&[]), ms(3_000), &mut rng).is_some(), "the server is warm");
    fleet.apply_server(cold("s0", ms(9_000)));
    assert!(fleet.place(&request(&[]), ms(7_000), &mut rng).is_none(), "the server is cold again");
    fleet.apply_server(cold("s0", ms(0)));
    assert!(
        fleet.place(&request(&[]), ms(7_500), &mut rng).is_some(),
        "the server reports that it is warm"
    );
}

#[test]
fn an_unreachable_server_is_presumed_cold_until_its_report_is_due() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = fleet_of(0, &[1, 2], 1, ms(0));
    let ticket = fleet.place(&request(&[]), ms(5_000), &mut rng).expect("a server");
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
fn an_evacuated_data_centre_gets_nothing_and_is_cold_when_reinstated() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = fleet_of(0, &[1, 2], 2, ms(0));
    fleet.apply_server(ServerInfo { data_centre: "dc2".to_owned(), ..cold("far", ms(0)) });
    let placed = fleet.place(&request(&[]), ms(5_000), &mut rng).expect("a server");
    fleet.evacuate("dc1");
    assert!(!fleet.may_send(&placed, ms(5_001)), "its connection opened too late");
    for _ in 0..20 {
        let ticket = fleet.place(&request(&[]), ms(5_010), &mut rng).expect("a server");
        assert_eq!(ticket.server, "far");
    }
    fleet.apply_server(cold("s7", ms(0)));
    let ticket = fleet.place(&request(&[]), ms(5_020), &mut rng).expect("a server");
    assert_eq!(ticket.server, "far", "a server that starts there gets no requests either");
    fleet.reinstate("dc1", ms(8_000));
    assert_eq!(fleet.cold_reason("s0", ms(10_999)), Some(ColdReason::Reinstated));
    assert_eq!(fleet.cold_reason("s0", ms(11_000)), None);
    assert_eq!(fleet.cold_reason("far", ms(8_000)), None);
}

#[test]
fn servers_without_warm_up_are_never_cold() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = Fleet::new("dc1");
    fleet.apply_server(cold("s0", ms(60_000)));
    let tickets = (0..100).filter_map(|_| fleet.place(&request(&[]), ms(1), &mut rng)).count();
    assert_eq!(tickets, 100);
    let none = WarmUp { time: Duration::ZERO, requests_per_s: 0.0 };
    assert_eq!(ColdServerPacing::of(Some(none), None), None);
}

#[test]
fn a_restarted_server_starts_with_empty_state() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let started = |ms| ServerInfo { born_ms: Some(ms), ..server("s0", "v1") };
    let mut fleet = Fleet::new("dc1");
    fleet.apply_server(started(1_000));
    let prompt = common::parts(&[2_000, 10]);
    let first = fleet.place(&request(&prompt), ms(0), &mut rng).expect("a server");
    let cached = fleet.forecast(&request(&prompt), ms(1)).expect("a server").prefill_ms;
    (0..4).for_each(|_| fleet.record_outcome(&first, true, ms(2)));
    fleet.mark_replaced(&first);
    assert!(fleet.place(&request(&prompt), ms(3), &mut rng).is_none(), "the server was replaced");
    fleet.apply_server(started(2_000));
    let after_restart =
        fleet.forecast(&request(&prompt), ms(4)).expect("the server accepts requests again");
    assert!(
        after_restart.prefill_ms > cached + 50.0,
        "the cache is empty: {} {cached}",
        after_restart.prefill_ms
    );
    assert_eq!(fleet.in_flight(pondwalk_decide::direct::VersionRule::Any), 0);
    assert!(!fleet.may_send(&first, ms(5)), "requests of the earlier incarnation are not sent");
    let second = fleet.place(&request(&prompt), ms(5), &mut rng).expect("a server");
    assert!(fleet.may_send(&second, ms(5)));
    // NB: events of the earlier incarnation have no effect.
    fleet.mark_replaced(&first);
    fleet.on_finished(&first);
    assert_eq!(fleet.in_flight(pondwalk_decide::direct::VersionRule::Any), 1);
    fleet.on_finished(&second);
    assert!(fleet.place(&request(&prompt), ms(6), &mut rng).is_some());
}

#[test]
fn a_server_listed_again_is_a_new_incarnation() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = Fleet::new("dc1");
    fleet.apply_server(server("s0", "v1"));
    let first = fleet.place(&request(&[]), ms(0), &mut rng).expect("a server");
    fleet.remove("s0");
    assert!(!fleet.may_send(&first, ms(1)), "the server was removed");
    fleet.apply_server(server("s0", "v1"));
    let second = fleet.place(&request(&[]), ms(1), &mut rng).expect("a server");
    fleet.on_finished(&first);
    assert_eq!(fleet.in_flight(pondwalk_decide::direct::VersionRule::Any), 1);
    fleet.on_finished(&second);
}
