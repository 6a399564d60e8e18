//! A request that ends every server that runs it, whose caller comes again and again.
//!
//! What callers saw: servers of a service stopped answering one after the other, three to ten a second,
//! and with each of them all that it was working on. The order of events: a request began at a server, the
//! server's process ended; the entry sent the request on to the next, as it does for one that may be
//! repeated, three servers in all; its caller came again half a second later, under another id and at
//! another entry, and that took three more. One such request ended 75 servers. The cause: nothing was
//! kept of a request beyond one try of its caller, at one entry.
//!
//! The evidence: no id broke at more than three servers, while the content under the ids was one; at one
//! entry .52 further sends were made for each request, where .9 is allowed, so no budget of retries was
//! exceeded.

mod common;

use std::{cell::Cell, collections::BTreeSet, rc::Rc, time::Duration};

use common::{
    World, address,
    lethal::{
        ENDS, FURTHER_RUNS, Kind, QUICK, SERVERS, again, come_again, further_runs, further_runs_of,
        kinds, lethal, start,
    },
    net::Net,
    play, request, stream, with_body,
};
use pondwalk_direct::Entry;
use pondwalk_standin::{backends::Act, memory_store::Weather};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

#[test]
fn a_request_that_ends_its_servers_is_not_sent_on_and_on() {
    let mut found = Vec::new();
    for (entries, kinds) in [(1, vec![again()]), (5, kinds()), (40, vec![again()])] {
        for kind in kinds {
            let further = further_runs_of(kind.clone(), entries, QUICK, Duration::from_secs(20));
            found.push((entries, kind.path, further));
        }
    }
    assert!(found.iter().all(|(_, _, further)| *further <= FURTHER_RUNS), "{found:?}");
}

#[test]
fn it_is_known_while_the_store_is_away() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &Kind { path: "/open/x", ..again() }, 5).await;
        world.store.set_weather(Weather::Refused);
        let kind = Kind { path: "/open/x", ..again() };
        come_again(&world, &entries, &kind, QUICK, Duration::from_secs(20)).await;
        let further = further_runs(&world);
        assert!(further <= FURTHER_RUNS, "{further}");
    });
}

#[test]
fn it_is_known_to_entries_that_start_later() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &again(), 5).await;
        come_again(&world, &entries, &again(), QUICK, Duration::from_secs(10)).await;
        let late: Vec<Entry> = (5..8).map(|n| net.start_later(&world, n)).collect();
        sleep(Duration::from_secs(1)).await;
        come_again(&world, &late, &again(), QUICK, Duration::from_secs(20)).await;
        let further = further_runs(&world);
        assert!(further <= FURTHER_RUNS, "{further}");
    });
}

/// Innocent requests that are aboard of servers lost for another cause.
const ABOARD: usize = 40;
/// Time that an innocent request takes at its server.
const TAKES: Duration = Duration::from_millis(300);

/// Sends all innocent requests at once and counts those that are served; each comes again until it is, in
/// `time`, and heeds what it is told of when to come back.
async fn served(world: &Rc<World>, entries: &[Entry], bodies: &[String], time: Duration) -> usize {
    let end = Instant::now() + time;
    let tasks: Vec<_> = bodies
        .iter()
        .enumerate()
        .map(|(n, body)| {
            let (world, body) = (Rc::clone(world), body.clone());
            let entries = entries.to_vec();
            spawn_local(async move {
                let mut tries = 0;
                loop {
                    let entry = &entries[(n + tries) % entries.len()];
                    let sent = with_body(request("/stream/x", &format!("i{n}-{tries}")), &body);
                    let answer = world.ask_at(entry, sent).await;
                    if answer.status.as_u16() == 200 && answer.whole {
                        return true;
                    }
                    tries += 1;
                    let told = answer.headers.get("retry-after");
                    let told = told.and_then(|text| text.to_str().ok()?.parse().ok());
                    sleep(Duration::from_secs_f64(told.unwrap_or(0.4))).await;
                    if Instant::now() > end {
                        return false;
                    }
                }
            })
        })
        .collect();
    let mut count = 0;
    for task in tasks {
        count += usize::from(task.await.expect("a caller"));
    }
    count
}

/// Ends all servers, at once or one after the other, and lets them come back as others.
async fn lose_all(world: &World, round: u32, gap: Duration) {
    for n in 1..=SERVERS {
        world.backends.crash(address(n));
        sleep(gap).await;
    }
    sleep(common::AWAY_TIME).await;
    for n in 1..=SERVERS {
        let (before, next) = (format!("s{n}-{}", round), format!("s{n}-{}", round + 1));
        let before = if round == 0 { format!("s{n}") } else { before };
        world.store.remove(&format!("server/{before}"));
        world.backends.start(address(n), &next, stream(10, None));
        world.store.put(&format!("server/{next}"), &format!("s {} dc1 v1 ready", address(n)));
    }
    sleep(Duration::from_secs(1)).await;
}

/// Loses all servers four times over with the same innocent requests aboard, and counts those that are
/// served within `time` of the last loss.
fn served_after_losses(entries: u16, bodies: Vec<String>, gap: Duration, time: Duration) -> usize {
    let served_at_last = Rc::new(Cell::new(0));
    let noted = Rc::clone(&served_at_last);
    play(|world| async move {
        let world = Rc::new(world);
        let net = Net::default();
        let long = Act::Stream { last: 10, gap: TAKES / 10, confidence: None, cut_in: None };
        let kind = Kind { path: "/stream/x", service: "s", usual: long };
        let entries = start(&world, &net, &kind, entries).await;
        for round in 0..4 {
            let (world_too, entries_too, bodies_too) =
                (Rc::clone(&world), entries.clone(), bodies.clone());
            spawn_local(async move {
                served(&world_too, &entries_too, &bodies_too, Duration::ZERO).await;
            });
            sleep(TAKES / 3).await;
            lose_all(&world, round, gap).await;
        }
        noted.set(served(&world, &entries, &bodies, time).await);
    });
    served_at_last.get()
}

fn different() -> Vec<String> {
    (0..ABOARD).map(|n| format!("innocent {n}")).collect()
}

#[test]
fn innocent_requests_aboard_of_servers_lost_four_times_are_served_at_once() {
    for entries in [1, 5] {
        let served = served_after_losses(entries, different(), Duration::ZERO, Duration::ZERO);
        assert_eq!(served, ABOARD, "at {entries} entries");
    }
}

#[test]
fn innocent_requests_are_served_soon_where_servers_were_lost_one_after_the_other() {
    for entries in [1, 5] {
        let gap = Duration::from_millis(30);
        let served = served_after_losses(entries, different(), gap, Duration::from_secs(10));
        assert_eq!(served, ABOARD, "at {entries} entries");
    }
}

#[test]
fn innocent_requests_that_are_all_alike_are_served_soon() {
    let alike = vec!["the same".to_owned(); ABOARD];
    let served = served_after_losses(5, alike, Duration::ZERO, Duration::from_secs(10));
    assert_eq!(served, ABOARD);
}

#[test]
fn the_logs_show_that_one_request_broke_at_many_servers() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &again(), 1).await;
        world.ask_at(&entries[0], lethal(&again(), 1)).await;
        world.ask_at(&entries[0], lethal(&again(), 2)).await;
        let text = entries[0].gathered_lines();
        let lines = text.lines().filter(|line| line.contains("\"server_broke\""));
        let read = |line| serde_json::from_str::<serde_json::Value>(line).expect("JSON");
        let lines: Vec<serde_json::Value> = lines.map(read).collect();
        let told = |name: &str| -> BTreeSet<String> {
            lines.iter().map(|line| line[name].to_string()).collect()
        };
        assert_eq!(told("content").len(), 1, "{text}");
        assert!(told("server").len() >= ENDS, "{text}");
    });
}
