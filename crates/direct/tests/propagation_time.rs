//! Time until a change in the store has reached the last of many entries.

mod common;

use std::{cell::Cell, rc::Rc, time::Duration};

use common::{World, catalog_with_keys, limits, net::Net, run_test};
use pondwalk_direct::Entry;
use pondwalk_standin::backends::Behaviour;
use serde_json::Value;
use tokio::time::{Instant, sleep};

/// Time in which a change must be in force.
const PROPAGATION: Duration = Duration::from_secs(2);

/// Interval between the times at which changes are made.
const MOMENT_INTERVAL: Duration = Duration::from_millis(110);

/// A change in the store, and the log event by which an entry shows that it has received it.
struct Change {
    name: &'static str,
    make: fn(&World),
    is_received: fn(&Value) -> bool,
}

const CHANGES: [Change; 4] = [
    Change {
        name: "a removed key",
        make: |world| world.configure(catalog_with_keys(2, &["k1"])),
        is_received: |line| line["event"] == "configuration_in_force" && line["version"] == 2,
    },
    Change {
        name: "a draining server",
        make: |world| world.list_server(1, "s", "v1", "draining"),
        is_received: |line| {
            line["event"] == "server_known" && line["server"] == "s1" && line["state"] == "Draining"
        },
    },
    Change {
        name: "an additional server",
        make: |world| world.start_server(9, "s", "v1", Behaviour::Answer(200, "made".into())),
        is_received: |line| line["event"] == "server_known" && line["server"] == "s9",
    },
    Change {
        name: "an evacuation",
        make: |world| world.store.put("evacuate/dc2", "x"),
        is_received: |line| line["event"] == "data_centre_evacuated",
    },
];

/// When the entry received the change, by its own clock.
fn received_at(entry: &Entry, is_received: fn(&Value) -> bool) -> Option<Duration> {
    let text = entry.buffered_log_lines();
    let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let line = lines.into_iter().find(is_received)?;
    Some(Duration::from_millis(line["at_ms"].as_u64()?))
}

/// Median and maximum time until the entries have received a change made at this moment of their
/// polling intervals.
fn propagation_times(
    count: u16,
    change: &'static Change,
    moment: Duration,
) -> (Duration, Duration) {
    let seen = Rc::new(Cell::default());
    let recorded = Rc::clone(&seen);
    run_test(move |world| async move {
        let net = Net::default();
        let behaviour = Behaviour::Answer(200, "made".into());
        let began = Instant::now();
        let entries = limits::start(&world, &net, (2, "s", behaviour), count).await;
        world.list_server_in("dc2", 3, "s", "v1", "ready");
        sleep(Duration::from_secs(3) + moment).await;
        let made_at = began.elapsed();
        (change.make)(&world);
        sleep(PROPAGATION * 2).await;
        let known = entries.iter().map(|entry| received_at(entry, change.is_received));
        let delays = known.map(|at| at.expect("every entry receives it").saturating_sub(made_at));
        let mut delays: Vec<Duration> = delays.collect();
        delays.sort();
        recorded.set((delays[delays.len() / 2], delays[delays.len() - 1]));
    });
    seen.get()
}

/// Makes all changes at several moments, which fall differently between two confirmations.
fn check_all_changes(count: u16, moments: u32) {
    for change in &CHANGES {
        let seen = (0..moments).map(|n| propagation_times(count, change, MOMENT_INTERVAL * n));
        let (half, last) = seen.max_by_key(|(_, last)| *last).expect("some moments");
        println!("{count} entries, {}: half {half:?}, last {last:?}", change.name);
        assert!(last <= PROPAGATION, "{last:?} for {}", change.name);
    }
}

#[test]
fn changes_reach_all_of_24_entries_in_time() {
    check_all_changes(24, 8);
}

#[test]
fn changes_reach_all_of_103_entries_in_time() {
    check_all_changes(103, 4);
}
