//! Many entries with one store: number of store calls, freshness of states under changes and
//! faults, initial states from peers, and steps made by one entry for all.

mod common;

use std::{cell::RefCell, rc::Rc, time::Duration};

use common::{
    World, address, catalog, catalog_warming, catalog_with_keys,
    net::{Impostor, Net, full_state, peer_address},
    request, run_test, total, with,
};
use pondwalk_decide::direct::WarmUp;
use pondwalk_direct::{
    Entry,
    membership::{FAN_OUT, Members, StateMessage, TreeRole, root_count, tree_role},
};
use pondwalk_standin::{backends::Behaviour, memory_store::FaultMode};
use quickcheck::{Gen, QuickCheck};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    task::spawn_local,
    time::sleep,
};

/// Size of the largest deployment served so far.
const MANY_ENTRIES: u16 = 103;

fn set_up(world: &World, servers: u16) {
    world.configure(catalog(1));
    for n in 1..=servers {
        world.start_server(n, "s", "v1", Behaviour::Answer(200, "made".into()));
    }
}

/// Age of the oldest state; `None` if an entry has no state.
fn max_state_age(entries: &[Entry]) -> Option<Duration> {
    let ages: Option<Vec<Duration>> = entries.iter().map(Entry::state_age).collect();
    ages?.into_iter().max()
}

/// Age of the oldest state observed during `time`.
async fn max_state_age_within(entries: &[Entry], time: Duration) -> Duration {
    let step = Duration::from_millis(20);
    let mut seen = Duration::ZERO;
    for _ in 0..time.as_millis() / step.as_millis() {
        seen = seen.max(max_state_age(entries).expect("every entry has a state"));
        sleep(step).await;
    }
    seen
}

fn store_calls(entries: &[Entry], cause: &str) -> u64 {
    total(entries, &format!("pondwalk_store_calls_total{{cause=\"{cause}\"}}"))
}

async fn status(world: &World, entry: &Entry, key: &str) -> u16 {
    let sent = with(request("/again/", "r"), "authorization", &format!("Bearer {key}"));
    world.call_at(entry, sent).await.status.as_u16()
}

#[test]
fn states_stay_fresh_under_changes_at_any_time() {
    run_test(|world| async move {
        let net = Net::default();
        set_up(&world, 60);
        let entries = net.start_many(&world, 60, "");
        sleep(Duration::from_secs(5)).await;
        let bound = world.entry_times().normal_confirmation_age();
        let mut rng = SmallRng::seed_from_u64(4);
        // Single changes at any point of a wait, and bursts, as when several servers drain at once.
        for _ in 0..120 {
            for _ in 0..rng.random_range(0..20) {
                let n = rng.random_range(1..=60);
                let state = if rng.random() { "ready" } else { "draining" };
                world.list_server(n, "s", "v1", state);
            }
            let pause = Duration::from_millis(rng.random_range(20..500));
            let seen = max_state_age_within(&entries, pause).await;
            assert!(seen <= bound, "{seen:?} is older than {bound:?}");
        }
    });
}

const WARM_UP_SETTINGS: &str =
    "[warm_up]\novershoot=1.5\ntolerance=5\nheartbeat_ms=1200\n[membership]\npropagation_ms=2000\n";

/// Starts forty listed entries, and two servers that warm up.
async fn start_warming(world: &World) -> Vec<Entry> {
    let net = Net::default();
    set_up(world, 2);
    let warm_up = WarmUp { time: Duration::from_secs(3), requests_per_s: 14.0 };
    world.configure(catalog_warming(2, Some(warm_up)));
    let entries = net.start_many(world, 40, WARM_UP_SETTINGS);
    sleep(Duration::from_secs(6)).await;
    entries
}

/// Number of servers considered cold, summed over the entries.
fn count_cold(entries: &[Entry]) -> u64 {
    total(entries, "pondwalk_servers_cold")
}

#[test]
fn unreachable_server_is_presumed_cold_by_all_entries() {
    run_test(|world| async move {
        let entries = start_warming(&world).await;
        assert_eq!(count_cold(&entries), 0);
        world.backends.stop(address(1));
        world.backends.stop(address(2));
        assert_eq!(status(&world, &entries[7], "k1").await, 503);
        sleep(Duration::from_millis(700)).await;
        assert_eq!(count_cold(&entries), 2 * 40);
        // Two heartbeats and a warm-up time later, the server has either reported a restart or was
        // never down.
        sleep(Duration::from_millis(5_400)).await;
        assert_eq!(count_cold(&entries), 0);
    });
}

#[test]
fn cold_server_and_evacuation_reach_all_entries_in_time() {
    run_test(|world| async move {
        let entries = start_warming(&world).await;
        world.store.put("server/s1", &format!("s {} dc1 v1 ready 3000 1", address(1)));
        world.store.put("evacuate/dc2", "{}");
        sleep(Duration::from_millis(900)).await;
        assert_eq!(count_cold(&entries), 40);
        assert_eq!(total(&entries, "pondwalk_data_centres_evacuated"), 40);
        world.store.remove("evacuate/dc2");
        sleep(Duration::from_millis(3_000)).await;
        assert_eq!(count_cold(&entries), 0);
        assert_eq!(total(&entries, "pondwalk_data_centres_evacuated"), 0);
    });
}

#[test]
fn age_bound_holds_for_changes_late_in_each_wait() {
    run_test(|world| async move {
        let net = Net::default();
        set_up(&world, 3);
        let entries = net.start_many(&world, 40, "");
        sleep(Duration::from_secs(5)).await;
        let bound = world.entry_times().normal_confirmation_age();
        for late_ms in (10..450).step_by(10) {
            world.list_server(1, "s", "v1", "ready");
            let seen = max_state_age_within(&entries, Duration::from_millis(late_ms)).await;
            assert!(seen <= bound, "{seen:?} is older than {bound:?}");
        }
    });
}

/// Store calls of `count` entries in a minute without changes.
fn idle_store_calls(count: u16) -> u64 {
    let seen = Rc::new(RefCell::new(0));
    let recorded = Rc::clone(&seen);
    run_test(|world| async move {
        let net = Net::default();
        set_up(&world, 3);
        let _entries = net.start_many(&world, count, "");
        sleep(Duration::from_secs(10)).await;
        let before = world.store.calls();
        sleep(Duration::from_secs(60)).await;
        *recorded.borrow_mut() = world.store.calls() - before;
    });
    seen.take()
}

#[test]
fn store_calls_are_bounded_by_three_roots() {
    let (some, many, max_children) =
        (idle_store_calls(40), idle_store_calls(MANY_ENTRIES), idle_store_calls(420));
    assert_eq!((some, many), (max_children, max_children), "40, 103 and 420 entries");
    let interval = Duration::from_millis(400);
    let expected = 3 * 60_000 / interval.as_millis() as u64;
    assert!(many <= expected + expected / 20, "{many} calls");
}

#[test]
fn simultaneous_start_is_fast_with_few_store_calls() {
    run_test(|world| async move {
        let net = Net::default();
        set_up(&world, 50);
        let before = world.store.calls();
        let entries = net.start_many(&world, MANY_ENTRIES, "");
        sleep(Duration::from_millis(400)).await;
        for entry in &entries {
            assert_eq!(status(&world, entry, "k1").await, 200, "{}", entry.name());
        }
        sleep(Duration::from_secs(5)).await;
        assert_eq!(store_calls(&entries, "first_reading"), 3, "by the seeds");
        let listings = store_calls(&entries, "listing");
        assert!(listings <= 12, "{listings} writes list {MANY_ENTRIES} entries");
        let calls = world.store.calls() - before;
        assert!(calls <= 60, "{calls} calls in 5.4 s");
        assert!(
            total(&entries, "pondwalk_entries_listed")
                == u64::from(MANY_ENTRIES) * u64::from(MANY_ENTRIES)
        );
    });
}

#[test]
fn starting_entry_serves_peer_state_during_store_outage() {
    run_test(|world| async move {
        let net = Net::default();
        set_up(&world, 3);
        let entries = net.start_many(&world, 12, "");
        sleep(Duration::from_secs(6)).await;
        world.store.set_fault_mode(FaultMode::Refused);
        sleep(Duration::from_secs(1)).await;
        let seeds = format!("[membership]\nseeds={},{}\n", peer_address(0), peer_address(1));
        let late = net.start_with(&world, 50, &seeds);
        let with_own = format!("[membership]\nseeds={},{}\n", peer_address(0), peer_address(51));
        let late_seed = net.start_with(&world, 51, &with_own);
        sleep(Duration::from_millis(300)).await;
        assert_eq!(status(&world, &late, "k1").await, 200);
        assert_eq!(status(&world, &late_seed, "k1").await, 200);
        let (own_age, peer_age) = (late.state_age(), max_state_age(&entries));
        assert!(
            own_age >= Some(Duration::from_millis(1_300)),
            "{own_age:?}, as old as {peer_age:?}"
        );
        // Keys are refused everywhere once nothing has been confirmed for the key bound.
        sleep(Duration::from_secs(4)).await;
        assert_eq!(status(&world, &late, "k1").await, 503);
    });
}

#[test]
fn entry_without_peers_and_store_refuses_at_once() {
    run_test(|world| async move {
        let net = Net::default();
        set_up(&world, 1);
        world.store.set_fault_mode(FaultMode::Refused);
        let seeds = format!("[membership]\nseeds={}\n", peer_address(0));
        let isolated = net.start_with(&world, 9, &seeds);
        sleep(Duration::from_secs(3)).await;
        let start = tokio::time::Instant::now();
        let response = world.call_at(&isolated, request("/again/", "r")).await;
        assert_eq!(response.status.as_u16(), 503);
        assert!(
            response.body.contains("not_configured") && response.body.contains("\"ran\":false")
        );
        assert!(response.headers.contains_key("retry-after"));
        assert!(start.elapsed() < Duration::from_millis(50));
    });
}

#[test]
fn invalid_response_of_seed_is_skipped_and_logged() {
    let responses: [&'static [u8]; 4] = [
        b"",
        b"\x00\x05rubbish",
        b"\xff\xff",
        b"\x00\x30\x02aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
    ];
    for response in responses {
        run_test(|world| async move {
            let net = Net::default();
            set_up(&world, 3);
            let impostor = move |mut stream: tokio::io::DuplexStream| {
                spawn_local(async move {
                    let mut question = [0; 4_096];
                    while stream.read(&mut question).await.is_ok_and(|bytes| bytes > 0) {
                        let head = format!(
                            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
                            response.len()
                        );
                        let _ = stream.write_all(head.as_bytes()).await;
                        let _ = stream.write_all(response).await;
                    }
                });
            };
            net.impostors.borrow_mut().insert(peer_address(0), Rc::new(impostor));
            let seeds = format!("[membership]\nseeds={}\n", peer_address(0));
            let entry = net.start_with(&world, 9, &seeds);
            sleep(Duration::from_secs(2)).await;
            assert_eq!(status(&world, &entry, "k1").await, 200, "it reads the store");
            let lines = entry.buffered_log_lines();
            assert!(lines.contains("source_failed") && lines.contains("refused"), "{lines}");
        });
    }
}

#[test]
fn silent_connections_are_replaced_before_changes_are_late() {
    run_test(|world| async move {
        let net = Net::default();
        set_up(&world, 3);
        let entries = net.start_many(&world, 60, "");
        sleep(Duration::from_secs(5)).await;
        net.silence_open_connections();
        sleep(Duration::from_millis(100)).await;
        world.configure(catalog_with_keys(2, &["k1"]));
        sleep(Duration::from_millis(1_900)).await;
        for entry in &entries {
            assert_eq!(status(&world, entry, "k2").await, 401, "{}", entry.name());
        }
        sleep(Duration::from_secs(1)).await;
        let seen = max_state_age_within(&entries, Duration::from_secs(5)).await;
        assert!(seen <= world.entry_times().normal_confirmation_age(), "{seen:?}");
    });
}

#[test]
fn both_partitions_follow_the_store() {
    run_test(|world| async move {
        let net = Net::default();
        set_up(&world, 3);
        let entries = net.start_many(&world, 60, "");
        sleep(Duration::from_secs(5)).await;
        net.split(30);
        world.configure(catalog_with_keys(2, &["k1"]));
        sleep(Duration::from_millis(1_950)).await;
        for entry in &entries {
            assert_eq!(status(&world, entry, "k2").await, 401, "{}", entry.name());
        }
    });
}

#[test]
fn third_without_store_continues_with_peer_state() {
    run_test(|world| async move {
        let net = Net::default();
        set_up(&world, 3);
        let entries = net.start_many(&world, 60, "");
        sleep(Duration::from_secs(5)).await;
        // The first entries in order, the roots among them.
        let names: Vec<&str> = entries.iter().map(Entry::name).collect();
        let mut remaining: Vec<usize> = (0..entries.len()).collect();
        for _ in 0..20 {
            let among: Vec<&str> = remaining.iter().map(|n| names[*n]).collect();
            let first = remaining.remove(Members::first_in_order(&among));
            world.set_store_fault(&entries[first], FaultMode::Refused);
        }
        sleep(Duration::from_secs(6)).await;
        let before = world.store.calls();
        for entry in &entries {
            assert_eq!(status(&world, entry, "k1").await, 200, "{}", entry.name());
        }
        sleep(Duration::from_secs(10)).await;
        let calls = world.store.calls() - before;
        assert!(calls <= 350, "{calls} calls in 10 s by 60 entries");
    });
}

#[test]
fn most_roll_out_steps_are_written_by_one_entry() {
    run_test(|world| async move {
        let net = Net::default();
        set_up(&world, 3);
        for n in 11..=13 {
            world.start_server(n, "s", "v2", Behaviour::Answer(200, "new".into()));
        }
        let entries = net.start_many(&world, MANY_ENTRIES, "");
        sleep(Duration::from_secs(5)).await;
        world.store.put("order/s", "v2 20");
        sleep(Duration::from_secs(20)).await;
        assert_eq!(world.store.value("progress/s").as_deref(), Some("v2 Completed"));
        assert_eq!(store_calls(&entries, "step_won"), 3);
        assert_eq!(store_calls(&entries, "step_lost"), 0);
    });
}

#[test]
fn next_entry_writes_step_missed_by_the_first() {
    run_test(|world| async move {
        let net = Net::default();
        set_up(&world, 3);
        let entries = net.start_many(&world, 20, "");
        sleep(Duration::from_secs(5)).await;
        let names: Vec<&str> = entries.iter().map(Entry::name).collect();
        let first = Members::first_in_order(&names);
        world.set_store_fault(&entries[first], FaultMode::Silent(Duration::from_secs(60)));
        net.stop(first as u16);
        sleep(Duration::from_secs(5)).await;
        world.store.put("order/s", "v2 20");
        sleep(Duration::from_secs(2)).await;
        assert_eq!(world.store.value("progress/s").as_deref(), Some("v2 InProgress"));
    });
}

#[test]
fn observation_reaches_all_entries_without_the_store() {
    run_test(|world| async move {
        let net = Net::default();
        world.configure(catalog(1));
        for n in 1..=3 {
            world.start_server(n, "s", "v1", Behaviour::Answer(200, "old".into()));
            world.start_server(10 + n, "s", "v2", Behaviour::Answer(500, "bad".into()));
        }
        let entries = net.start_many(&world, MANY_ENTRIES, "");
        sleep(Duration::from_secs(5)).await;
        world.store.put("order/s", "v2 20");
        sleep(Duration::from_secs(3)).await;
        // Neither the entry that found it nor any other can write it to the store.
        world.store.set_fault_mode(FaultMode::Refused);
        let finder = entries.last().expect("some");
        let mut number = 0;
        while !finder.buffered_log_lines().contains("version_tripped") && number < 400 {
            let session = format!("a{number}");
            let sent = with(request("/again/", "r"), "pondwalk-session", &session);
            world.call_at(finder, sent).await;
            number += 1;
        }
        sleep(Duration::from_millis(700)).await;
        let has_received = |entry: &&Entry| entry.buffered_log_lines().contains("\"what\":\"bad\"");
        assert_eq!(entries.iter().filter(has_received).count(), entries.len());
    });
}

#[test]
fn tree_has_bounded_fan_out_and_reaches_a_root() {
    fn property(entries: u16) -> bool {
        let entries = usize::from(entries % 1_000) + 1;
        let mut children = vec![0; entries];
        for position in 0..entries {
            let mut at = position;
            let mut steps = 0;
            while let TreeRole::ChildOf(parent) = tree_role(at, entries, true) {
                if steps == 0 {
                    children[parent] += 1;
                }
                if parent >= at || steps > 2 {
                    return false;
                }
                at = parent;
                steps += 1;
            }
            if at >= root_count(entries) {
                return false;
            }
        }
        let max_children = children.iter().copied().max().unwrap_or(0);
        root_count(entries) <= 3 && max_children <= FAN_OUT + 1 + entries / (FAN_OUT * FAN_OUT)
    }
    let mut checks = QuickCheck::new().rng(Gen::from_size_and_seed(2_000, 8)).tests(500);
    checks.quickcheck(property as fn(u16) -> bool);
}

#[test]
fn servers_lapsed_during_outage_keep_serving_at_child_entries() {
    run_test(|world| async move {
        let net = Net::default();
        set_up(&world, 3);
        let entries = net.start_many(&world, MANY_ENTRIES, "");
        sleep(Duration::from_secs(6)).await;
        // The first listings lapse after three heartbeats of 1.2 s.
        world.store.set_fault_mode(FaultMode::Refused);
        sleep(Duration::from_millis(3_600)).await;
        (1..=3).for_each(|n| world.store.remove(&format!("server/s{n}")));
        world.store.set_fault_mode(FaultMode::Normal);
        sleep(Duration::from_millis(700)).await;
        for entry in &entries {
            assert_eq!(status(&world, entry, "k1").await, 200, "{}", entry.name());
        }
    });
}

#[test]
fn draining_servers_are_avoided_while_a_root_is_cut_off() {
    run_test(|world| async move {
        let net = Net::default();
        set_up(&world, 3);
        let entries = net.start_many(&world, 4, "");
        sleep(Duration::from_secs(6)).await;
        let names: Vec<&str> = entries.iter().map(Entry::name).collect();
        let root = Members::first_in_order(&names);
        world.set_store_fault(&entries[root], FaultMode::Refused);
        sleep(Duration::from_millis(1_100)).await;
        world.store.remove("server/s1");
        sleep(Duration::from_millis(1_000)).await;
        for (n, entry) in entries.iter().enumerate().filter(|(n, _)| *n != root) {
            let lines = entry.buffered_log_lines();
            assert!(lines.contains("server_gone"), "entry {n}: {lines}");
            assert!(!lines.contains("server_lapsed"), "entry {n}: the store was never down");
        }
    });
}

/// Answers each request with the next of these states, and all further ones with the last.
fn sending(states: Vec<StateMessage>) -> Impostor {
    Rc::new(move |mut stream| {
        let states = states.clone();
        spawn_local(async move {
            let mut question = [0; 4_096];
            let mut sent_count = 0;
            while stream.read(&mut question).await.is_ok_and(|bytes| bytes > 0) {
                let state = &states[sent_count.min(states.len() - 1)];
                let body = state.to_bytes().expect("it serializes");
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                let _ = stream.write_all(head.as_bytes()).await;
                let _ = stream.write_all(&body).await;
                sent_count += 1;
                sleep(Duration::from_millis(100)).await;
            }
        });
    })
}

#[test]
fn older_full_state_is_rejected_and_logged() {
    run_test(|world| async move {
        let net = Net::default();
        set_up(&world, 3);
        let server = format!("s {} dc1 v1 ready", address(1));
        let current = full_state(&[("catalog", "1"), ("server/s1", &server)], 100);
        let older = full_state(&[], 40);
        net.impostors.borrow_mut().insert(peer_address(0), sending(vec![current, older]));
        world.store.set_fault_mode(FaultMode::Refused);
        let seeds = format!("[membership]\nseeds={}\n", peer_address(0));
        let entry = net.start_with(&world, 9, &seeds);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(status(&world, &entry, "k1").await, 200, "the local state is kept");
        assert!(
            entry.buffered_log_lines().contains("revision 40"),
            "{}",
            entry.buffered_log_lines()
        );
    });
}

#[test]
fn single_entry_without_store_does_not_infer_its_return_from_peers() {
    run_test(|world| async move {
        let net = Net::default();
        set_up(&world, 3);
        let entries = net.start_many(&world, 12, "");
        sleep(Duration::from_secs(6)).await;
        let names: Vec<&str> = entries.iter().map(Entry::name).collect();
        let root = Members::first_in_order(&names);
        let isolated = if root == 0 { 1 } else { 0 };
        world.set_store_fault(&entries[isolated], FaultMode::Refused);
        net.cut.borrow_mut().extend((0..12).map(peer_address));
        net.silence_open_connections();
        sleep(Duration::from_secs(3)).await;
        assert!(entries[isolated].buffered_log_lines().contains("store_lost"));
        net.cut.borrow_mut().clear();
        let is_fresh_again = || entries[isolated].state_age() < Some(Duration::from_millis(700));
        let mut waited = 0;
        while !is_fresh_again() && waited < 600 {
            sleep(Duration::from_millis(50)).await;
            waited += 1;
        }
        assert!(is_fresh_again(), "other entries have published it again");
        world.store.remove("server/s1");
        sleep(Duration::from_millis(900)).await;
        let lines = entries[isolated].buffered_log_lines();
        assert!(lines.contains("server_gone") && !lines.contains("server_lapsed"), "{lines}");
    });
}
