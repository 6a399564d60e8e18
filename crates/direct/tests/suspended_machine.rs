//! Entries on a machine that was suspended: the steady clock, on which timers run, did not count that time.

mod common;

use std::time::Duration;

use common::{
    World, catalog, catalog_with_keys,
    lethal::{QUICK, again, come_again, further_runs, start},
    net::Net,
    play, request, with,
};
use pondwalk_standin::{backends::Act, memory_store::Weather};
use tokio::time::sleep;

/// Longer than a key is honoured without the store's word.
const LONG: Duration = Duration::from_secs(8);

async fn status(world: &World, entry: &pondwalk_direct::Entry, key: &str) -> u16 {
    let sent = with(request("/once/", "r"), "authorization", &format!("Bearer {key}"));
    world.ask_at(entry, sent).await.status.as_u16()
}

#[test]
fn a_key_taken_away_meanwhile_is_not_honoured_after_waking() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Act::Answer(200, "made".into()));
        world.start().await;
        assert_eq!(status(&world, &world.entry, "k2").await, 200);
        // NB: the store says nothing until the first request has come.
        world.store.set_weather(Weather::Silent(Duration::from_secs(1)));
        world.configure(catalog_with_keys(2, &["k1"]));
        world.entry.pretend_suspended(LONG);
        assert_eq!(status(&world, &world.entry, "k2").await, 503);
        assert_eq!(world.backends.runs(), 1);
        assert!(!world.entry.is_ready(), "callers are sent elsewhere until the store has told");
        world.store.set_weather(Weather::Fair);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(status(&world, &world.entry, "k2").await, 401);
        assert_eq!(status(&world, &world.entry, "k1").await, 200);
    });
}

#[test]
fn a_request_aboard_does_not_leave_after_its_key_went_stale() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Act::NotRun(503));
        world.start_server(2, "s", "v1", Act::Silent);
        world.start().await;
        let asking = world.ask(request("/again/x", "r1"));
        let waking = async {
            sleep(Duration::from_millis(300)).await;
            world.store.set_weather(Weather::Silent(Duration::from_secs(1)));
            world.entry.pretend_suspended(Duration::from_secs(5));
        };
        let (answer, ()) = tokio::join!(asking, waking);
        assert!(answer.status.is_server_error());
        assert!(world.backends.runs() <= 1, "nothing is sent on after waking");
    });
}

#[test]
fn what_others_tell_after_waking_is_not_taken_for_fresher_than_it_is() {
    play(|world| async move {
        let net = Net::default();
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Act::Answer(200, "made".into()));
        let entries = net.start_many(&world, 4, "");
        sleep(Duration::from_secs(5)).await;
        for entry in &entries {
            entry.pretend_suspended(LONG);
            let age = entry.state_age().expect("a state");
            assert!(age >= LONG, "{age:?}");
        }
        sleep(Duration::from_secs(3)).await;
        let bound = world.entry_times().oldest_in_calm();
        for entry in &entries {
            let age = entry.state_age().expect("a state");
            assert!(age <= bound, "{age:?} is older than {bound:?}");
            assert_eq!(status(&world, entry, "k1").await, 200);
        }
    });
}

#[test]
fn a_request_that_ends_servers_stays_known_over_a_suspension() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &again(), 5).await;
        come_again(&world, &entries, &again(), QUICK, Duration::from_secs(3)).await;
        for entry in &entries {
            entry.pretend_suspended(LONG);
        }
        sleep(Duration::from_secs(2)).await;
        come_again(&world, &entries, &again(), QUICK, Duration::from_secs(20)).await;
        let further = further_runs(&world);
        assert!(further <= common::lethal::FURTHER_RUNS, "{further}");
    });
}
