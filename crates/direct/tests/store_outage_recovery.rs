//! The store's return after an outage, at many entries: when each honours keys again, and how often the store is called.

mod common;

use std::time::Duration;

use common::{World, limits, net::Net, play};
use pondwalk_direct::Entry;
use pondwalk_standin::{
    backends::Act,
    memory_store::{StoreCopy, Weather},
};
use tokio::time::{Instant, sleep};

/// How long the outages last: keys are refused from 4.5 s on.
const OUTAGES: [Duration; 2] = [Duration::from_secs(6), Duration::from_secs(8)];
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(10);
/// Time in which all must honour keys again: a second, and the time between two confirmations.
const BACK_WITHIN: Duration = Duration::from_millis(1_600);
/// Calls that a few entries may make meanwhile: three that ask the store, twice a second and once more each.
const FEW_CALLS: u64 = 30;
/// Time after the store's return in which its calls are counted.
const COUNTED: Duration = Duration::from_secs(3);

/// What was seen of one return.
#[derive(Debug, Default)]
struct Return {
    /// Time until half of the entries and until all of them honour keys again.
    half: Duration,
    all: Duration,
    /// Calls to the store in the first seconds.
    calls: u64,
}

fn ready(entries: &[Entry]) -> usize {
    entries.iter().filter(|entry| entry.is_ready()).count()
}

async fn store_returns(
    world: &World,
    entries: &[Entry],
    outage: Duration,
    copy: Option<StoreCopy>,
) -> Return {
    world.store.set_weather(Weather::Silent(Duration::from_secs(30)));
    sleep(outage).await;
    assert_eq!(ready(entries), 0, "keys are refused by then");
    let calls = world.store.calls();
    if let Some(copy) = copy {
        world.store.restore(copy);
    }
    world.store.set_weather(Weather::Fair);
    let back = Instant::now();
    let mut seen = Return::default();
    while back.elapsed() < COUNTED {
        sleep(LOOK).await;
        let count = ready(entries);
        if seen.half.is_zero() && 2 * count >= entries.len() {
            seen.half = back.elapsed();
        }
        if seen.all.is_zero() && count == entries.len() {
            seen.all = back.elapsed();
        }
    }
    seen.calls = world.store.calls() - calls;
    seen
}

fn returns_at(count: u16) {
    for outage in OUTAGES {
        returns_after(count, outage, false);
    }
}

fn restored_at(count: u16) {
    for outage in OUTAGES {
        returns_after(count, outage, true);
    }
}

fn returns_after(count: u16, outage: Duration, is_restored: bool) {
    play(move |world| async move {
        let net = Net::default();
        let usual = Act::Answer(200, "made".into());
        let entries = limits::start(&world, &net, (2, "s", usual), count).await;
        assert_eq!(ready(&entries), entries.len());
        let copy = is_restored.then(|| world.store.copy());
        for n in 0..10 {
            world.store.put(&format!("other/{n}"), "written after the copy");
        }
        sleep(Duration::from_secs(1)).await;
        let seen = store_returns(&world, &entries, outage, copy).await;
        println!("{count} entries, {outage:?}: {seen:?}");
        assert!(!seen.all.is_zero() && seen.all <= BACK_WITHIN, "{seen:?}");
        // NB: an entry that has lost its way asks the store itself; not all may.
        assert!(seen.calls < u64::from(count).max(FEW_CALLS), "{seen:?}");
    });
}

#[test]
fn keys_are_honoured_again_within_a_second_and_an_interval_at_4_entries() {
    returns_at(4);
}

#[test]
fn keys_are_honoured_again_within_a_second_and_an_interval_at_24_entries() {
    returns_at(24);
}

#[test]
fn keys_are_honoured_again_within_a_second_and_an_interval_at_103_entries() {
    returns_at(103);
}

#[test]
fn keys_are_honoured_again_as_soon_where_the_store_is_restored_at_4_entries() {
    restored_at(4);
}

#[test]
fn keys_are_honoured_again_as_soon_where_the_store_is_restored_at_24_entries() {
    restored_at(24);
}

#[test]
fn keys_are_honoured_again_as_soon_where_the_store_is_restored_at_103_entries() {
    restored_at(103);
}
