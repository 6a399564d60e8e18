//! Usage that is counted by all entries and reported by one of them, under all kinds of failures.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{
    World, catalog,
    net::{Net, peer_address},
    request, run_test, total,
};
use pondwalk_direct::Entry;
use pondwalk_standin::{
    backends::Behaviour,
    memory_store::{FaultMode, StoreSnapshot},
    usage_sink::SinkFaultMode,
};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

const USAGE_SETTINGS: &str = "[usage]\naddress=127.0.0.1:4\ntasks=metering,autoscaling\nlease_ms=3000\n\
    report_interval_s=5\nusage_delay_s=10\n";
/// Time at which a window begins.
const START_MS: u64 = 1_790_000_000_000;
const WINDOW_MS: u64 = 5_000;
/// Windows after which a report is due.
const REPORT_DELAY_WINDOWS: u64 = 2;

/// Entries, and the requests sent to them.
struct Deployment<'a> {
    world: &'a World,
    net: Net,
    entries: Vec<Entry>,
    started: Instant,
    /// Requests that were served, by window.
    served: BTreeMap<u64, u64>,
}

impl<'a> Deployment<'a> {
    async fn start(world: &'a World, count: u16) -> Self {
        let net = Net::default();
        world.configure(catalog(1));
        for n in 1..=4 {
            world.start_server(n, "s", "v1", Behaviour::Answer(200, "made".into()));
        }
        let started = Instant::now();
        let entries = net.start_many(world, count, USAGE_SETTINGS);
        entries.iter().for_each(|entry| entry.simulate_unix_ms(START_MS));
        let deployment = Deployment { world, net, entries, started, served: BTreeMap::new() };
        sleep(Duration::from_secs(10)).await;
        deployment
    }

    fn window(&self) -> u64 {
        let elapsed_ms = self.started.elapsed().as_millis() as u64;
        (START_MS + elapsed_ms) / WINDOW_MS
    }

    /// Sends `per_s` requests a second to the entries in turn, for `time`.
    async fn send_load(&mut self, time: Duration, per_s: u32) {
        let end = Instant::now() + time;
        let mut n = 0;
        while Instant::now() < end {
            n += 1;
            let entry = &self.entries[n % self.entries.len()];
            let response = self.world.call_at(entry, request("/again/", &format!("r{n}"))).await;
            if response.status == 200 {
                *self.served.entry(self.window()).or_default() += 1;
            }
            sleep(Duration::from_secs(1) / per_s).await;
        }
    }

    /// Waits until the reports of all windows so far are due.
    async fn wait_until_due(&self) {
        sleep(Duration::from_millis(WINDOW_MS * (1 + REPORT_DELAY_WINDOWS))).await;
    }

    /// Index of the entry that last reported.
    fn holder(&self) -> usize {
        let name = self.world.usage_sink.holder().expect("an entry has reported");
        self.entries.iter().position(|entry| entry.name() == name).expect("one of the entries")
    }

    /// Stops an entry without notice.
    fn stop_entry(&mut self, position: usize) -> Entry {
        let entry = self.entries.remove(position);
        self.net.stop(number_of(&entry));
        self.world.set_store_fault(&entry, FaultMode::Silent(Duration::from_secs(3_600)));
        self.world.usage_sink.drop_calls_from(Some(entry.name()));
        entry
    }

    /// Windows whose report is missing, or wrong by more than a share of `tolerance`.
    fn wrong_windows(&self, tolerance: f64) -> Vec<(u64, u64, Option<u64>)> {
        let reported = self.world.usage_sink.reported();
        let sum = |window: &u64| reported.get(window).map(|counts| counts.values().sum::<u64>());
        let rows = self.served.iter().map(|(window, served)| (*window, *served, sum(window)));
        let is_wrong = |served: u64, reported: Option<u64>| {
            reported
                .is_none_or(|reported| reported.abs_diff(served) as f64 > served as f64 * tolerance)
        };
        rows.filter(|(_, served, reported)| is_wrong(*served, *reported)).collect()
    }

    fn assert_consistent_reports(&self) {
        assert_eq!(self.world.usage_sink.violations(), Vec::<String>::new());
    }
}

/// Number of an entry.
fn number_of(entry: &Entry) -> u16 {
    entry.name().trim_start_matches('e').parse().expect("a number")
}

const NO_WINDOWS: Vec<(u64, u64, Option<u64>)> = Vec::new();

#[test]
fn each_window_is_reported_exactly_once_in_time() {
    for count in [1, 3, 24, 60] {
        run_test(|world| async move {
            let mut deployment = Deployment::start(&world, count).await;
            deployment.send_load(Duration::from_secs(30), 20).await;
            deployment.wait_until_due().await;
            assert_eq!(deployment.wrong_windows(0.0), NO_WINDOWS, "{count} entries");
            deployment.assert_consistent_reports();
            let taken = world.usage_sink.accepted();
            for report in &taken {
                let due_ms = (report.call.window + 1 + REPORT_DELAY_WINDOWS) * WINDOW_MS - START_MS;
                assert!(report.at <= deployment.started + Duration::from_millis(due_ms));
            }
            let windows = world.usage_sink.reported().len();
            assert_eq!(taken.len(), windows, "no more calls than one per window");
            let writes =
                total(&deployment.entries, "pondwalk_store_calls_total{cause=\"usage_record\"}");
            assert_eq!(writes as usize, windows, "no more writes than one per window");
        });
    }
}

#[test]
fn request_counts_once_on_several_servers() {
    run_test(|world| async move {
        let mut deployment = Deployment::start(&world, 3).await;
        world.backends.stop(common::address(1));
        world.start_server(1, "s", "v1", Behaviour::Answer(500, "failed".into()));
        deployment.send_load(Duration::from_secs(20), 20).await;
        assert!(total(&deployment.entries, "pondwalk_further_sends_total") > 0);
        deployment.wait_until_due().await;
        assert_eq!(deployment.wrong_windows(0.0), NO_WINDOWS);
    });
}

#[test]
fn another_entry_reports_after_the_holder_stops() {
    run_test(|world| async move {
        let mut deployment = Deployment::start(&world, 24).await;
        deployment.send_load(Duration::from_secs(12), 40).await;
        let holder = deployment.holder();
        deployment.stop_entry(holder);
        deployment.send_load(Duration::from_secs(20), 40).await;
        deployment.wait_until_due().await;
        // The holder's own counts of the last half second are lost with it.
        assert_eq!(deployment.wrong_windows(0.02), NO_WINDOWS);
        deployment.assert_consistent_reports();
    });
}

#[test]
fn stopping_half_of_the_entries_loses_little() {
    run_test(|world| async move {
        let mut deployment = Deployment::start(&world, 24).await;
        deployment.send_load(Duration::from_secs(12), 100).await;
        for _ in 0..12 {
            deployment.stop_entry(0);
        }
        deployment.send_load(Duration::from_secs(20), 100).await;
        deployment.wait_until_due().await;
        assert_eq!(deployment.wrong_windows(0.05), NO_WINDOWS);
        deployment.assert_consistent_reports();
    });
}

#[test]
fn holder_rejected_by_the_store_yields() {
    run_test(|world| async move {
        let mut deployment = Deployment::start(&world, 24).await;
        deployment.send_load(Duration::from_secs(12), 40).await;
        let before = deployment.holder();
        world.set_store_fault(&deployment.entries[before], FaultMode::Refused);
        deployment.send_load(Duration::from_secs(20), 40).await;
        assert_ne!(deployment.holder(), before);
        world.set_store_fault(&deployment.entries[before], FaultMode::Normal);
        deployment.send_load(Duration::from_secs(15), 40).await;
        deployment.wait_until_due().await;
        assert_eq!(deployment.wrong_windows(0.0), NO_WINDOWS);
        deployment.assert_consistent_reports();
    });
}

#[test]
fn holder_that_cannot_reach_the_platform_yields() {
    run_test(|world| async move {
        let mut deployment = Deployment::start(&world, 24).await;
        deployment.send_load(Duration::from_secs(12), 40).await;
        let before = deployment.entries[deployment.holder()].name().to_owned();
        world.usage_sink.drop_calls_from(Some(&before));
        deployment.send_load(Duration::from_secs(30), 40).await;
        deployment.wait_until_due().await;
        let missed = deployment.wrong_windows(0.0).len();
        assert!(missed <= 1, "{missed} windows missed");
        deployment.assert_consistent_reports();
    });
}

#[test]
fn late_or_unanswered_reports_are_repeated_unchanged() {
    let late = SinkFaultMode::Delayed(Duration::from_secs(4));
    for reach in
        [SinkFaultMode::AnswersLost, SinkFaultMode::TooManyRequests, SinkFaultMode::Silent, late]
    {
        run_test(|world| async move {
            let mut deployment = Deployment::start(&world, 24).await;
            deployment.send_load(Duration::from_secs(12), 40).await;
            world.usage_sink.set_fault_mode(reach);
            deployment.send_load(Duration::from_secs(6), 40).await;
            world.usage_sink.set_fault_mode(SinkFaultMode::Normal);
            deployment.send_load(Duration::from_secs(15), 40).await;
            deployment.wait_until_due().await;
            assert_eq!(deployment.wrong_windows(0.0), NO_WINDOWS, "{reach:?}");
            deployment.assert_consistent_reports();
        });
    }
}

#[test]
fn reports_catch_up_after_store_outage_or_lost_responses() {
    let seconds = Duration::from_secs;
    let fault_modes = [FaultMode::Silent(seconds(1)), FaultMode::Refused, FaultMode::AnswersLost];
    for fault_mode in fault_modes {
        run_test(|world| async move {
            let mut deployment = Deployment::start(&world, 24).await;
            deployment.send_load(seconds(12), 40).await;
            world.store.set_fault_mode(fault_mode);
            // Keys are honoured only for the first seconds of that, so some requests are refused.
            deployment.send_load(seconds(5), 40).await;
            world.store.set_fault_mode(FaultMode::Normal);
            deployment.send_load(seconds(15), 40).await;
            deployment.wait_until_due().await;
            assert_eq!(deployment.wrong_windows(0.0), NO_WINDOWS, "{fault_mode:?}");
            deployment.assert_consistent_reports();
        });
    }
}

#[test]
fn wrong_clocks_of_some_entries_are_ignored() {
    run_test(|world| async move {
        let mut deployment = Deployment::start(&world, 24).await;
        deployment.send_load(Duration::from_secs(12), 40).await;
        // The holder's own clock jumps, and other entries restart with wrong clocks.
        let holder = deployment.holder();
        deployment.entries[holder].simulate_unix_ms(START_MS + 20_000);
        for n in 0..3 {
            let later = deployment.net.start_with(
                &world,
                100 + n,
                &format!("[membership]\nseeds={}\n{USAGE_SETTINGS}", peer_address(0)),
            );
            later.simulate_unix_ms(START_MS + 8_000);
        }
        deployment.send_load(Duration::from_secs(25), 40).await;
        deployment.wait_until_due().await;
        // Requests served by an entry with a wrong clock count in another window.
        assert_eq!(deployment.wrong_windows(0.05), NO_WINDOWS);
        deployment.assert_consistent_reports();
    });
}

#[test]
fn restarted_entries_continue_with_a_higher_fencing_token() {
    run_test(|world| async move {
        let mut deployment = Deployment::start(&world, 3).await;
        deployment.send_load(Duration::from_secs(12), 40).await;
        let before = world.usage_sink.accepted().last().expect("a report").call.fencing_token;
        for _ in 0..3 {
            deployment.stop_entry(0);
        }
        world.usage_sink.drop_calls_from(None);
        deployment.net.cut.borrow_mut().clear();
        let at_start = START_MS + deployment.started.elapsed().as_millis() as u64;
        deployment.entries = deployment.net.start_many(&world, 3, USAGE_SETTINGS);
        deployment.entries.iter().for_each(|entry| entry.simulate_unix_ms(at_start));
        deployment.served.clear();
        sleep(Duration::from_millis(WINDOW_MS)).await;
        deployment.send_load(Duration::from_secs(15), 40).await;
        deployment.wait_until_due().await;
        let first = *deployment.served.keys().next().expect("some were asked");
        deployment.served.remove(&first);
        assert_eq!(deployment.wrong_windows(0.0), NO_WINDOWS);
        assert!(world.usage_sink.accepted().last().expect("a report").call.fencing_token > before);
        deployment.assert_consistent_reports();
    });
}

#[test]
fn record_of_another_writer_is_kept_and_logged() {
    run_test(|world| async move {
        world.store.put("pondwalk/usage-reporter", "no record");
        let mut deployment = Deployment::start(&world, 3).await;
        deployment.send_load(Duration::from_secs(10), 20).await;
        deployment.wait_until_due().await;
        assert_eq!(world.usage_sink.calls(), 0);
        let logged = |entry: &Entry| entry.buffered_log_lines().contains("usage_record_unreadable");
        assert!(total(&deployment.entries, "pondwalk_requests_total") > 0);
        assert!(deployment.entries.iter().any(logged));
    });
}

/// The store is unreachable for a while, and is restored from a copy.
async fn restore(world: &World, copy: &StoreSnapshot) {
    // As long as writers wait for a response.
    world.store.set_fault_mode(FaultMode::Silent(Duration::from_secs(1)));
    sleep(Duration::from_millis(2_400)).await;
    world.store.restore(copy.clone());
    world.store.set_fault_mode(FaultMode::Normal);
}

#[test]
fn reports_stay_consistent_after_the_store_loses_the_record() {
    for copy_after_s in [1, 6, 11] {
        run_test(|world| async move {
            let mut deployment = Deployment::start(&world, 5).await;
            deployment.send_load(Duration::from_secs(copy_after_s), 20).await;
            let copy = world.store.snapshot();
            deployment.send_load(Duration::from_secs(9), 20).await;
            restore(&world, &copy).await;
            deployment.send_load(Duration::from_secs(25), 20).await;
            deployment.wait_until_due().await;
            deployment.assert_consistent_reports();
            // A window that ended during the outage may have been reported by an unknown entry.
            let wrong = deployment.wrong_windows(0.0);
            assert!(wrong.len() <= 1, "copy after {copy_after_s} s: {wrong:?}");
            assert!(wrong.iter().all(|(_, _, reported)| reported.is_none()), "{wrong:?}");
        });
    }
}

#[test]
fn no_conflicting_reports_if_holder_and_record_are_lost() {
    for copy_after_s in [1, 6, 11] {
        run_test(|world| async move {
            let mut deployment = Deployment::start(&world, 5).await;
            deployment.send_load(Duration::from_secs(copy_after_s), 20).await;
            let copy = world.store.snapshot();
            deployment.send_load(Duration::from_secs(9), 20).await;
            let holder = deployment.holder();
            deployment.stop_entry(holder);
            restore(&world, &copy).await;
            deployment.send_load(Duration::from_secs(25), 20).await;
            deployment.wait_until_due().await;
            deployment.assert_consistent_reports();
        });
    }
}

#[test]
fn no_fencing_token_is_reused_after_a_lost_record() {
    for copy_after_s in [1, 6, 11] {
        run_test(|world| async move {
            let mut deployment = Deployment::start(&world, 4).await;
            deployment.send_load(Duration::from_secs(copy_after_s), 20).await;
            let copy = world.store.snapshot();
            let holder = deployment.holder();
            deployment.stop_entry(holder);
            deployment.send_load(Duration::from_secs(14), 20).await;
            while !deployment.entries.is_empty() {
                deployment.stop_entry(0);
            }
            restore(&world, &copy).await;
            deployment.entries =
                (10..14).map(|n| deployment.net.start_with(&world, n, USAGE_SETTINGS)).collect();
            let now_ms = START_MS + deployment.started.elapsed().as_millis() as u64;
            deployment.entries.iter().for_each(|entry| entry.simulate_unix_ms(now_ms));
            sleep(Duration::from_secs(10)).await;
            deployment.send_load(Duration::from_secs(15), 20).await;
            deployment.wait_until_due().await;
            let broken = world.usage_sink.violations();
            let token_violations =
                broken.iter().filter(|violation| violation.contains("the number"));
            assert_eq!(token_violations.count(), 0, "{broken:?}");
        });
    }
}

/// Guards against a second report of a window with other counts, after all entries were killed right
/// after the first and the store came back from a copy without its record.
#[test]
fn window_whose_report_the_store_has_lost_is_not_reported_again() {
    for (count, copy_age_ms) in [(1, 3_000), (2, 3_000), (2, 1_000), (5, 6_000)] {
        run_test(|world| async move {
            let mut deployment = Deployment::start(&world, count).await;
            deployment.send_load(Duration::from_secs(12), 20).await;
            let reports = world.usage_sink.accepted().len();
            let mut copies = Vec::new();
            while world.usage_sink.accepted().len() == reports {
                copies.push((Instant::now(), world.store.snapshot()));
                deployment.send_load(Duration::from_millis(100), 20).await;
            }
            while !deployment.entries.is_empty() {
                deployment.stop_entry(0);
            }
            let is_old = |at: &Instant| at.elapsed() >= Duration::from_millis(copy_age_ms);
            let old = copies.iter().rev().find(|(at, _)| is_old(at)).or(copies.first());
            world.store.set_fault_mode(FaultMode::Refused);
            sleep(Duration::from_millis(500)).await;
            world.store.restore(old.expect("a copy").1.clone());
            world.store.set_fault_mode(FaultMode::Normal);
            deployment.entries = (10..10 + count)
                .map(|n| deployment.net.start_with(&world, n, USAGE_SETTINGS))
                .collect();
            let now_ms = START_MS + deployment.started.elapsed().as_millis() as u64;
            deployment.entries.iter().for_each(|entry| entry.simulate_unix_ms(now_ms));
            deployment.send_load(Duration::from_secs(20), 20).await;
            deployment.wait_until_due().await;
            deployment.assert_consistent_reports();
            assert!(world.usage_sink.accepted().len() > reports + 2, "reports go on");
        });
    }
}

/// Guards against usage that is lost when an entry stops as planned.
#[test]
fn requests_served_until_the_end_of_a_stop_are_reported() {
    for count in [2, 3, 24] {
        run_test(|world| async move {
            let mut deployment = Deployment::start(&world, count).await;
            deployment.send_load(Duration::from_secs(10), 20).await;
            for _ in 0..2 {
                let leaving = deployment.entries.len() - 1;
                let entry = deployment.entries[leaving].clone();
                let stopping = spawn_local(async move { entry.drain().await });
                let others = deployment.entries.drain(..leaving).collect::<Vec<_>>();
                while !stopping.is_finished() {
                    deployment.send_load(Duration::from_millis(20), 50).await;
                }
                // What the process has not sent by now it will never send.
                let ended = deployment.stop_entry(0);
                let from = peer_address(number_of(&ended));
                let peers = (1..=count).map(|n| (from, peer_address(n)));
                deployment.net.cut_one_way.borrow_mut().extend(peers);
                deployment.entries = others;
                if deployment.entries.len() == 1 {
                    break;
                }
            }
            deployment.send_load(Duration::from_secs(10), 20).await;
            deployment.wait_until_due().await;
            assert_eq!(deployment.wrong_windows(0.0), NO_WINDOWS, "{count} entries");
            deployment.assert_consistent_reports();
        });
    }
}
