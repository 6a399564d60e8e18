//! Requests at cold servers that one entry lends to another.

use std::time::Duration;

use pondwalk_decide::direct::{
    BoundSharing, ColdServerBound, ColdServerPacing, DataCentreRule, Fleet, PlacementRequest,
    ServerInfo, UnavailableReason, VersionRule, WarmUp,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SECOND: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(10);
const START: Duration = Duration::from_secs(1_000);

fn pacing() -> ColdServerPacing {
    let warm_up = WarmUp { time: Duration::from_secs(60), requests_per_s: 4.0 };
    let bound = ColdServerBound { overshoot: 1.5, tolerance: 5.0, report_delay: SECOND };
    ColdServerPacing::of(Some(warm_up), Some(bound)).expect("limits")
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("e{n}")).collect()
}

/// Fleet of the entry `own` among these, with one cold server.
fn fleet(own: &str, names: &[String]) -> Fleet {
    let mut sharing = BoundSharing::new(own);
    sharing.set_entries(names.iter().map(String::as_str));
    let mut fleet = Fleet::new("dc1");
    fleet.set_pacing(Some(pacing()));
    fleet.set_bound_sharing(&sharing);
    fleet.apply_server(ServerInfo {
        id: "s1".into(),
        born_ms: Some(1),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "dc1".into(),
        version: "v1".into(),
        slots: 8,
        ready: true,
        cold_until: START + 60 * SECOND,
    });
    fleet
}

fn request() -> PlacementRequest<'static> {
    PlacementRequest {
        versions: VersionRule::Any,
        data_centres: DataCentreRule::Any,
        excluded_servers: &[],
        parts: &[],
        model: 0,
        prefill_ms_per_token: 0.0,
        base_ms: 10.0,
    }
}

/// Requests at the server while one of `count` entries has all callers: how many reached it, and
/// the most in any second.
fn sends(count: usize) -> (usize, usize) {
    let names = names(count);
    let mut rng = Pcg64Mcg::seed_from_u64(count as u64);
    let mut fleets: Vec<Fleet> = names.iter().map(|name| fleet(name, &names)).collect();
    let mut sent = Vec::new();
    for tick in 0..1_000 {
        let now = START + TICK * tick;
        let (borrower, lenders) = fleets.split_first_mut().expect("entries");
        if let Some(wanted) = borrower.request_loan(&request(), now, &mut rng) {
            let mut lent = Err(now + SECOND);
            for lender in lenders.iter_mut() {
                let answer = lender.lend(&wanted.server, &wanted.incarnation, now);
                lent = if answer.is_ok() { answer } else { lent.min(answer) };
                if lent.is_ok() {
                    break;
                }
            }
            borrower.apply_loan("s1", lent, now);
        }
        // What is lent may be used late.
        let used_at = now + Duration::from_millis(u64::from(tick % 25) * 9);
        if let Some(ticket) = borrower.place(&request(), now, &mut rng)
            && borrower.may_send(&ticket, used_at)
        {
            sent.push(used_at);
        }
    }
    sent.sort();
    let within =
        |from: Duration| sent.iter().filter(|at| **at >= from && **at < from + SECOND).count();
    (sent.len(), sent.iter().map(|from| within(*from)).max().unwrap_or(0))
}

#[test]
fn loans_stay_within_half_of_the_bound() {
    for count in [2, 5, 24, 420] {
        let (_, most) = sends(count);
        let usable = pacing().max_requests_per_second as usize / 2;
        assert!(most <= usable, "{most} of {usable} in a second at {count} entries");
    }
}

#[test]
fn one_entry_uses_the_shares_of_all() {
    for count in [2, 5, 24, 420] {
        let (sent, _) = sends(count);
        assert!(sent >= 30, "{sent} in ten seconds at {count} entries");
    }
}

#[test]
fn lender_counts_what_it_lends() {
    let names = names(2);
    let (mut lender, mut borrower) = (fleet("e0", &names), fleet("e1", &names));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    while borrower.place(&request(), START, &mut rng).is_some() {}
    let wanted = borrower.request_loan(&request(), START, &mut rng).expect("a loan is wanted");
    assert_eq!(wanted.owner_count, 2);
    while lender.lend("s1", &wanted.incarnation, START).is_ok() {}
    assert!(lender.place(&request(), START, &mut rng).is_none(), "all of its share is lent");
    assert!(lender.place(&request(), START + SECOND, &mut rng).is_none(), "it may be used late");
    assert!(lender.place(&request(), START + 2 * SECOND, &mut rng).is_some());
}

#[test]
fn other_incarnations_and_sole_entries_get_no_loans() {
    let names = names(2);
    let (mut lender, mut borrower) = (fleet("e0", &names), fleet("e1", &names));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    while borrower.place(&request(), START, &mut rng).is_some() {}
    let availability = borrower.next_availability(&request(), START).expect("cold");
    assert_eq!(availability.reason, UnavailableReason::ColdBorrowable);
    let wanted = borrower.request_loan(&request(), START, &mut rng).expect("a loan is wanted");
    let mut other = lender.server_info("s1").expect("listed").clone();
    other.born_ms = Some(2);
    lender.apply_server(other);
    assert!(lender.lend("s1", &wanted.incarnation, START).is_err());
    let mut sole = Fleet::new("dc1");
    sole.set_pacing(Some(pacing()));
    sole.set_bound_sharing(&BoundSharing::sole("e0"));
    assert_eq!(sole.request_loan(&request(), START, &mut rng), None);
}
