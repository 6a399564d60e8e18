//! Servers that name a rate limit, where entries are many, end, start anew or are cut off from one another.

mod common;

use std::{rc::Rc, time::Duration};

use common::{
    World,
    limits::{Load, answers, check, count_from, load_at, load_evenly, name_limit, start},
    net::{Impostor, Net, peer_address},
    play, stream, total,
};
use pondwalk_decide::direct::{granter_order, server_hash};
use pondwalk_direct::Entry;
use pondwalk_standin::backends::Act;
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

fn made() -> Act {
    Act::Answer(200, "made".into())
}

fn load(seconds: u64) -> Load {
    Load { path: "/again/x", gap: Duration::from_millis(25), time: Duration::from_secs(seconds) }
}

/// Four servers, the first of which names 1.7 a second, at so many entries.
async fn one_limits(world: World, entries: u16) -> (Rc<World>, Net, Vec<Entry>) {
    let net = Net::default();
    let entries = start(&world, &net, (4, "s", made()), entries).await;
    name_limit(&world, 1, "1.7");
    (Rc::new(world), net, entries)
}

fn keeps_to_limit(entries: u16) {
    play(move |world| async move {
        let (world, _net, entries) = one_limits(world, entries).await;
        let named = Instant::now();
        answers(load_evenly(&world, &entries, load(15)).await).await;
        check(&world, 1, 1.7, named);
        let count = count_from(&world, 1, named + Duration::from_secs(2));
        assert!(count >= 12, "{count} of the 22 that it takes in 13 s");
    });
}

#[test]
fn a_server_that_named_a_limit_gets_no_more_from_24_entries_together() {
    keeps_to_limit(24);
}

#[test]
fn a_server_that_named_a_limit_gets_no_more_from_103_entries_together() {
    keeps_to_limit(103);
}

#[test]
fn what_a_server_takes_is_used_and_no_more_by_357_entries_with_a_request_each_nine_seconds() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (1, "s", made()), 357).await;
        name_limit(&world, 1, "1.7");
        let world = Rc::new(world);
        let named = Instant::now();
        answers(load_evenly(&world, &entries, load(20)).await).await;
        check(&world, 1, 1.7, named);
        let count = count_from(&world, 1, named + Duration::from_secs(2));
        assert!(count >= 24, "{count} of the 30 that it takes in 18 s");
    });
}

#[test]
fn what_a_server_takes_is_used_by_one_entry_of_24() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (1, "s", made()), 24).await;
        name_limit(&world, 1, "1.7");
        let world = Rc::new(world);
        let named = Instant::now();
        answers(load_at(&world, &entries, load(30), |_| 17).await).await;
        check(&world, 1, 1.7, named);
        let count = count_from(&world, 1, named + Duration::from_secs(2));
        assert!(count >= 38, "{count} of the 48 that it takes in 28 s");
    });
}

#[test]
fn a_limit_is_kept_by_the_two_halves_of_a_deployment_that_is_cut() {
    for seconds_before in [0, 5] {
        play(move |world| async move {
            let (world, net, entries) = one_limits(world, 8).await;
            let named = Instant::now();
            answers(load_evenly(&world, &entries, load(seconds_before)).await).await;
            net.split(4);
            answers(load_evenly(&world, &entries, load(20)).await).await;
            check(&world, 1, 1.7, named);
            assert!(count_from(&world, 1, named + Duration::from_secs(2)) >= 15, "it is used");
        });
    }
}

#[test]
fn a_limit_is_kept_while_entries_end_one_after_the_other() {
    play(|world| async move {
        let (world, net, entries) = one_limits(world, 8).await;
        let named = Instant::now();
        for ended in 0..6u16 {
            let alive = &entries[usize::from(ended)..];
            answers(load_evenly(&world, alive, load(3)).await).await;
            net.end(ended);
        }
        check(&world, 1, 1.7, named);
        let left = Instant::now();
        answers(load_evenly(&world, &entries[6..], load(20)).await).await;
        check(&world, 1, 1.7, named);
        let count = count_from(&world, 1, left);
        assert!(count >= 8, "{count} by the two that are left");
    });
}

#[test]
fn a_limit_is_kept_by_entries_that_start_later() {
    play(|world| async move {
        let (world, net, mut entries) = one_limits(world, 4).await;
        let named = Instant::now();
        for n in 4..10 {
            answers(load_evenly(&world, &entries, load(2)).await).await;
            entries.push(net.start_later(&world, n));
        }
        answers(load_evenly(&world, &entries, load(8)).await).await;
        check(&world, 1, 1.7, named);
    });
}

#[test]
fn a_limit_is_kept_after_a_restart_of_all_entries() {
    play(|world| async move {
        let (world, net, entries) = one_limits(world, 5).await;
        answers(load_evenly(&world, &entries, load(5)).await).await;
        (0..5).for_each(|n| net.end(n));
        drop(entries);
        sleep(Duration::from_millis(500)).await;
        net.cut.borrow_mut().clear();
        let entries = net.start_many(&world, 5, "");
        sleep(Duration::from_secs(1)).await;
        let started = Instant::now();
        answers(load_evenly(&world, &entries, load(15)).await).await;
        check(&world, 1, 1.7, started);
    });
}

#[test]
fn a_limit_holds_where_all_open_connections_go_silent() {
    play(|world| async move {
        let (world, net, entries) = one_limits(world, 6).await;
        let named = Instant::now();
        answers(load_evenly(&world, &entries, load(4)).await).await;
        net.silence_open_connections();
        answers(load_evenly(&world, &entries, load(10)).await).await;
        check(&world, 1, 1.7, named);
    });
}

#[test]
fn forty_servers_that_all_limit_are_used_by_24_entries() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (40, "m", stream(2, Some(100))), 24).await;
        (1..=40).for_each(|n| name_limit(&world, n, "0.8"));
        let world = Rc::new(world);
        let named = Instant::now();
        let load = Load { path: "/models/x", ..load(20) };
        let answers = answers(load_evenly(&world, &entries, load).await).await;
        (1..=40).for_each(|n| check(&world, n, 0.8, named));
        let served = answers.iter().filter(|answer| answer.status.is_success()).count();
        assert!(served >= 512, "{served} of the 640 that they take in 20 s");
    });
}

#[test]
fn a_part_of_what_a_server_takes_is_used_while_the_entry_that_grants_its_permits_stands_still() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (1, "s", made()), 6).await;
        let mut names: Vec<String> = entries.iter().map(|entry| entry.name().to_owned()).collect();
        granter_order(u128::from(server_hash("s1")), &mut names);
        let granter = entries.iter().position(|entry| entry.name() == names[0]).expect("it is");
        let stands_still: Impostor = Rc::new(|io| {
            spawn_local(async move {
                sleep(Duration::from_secs(3_600)).await;
                drop(io);
            });
        });
        let address = peer_address(u16::try_from(granter).expect("a few"));
        net.impostors.borrow_mut().insert(address, stands_still);
        name_limit(&world, 1, "1.7");
        let world = Rc::new(world);
        let named = Instant::now();
        let others = load_at(&world, &entries, load(30), |number| {
            let place = number % 5;
            if place >= granter { place + 1 } else { place }
        });
        answers(others.await).await;
        check(&world, 1, 1.7, named);
        let count = count_from(&world, 1, named + Duration::from_secs(2));
        assert!(count >= 10, "{count} of the 14 that a stand-in grants in 28 s");
    });
}

#[test]
fn requests_ask_for_few_permits_where_hundreds_of_servers_have_none_to_give() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (300, "s", made()), 4).await;
        (1..=300).for_each(|n| name_limit(&world, n, "0"));
        let world = Rc::new(world);
        answers(load_evenly(&world, &entries, load(10)).await).await;
        let asked = || {
            let names = ["pondwalk_permits_given_total", "pondwalk_permits_refused_total"];
            names.iter().map(|name| total(&entries, name)).sum::<u64>()
        };
        let before = asked();
        let seldom = Load { gap: Duration::from_millis(400), ..load(20) };
        let requests = answers(load_evenly(&world, &entries, seldom).await).await.len();
        let of_each = (asked() - before) as f64 / requests as f64;
        assert!(of_each <= 24.0, "{of_each} permits asked for by each request");
    });
}
