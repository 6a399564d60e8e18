//! Usage counted by all entries and reported by one, whatever fails on the way.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{World, catalog, net::Net, play, request, total};
use pondwalk_direct::Entry;
use pondwalk_standin::{
    backends::Act,
    memory_store::{StoreCopy, Weather},
    usage_sink::Reach,
};
use tokio::time::{Instant, sleep};

const USAGE: &str = "[usage]\naddress=127.0.0.1:4\ntasks=metering,autoscaling\nlease_ms=3000\n\
    report_interval_s=5\nusage_delay_s=10\n";
/// A time of day at which a window begins.
const START_MS: u64 = 1_790_000_000_000;
const WINDOW_MS: u64 = 5_000;
/// Time by which a report is due, in windows.
const DUE_AFTER: u64 = 2;

/// Entries, and what was asked of them.
struct Deployment<'a> {
    world: &'a World,
    net: Net,
    entries: Vec<Entry>,
    started: Instant,
    /// Requests that were served, by window.
    asked: BTreeMap<u64, u64>,
}

impl<'a> Deployment<'a> {
    async fn start(world: &'a World, count: u16) -> Self {
        let net = Net::default();
        world.configure(catalog(1));
        for n in 1..=4 {
            world.start_server(n, "s", "v1", Act::Answer(200, "made".into()));
        }
        let started = Instant::now();
        let entries = net.start_many(world, count, USAGE);
        entries.iter().for_each(|entry| entry.pretend_unix_ms(START_MS));
        let deployment = Deployment { world, net, entries, started, asked: BTreeMap::new() };
        sleep(Duration::from_secs(10)).await;
        deployment
    }

    fn window(&self) -> u64 {
        let since = self.started.elapsed().as_millis() as u64;
        (START_MS + since) / WINDOW_MS
    }

    /// Asks the entries in turn for some time, as many times a second.
    async fn ask_for(&mut self, time: Duration, per_s: u32) {
        let end = Instant::now() + time;
        let mut n = 0;
        while Instant::now() < end {
            n += 1;
            let entry = &self.entries[n % self.entries.len()];
            let answer = self.world.ask_at(entry, request("/again/", &format!("r{n}"))).await;
            if answer.status == 200 {
                *self.asked.entry(self.window()).or_default() += 1;
            }
            sleep(Duration::from_secs(1) / per_s).await;
        }
    }

    /// Waits until all windows so far are due.
    async fn wait_until_due(&self) {
        sleep(Duration::from_millis(WINDOW_MS * (1 + DUE_AFTER))).await;
    }

    /// Position of the entry that reported last.
    fn holder(&self) -> usize {
        let name = self.world.usage_sink.holder().expect("somebody has reported");
        self.entries.iter().position(|entry| entry.name() == name).expect("one of them")
    }

    /// Ends an entry without a word.
    fn end(&mut self, position: usize) -> Entry {
        let entry = self.entries.remove(position);
        let number = entry.name().trim_start_matches('e').parse().expect("a number");
        self.net.end(number);
        self.world.cut_store_for(&entry, Weather::Silent(Duration::from_secs(3_600)));
        self.world.usage_sink.cut(Some(entry.name()));
        entry
    }

    /// Windows whose report is off by more than a share, or missing.
    fn windows_off_by(&self, tolerance: f64) -> Vec<(u64, u64, Option<u64>)> {
        let reported = self.world.usage_sink.reported();
        let sum = |window: &u64| reported.get(window).map(|counts| counts.values().sum::<u64>());
        let rows = self.asked.iter().map(|(window, asked)| (*window, *asked, sum(window)));
        let is_off = |asked: u64, told: Option<u64>| {
            told.is_none_or(|told| told.abs_diff(asked) as f64 > asked as f64 * tolerance)
        };
        rows.filter(|(_, asked, told)| is_off(*asked, *told)).collect()
    }

    fn assert_one_voice(&self) {
        assert_eq!(self.world.usage_sink.broken(), Vec::<String>::new());
    }
}

const NOTHING: Vec<(u64, u64, Option<u64>)> = Vec::new();

#[test]
fn each_window_is_reported_once_exactly_and_in_time() {
    for count in [1, 3, 24, 60] {
        play(|world| async move {
            let mut all = Deployment::start(&world, count).await;
            all.ask_for(Duration::from_secs(30), 20).await;
            all.wait_until_due().await;
            assert_eq!(all.windows_off_by(0.0), NOTHING, "{count} entries");
            all.assert_one_voice();
            let taken = world.usage_sink.taken();
            for one in &taken {
                let due_ms = (one.call.window + 1 + DUE_AFTER) * WINDOW_MS - START_MS;
                assert!(one.at <= all.started + Duration::from_millis(due_ms));
            }
            let windows = world.usage_sink.reported().len();
            assert_eq!(taken.len(), windows, "no call more than one a window");
            let writes = total(&all.entries, "pondwalk_store_calls_total{cause=\"usage_record\"}");
            assert_eq!(writes as usize, windows, "no write more than one a window");
        });
    }
}

#[test]
fn a_request_that_runs_at_several_servers_counts_once() {
    play(|world| async move {
        let mut all = Deployment::start(&world, 3).await;
        world.backends.stop(common::address(1));
        world.start_server(1, "s", "v1", Act::Answer(500, "failed".into()));
        all.ask_for(Duration::from_secs(20), 20).await;
        assert!(total(&all.entries, "pondwalk_further_sends_total") > 0);
        all.wait_until_due().await;
        assert_eq!(all.windows_off_by(0.0), NOTHING);
    });
}

#[test]
fn another_entry_reports_where_the_holder_has_ended() {
    play(|world| async move {
        let mut all = Deployment::start(&world, 24).await;
        all.ask_for(Duration::from_secs(12), 40).await;
        let holder = all.holder();
        all.end(holder);
        all.ask_for(Duration::from_secs(20), 40).await;
        all.wait_until_due().await;
        // NB: what the holder had counted itself within the last half second is gone with it.
        assert_eq!(all.windows_off_by(0.02), NOTHING);
        all.assert_one_voice();
    });
}

#[test]
fn half_of_the_entries_take_little_with_them() {
    play(|world| async move {
        let mut all = Deployment::start(&world, 24).await;
        all.ask_for(Duration::from_secs(12), 100).await;
        for _ in 0..12 {
            all.end(0);
        }
        all.ask_for(Duration::from_secs(20), 100).await;
        all.wait_until_due().await;
        assert_eq!(all.windows_off_by(0.05), NOTHING);
        all.assert_one_voice();
    });
}

#[test]
fn a_holder_that_the_store_turns_away_gives_the_task_up() {
    play(|world| async move {
        let mut all = Deployment::start(&world, 24).await;
        all.ask_for(Duration::from_secs(12), 40).await;
        let before = all.holder();
        world.cut_store_for(&all.entries[before], Weather::Refused);
        all.ask_for(Duration::from_secs(20), 40).await;
        assert_ne!(all.holder(), before);
        world.cut_store_for(&all.entries[before], Weather::Fair);
        all.ask_for(Duration::from_secs(15), 40).await;
        all.wait_until_due().await;
        assert_eq!(all.windows_off_by(0.0), NOTHING);
        all.assert_one_voice();
    });
}

#[test]
fn a_holder_that_cannot_reach_the_platform_gives_the_task_up() {
    play(|world| async move {
        let mut all = Deployment::start(&world, 24).await;
        all.ask_for(Duration::from_secs(12), 40).await;
        let before = all.entries[all.holder()].name().to_owned();
        world.usage_sink.cut(Some(&before));
        all.ask_for(Duration::from_secs(30), 40).await;
        all.wait_until_due().await;
        let missed = all.windows_off_by(0.0).len();
        assert!(missed <= 1, "{missed} windows missed");
        all.assert_one_voice();
    });
}

#[test]
fn what_is_carried_out_late_or_answered_by_nobody_is_said_again_in_the_same_words() {
    let late = Reach::LateBy(Duration::from_secs(4));
    for reach in [Reach::AnswersLost, Reach::TooMany, Reach::Silent, late] {
        play(|world| async move {
            let mut all = Deployment::start(&world, 24).await;
            all.ask_for(Duration::from_secs(12), 40).await;
            world.usage_sink.set_reach(reach);
            all.ask_for(Duration::from_secs(6), 40).await;
            world.usage_sink.set_reach(Reach::Fair);
            all.ask_for(Duration::from_secs(15), 40).await;
            all.wait_until_due().await;
            assert_eq!(all.windows_off_by(0.0), NOTHING, "{reach:?}");
            all.assert_one_voice();
        });
    }
}

#[test]
fn reports_are_caught_up_with_after_the_store_was_away_or_lost_its_answers() {
    let seconds = Duration::from_secs;
    let away = [Weather::Silent(seconds(1)), Weather::Refused, Weather::AnswersLost];
    for weather in away {
        play(|world| async move {
            let mut all = Deployment::start(&world, 24).await;
            all.ask_for(seconds(12), 40).await;
            world.store.set_weather(weather);
            // NB: keys are honoured for a few seconds of that, so some requests are refused.
            all.ask_for(seconds(5), 40).await;
            world.store.set_weather(Weather::Fair);
            all.ask_for(seconds(15), 40).await;
            all.wait_until_due().await;
            assert_eq!(all.windows_off_by(0.0), NOTHING, "{weather:?}");
            all.assert_one_voice();
        });
    }
}

#[test]
fn clocks_that_are_wrong_at_some_entries_do_not_count() {
    play(|world| async move {
        let mut all = Deployment::start(&world, 24).await;
        all.ask_for(Duration::from_secs(12), 40).await;
        // The holder's own clock jumps, and others start anew with clocks that are wrong.
        let holder = all.holder();
        all.entries[holder].pretend_unix_ms(START_MS + 20_000);
        for n in 0..3 {
            let later = all.net.start_with(
                &world,
                100 + n,
                &format!("[membership]\nseeds={}\n{USAGE}", common::net::peer_address(0)),
            );
            later.pretend_unix_ms(START_MS + 8_000);
        }
        all.ask_for(Duration::from_secs(25), 40).await;
        all.wait_until_due().await;
        // NB: what an entry with a wrong clock has served itself counts in another window.
        assert_eq!(all.windows_off_by(0.05), NOTHING);
        all.assert_one_voice();
    });
}

#[test]
fn all_that_start_anew_go_on_under_a_higher_number() {
    play(|world| async move {
        let mut all = Deployment::start(&world, 3).await;
        all.ask_for(Duration::from_secs(12), 40).await;
        let before = world.usage_sink.taken().last().expect("a report").call.fencing_token;
        for _ in 0..3 {
            all.end(0);
        }
        world.usage_sink.cut(None);
        all.net.cut.borrow_mut().clear();
        let at_start = START_MS + all.started.elapsed().as_millis() as u64;
        all.entries = all.net.start_many(&world, 3, USAGE);
        all.entries.iter().for_each(|entry| entry.pretend_unix_ms(at_start));
        all.asked.clear();
        sleep(Duration::from_millis(WINDOW_MS)).await;
        all.ask_for(Duration::from_secs(15), 40).await;
        all.wait_until_due().await;
        let first = *all.asked.keys().next().expect("some were asked");
        all.asked.remove(&first);
        assert_eq!(all.windows_off_by(0.0), NOTHING);
        assert!(world.usage_sink.taken().last().expect("a report").call.fencing_token > before);
        all.assert_one_voice();
    });
}

#[test]
fn a_record_of_another_writer_is_left_alone_and_logged() {
    play(|world| async move {
        world.store.put("pondwalk/usage-reporter", "no record");
        let mut all = Deployment::start(&world, 3).await;
        all.ask_for(Duration::from_secs(10), 20).await;
        all.wait_until_due().await;
        assert_eq!(world.usage_sink.calls(), 0);
        let logged = |entry: &Entry| entry.gathered_lines().contains("usage_record_unreadable");
        assert!(total(&all.entries, "pondwalk_requests_total") > 0);
        assert!(all.entries.iter().any(logged));
    });
}

/// The store is away for a while and comes back from a copy.
async fn restore(world: &World, copy: &StoreCopy) {
    // NB: as long as writers wait for an answer.
    world.store.set_weather(Weather::Silent(Duration::from_secs(1)));
    sleep(Duration::from_millis(2_400)).await;
    world.store.restore(copy.clone());
    world.store.set_weather(Weather::Fair);
}

#[test]
fn usage_is_reported_on_in_one_voice_where_the_store_loses_the_record() {
    for copy_after_s in [1, 6, 11] {
        play(|world| async move {
            let mut all = Deployment::start(&world, 5).await;
            all.ask_for(Duration::from_secs(copy_after_s), 20).await;
            let copy = world.store.copy();
            all.ask_for(Duration::from_secs(9), 20).await;
            restore(&world, &copy).await;
            all.ask_for(Duration::from_secs(25), 20).await;
            all.wait_until_due().await;
            all.assert_one_voice();
            // NB: a window that ended while the store was away may have been reported by somebody unknown.
            let off = all.windows_off_by(0.0);
            assert!(off.len() <= 1, "copy after {copy_after_s} s: {off:?}");
            assert!(off.iter().all(|(_, _, told)| told.is_none()), "{off:?}");
        });
    }
}

#[test]
fn no_window_is_reported_in_two_ways_where_the_holder_ends_as_the_store_loses_the_record() {
    for copy_after_s in [1, 6, 11] {
        play(|world| async move {
            let mut all = Deployment::start(&world, 5).await;
            all.ask_for(Duration::from_secs(copy_after_s), 20).await;
            let copy = world.store.copy();
            all.ask_for(Duration::from_secs(9), 20).await;
            let holder = all.holder();
            all.end(holder);
            restore(&world, &copy).await;
            all.ask_for(Duration::from_secs(25), 20).await;
            all.wait_until_due().await;
            all.assert_one_voice();
        });
    }
}

#[test]
fn no_number_is_used_by_two_holders_where_nobody_remembers_what_the_store_lost() {
    for copy_after_s in [1, 6, 11] {
        play(|world| async move {
            let mut all = Deployment::start(&world, 4).await;
            all.ask_for(Duration::from_secs(copy_after_s), 20).await;
            let copy = world.store.copy();
            let holder = all.holder();
            all.end(holder);
            all.ask_for(Duration::from_secs(14), 20).await;
            while !all.entries.is_empty() {
                all.end(0);
            }
            restore(&world, &copy).await;
            all.entries = (10..14).map(|n| all.net.start_with(&world, n, USAGE)).collect();
            let now_ms = START_MS + all.started.elapsed().as_millis() as u64;
            all.entries.iter().for_each(|entry| entry.pretend_unix_ms(now_ms));
            sleep(Duration::from_secs(10)).await;
            all.ask_for(Duration::from_secs(15), 20).await;
            all.wait_until_due().await;
            let broken = world.usage_sink.broken();
            let of_numbers = broken.iter().filter(|rule| rule.contains("the number"));
            assert_eq!(of_numbers.count(), 0, "{broken:?}");
        });
    }
}
