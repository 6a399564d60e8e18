//! Behaviour with a slow store, large responses and narrow links.
//!
//! A time bound that depends on a request, its response and a further request holds only while
//! responses take less than the bound; the same is true of a maximum age. The tests therefore state
//! what is guaranteed at each response time.

mod common;

use std::{rc::Rc, time::Duration};

use common::{
    World, catalog, catalog_with_keys,
    net::{Impostor, Net, full_state, peer_address},
    request, run_test, with,
};
use pondwalk_direct::Entry;
use pondwalk_standin::{backends::Behaviour, memory_store::FaultMode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    task::spawn_local,
    time::{Instant, sleep},
};

/// Time in which a change must be in force unless a test states otherwise.
const PROPAGATION: Duration = Duration::from_secs(2);
/// Bandwidth of a link of 10 Mbit/s, in bytes a second.
const NARROW_BYTES_PER_S: u64 = 1_250_000;
/// Encoded size of a configuration near the largest value that the store takes, in bytes.
const LARGE_BYTES: usize = 1_300_000;
/// Interval at which the tests check the state.
const STEP: Duration = Duration::from_millis(20);

async fn start(world: &World, count: u16) -> Vec<Entry> {
    world.configure(catalog(1));
    world.start_server(1, "s", "v1", Behaviour::Answer(200, "made".into()));
    let entries = Net::default().start_many(world, count, "");
    sleep(Duration::from_secs(6)).await;
    entries
}

async fn status(world: &World, entry: &Entry, key: &str) -> u16 {
    let sent = with(request("/again/", "r"), "authorization", &format!("Bearer {key}"));
    world.call_at(entry, sent).await.status.as_u16()
}

/// Store calls by cause, of all entries.
fn store_calls(entries: &[Entry], cause: &str) -> u64 {
    let name = format!("pondwalk_store_calls_total{{cause=\"{cause}\"}}");
    let of_one = |entry: &Entry| {
        let text = entry.metrics_text();
        text.lines().find_map(|line| line.strip_prefix(&*name)?.trim().parse().ok()).unwrap_or(0)
    };
    entries.iter().map(of_one).sum::<u64>()
}

fn is_in_force(entry: &Entry, version: u64) -> bool {
    let installed = format!("\"configuration_in_force\",\"version\":{version},");
    entry.buffered_log_lines().contains(&installed)
}

/// Time until all entries have a configuration in force, up to 30 s.
async fn time_until_in_force(entries: &[Entry], version: u64) -> Duration {
    let from = Instant::now();
    while !entries.iter().all(|entry| is_in_force(entry, version)) && from.elapsed().as_secs() < 30
    {
        sleep(STEP).await;
    }
    from.elapsed()
}

#[test]
fn large_change_is_in_force_in_time_over_narrow_store_links() {
    run_test(|world| async move {
        let entries = start(&world, 40).await;
        for entry in &entries {
            world.set_store_fault(entry, FaultMode::LimitedBandwidth(NARROW_BYTES_PER_S));
        }
        // At different points of the interval between two requests.
        for (round, pause_ms) in [1_000, 1_130, 1_270, 1_390].into_iter().enumerate() {
            sleep(Duration::from_millis(pause_ms)).await;
            let version = round as u64 + 2;
            world.configure_large(catalog_with_keys(version, &["k1"]), LARGE_BYTES);
            let time = time_until_in_force(&entries, version).await;
            assert!(time <= PROPAGATION, "configuration {version} took {time:?}");
        }
    });
}

#[test]
fn entries_with_wide_links_distribute_large_changes() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Behaviour::Answer(200, "made".into()));
        let net = Net::default();
        let seeds = peer_address(0);
        let start = |n: u16| {
            let link_mbps = if n % 6 == 3 { 200 } else { 10 };
            let further = format!("link_mbps={link_mbps}.0\n[membership]\nseeds={seeds}\n");
            (net.start_with(&world, n, &further), link_mbps)
        };
        let entries: Vec<(Entry, u64)> = (0..32).map(start).collect();
        for (entry, link_mbps) in &entries {
            world.set_store_fault(
                entry,
                FaultMode::LimitedBandwidth(link_mbps * NARROW_BYTES_PER_S / 10),
            );
        }
        sleep(Duration::from_secs(6)).await;
        let (wide, narrow): (Vec<_>, Vec<_>) =
            entries.into_iter().partition(|(_, link_mbps)| *link_mbps > 10);
        let entries: Vec<Entry> = wide.into_iter().chain(narrow).map(|(entry, _)| entry).collect();
        let asks_store = |entry: &Entry| entry.metrics_text().contains("asks_store 1");
        let roots: Vec<usize> = (0..32).filter(|n| asks_store(&entries[*n])).collect();
        assert_eq!(roots.len(), 3);
        assert!(roots.iter().all(|root| *root < 5), "{roots:?} have wide links, which are 0 to 4");
        world.configure_large(catalog_with_keys(2, &["k1"]), LARGE_BYTES);
        let time = time_until_in_force(&entries, 2).await;
        let read = Duration::from_secs_f64(LARGE_BYTES as f64 / (20.0 * NARROW_BYTES_PER_S as f64));
        assert!(time <= world.entry_times().normal_confirmation_age() + read, "{time:?}");
    });
}

#[test]
fn change_is_in_force_within_response_time_and_interval() {
    for response_ms in [10, 500, 2_000, 4_000] {
        run_test(|world| async move {
            let entries = start(&world, 40).await;
            let response_time = Duration::from_millis(response_ms);
            world.store.set_fault_mode(FaultMode::Late(response_time));
            sleep(Duration::from_secs(10)).await;
            let times = world.entry_times();
            let bound = response_time + times.normal_confirmation_age() + STEP;
            for version in 2..8 {
                sleep(Duration::from_millis(700 + 170 * version)).await;
                world.configure(catalog_with_keys(version, &["k1"]));
                let time = time_until_in_force(&entries, version).await;
                assert!(time <= bound, "{time:?} with responses that take {response_time:?}");
            }
        });
    }
}

#[test]
fn keys_are_honoured_while_a_slow_store_confirms_within_the_bound() {
    for response_ms in [10, 500, 2_000, 3_500] {
        run_test(|world| async move {
            let entries = start(&world, 20).await;
            world.store.set_fault_mode(FaultMode::Late(Duration::from_millis(response_ms)));
            for _ in 0..60 {
                sleep(Duration::from_millis(500)).await;
                for entry in &entries {
                    let status = status(&world, entry, "k1").await;
                    assert_eq!(status, 200, "{} at {response_ms} ms", entry.name());
                }
            }
        });
    }
}

#[test]
fn removed_key_is_refused_in_time_with_a_slow_store() {
    for response_ms in [10, 500, 2_000, 4_000] {
        run_test(|world| async move {
            let entries = start(&world, 20).await;
            world.store.set_fault_mode(FaultMode::Late(Duration::from_millis(response_ms)));
            sleep(Duration::from_secs(7)).await;
            world.configure(catalog_with_keys(2, &["k1"]));
            sleep(Duration::from_secs(5)).await;
            for entry in &entries {
                let status = status(&world, entry, "k2").await;
                assert_ne!(status, 200, "{} at {response_ms} ms", entry.name());
            }
        });
    }
}

#[test]
fn starting_entry_reads_initial_state_from_a_slow_store() {
    for response_ms in [10, 500, 2_000, 4_000] {
        run_test(|world| async move {
            world.configure(catalog(1));
            world.start_server(1, "s", "v1", Behaviour::Answer(200, "made".into()));
            let response_time = Duration::from_millis(response_ms);
            world.store.set_fault_mode(FaultMode::Late(response_time));
            let seeds = format!("[membership]\nseeds={}\n", peer_address(0));
            let entry = Net::default().start_with(&world, 9, &seeds);
            // It first polls the seed for 0.9 s.
            sleep(Duration::from_millis(1_000) + response_time).await;
            assert!(is_in_force(&entry, 1), "at {response_ms} ms");
        });
    }
}

/// Sends an initial state to each client, in parts over 1.2 s.
fn sending_slowly(keys: &[(&str, &str)]) -> Impostor {
    let state = full_state(keys, 9);
    let body = state.to_bytes().expect("it serializes");
    Rc::new(move |mut stream| {
        let body = body.clone();
        spawn_local(async move {
            let mut question = [0; 4_096];
            let _ = stream.read(&mut question).await;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            let _ = stream.write_all(head.as_bytes()).await;
            for part in body.chunks(body.len().div_ceil(12)) {
                sleep(Duration::from_millis(100)).await;
                let _ = stream.write_all(part).await;
            }
        });
    })
}

#[test]
fn slowly_arriving_peer_state_is_read() {
    run_test(|world| async move {
        let net = Net::default();
        world.configure(catalog(1));
        world.store.set_fault_mode(FaultMode::Refused);
        let impostor = sending_slowly(&[("catalog", "1")]);
        net.impostors.borrow_mut().insert(peer_address(0), impostor);
        let seeds = format!("[membership]\nseeds={}\n", peer_address(0));
        let entry = net.start_with(&world, 9, &seeds);
        sleep(Duration::from_millis(1_300)).await;
        assert!(is_in_force(&entry, 1), "{}", entry.buffered_log_lines());
    });
}

#[test]
fn roll_out_completes_in_time_with_a_slow_store() {
    for response_ms in [10, 500, 2_000, 4_000] {
        run_test(|world| async move {
            let entries = start(&world, 20).await;
            for n in 11..=13 {
                world.start_server(n, "s", "v2", Behaviour::Answer(200, "new".into()));
            }
            world.store.set_fault_mode(FaultMode::Late(Duration::from_millis(response_ms)));
            sleep(Duration::from_secs(7)).await;
            world.store.put("order/s", "v2 24");
            sleep(Duration::from_secs(24)).await;
            let progress = world.store.value("progress/s");
            assert_eq!(progress.as_deref(), Some("v2 Completed"), "at {response_ms} ms");
            let lost = store_calls(&entries, "step_lost");
            assert!(lost <= 12, "{lost} conflicting writes of steps at {response_ms} ms");
        });
    }
}

#[test]
fn starting_entries_are_listed_with_a_slow_store() {
    for response_ms in [10, 500, 2_000, 4_000] {
        run_test(|world| async move {
            world.configure(catalog(1));
            world.start_server(1, "s", "v1", Behaviour::Answer(200, "made".into()));
            world.store.set_fault_mode(FaultMode::Late(Duration::from_millis(response_ms)));
            let entries = Net::default().start_many(&world, 20, "");
            sleep(Duration::from_secs(20)).await;
            for entry in &entries {
                let text = entry.metrics_text();
                assert!(text.contains("entries_listed 20"), "{} at {response_ms} ms", entry.name());
            }
            let writes = store_calls(&entries, "listing");
            assert!(writes <= 30, "{writes} writes of listings at {response_ms} ms");
        });
    }
}

#[test]
fn draining_server_is_avoided_within_response_time_and_interval() {
    for response_ms in [10, 500, 2_000, 4_000] {
        run_test(|world| async move {
            let entries = start(&world, 20).await;
            let response_time = Duration::from_millis(response_ms);
            world.store.set_fault_mode(FaultMode::Late(response_time));
            sleep(Duration::from_secs(7)).await;
            world.list_server(1, "s", "v1", "draining");
            sleep(response_time + world.entry_times().normal_confirmation_age() + STEP).await;
            let has_received = |entry: &&Entry| entry.buffered_log_lines().contains("Draining");
            assert_eq!(
                entries.iter().filter(has_received).count(),
                entries.len(),
                "at {response_ms} ms"
            );
        });
    }
}
