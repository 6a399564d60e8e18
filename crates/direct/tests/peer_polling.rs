//! Entries that poll each other for changes: number of store calls, and states that never look
//! fresher than they are.

mod common;

use std::{cell::RefCell, rc::Rc, time::Duration};

use common::{
    World, catalog, catalog_with_keys,
    net::{Net, peer_address},
    request, run_test, with,
};
use pondwalk_direct::{Entry, membership::Members};
use pondwalk_standin::{backends::Behaviour, memory_store::FaultMode};
use tokio::time::sleep;

async fn status(world: &World, entry: &Entry, key: &str) -> u16 {
    let sent = with(request("/once/", "r"), "authorization", &format!("Bearer {key}"));
    world.call_at(entry, sent).await.status.as_u16()
}

async fn run_with_entries(world: &World, net: &Net, count: u16) -> Vec<Entry> {
    world.configure(catalog(1));
    world.start_server(1, "s", "v1", Behaviour::Answer(200, "made".into()));
    let mut entries = Vec::new();
    for n in 0..count {
        entries.push(net.start(world, n).await);
    }
    sleep(Duration::from_secs(3)).await;
    entries
}

/// Store calls of `count` entries in `time`, after `before` has completed.
fn store_calls<B>(count: u16, before: impl Fn(World) -> B, time: Duration) -> u64
where
    B: Future<Output = World>,
{
    let seen = Rc::new(RefCell::new(0));
    let recorded = Rc::clone(&seen);
    run_test(|world| async move {
        let net = Net::default();
        let _entries = run_with_entries(&world, &net, count).await;
        let world = before(world).await;
        let calls = world.store.calls();
        sleep(time).await;
        *recorded.borrow_mut() = world.store.calls() - calls;
    });
    seen.take()
}

#[test]
fn store_calls_hardly_grow_with_entries() {
    let calls = |count| store_calls(count, async |world| world, Duration::from_secs(60));
    let (few, many) = (calls(3), calls(15));
    assert!(many <= few + few / 5, "{few} calls by 3 entries, {many} by 15");
}

#[test]
fn change_is_in_force_at_all_entries_within_a_second() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = run_with_entries(&world, &net, 6).await;
        world.configure(catalog_with_keys(2, &["k1"]));
        sleep(Duration::from_secs(1)).await;
        for entry in &entries {
            assert_eq!(status(&world, entry, "k2").await, 401);
            assert_eq!(status(&world, entry, "k1").await, 200);
        }
    });
}

#[test]
fn unreachable_source_is_replaced_within_two_seconds() {
    let silent = FaultMode::Silent(Duration::from_secs(30));
    for fault_mode in [silent, FaultMode::Refused] {
        run_test(|world| async move {
            let net = Net::default();
            let entries = run_with_entries(&world, &net, 4).await;
            let source = Members::first_in_order(&["e0", "e1", "e2", "e3"]);
            world.set_store_fault(&entries[source], fault_mode);
            world.configure(catalog_with_keys(2, &["k1"]));
            sleep(Duration::from_millis(1_900)).await;
            for (n, entry) in entries.iter().enumerate().filter(|(n, _)| *n != source) {
                assert_eq!(status(&world, entry, "k2").await, 401, "entry {n}, {fault_mode:?}");
            }
            sleep(Duration::from_secs(4)).await;
            let of_source = [
                status(&world, &entries[source], "k1").await,
                status(&world, &entries[source], "k2").await,
            ];
            // The entry polls its peers, whether its store calls are refused or time out.
            assert_eq!(of_source, [200, 401], "{fault_mode:?}");
        });
    }
}

#[test]
fn entries_poll_peers_again_after_store_outage() {
    let outage = async |world: World| {
        world.store.set_fault_mode(FaultMode::Refused);
        sleep(Duration::from_secs(8)).await;
        world.store.set_fault_mode(FaultMode::Normal);
        sleep(Duration::from_secs(2)).await;
        world
    };
    let calls = |count| store_calls(count, outage, Duration::from_secs(10));
    let (few, many) = (calls(3), calls(12));
    assert!(many <= few + few / 5, "{few} calls by 3 entries, {many} by 12");
}

#[test]
fn unresponsive_source_is_skipped() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = run_with_entries(&world, &net, 4).await;
        let source = Members::first_in_order(&["e0", "e1", "e2", "e3"]);
        net.cut.borrow_mut().push(peer_address(source as u16));
        // Open connections are kept; new ones hang.
        sleep(Duration::from_secs(10)).await;
        world.configure(catalog_with_keys(2, &["k1"]));
        sleep(Duration::from_millis(1_900)).await;
        for entry in &entries {
            assert_eq!(status(&world, entry, "k2").await, 401);
        }
    });
}

#[test]
fn all_entries_refuse_keys_in_time_during_store_outage() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = run_with_entries(&world, &net, 5).await;
        world.store.set_fault_mode(FaultMode::Refused);
        sleep(Duration::from_secs(5)).await;
        for entry in &entries {
            assert_eq!(status(&world, entry, "k1").await, 503);
        }
        world.store.set_fault_mode(FaultMode::Normal);
        sleep(Duration::from_secs(2)).await;
        for entry in &entries {
            assert_eq!(status(&world, entry, "k1").await, 200);
        }
    });
}

#[test]
fn session_stays_on_the_old_version_at_all_entries() {
    run_test(|world| async move {
        let net = Net::default();
        world.configure(catalog(1));
        for n in 1..=3 {
            world.start_server(n, "s", "v1", Behaviour::Answer(200, "old".into()));
            world.start_server(10 + n, "s", "v2", Behaviour::Answer(200, "new".into()));
        }
        let entries = [net.start(&world, 0).await, net.start(&world, 1).await];
        let call = async |entry: &Entry, session: usize| {
            let session = format!("session{session}");
            let sent = with(request("/again/", "r"), "pondwalk-session", &session);
            world.call_at(entry, sent).await.body
        };
        sleep(Duration::from_secs(2)).await;
        world.store.put("order/s", "v2 20");
        // Before the order arrives, servers of both versions are treated alike.
        sleep(world.entry_times().confirm_interval).await;
        for session in 0..60 {
            assert_eq!(call(&entries[0], session).await, "old");
        }
        sleep(Duration::from_secs(3)).await;
        for session in 0..60 {
            assert_eq!(call(&entries[1], session).await, "old", "session {session}");
        }
    });
}

#[test]
fn bad_version_is_reported_by_others_if_the_finder_cannot_write() {
    run_test(|world| async move {
        let net = Net::default();
        world.configure(catalog(1));
        for n in 1..=3 {
            world.start_server(n, "s", "v1", Behaviour::Answer(200, "old".into()));
            world.start_server(10 + n, "s", "v2", Behaviour::Answer(500, "bad".into()));
        }
        let (finder, _other) = (net.start(&world, 0).await, net.start(&world, 1).await);
        world.store.put("order/s", "v2 20");
        sleep(Duration::from_secs(2)).await;
        world.set_store_fault(&finder, FaultMode::Refused);
        for number in 0..60 {
            let session = format!("a{number}");
            let sent = with(request("/again/", "r"), "pondwalk-session", &session);
            world.call_at(&finder, sent).await;
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(world.store.value("progress/s").as_deref(), Some("v2 Reverted"));
    });
}

#[test]
fn unresponsive_entries_are_not_polled_in_sequence() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = run_with_entries(&world, &net, 14).await;
        let names: Vec<&str> = entries.iter().map(Entry::name).collect();
        let source = Members::first_in_order(&names);
        world.set_store_fault(&entries[source], FaultMode::Refused);
        net.cut.borrow_mut().extend((0..14).map(peer_address));
        world.configure(catalog_with_keys(2, &["k1"]));
        sleep(Duration::from_millis(1_900)).await;
        for (n, entry) in entries.iter().enumerate().filter(|(n, _)| *n != source) {
            assert_eq!(status(&world, entry, "k2").await, 401, "entry {n}");
        }
    });
}
