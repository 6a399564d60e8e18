//! Entries on a machine that was suspended. The monotonic clock, on which timers run, did not count
//! that time.

mod common;

use std::time::Duration;

use common::{
    World, catalog, catalog_with_keys,
    crashing::{QUICK_RETRY, further_runs, repeat_request, repeatable, start},
    net::Net,
    request, run_test, with,
};
use pondwalk_standin::{backends::Behaviour, memory_store::FaultMode};
use tokio::time::sleep;

/// Longer than a key is honoured without a confirmation.
const SUSPENSION: Duration = Duration::from_secs(8);

async fn status(world: &World, entry: &pondwalk_direct::Entry, key: &str) -> u16 {
    let sent = with(request("/once/", "r"), "authorization", &format!("Bearer {key}"));
    world.call_at(entry, sent).await.status.as_u16()
}

#[test]
fn key_removed_during_suspension_is_refused_after_resume() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Behaviour::Answer(200, "made".into()));
        world.start().await;
        assert_eq!(status(&world, &world.entry, "k2").await, 200);
        // The store does not respond until the first request has arrived.
        world.store.set_fault_mode(FaultMode::Silent(Duration::from_secs(1)));
        world.configure(catalog_with_keys(2, &["k1"]));
        world.entry.simulate_suspension(SUSPENSION);
        assert_eq!(status(&world, &world.entry, "k2").await, 503);
        assert_eq!(world.backends.runs(), 1);
        assert!(
            !world.entry.is_ready(),
            "callers are refused until the store has confirmed the state"
        );
        world.store.set_fault_mode(FaultMode::Normal);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(status(&world, &world.entry, "k2").await, 401);
        assert_eq!(status(&world, &world.entry, "k1").await, 200);
    });
}

#[test]
fn suspended_request_is_not_sent_with_a_stale_key() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Behaviour::NotRun(503));
        world.start_server(2, "s", "v1", Behaviour::Silent);
        world.start().await;
        let asking = world.call(request("/again/x", "r1"));
        let resuming = async {
            sleep(Duration::from_millis(300)).await;
            world.store.set_fault_mode(FaultMode::Silent(Duration::from_secs(1)));
            world.entry.simulate_suspension(Duration::from_secs(5));
        };
        let (response, ()) = tokio::join!(asking, resuming);
        assert!(response.status.is_server_error());
        assert!(world.backends.runs() <= 1, "nothing is sent after the resume");
    });
}

#[test]
fn peer_state_after_resume_does_not_look_fresher() {
    run_test(|world| async move {
        let net = Net::default();
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Behaviour::Answer(200, "made".into()));
        let entries = net.start_many(&world, 4, "");
        sleep(Duration::from_secs(5)).await;
        for entry in &entries {
            entry.simulate_suspension(SUSPENSION);
            let age = entry.state_age().expect("a state");
            assert!(age >= SUSPENSION, "{age:?}");
        }
        sleep(Duration::from_secs(3)).await;
        let bound = world.entry_times().normal_confirmation_age();
        for entry in &entries {
            let age = entry.state_age().expect("a state");
            assert!(age <= bound, "{age:?} is older than {bound:?}");
            assert_eq!(status(&world, entry, "k1").await, 200);
        }
    });
}

#[test]
fn quarantine_survives_suspension() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &repeatable(), 5).await;
        repeat_request(&world, &entries, &repeatable(), QUICK_RETRY, Duration::from_secs(3)).await;
        for entry in &entries {
            entry.simulate_suspension(SUSPENSION);
        }
        sleep(Duration::from_secs(2)).await;
        repeat_request(&world, &entries, &repeatable(), QUICK_RETRY, Duration::from_secs(20)).await;
        let further = further_runs(&world);
        assert!(further <= common::crashing::MAX_FURTHER_RUNS, "{further}");
    });
}
