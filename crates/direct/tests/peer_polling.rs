//! Entries that ask one another for changes: few store calls, and never a state that looks
//! fresher than it is.

mod common;

use std::{cell::RefCell, rc::Rc, time::Duration};

use common::{
    World, catalog, catalog_with_keys,
    net::{Net, peer_address},
    play, request, with,
};
use pondwalk_direct::{Entry, membership::Members};
use pondwalk_standin::{backends::Act, memory_store::Weather};
use tokio::time::sleep;

async fn status(world: &World, entry: &Entry, key: &str) -> u16 {
    let sent = with(request("/once/", "r"), "authorization", &format!("Bearer {key}"));
    world.ask_at(entry, sent).await.status.as_u16()
}

async fn with_entries(world: &World, net: &Net, count: u16) -> Vec<Entry> {
    world.configure(catalog(1));
    world.start_server(1, "s", "v1", Act::Answer(200, "made".into()));
    let mut entries = Vec::new();
    for n in 0..count {
        entries.push(net.start(world, n).await);
    }
    sleep(Duration::from_secs(3)).await;
    entries
}

/// Store calls that so many entries make in `time`, once `before` has passed.
fn store_calls<B>(count: u16, before: impl Fn(World) -> B, time: Duration) -> u64
where
    B: Future<Output = World>,
{
    let seen = Rc::new(RefCell::new(0));
    let noted = Rc::clone(&seen);
    play(|world| async move {
        let net = Net::default();
        let _entries = with_entries(&world, &net, count).await;
        let world = before(world).await;
        let calls = world.store.calls();
        sleep(time).await;
        *noted.borrow_mut() = world.store.calls() - calls;
    });
    seen.take()
}

#[test]
fn store_calls_hardly_grow_with_the_entries() {
    let calls = |count| store_calls(count, async |world| world, Duration::from_secs(60));
    let (few, many) = (calls(3), calls(15));
    assert!(many <= few + few / 5, "{few} calls by 3 entries, {many} by 15");
}

#[test]
fn a_change_is_in_force_at_every_entry_within_a_second() {
    play(|world| async move {
        let net = Net::default();
        let entries = with_entries(&world, &net, 6).await;
        world.configure(catalog_with_keys(2, &["k1"]));
        sleep(Duration::from_secs(1)).await;
        for entry in &entries {
            assert_eq!(status(&world, entry, "k2").await, 401);
            assert_eq!(status(&world, entry, "k1").await, 200);
        }
    });
}

#[test]
fn a_source_that_is_cut_off_is_left_before_two_seconds_are_over() {
    let silent = Weather::Silent(Duration::from_secs(30));
    for weather in [silent, Weather::Refused] {
        play(|world| async move {
            let net = Net::default();
            let entries = with_entries(&world, &net, 4).await;
            let source = Members::first_in_order(&["e0", "e1", "e2", "e3"]);
            world.cut_store_for(&entries[source], weather);
            world.configure(catalog_with_keys(2, &["k1"]));
            sleep(Duration::from_millis(1_900)).await;
            for (n, entry) in entries.iter().enumerate().filter(|(n, _)| *n != source) {
                assert_eq!(status(&world, entry, "k2").await, 401, "entry {n}, {weather:?}");
            }
            sleep(Duration::from_secs(4)).await;
            let of_source = [
                status(&world, &entries[source], "k1").await,
                status(&world, &entries[source], "k2").await,
            ];
            // NB: it asks the others, whether its calls to the store are refused or not answered.
            assert_eq!(of_source, [200, 401], "{weather:?}");
        });
    }
}

#[test]
fn entries_ask_one_another_again_once_the_store_is_back() {
    let outage = async |world: World| {
        world.store.set_weather(Weather::Refused);
        sleep(Duration::from_secs(8)).await;
        world.store.set_weather(Weather::Fair);
        sleep(Duration::from_secs(2)).await;
        world
    };
    let calls = |count| store_calls(count, outage, Duration::from_secs(10));
    let (few, many) = (calls(3), calls(12));
    assert!(many <= few + few / 5, "{few} calls by 3 entries, {many} by 12");
}

#[test]
fn a_source_that_does_not_answer_is_passed_over() {
    play(|world| async move {
        let net = Net::default();
        let entries = with_entries(&world, &net, 4).await;
        let source = Members::first_in_order(&["e0", "e1", "e2", "e3"]);
        net.cut.borrow_mut().push(peer_address(source as u16));
        // NB: kept connections stay open; those that are new hang.
        sleep(Duration::from_secs(10)).await;
        world.configure(catalog_with_keys(2, &["k1"]));
        sleep(Duration::from_millis(1_900)).await;
        for entry in &entries {
            assert_eq!(status(&world, entry, "k2").await, 401);
        }
    });
}

#[test]
fn a_store_that_is_away_makes_all_entries_refuse_keys_in_time() {
    play(|world| async move {
        let net = Net::default();
        let entries = with_entries(&world, &net, 5).await;
        world.store.set_weather(Weather::Refused);
        sleep(Duration::from_secs(5)).await;
        for entry in &entries {
            assert_eq!(status(&world, entry, "k1").await, 503);
        }
        world.store.set_weather(Weather::Fair);
        sleep(Duration::from_secs(2)).await;
        for entry in &entries {
            assert_eq!(status(&world, entry, "k1").await, 200);
        }
    });
}

#[test]
fn a_session_on_the_old_version_stays_there_at_every_entry() {
    play(|world| async move {
        let net = Net::default();
        world.configure(catalog(1));
        for n in 1..=3 {
            world.start_server(n, "s", "v1", Act::Answer(200, "old".into()));
            world.start_server(10 + n, "s", "v2", Act::Answer(200, "new".into()));
        }
        let entries = [net.start(&world, 0).await, net.start(&world, 1).await];
        let ask = async |entry: &Entry, session: usize| {
            let session = format!("session{session}");
            let sent = with(request("/again/", "r"), "pondwalk-session", &session);
            world.ask_at(entry, sent).await.body
        };
        sleep(Duration::from_secs(2)).await;
        world.store.put("order/s", "v2 20");
        // NB: until the order is heard, servers of both versions are alike.
        sleep(world.entry_times().confirm_interval).await;
        for session in 0..60 {
            assert_eq!(ask(&entries[0], session).await, "old");
        }
        sleep(Duration::from_secs(3)).await;
        for session in 0..60 {
            assert_eq!(ask(&entries[1], session).await, "old", "session {session}");
        }
    });
}

#[test]
fn a_bad_version_is_told_by_others_where_its_finder_cannot_write() {
    play(|world| async move {
        let net = Net::default();
        world.configure(catalog(1));
        for n in 1..=3 {
            world.start_server(n, "s", "v1", Act::Answer(200, "old".into()));
            world.start_server(10 + n, "s", "v2", Act::Answer(500, "bad".into()));
        }
        let (finder, _other) = (net.start(&world, 0).await, net.start(&world, 1).await);
        world.store.put("order/s", "v2 20");
        sleep(Duration::from_secs(2)).await;
        world.cut_store_for(&finder, Weather::Refused);
        for number in 0..60 {
            let session = format!("a{number}");
            let sent = with(request("/again/", "r"), "pondwalk-session", &session);
            world.ask_at(&finder, sent).await;
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(world.store.value("progress/s").as_deref(), Some("v2 Reverted"));
    });
}

#[test]
fn entries_that_cannot_answer_are_not_asked_one_after_the_other() {
    play(|world| async move {
        let net = Net::default();
        let entries = with_entries(&world, &net, 14).await;
        let names: Vec<&str> = entries.iter().map(Entry::name).collect();
        let source = Members::first_in_order(&names);
        world.cut_store_for(&entries[source], Weather::Refused);
        net.cut.borrow_mut().extend((0..14).map(peer_address));
        world.configure(catalog_with_keys(2, &["k1"]));
        sleep(Duration::from_millis(1_900)).await;
        for (n, entry) in entries.iter().enumerate().filter(|(n, _)| *n != source) {
            assert_eq!(status(&world, entry, "k2").await, 401, "entry {n}");
        }
    });
}
