//! What servers ask of an entry, for how long it is kept to, and for which life of the server.

use std::time::Duration;

use pondwalk_decide::direct::{
    BoundSharing, DataCentreRule, Fleet, PlacementRequest, ServerInfo, Ticket, UnavailableReason,
    VersionRule,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn facts(id: &str, born_ms: Option<u64>) -> ServerInfo {
    ServerInfo {
        id: id.to_owned(),
        born_ms,
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "dc1".into(),
        version: "v1".into(),
        slots: 8,
        ready: true,
        cold_until: Duration::ZERO,
    }
}

fn ask() -> PlacementRequest<'static> {
    PlacementRequest {
        parts: &[],
        model: 0,
        prefill_ms_per_token: 0.02,
        base_ms: 20.0,
        excluded_servers: &[],
        versions: VersionRule::Any,
        data_centres: DataCentreRule::Any,
    }
}

fn place(fleet: &mut Fleet, now: Duration) -> Option<Ticket> {
    fleet.place(&ask(), now, &mut Pcg64Mcg::seed_from_u64(1))
}

/// A fleet of one server, with a request there.
fn fleet(born_ms: Option<u64>) -> (Fleet, Ticket) {
    let mut fleet = Fleet::new("dc1");
    fleet.apply_server(facts("s1", born_ms));
    let ticket = place(&mut fleet, Duration::ZERO).expect("a place");
    (fleet, ticket)
}

/// Requests that are let in at once, and stay there.
fn let_in(fleet: &mut Fleet, now: Duration) -> Vec<Ticket> {
    std::iter::from_fn(|| place(fleet, now)).take(100).collect()
}

#[test]
fn a_word_holds_for_the_life_it_was_said_in() {
    let (mut fleet, ticket) = fleet(Some(1));
    assert!(fleet.on_draining_reported(&ticket, secs(1)));
    assert!(!fleet.on_draining_reported(&ticket, secs(1)), "it is no news the second time");
    assert!(place(&mut fleet, secs(1)).is_none());
    fleet.apply_server(facts("s1", Some(1)));
    assert!(place(&mut fleet, secs(2)).is_none(), "told again as ready");
    fleet.remove("s1");
    fleet.apply_server(facts("s1", Some(1)));
    assert!(place(&mut fleet, secs(3)).is_none(), "gone and back");
    fleet.apply_server(facts("s1", None));
    assert!(
        place(&mut fleet, secs(3)).is_none(),
        "an entry that tells no start tells no other life"
    );
    fleet.apply_server(facts("s1", Some(2)));
    assert!(place(&mut fleet, secs(4)).is_some(), "born anew");
    fleet.on_draining_reported(&ticket, secs(5));
    assert!(
        place(&mut fleet, secs(5)).is_some(),
        "a late answer of the life before says nothing of this one"
    );
}

#[test]
fn a_server_that_moved_its_address_is_another_life() {
    let (mut fleet, ticket) = fleet(None);
    fleet.on_draining_reported(&ticket, secs(1));
    fleet.remove("s1");
    let moved = ServerInfo { address: "127.0.0.1:2".parse().expect("one"), ..facts("s1", None) };
    fleet.apply_server(moved);
    assert!(place(&mut fleet, secs(2)).is_some());
}

#[test]
fn a_word_that_comes_while_the_entry_is_gone_holds_when_it_is_back() {
    let (mut fleet, ticket) = fleet(None);
    fleet.remove("s1");
    assert!(fleet.on_draining_reported(&ticket, secs(1)));
    fleet.apply_server(facts("s1", None));
    assert!(place(&mut fleet, secs(2)).is_none());
}

#[test]
fn a_server_that_never_goes_is_tried_with_one_request_after_ten_minutes() {
    let (mut fleet, ticket) = fleet(None);
    fleet.on_finished(&ticket);
    fleet.on_draining_reported(&ticket, secs(1));
    assert!(place(&mut fleet, secs(600)).is_none());
    let mut tries = let_in(&mut fleet, secs(602));
    assert_eq!(tries.len(), 1);
    fleet.on_answer_started(&mut tries[0], 20.0, secs(603));
    assert_eq!(let_in(&mut fleet, secs(603)).len(), 2, "its word was wrong");
}

#[test]
fn a_later_shorter_word_does_not_shorten_an_earlier_one() {
    let (mut fleet, ticket) = fleet(None);
    fleet.on_backoff_requested(&ticket, secs(10), 0.0, secs(1));
    fleet.on_backoff_requested(&ticket, secs(1), 0.0, secs(2));
    assert!(place(&mut fleet, secs(10)).is_none());
    let opening = fleet.next_availability(&ask(), secs(10)).expect("it pauses");
    assert_eq!((opening.at, opening.reason), (secs(11), UnavailableReason::Backoff));
}

#[test]
fn after_a_pause_a_server_gets_one_then_two_then_four_at_once() {
    let (mut fleet, ticket) = fleet(None);
    fleet.on_finished(&ticket);
    fleet.on_backoff_requested(&ticket, secs(3), 0.0, secs(1));
    let mut now = secs(4);
    for expected in [1, 2, 4] {
        let mut placed = let_in(&mut fleet, now);
        assert_eq!(placed.len(), expected);
        now += Duration::from_millis(50);
        fleet.on_answer_started(&mut placed[0], 50.0, now);
        for ticket in &placed {
            fleet.on_finished(ticket);
        }
    }
    assert_eq!(let_in(&mut fleet, now).len(), 100, "all of its places from then on");
}

#[test]
fn a_refusal_after_a_pause_starts_anew_with_one() {
    let (mut fleet, ticket) = fleet(None);
    fleet.on_finished(&ticket);
    fleet.on_backoff_requested(&ticket, secs(3), 0.0, secs(1));
    let mut first = let_in(&mut fleet, secs(4));
    fleet.on_answer_started(&mut first[0], 50.0, secs(4));
    fleet.on_finished(&first[0]);
    let two = let_in(&mut fleet, secs(4));
    fleet.on_refused(&two[0], secs(4));
    two.iter().for_each(|ticket| fleet.on_finished(ticket));
    assert_eq!(let_in(&mut fleet, secs(5)).len(), 1);
}

#[test]
fn hundreds_of_entries_come_back_one_after_the_other() {
    let names: Vec<String> = (0..420).map(|n| format!("e{n}")).collect();
    let mut sharers = BoundSharing::new("e0");
    sharers.set_entries(names.iter().map(String::as_str));
    let opens: Vec<Duration> = (0..420)
        .map(|n| {
            let (mut fleet, ticket) = fleet(None);
            fleet.set_bound_sharing(&sharers);
            let spread = f64::from(n) / 420.0;
            fleet.on_backoff_requested(&ticket, secs(4), spread, secs(1)).expect("until when")
        })
        .collect();
    assert!(opens.iter().all(|at| (secs(5)..=secs(6)).contains(at)));
    let in_a_tenth = opens.iter().filter(|at| **at < secs(5) + Duration::from_millis(100)).count();
    assert!(in_a_tenth <= 43, "{in_a_tenth}");
}

#[test]
fn a_request_whose_connection_was_opening_does_not_leave() {
    let (mut fleet, ticket) = fleet(None);
    let opening = place(&mut fleet, secs(1)).expect("a place");
    assert!(fleet.may_send(&opening, secs(1)));
    fleet.on_backoff_requested(&ticket, secs(3), 0.0, secs(1));
    assert!(!fleet.may_send(&opening, secs(2)));
    assert!(fleet.may_send(&opening, secs(5)));
    fleet.on_draining_reported(&ticket, secs(5));
    assert!(!fleet.may_send(&opening, secs(5)));
}

#[test]
fn pauses_of_years_and_of_none_neither_panic_nor_last() {
    let (mut fleet, ticket) = fleet(None);
    fleet.on_finished(&ticket);
    fleet.on_backoff_requested(&ticket, Duration::MAX, 1.0, secs(1));
    assert!(place(&mut fleet, secs(300)).is_none());
    assert!(place(&mut fleet, secs(303)).is_some());
    fleet.on_backoff_requested(&ticket, Duration::ZERO, 1.0, secs(400));
}

/// A fleet whose only server has asked for pauses of two seconds, one after the other, and when the last ends.
fn paused(count: u64) -> (Fleet, Duration) {
    let (mut fleet, ticket) = fleet(None);
    fleet.on_finished(&ticket);
    for pause in 0..count {
        let at = secs(1 + 4 * pause);
        let ticket = place(&mut fleet, at).expect("a place");
        fleet.on_finished(&ticket);
        fleet.on_backoff_requested(&ticket, secs(2), 0.0, at);
    }
    (fleet, secs(4 * count - 1))
}

fn turns_away(fleet: &Fleet, now: Duration) -> bool {
    fleet.versions_refusing_all(secs(10), now).contains("v1")
}

#[test]
fn a_version_turns_away_once_all_its_servers_have_done_so_for_long() {
    let (full, ended) = paused(2);
    assert!(!turns_away(&full, ended), "a server that is full for a while");
    let (mut fleet, ended) = paused(4);
    assert!(turns_away(&fleet, ended));
    assert!(!turns_away(&fleet, ended + secs(6)), "nobody has tried it since");
    fleet.apply_server(facts("s2", None));
    assert!(!turns_away(&fleet, ended), "another one of the version takes requests");
    fleet.remove("s2");
    let mut taken = place(&mut fleet, ended).expect("a place");
    fleet.on_answer_started(&mut taken, 20.0, ended);
    assert!(!turns_away(&fleet, ended), "it takes requests again");
}
