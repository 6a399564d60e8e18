//! A store that is restored from an old copy: its revisions are issued again, and the entries'
//! later writes are lost.

mod common;

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};

use common::{
    World, address, catalog, catalog_with_keys, crashing, net::Net, request, run_test, total, with,
};
use pondwalk_direct::{Entry, membership::Members};
use pondwalk_standin::{
    backends::Behaviour,
    memory_store::{FaultMode, StoreSnapshot},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::sleep;

/// Time for which the store is unreachable before it is restored.
const OUTAGE: Duration = Duration::from_millis(2_400);
/// Time after the restoration from which changes must again be in force in time.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time in which a change must be in force at all entries.
const CHANGE_LIMIT: Duration = Duration::from_secs(1);
/// Number of changes that are lost with the restoration.
const LOST_CHANGES: u32 = 12;

async fn start(world: &World, net: &Net, count: u16) -> Vec<Entry> {
    world.configure(catalog(1));
    for n in 1..=3 {
        world.start_server(n, "s", "v1", Behaviour::Answer(200, "made".into()));
    }
    let entries = net.start_many(world, count, "");
    sleep(Duration::from_secs(6)).await;
    entries
}

fn write_lost_changes(world: &World) {
    for n in 0..LOST_CHANGES {
        world.store.put(&format!("other/{n}"), "written after the copy");
    }
}

/// Makes the store unreachable for `outage`, and restores it from the copy.
async fn restore(world: &World, copy: &StoreSnapshot, outage: Duration) {
    if !outage.is_zero() {
        world.store.set_fault_mode(FaultMode::Silent(Duration::from_secs(30)));
        sleep(outage).await;
    }
    world.store.restore(copy.clone());
    world.store.set_fault_mode(FaultMode::Normal);
}

async fn status(world: &World, entry: &Entry, key: &str) -> u16 {
    let sent = with(request("/again/", "r"), "authorization", &format!("Bearer {key}"));
    world.call_at(entry, sent).await.status.as_u16()
}

/// Entries that refuse a key of the current configuration, or honour another one.
async fn entries_with_wrong_keys(
    world: &World,
    entries: &[Entry],
    honoured: &str,
    refused: &str,
) -> Vec<String> {
    let mut wrong = Vec::new();
    for entry in entries {
        let found = (status(world, entry, honoured).await, status(world, entry, refused).await);
        if found != (200, 401) {
            wrong.push(format!("{}: {found:?}", entry.name()));
        }
    }
    wrong
}

/// Requests that reach a server which no entry should use any more.
async fn count_sent_to(world: &World, entries: &[Entry], n: u16) -> usize {
    let before = world.backends.requests(address(n)).len();
    for entry in entries {
        for number in 0..6 {
            world.call_at(entry, request("/again/", &format!("r{number}"))).await;
        }
    }
    world.backends.requests(address(n)).len() - before
}

/// Writes changes, which must be in force at all these entries within a time.
async fn assert_changes_reach(world: &World, entries: &[Entry], within: Duration) {
    world.configure(catalog_with_keys(2, &["k1"]));
    world.list_server(1, "s", "v1", "draining");
    sleep(within).await;
    assert_in_force(world, entries).await;
}

async fn assert_in_force(world: &World, entries: &[Entry]) {
    assert_eq!(entries_with_wrong_keys(world, entries, "k1", "k2").await, Vec::<String>::new());
    assert_eq!(count_sent_to(world, entries, 1).await, 0);
}

fn changes_reach_all(count: u16, outage: Duration) {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, count).await;
        let copy = world.store.snapshot();
        write_lost_changes(&world);
        sleep(CHANGE_LIMIT).await;
        restore(&world, &copy, outage).await;
        sleep(SETTLING_TIME).await;
        assert_changes_reach(&world, &entries, CHANGE_LIMIT).await;
    });
}

#[test]
fn changes_after_restoration_reach_all_of_4_entries() {
    changes_reach_all(4, OUTAGE);
}

#[test]
fn changes_after_restoration_reach_all_of_24_entries() {
    changes_reach_all(24, OUTAGE);
}

#[test]
fn changes_after_restoration_reach_all_of_103_entries() {
    changes_reach_all(103, OUTAGE);
}

#[test]
fn changes_after_restoration_without_outage_reach_all() {
    changes_reach_all(24, Duration::ZERO);
}

#[test]
fn changes_below_the_first_polled_revision_reach_all() {
    for count in [1, 4, 24] {
        run_test(|world| async move {
            let net = Net::default();
            let entries = start(&world, &net, count).await;
            let copy = world.store.snapshot();
            write_lost_changes(&world);
            sleep(CHANGE_LIMIT).await;
            restore(&world, &copy, Duration::ZERO).await;
            world.configure(catalog_with_keys(2, &["k1"]));
            world.list_server(1, "s", "v1", "draining");
            write_lost_changes(&world);
            sleep(CHANGE_LIMIT).await;
            assert_in_force(&world, &entries).await;
        });
    }
}

#[test]
fn changes_reach_an_entry_without_the_restored_store() {
    for position in 0..4 {
        run_test(|world| async move {
            let net = Net::default();
            let entries = start(&world, &net, 4).await;
            let copy = world.store.snapshot();
            write_lost_changes(&world);
            sleep(CHANGE_LIMIT).await;
            world.set_store_fault(&entries[position], FaultMode::Silent(Duration::from_secs(30)));
            restore(&world, &copy, OUTAGE).await;
            sleep(SETTLING_TIME).await;
            assert_changes_reach(&world, &entries, 2 * CHANGE_LIMIT).await;
        });
    }
}

#[test]
fn late_responses_of_the_previous_era_hide_no_change() {
    for late_ms in [150, 400, 900, 1_500] {
        run_test(|world| async move {
            let net = Net::default();
            let entries = start(&world, &net, 4).await;
            let copy = world.store.snapshot();
            write_lost_changes(&world);
            world.store.set_fault_mode(FaultMode::Late(Duration::from_millis(late_ms)));
            sleep(2 * SETTLING_TIME).await;
            world.store.restore(copy);
            sleep(2 * SETTLING_TIME).await;
            assert_changes_reach(
                &world,
                &entries,
                2 * CHANGE_LIMIT + 2 * Duration::from_millis(late_ms),
            )
            .await;
        });
    }
}

#[test]
fn new_entries_beside_entries_of_the_previous_era_get_all_changes() {
    run_test(|world| async move {
        let net = Net::default();
        let mut entries = start(&world, &net, 8).await;
        let copy = world.store.snapshot();
        write_lost_changes(&world);
        sleep(CHANGE_LIMIT).await;
        world.store.set_fault_mode(FaultMode::Silent(Duration::from_secs(30)));
        sleep(OUTAGE).await;
        entries.extend((8..12).map(|n| net.start_later(&world, n)));
        sleep(Duration::from_millis(300)).await;
        restore(&world, &copy, Duration::ZERO).await;
        entries.extend((12..16).map(|n| net.start_later(&world, n)));
        sleep(SETTLING_TIME).await;
        assert_changes_reach(&world, &entries, CHANGE_LIMIT).await;
    });
}

#[test]
fn entries_converge_after_any_order_of_changes_and_restorations() {
    for seed in 0..24 {
        run_test(|world| async move {
            let net = Net::default();
            let entries = start(&world, &net, 5).await;
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut version = 1;
            let mut copy = world.store.snapshot();
            for _ in 0..30 {
                match rng.random_range(0..6) {
                    0 => copy = world.store.snapshot(),
                    1 => {
                        let outage = Duration::from_millis(rng.random_range(0..3_000));
                        restore(&world, &copy, if rng.random() { outage } else { Duration::ZERO })
                            .await;
                        copy = world.store.snapshot();
                    }
                    2 => write_lost_changes(&world),
                    3 => {
                        version += 1;
                        world.configure(catalog(version));
                    }
                    _ => sleep(Duration::from_millis(rng.random_range(0..900))).await,
                }
            }
            // After a restoration, the operator writes the last configuration again.
            world.configure(catalog_with_keys(version + 1, &["k1"]));
            world.list_server(1, "s", "v1", "draining");
            sleep(SETTLING_TIME).await;
            assert_in_force(&world, &entries).await;
        });
    }
}

#[test]
fn configuration_does_not_revert_with_the_store() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, 4).await;
        let copy = world.store.snapshot();
        world.configure(catalog_with_keys(2, &["k1"]));
        sleep(CHANGE_LIMIT).await;
        restore(&world, &copy, OUTAGE).await;
        for _ in 0..20 {
            sleep(Duration::from_millis(100)).await;
            for entry in &entries {
                assert_eq!(status(&world, entry, "k2").await, 401);
            }
        }
    });
}

#[test]
fn draining_server_listed_ready_in_the_copy_gets_no_requests() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, 4).await;
        let copy = world.store.snapshot();
        world.list_server(1, "s", "v1", "draining");
        sleep(CHANGE_LIMIT).await;
        restore(&world, &copy, OUTAGE).await;
        for _ in 0..10 {
            sleep(Duration::from_millis(150)).await;
            assert_eq!(count_sent_to(&world, &entries, 1).await, 0);
        }
    });
}

#[test]
fn server_restarted_after_the_copy_serves_again() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, 4).await;
        let copy = world.store.snapshot();
        world.list_server(1, "s", "v1", "draining");
        sleep(CHANGE_LIMIT).await;
        restore(&world, &copy, OUTAGE).await;
        sleep(CHANGE_LIMIT).await;
        let next = format!("s {} dc1 v1 ready 0 77", address(1));
        world.store.put("server/s1", &next);
        sleep(CHANGE_LIMIT).await;
        assert!(count_sent_to(&world, &entries, 1).await > 0);
    });
}

#[test]
fn servers_missing_in_the_copy_serve_for_a_grace_period() {
    for outage in [OUTAGE, Duration::ZERO] {
        run_test(|world| async move {
            let net = Net::default();
            let entries = start(&world, &net, 4).await;
            for n in 1..=3 {
                world.store.remove(&format!("server/s{n}"));
            }
            let copy = world.store.snapshot();
            for n in 1..=3 {
                world.list_server(n, "s", "v1", "ready");
            }
            sleep(CHANGE_LIMIT).await;
            restore(&world, &copy, outage).await;
            for _ in 0..12 {
                sleep(Duration::from_millis(100)).await;
                for entry in &entries {
                    assert_eq!(status(&world, entry, "k1").await, 200, "{outage:?}");
                }
            }
        });
    }
}

/// Requests that reach the servers of the evacuated data centre.
async fn count_sent_to_evacuated(world: &World, entries: &[Entry]) -> usize {
    let seen = || (1..=3).map(|n| world.backends.requests(address(n)).len()).sum::<usize>();
    let before = seen();
    count_sent_to(world, entries, 1).await;
    seen() - before
}

/// Evacuates all data centres but one, and restores the store from a copy without that evacuation.
async fn restore_without_evacuation(world: &World, entries: &[Entry]) {
    world.backends.start(address(9), "s9", Behaviour::Answer(200, "made".into()));
    world.list_server_in("dc2", 9, "s", "v1", "ready");
    let copy = world.store.snapshot();
    world.store.put("evacuate/dc1", "");
    sleep(CHANGE_LIMIT).await;
    assert_eq!(count_sent_to_evacuated(world, entries).await, 0, "before");
    restore(world, &copy, OUTAGE).await;
}

#[test]
fn evacuation_missing_in_the_copy_holds_for_a_grace_period() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, 4).await;
        restore_without_evacuation(&world, &entries).await;
        for _ in 0..10 {
            sleep(Duration::from_millis(100)).await;
            assert_eq!(count_sent_to_evacuated(&world, &entries).await, 0);
        }
        world.store.put("evacuate/dc1", "");
        sleep(SETTLING_TIME).await;
        assert_eq!(count_sent_to_evacuated(&world, &entries).await, 0);
    });
}

#[test]
fn evacuation_not_written_again_ends() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, 4).await;
        restore_without_evacuation(&world, &entries).await;
        sleep(2 * SETTLING_TIME).await;
        assert!(count_sent_to_evacuated(&world, &entries).await > 0, "it is revoked in the end");
    });
}

#[test]
fn entries_with_lost_listings_are_listed_again() {
    for count in [2_u16, 8, 40] {
        run_test(|world| async move {
            let net = Net::default();
            let entries = start(&world, &net, 3).await;
            let copy = world.store.snapshot();
            let later: Vec<Entry> = (3..3 + count).map(|n| net.start_later(&world, n)).collect();
            sleep(Duration::from_secs(6)).await;
            let listed = |entry: &Entry| {
                world.store.value(&format!("pondwalk/entries/{}", entry.name())).is_some()
            };
            assert!(later.iter().all(listed), "listed before");
            restore(&world, &copy, OUTAGE).await;
            assert!(!later.iter().any(listed), "lost");
            sleep(2 * SETTLING_TIME).await;
            let unlisted = later.iter().filter(|entry| !listed(entry)).count();
            assert_eq!(unlisted, 0, "of {count}");
            world.configure(catalog_with_keys(2, &["k1"]));
            sleep(CHANGE_LIMIT).await;
            assert_eq!(
                entries_with_wrong_keys(&world, &later, "k1", "k2").await,
                Vec::<String>::new()
            );
            assert_eq!(
                entries_with_wrong_keys(&world, &entries, "k1", "k2").await,
                Vec::<String>::new()
            );
        });
    }
}

#[test]
fn all_entries_missing_in_the_copy_are_listed_again() {
    run_test(|world| async move {
        let net = Net::default();
        let copy = world.store.snapshot();
        let entries = start(&world, &net, 24).await;
        let calls = world.store.calls();
        restore(&world, &copy, OUTAGE).await;
        world.configure(catalog(1));
        for n in 1..=3 {
            world.list_server(n, "s", "v1", "ready");
        }
        sleep(3 * SETTLING_TIME).await;
        let names: BTreeSet<String> = entries.iter().map(|one| one.name().to_owned()).collect();
        let listed =
            |name: &&String| world.store.value(&format!("pondwalk/entries/{name}")).is_some();
        assert_eq!(names.iter().filter(listed).count(), 24);
        let calls = world.store.calls() - calls;
        assert!(calls < 150, "{calls} calls");
    });
}

/// Runs a roll-out to its end, and restores the store from a copy taken `copy_after` the order.
fn outcome_after_restoration(
    second: Behaviour,
    copy_after: Duration,
    count: u16,
) -> Option<String> {
    let found = Rc::new(RefCell::new(None));
    let recorded = Rc::clone(&found);
    run_test(move |world| async move {
        let net = Net::default();
        let entries = start(&world, &net, count).await;
        for n in 11..=13 {
            world.start_server(n, "s", "v2", second.clone());
        }
        world.store.put("order/s", "v2 20");
        let mut copy = None;
        for n in 0..900 {
            if copy.is_none() && Duration::from_millis(n * 40) >= copy_after {
                copy = Some(world.store.snapshot());
            }
            let entry = &entries[n as usize % entries.len()];
            let sent =
                with(request("/again/", &format!("r{n}")), "pondwalk-session", &n.to_string());
            world.call_at(entry, sent).await;
            sleep(Duration::from_millis(40)).await;
            let over = |text: String| !text.ends_with("InProgress");
            if world.store.value("progress/s").is_some_and(over) {
                break;
            }
        }
        sleep(CHANGE_LIMIT).await;
        let before = world.store.value("progress/s");
        restore(&world, &copy.expect("a copy before the end"), OUTAGE).await;
        assert_ne!(world.store.value("progress/s"), before, "it is lost");
        sleep(2 * SETTLING_TIME).await;
        assert_eq!(world.store.value("progress/s"), before, "it is reported again");
        *recorded.borrow_mut() = before;
    });
    found.take()
}

#[test]
fn lost_completed_roll_out_is_reported_again() {
    let good = Behaviour::Answer(200, "new".into());
    let copy_after = Duration::from_secs(8);
    let outcome = outcome_after_restoration(good, copy_after, 4);
    assert_eq!(outcome.as_deref(), Some("v2 Completed"));
}

#[test]
fn roll_out_with_lost_beginning_is_reported_again() {
    let good = Behaviour::Answer(200, "new".into());
    let outcome = outcome_after_restoration(good, Duration::ZERO, 4);
    assert_eq!(outcome.as_deref(), Some("v2 Completed"));
}

#[test]
fn lost_reverted_roll_out_is_reported_again() {
    let bad = Behaviour::Answer(500, "bad".into());
    let outcome = outcome_after_restoration(bad, Duration::ZERO, 4);
    assert_eq!(outcome.as_deref(), Some("v2 Reverted"));
}

#[test]
fn quarantined_contents_are_stored_again() {
    run_test(|world| async move {
        let net = Net::default();
        let kind = crashing::repeatable();
        let entries = crashing::start(&world, &net, &kind, 5).await;
        let copy = world.store.snapshot();
        crashing::repeat_request(
            &world,
            &entries,
            &kind,
            crashing::QUICK_RETRY,
            Duration::from_secs(10),
        )
        .await;
        assert!(world.store.value("pondwalk/quarantine").is_some(), "stored before");
        restore(&world, &copy, OUTAGE).await;
        assert!(world.store.value("pondwalk/quarantine").is_none(), "lost");
        sleep(2 * SETTLING_TIME).await;
        assert!(world.store.value("pondwalk/quarantine").is_some(), "stored again");
    });
}

#[test]
fn logs_and_metrics_show_the_era() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, 4).await;
        let copy = world.store.snapshot();
        write_lost_changes(&world);
        sleep(CHANGE_LIMIT).await;
        restore(&world, &copy, OUTAGE).await;
        sleep(SETTLING_TIME).await;
        assert_eq!(total(&entries, "pondwalk_store_era"), 4);
        for entry in &entries {
            let lines = entry.buffered_log_lines();
            let expected = "\"event\":\"store_restored\",\"before\":{\"era\":0,";
            assert!(lines.contains(expected), "{lines}");
        }
    });
}

#[test]
fn root_of_the_previous_era_is_not_trusted() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, 5).await;
        let names: Vec<&str> = entries.iter().map(Entry::name).collect();
        let root = Members::first_in_order(&names);
        let copy = world.store.snapshot();
        write_lost_changes(&world);
        sleep(CHANGE_LIMIT).await;
        // The root that most others poll is the last to read the restored store.
        world.set_store_fault(&entries[root], FaultMode::Silent(Duration::from_secs(30)));
        restore(&world, &copy, Duration::ZERO).await;
        world.configure(catalog_with_keys(2, &["k1"]));
        world.list_server(1, "s", "v1", "draining");
        sleep(Duration::from_millis(1_500)).await;
        world.set_store_fault(&entries[root], FaultMode::Normal);
        sleep(CHANGE_LIMIT).await;
        assert_in_force(&world, &entries).await;
    });
}

/// Checks that a bad version is reverted, and that this is reported to the operator, whatever is lost
/// during its trial.
fn check_bad_version_is_reverted(count: u16, times: usize) {
    run_test(move |world| async move {
        let net = Net::default();
        let entries = start(&world, &net, count).await;
        for n in 11..=13 {
            world.start_server(n, "s", "v2", Behaviour::Answer(500, "bad".into()));
        }
        let copy = world.store.snapshot();
        world.store.put("order/s", "v2 20");
        sleep(CHANGE_LIMIT).await;
        for _ in 0..times {
            restore(&world, &copy, OUTAGE).await;
            world.store.put("order/s", "v2 20");
            sleep(CHANGE_LIMIT).await;
        }
        for n in 0..400 {
            let entry = &entries[n % entries.len()];
            let sent =
                with(request("/again/", &format!("r{n}")), "pondwalk-session", &n.to_string());
            world.call_at(entry, sent).await;
            sleep(Duration::from_millis(25)).await;
        }
        sleep(SETTLING_TIME).await;
        assert_eq!(world.store.value("progress/s").as_deref(), Some("v2 Reverted"));
        assert_eq!(count_sent_to(&world, &entries, 11).await, 0);
    });
}

#[test]
fn bad_version_is_left_after_one_and_two_restorations() {
    for count in [4, 24] {
        check_bad_version_is_reverted(count, 1);
        check_bad_version_is_reverted(count, 2);
    }
}

#[test]
fn evacuation_holds_through_two_restorations() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, 4).await;
        restore_without_evacuation(&world, &entries).await;
        let copy = world.store.snapshot();
        world.store.put("evacuate/dc1", "");
        sleep(CHANGE_LIMIT).await;
        restore(&world, &copy, OUTAGE).await;
        world.store.put("evacuate/dc1", "");
        for _ in 0..20 {
            sleep(Duration::from_millis(200)).await;
            assert_eq!(count_sent_to_evacuated(&world, &entries).await, 0);
        }
    });
}
