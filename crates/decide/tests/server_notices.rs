//! Notices of servers: how long they apply, and to which incarnation of the server.

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

fn server_info(id: &str, born_ms: Option<u64>) -> ServerInfo {
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

fn request() -> PlacementRequest<'static> {
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
    fleet.place(&request(), now, &mut Pcg64Mcg::seed_from_u64(1))
}

/// A fleet of one server with a placed request.
fn fleet(born_ms: Option<u64>) -> (Fleet, Ticket) {
    let mut fleet = Fleet::new("dc1");
    fleet.apply_server(server_info("s1", born_ms));
    let ticket = place(&mut fleet, Duration::ZERO).expect("a server");
    (fleet, ticket)
}

/// Places up to 100 requests at once, which stay in flight.
fn place_all(fleet: &mut Fleet, now: Duration) -> Vec<Ticket> {
    std::iter::from_fn(|| place(fleet, now)).take(100).collect()
}

#[test]
fn a_draining_report_applies_to_one_incarnation() {
    let (mut fleet, ticket) = fleet(Some(1));
    assert!(fleet.on_draining_reported(&ticket, secs(1)));
    assert!(!fleet.on_draining_reported(&ticket, secs(1)), "the second report is not new");
    assert!(place(&mut fleet, secs(1)).is_none());
    fleet.apply_server(server_info("s1", Some(1)));
    assert!(place(&mut fleet, secs(2)).is_none(), "listed as ready");
    fleet.remove("s1");
    fleet.apply_server(server_info("s1", Some(1)));
    assert!(place(&mut fleet, secs(3)).is_none(), "removed and listed again");
    fleet.apply_server(server_info("s1", None));
    assert!(
        place(&mut fleet, secs(3)).is_none(),
        "a record without a start time is no other incarnation"
    );
    fleet.apply_server(server_info("s1", Some(2)));
    assert!(place(&mut fleet, secs(4)).is_some(), "restarted");
    fleet.on_draining_reported(&ticket, secs(5));
    assert!(
        place(&mut fleet, secs(5)).is_some(),
        "a late answer of the earlier incarnation does not apply"
    );
}

#[test]
fn another_address_is_another_incarnation() {
    let (mut fleet, ticket) = fleet(None);
    fleet.on_draining_reported(&ticket, secs(1));
    fleet.remove("s1");
    let moved = ServerInfo {
        address: "127.0.0.1:2".parse().expect("an address"),
        ..server_info("s1", None)
    };
    fleet.apply_server(moved);
    assert!(place(&mut fleet, secs(2)).is_some());
}

#[test]
fn a_report_while_the_server_is_not_listed_applies_when_it_is_listed_again() {
    let (mut fleet, ticket) = fleet(None);
    fleet.remove("s1");
    assert!(fleet.on_draining_reported(&ticket, secs(1)));
    fleet.apply_server(server_info("s1", None));
    assert!(place(&mut fleet, secs(2)).is_none());
}

#[test]
fn a_server_that_never_exits_is_tried_with_one_request_after_ten_minutes() {
    let (mut fleet, ticket) = fleet(None);
    fleet.on_finished(&ticket);
    fleet.on_draining_reported(&ticket, secs(1));
    assert!(place(&mut fleet, secs(600)).is_none());
    let mut tickets = place_all(&mut fleet, secs(602));
    assert_eq!(tickets.len(), 1);
    fleet.on_answer_started(&mut tickets[0], 20.0, secs(603));
    assert_eq!(place_all(&mut fleet, secs(603)).len(), 2, "the report was wrong");
}

#[test]
fn a_later_shorter_backoff_does_not_shorten_an_earlier_one() {
    let (mut fleet, ticket) = fleet(None);
    fleet.on_backoff_requested(&ticket, secs(10), 0.0, secs(1));
    fleet.on_backoff_requested(&ticket, secs(1), 0.0, secs(2));
    assert!(place(&mut fleet, secs(10)).is_none());
    let availability = fleet.next_availability(&request(), secs(10)).expect("it backs off");
    assert_eq!((availability.at, availability.reason), (secs(11), UnavailableReason::Backoff));
}

#[test]
fn after_a_backoff_concurrency_doubles_from_one() {
    let (mut fleet, ticket) = fleet(None);
    fleet.on_finished(&ticket);
    fleet.on_backoff_requested(&ticket, secs(3), 0.0, secs(1));
    let mut now = secs(4);
    for expected in [1, 2, 4] {
        let mut placed = place_all(&mut fleet, now);
        assert_eq!(placed.len(), expected);
        now += Duration::from_millis(50);
        fleet.on_answer_started(&mut placed[0], 50.0, now);
        for ticket in &placed {
            fleet.on_finished(ticket);
        }
    }
    assert_eq!(place_all(&mut fleet, now).len(), 100, "no limit from then on");
}

#[test]
fn a_refusal_after_a_backoff_resets_concurrency_to_one() {
    let (mut fleet, ticket) = fleet(None);
    fleet.on_finished(&ticket);
    fleet.on_backoff_requested(&ticket, secs(3), 0.0, secs(1));
    let mut first = place_all(&mut fleet, secs(4));
    fleet.on_answer_started(&mut first[0], 50.0, secs(4));
    fleet.on_finished(&first[0]);
    let two = place_all(&mut fleet, secs(4));
    fleet.on_refused(&two[0], secs(4));
    two.iter().for_each(|ticket| fleet.on_finished(ticket));
    assert_eq!(place_all(&mut fleet, secs(5)).len(), 1);
}

#[test]
fn the_end_of_a_backoff_is_spread_over_the_entries() {
    let names: Vec<String> = (0..420).map(|n| format!("e{n}")).collect();
    let mut bound_sharing = BoundSharing::new("e0");
    bound_sharing.set_entries(names.iter().map(String::as_str));
    let backoff_ends: Vec<Duration> = (0..420)
        .map(|n| {
            let (mut fleet, ticket) = fleet(None);
            fleet.set_bound_sharing(&bound_sharing);
            let draw = f64::from(n) / 420.0;
            fleet
                .on_backoff_requested(&ticket, secs(4), draw, secs(1))
                .expect("the end of the backoff")
        })
        .collect();
    assert!(backoff_ends.iter().all(|at| (secs(5)..=secs(6)).contains(at)));
    let in_first_100_ms =
        backoff_ends.iter().filter(|at| **at < secs(5) + Duration::from_millis(100)).count();
    assert!(in_first_100_ms <= 43, "{in_first_100_ms}");
}

#[test]
fn a_request_is_not_sent_after_a_notice_during_connection() {
    let (mut fleet, ticket) = fleet(None);
    let connecting = place(&mut fleet, secs(1)).expect("a server");
    assert!(fleet.may_send(&connecting, secs(1)));
    fleet.on_backoff_requested(&ticket, secs(3), 0.0, secs(1));
    assert!(!fleet.may_send(&connecting, secs(2)));
    assert!(fleet.may_send(&connecting, secs(5)));
    fleet.on_draining_reported(&ticket, secs(5));
    assert!(!fleet.may_send(&connecting, secs(5)));
}

#[test]
fn extreme_backoffs_are_bounded() {
    let (mut fleet, ticket) = fleet(None);
    fleet.on_finished(&ticket);
    fleet.on_backoff_requested(&ticket, Duration::MAX, 1.0, secs(1));
    assert!(place(&mut fleet, secs(300)).is_none());
    assert!(place(&mut fleet, secs(303)).is_some());
    fleet.on_backoff_requested(&ticket, Duration::ZERO, 1.0, secs(400));
}

/// A fleet whose only server has asked for `count` backoffs of two seconds in a row, and when the
/// last ends.
fn fleet_after_backoffs(count: u64) -> (Fleet, Duration) {
    let (mut fleet, ticket) = fleet(None);
    fleet.on_finished(&ticket);
    for number in 0..count {
        let at = secs(1 + 4 * number);
        let ticket = place(&mut fleet, at).expect("a server");
        fleet.on_finished(&ticket);
        fleet.on_backoff_requested(&ticket, secs(2), 0.0, at);
    }
    (fleet, secs(4 * count - 1))
}

fn is_refusing_all(fleet: &Fleet, now: Duration) -> bool {
    fleet.versions_refusing_all(secs(10), now).contains("v1")
}

#[test]
fn a_version_refuses_all_once_all_its_servers_have_for_long() {
    let (briefly_full, end) = fleet_after_backoffs(2);
    assert!(!is_refusing_all(&briefly_full, end), "a server that is full for a short time");
    let (mut fleet, end) = fleet_after_backoffs(4);
    assert!(is_refusing_all(&fleet, end));
    assert!(!is_refusing_all(&fleet, end + secs(6)), "it has not been tried since");
    fleet.apply_server(server_info("s2", None));
    assert!(!is_refusing_all(&fleet, end), "another server of the version accepts requests");
    fleet.remove("s2");
    let mut accepted = place(&mut fleet, end).expect("a server");
    fleet.on_answer_started(&mut accepted, 20.0, end);
    assert!(!is_refusing_all(&fleet, end), "it accepts requests again");
}
