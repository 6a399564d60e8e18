//! Servers that report a rate limit, with many entries, which stop, restart or are partitioned.

mod common;

use std::{rc::Rc, time::Duration};

use common::{
    World,
    limits::{Load, check_limit, count_from, load_at, load_evenly, report_limit, responses, start},
    net::{Impostor, Net, peer_address},
    run_test, stream, total,
};
use pondwalk_decide::direct::{granter_order, server_hash};
use pondwalk_direct::Entry;
use pondwalk_standin::backends::Behaviour;
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

fn ok_response() -> Behaviour {
    Behaviour::Answer(200, "made".into())
}

fn load(seconds: u64) -> Load {
    Load { path: "/again/x", gap: Duration::from_millis(25), time: Duration::from_secs(seconds) }
}

/// Four servers and `entries` entries; the first server reports a limit of 1.7 requests a second.
async fn start_one_limited(world: World, entries: u16) -> (Rc<World>, Net, Vec<Entry>) {
    let net = Net::default();
    let entries = start(&world, &net, (4, "s", ok_response()), entries).await;
    report_limit(&world, 1, "1.7");
    (Rc::new(world), net, entries)
}

fn check_limit_is_kept(entries: u16) {
    run_test(move |world| async move {
        let (world, _net, entries) = start_one_limited(world, entries).await;
        let reported_at = Instant::now();
        responses(load_evenly(&world, &entries, load(15)).await).await;
        check_limit(&world, 1, 1.7, reported_at);
        let count = count_from(&world, 1, reported_at + Duration::from_secs(2));
        assert!(count >= 12, "{count} of the 22 that it takes in 13 s");
    });
}

#[test]
fn limit_is_kept_by_24_entries_together() {
    check_limit_is_kept(24);
}

#[test]
fn limit_is_kept_by_103_entries_together() {
    check_limit_is_kept(103);
}

#[test]
fn limit_is_used_and_kept_by_357_entries_with_sparse_requests() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (1, "s", ok_response()), 357).await;
        report_limit(&world, 1, "1.7");
        let world = Rc::new(world);
        let reported_at = Instant::now();
        responses(load_evenly(&world, &entries, load(20)).await).await;
        check_limit(&world, 1, 1.7, reported_at);
        let count = count_from(&world, 1, reported_at + Duration::from_secs(2));
        assert!(count >= 24, "{count} of the 30 that it takes in 18 s");
    });
}

#[test]
fn limited_capacity_is_used_by_one_of_24_entries() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (1, "s", ok_response()), 24).await;
        report_limit(&world, 1, "1.7");
        let world = Rc::new(world);
        let reported_at = Instant::now();
        responses(load_at(&world, &entries, load(30), |_| 17).await).await;
        check_limit(&world, 1, 1.7, reported_at);
        let count = count_from(&world, 1, reported_at + Duration::from_secs(2));
        assert!(count >= 38, "{count} of the 48 that it takes in 28 s");
    });
}

#[test]
fn limit_is_kept_by_both_partitions() {
    for seconds_before in [0, 5] {
        run_test(move |world| async move {
            let (world, net, entries) = start_one_limited(world, 8).await;
            let reported_at = Instant::now();
            responses(load_evenly(&world, &entries, load(seconds_before)).await).await;
            net.split(4);
            responses(load_evenly(&world, &entries, load(20)).await).await;
            check_limit(&world, 1, 1.7, reported_at);
            assert!(
                count_from(&world, 1, reported_at + Duration::from_secs(2)) >= 15,
                "it is used"
            );
        });
    }
}

#[test]
fn limit_is_kept_while_entries_stop_in_turn() {
    run_test(|world| async move {
        let (world, net, entries) = start_one_limited(world, 8).await;
        let reported_at = Instant::now();
        for ended in 0..6u16 {
            let alive = &entries[usize::from(ended)..];
            responses(load_evenly(&world, alive, load(3)).await).await;
            net.stop(ended);
        }
        check_limit(&world, 1, 1.7, reported_at);
        let stopped_at = Instant::now();
        responses(load_evenly(&world, &entries[6..], load(20)).await).await;
        check_limit(&world, 1, 1.7, reported_at);
        let count = count_from(&world, 1, stopped_at);
        assert!(count >= 8, "{count} by the two remaining entries");
    });
}

#[test]
fn limit_is_kept_by_later_entries() {
    run_test(|world| async move {
        let (world, net, mut entries) = start_one_limited(world, 4).await;
        let reported_at = Instant::now();
        for n in 4..10 {
            responses(load_evenly(&world, &entries, load(2)).await).await;
            entries.push(net.start_later(&world, n));
        }
        responses(load_evenly(&world, &entries, load(8)).await).await;
        check_limit(&world, 1, 1.7, reported_at);
    });
}

#[test]
fn limit_is_kept_after_a_restart_of_all_entries() {
    run_test(|world| async move {
        let (world, net, entries) = start_one_limited(world, 5).await;
        responses(load_evenly(&world, &entries, load(5)).await).await;
        (0..5).for_each(|n| net.stop(n));
        drop(entries);
        sleep(Duration::from_millis(500)).await;
        net.cut.borrow_mut().clear();
        let entries = net.start_many(&world, 5, "");
        sleep(Duration::from_secs(1)).await;
        let started = Instant::now();
        responses(load_evenly(&world, &entries, load(15)).await).await;
        check_limit(&world, 1, 1.7, started);
    });
}

#[test]
fn limit_is_kept_when_all_connections_go_silent() {
    run_test(|world| async move {
        let (world, net, entries) = start_one_limited(world, 6).await;
        let reported_at = Instant::now();
        responses(load_evenly(&world, &entries, load(4)).await).await;
        net.silence_open_connections();
        responses(load_evenly(&world, &entries, load(10)).await).await;
        check_limit(&world, 1, 1.7, reported_at);
    });
}

#[test]
fn forty_limited_servers_are_used_by_24_entries() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (40, "m", stream(2, Some(100))), 24).await;
        (1..=40).for_each(|n| report_limit(&world, n, "0.8"));
        let world = Rc::new(world);
        let reported_at = Instant::now();
        let load = Load { path: "/models/x", ..load(20) };
        let responses = responses(load_evenly(&world, &entries, load).await).await;
        (1..=40).for_each(|n| check_limit(&world, n, 0.8, reported_at));
        let served = responses.iter().filter(|response| response.status.is_success()).count();
        assert!(served >= 512, "{served} of the 640 that they take in 20 s");
    });
}

#[test]
fn part_of_the_limit_is_used_while_the_granter_is_unresponsive() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (1, "s", ok_response()), 6).await;
        let mut names: Vec<String> = entries.iter().map(|entry| entry.name().to_owned()).collect();
        granter_order(u128::from(server_hash("s1")), &mut names);
        let granter =
            entries.iter().position(|entry| entry.name() == names[0]).expect("it is used");
        let unresponsive: Impostor = Rc::new(|io| {
            spawn_local(async move {
                sleep(Duration::from_secs(3_600)).await;
                drop(io);
            });
        });
        let address = peer_address(u16::try_from(granter).expect("a few"));
        net.impostors.borrow_mut().insert(address, unresponsive);
        report_limit(&world, 1, "1.7");
        let world = Rc::new(world);
        let reported_at = Instant::now();
        let others = load_at(&world, &entries, load(30), |number| {
            let index = number % 5;
            if index >= granter { index + 1 } else { index }
        });
        responses(others.await).await;
        check_limit(&world, 1, 1.7, reported_at);
        let count = count_from(&world, 1, reported_at + Duration::from_secs(2));
        assert!(count >= 10, "{count} of the 14 that a stand-in grants in 28 s");
    });
}

#[test]
fn few_permits_are_requested_if_hundreds_of_servers_are_at_their_limits() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (300, "s", ok_response()), 4).await;
        (1..=300).for_each(|n| report_limit(&world, n, "0"));
        let world = Rc::new(world);
        responses(load_evenly(&world, &entries, load(10)).await).await;
        let permit_requests = || {
            let names = ["pondwalk_permits_given_total", "pondwalk_permits_refused_total"];
            names.iter().map(|name| total(&entries, name)).sum::<u64>()
        };
        let before = permit_requests();
        let slow_load = Load { gap: Duration::from_millis(400), ..load(20) };
        let requests = responses(load_evenly(&world, &entries, slow_load).await).await.len();
        let per_request = (permit_requests() - before) as f64 / requests as f64;
        assert!(per_request <= 24.0, "{per_request} permit requests per request");
    });
}
