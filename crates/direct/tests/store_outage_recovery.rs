//! The end of a store outage with many entries: when each entry honours keys again, and how often
//! the store is called.

mod common;

use std::time::Duration;

use common::{World, limits, net::Net, run_test};
use pondwalk_direct::Entry;
use pondwalk_standin::{
    backends::Behaviour,
    memory_store::{FaultMode, StoreSnapshot},
};
use tokio::time::{Instant, sleep};

/// Durations of the outages; keys are refused from 4.5 s on.
const OUTAGES: [Duration; 2] = [Duration::from_secs(6), Duration::from_secs(8)];
/// Interval at which the state is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time in which all entries must honour keys again: a second, and the interval between two
/// confirmations.
const RECOVERY_LIMIT: Duration = Duration::from_millis(1_600);
/// Calls that a few entries may make meanwhile: three roots, twice a second, and once more each.
const MIN_CALL_LIMIT: u64 = 30;
/// Time after the outage in which store calls are counted.
const COUNTING_TIME: Duration = Duration::from_secs(3);

/// Measurements of one outage.
#[derive(Debug, Default)]
struct Recovery {
    /// Time until half of the entries, and all of them, honour keys again.
    half: Duration,
    all: Duration,
    /// Store calls in the first seconds.
    calls: u64,
}

fn ready(entries: &[Entry]) -> usize {
    entries.iter().filter(|entry| entry.is_ready()).count()
}

async fn store_returns(
    world: &World,
    entries: &[Entry],
    outage: Duration,
    copy: Option<StoreSnapshot>,
) -> Recovery {
    world.store.set_fault_mode(FaultMode::Silent(Duration::from_secs(30)));
    sleep(outage).await;
    assert_eq!(ready(entries), 0, "keys are refused by then");
    let calls = world.store.calls();
    if let Some(copy) = copy {
        world.store.restore(copy);
    }
    world.store.set_fault_mode(FaultMode::Normal);
    let returned_at = Instant::now();
    let mut seen = Recovery::default();
    while returned_at.elapsed() < COUNTING_TIME {
        sleep(POLL_INTERVAL).await;
        let count = ready(entries);
        if seen.half.is_zero() && 2 * count >= entries.len() {
            seen.half = returned_at.elapsed();
        }
        if seen.all.is_zero() && count == entries.len() {
            seen.all = returned_at.elapsed();
        }
    }
    seen.calls = world.store.calls() - calls;
    seen
}

fn check_outage(count: u16) {
    for outage in OUTAGES {
        recovery_after(count, outage, false);
    }
}

fn check_restoration(count: u16) {
    for outage in OUTAGES {
        recovery_after(count, outage, true);
    }
}

fn recovery_after(count: u16, outage: Duration, is_restored: bool) {
    run_test(move |world| async move {
        let net = Net::default();
        let behaviour = Behaviour::Answer(200, "made".into());
        let entries = limits::start(&world, &net, (2, "s", behaviour), count).await;
        assert_eq!(ready(&entries), entries.len());
        let copy = is_restored.then(|| world.store.snapshot());
        for n in 0..10 {
            world.store.put(&format!("other/{n}"), "written after the copy");
        }
        sleep(Duration::from_secs(1)).await;
        let seen = store_returns(&world, &entries, outage, copy).await;
        println!("{count} entries, {outage:?}: {seen:?}");
        assert!(!seen.all.is_zero() && seen.all <= RECOVERY_LIMIT, "{seen:?}");
        // An entry that has lost its parent calls the store itself; only some may do so.
        assert!(seen.calls < u64::from(count).max(MIN_CALL_LIMIT), "{seen:?}");
    });
}

#[test]
fn keys_are_honoured_soon_after_an_outage_at_4_entries() {
    check_outage(4);
}

#[test]
fn keys_are_honoured_soon_after_an_outage_at_24_entries() {
    check_outage(24);
}

#[test]
fn keys_are_honoured_soon_after_an_outage_at_103_entries() {
    check_outage(103);
}

#[test]
fn keys_are_honoured_soon_after_a_restoration_at_4_entries() {
    check_restoration(4);
}

#[test]
fn keys_are_honoured_soon_after_a_restoration_at_24_entries() {
    check_restoration(24);
}

#[test]
fn keys_are_honoured_soon_after_a_restoration_at_103_entries() {
    check_restoration(103);
}
