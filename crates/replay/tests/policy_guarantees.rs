//! Small traces, one for each promise or failure, written for what must come out.

use std::{fmt::Write, path::Path};

use pondwalk_config::{Outcomes, RawFile, ReplaySettings};
use pondwalk_replay::{PolicyName, Report, Trace, replay};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SETTINGS: &str = "[replay]\nrating_delay_ms = 100\ndefault_workspace = any\n\
    [version small/*]\nprompt_price_per_1k_tokens = 1\noutput_price_per_1k_tokens = 1\n\
    [version large/*]\nprompt_price_per_1k_tokens = 20\noutput_price_per_1k_tokens = 20\n\
    [workspace any]\nallowed_versions = small/1, large/1\nallowed_services = *\n\
    task.draft.quality_target = 0.7\ntask.draft.target_share = 0.9\n";

/// A trace under construction.
struct Script {
    lines: Vec<(u64, String)>,
    rng: Pcg64Mcg,
    requests: u64,
}

impl Script {
    fn new() -> Self {
        let mut script = Script { lines: Vec::new(), rng: Pcg64Mcg::seed_from_u64(3), requests: 0 };
        for server in 0..4 {
            let version = if server < 2 { "small/1" } else { "large/1" };
            script.server(0, server, &[version]);
        }
        script
    }

    fn server(&mut self, at_ms: u64, server: u32, versions: &[&str]) {
        let versions = format!("{versions:?}");
        self.event(
            at_ms,
            &format!(r#""kind":"server","server":"b{server}","data_centre":"d","versions":{versions},"slots":4"#),
        );
    }

    fn event(&mut self, at_ms: u64, fields: &str) {
        self.lines.push((at_ms, format!(r#"{{"at_ms":{at_ms},{fields}}}"#)));
    }

    /// A request whose small answer is good in 6 of 10 cases, and whose large one always is.
    fn request(&mut self, at_ms: u64, session: Option<&str>, repeatable: bool, new_quality: f64) {
        self.requests += 1;
        let id = self.requests;
        let small = if self.rng.random::<f64>() < 0.6 { 0.8 } else { 0.5 };
        let session = session.map_or("null".to_owned(), |session| format!("\"{session}\""));
        let key = if repeatable { "null".to_owned() } else { format!("\"k{id}\"") };
        let outcome = |service_ms: u64, quality: f64| {
            format!(
                r#"{{"output_tokens":100,"service_ms":{service_ms},"quality":{quality},"failed":false}}"#
            )
        };
        self.event(
            at_ms,
            &format!(
                r#""kind":"request","request":"r{id}","workspace":"w","task":"draft","session":{session},"prompt_tokens":100,"prefix":null,"deadline_ms":5000,"repeatable":{repeatable},"idempotency_key":{key},"outcomes":{{"small/1":{},"large/1":{},"small/2":{}}}"#,
                outcome(300, small),
                outcome(900, 0.95),
                outcome(300, new_quality)
            ),
        );
    }

    fn run(mut self, policy: &str) -> Report {
        self.lines.sort_by_key(|(at_ms, _)| *at_ms);
        let mut text = String::new();
        for (_, line) in &self.lines {
            writeln!(text, "{line}").expect("writes to a string");
        }
        let trace = Trace::parse("script", &text).expect("a good trace");
        let settings = RawFile::parse(Path::new("settings"), SETTINGS).expect("INI");
        let settings = ReplaySettings::try_from(settings).expect("good settings");
        let policy = PolicyName::parse(policy).expect("a policy");
        replay("script", &trace, &settings, policy, 1).expect("replayed")
    }
}

#[test]
fn the_target_is_met_for_less_than_the_best_version_costs() {
    let script = || {
        let mut script = Script::new();
        (0..400).for_each(|n| script.request(1_000 + n * 250, None, true, 0.0));
        script
    };
    let (ours, best) = (script().run("pondwalk"), script().run("best"));
    assert_eq!(ours.total.answered_on_time, 400);
    assert!(ours.total.target_met >= 360, "{} of 400 met", ours.total.target_met);
    assert!(ours.total.cost < 0.6 * best.total.cost, "{} and {}", ours.total.cost, best.total.cost);
}

#[test]
fn a_withdrawn_version_gets_no_new_work_and_its_sessions_restart() {
    let mut script = Script::new();
    for n in 0..200 {
        let session = format!("s{}", n % 8);
        script.request(1_000 + n * 100, Some(&session), true, 0.0);
    }
    script.event(9_000, r#""kind":"withdraw","version":"large/1""#);
    let report = script.run("pondwalk");
    assert_eq!(report.total.withdrawn_runs, 0);
    assert_eq!(report.total.session_moves, 0);
    assert_eq!(report.total.answered, 200);
}

#[test]
fn a_leaving_server_gets_no_work_and_its_requests_are_answered() {
    let mut script = Script::new();
    (0..200).for_each(|n| script.request(1_000 + n * 50, None, true, 0.0));
    script.event(4_000, r#""kind":"leaving","server":"b0""#);
    script.event(9_000, r#""kind":"gone","server":"b0""#);
    let report = script.run("pondwalk");
    assert_eq!((report.total.leaving_runs, report.total.answered), (0, 200));
}

#[test]
fn what_may_not_be_repeated_runs_once_though_servers_vanish() {
    let mut script = Script::new();
    (0..200).for_each(|n| script.request(1_000 + n * 20, None, false, 0.0));
    script.event(2_000, r#""kind":"gone","server":"b0""#);
    script.event(3_000, r#""kind":"gone","server":"b2""#);
    let report = script.run("pondwalk");
    assert_eq!(report.total.ran_twice, 0);
    assert!(report.total.failed > 0, "some were cut, and said so");
    assert_eq!(report.total.answered + report.total.failed + report.total.refused_not_run, 200);
}

#[test]
fn without_the_store_a_claim_is_refused_and_nothing_runs() {
    let mut script = Script::new();
    script.event(500, r#""kind":"store","up":false"#);
    (0..10).for_each(|n| script.request(1_000 + n * 20, None, false, 0.0));
    script.event(5_000, r#""kind":"store","up":true"#);
    (0..10).for_each(|n| script.request(6_000 + n * 20, None, false, 0.0));
    let report = script.run("pondwalk");
    assert_eq!((report.total.refused_not_run, report.total.answered), (10, 10));
}

fn roll_out(new_quality: impl Fn(u64) -> f64) -> Report {
    let mut script = Script::new();
    (0..2).for_each(|server| script.server(5_000, server, &["small/1", "small/2"]));
    script.event(
        5_000,
        r#""kind":"allow","workspace":"w","versions":["small/1","large/1","small/2"]"#,
    );
    script.event(10_000, r#""kind":"roll_out","version":"small/2","replaces":"small/1""#);
    for n in 0..1_500 {
        let at_ms = 1_000 + n * 100;
        script.request(at_ms, None, true, new_quality(at_ms));
    }
    script.run("pondwalk")
}

#[test]
fn a_version_that_turns_bad_is_stopped_early() {
    let report = roll_out(|at_ms| if at_ms < 60_000 { 0.75 } else { 0.2 });
    let tripped = report.tripped_at["small/2"].expect("it trips");
    assert!(tripped.as_millis() >= 60_000, "not while it was good: {tripped:?}");
    let before = roll_out(|_| 0.75).exposed_requests["small/2"];
    let exposed = report.exposed_requests["small/2"];
    assert!(exposed < before, "{exposed} of {before}");
    assert_eq!(report.total.disallowed_runs, 0);
}

#[test]
fn a_good_version_is_not_stopped() {
    assert_eq!(roll_out(|_| 0.75).tripped_at["small/2"], None);
}

#[test]
fn without_ratings_a_new_version_does_not_widen() {
    let mut script = Script::new();
    (0..2).for_each(|server| script.server(0, server, &["small/1", "small/2"]));
    script.event(0, r#""kind":"allow","workspace":"w","versions":["small/1","small/2"]"#);
    (0..200).for_each(|n| script.request(100 + n * 100, None, true, 0.2));
    script.event(20_500, r#""kind":"rating","up":false"#);
    script.event(20_500, r#""kind":"roll_out","version":"small/2","replaces":"small/1""#);
    (0..1_000).for_each(|n| script.request(21_000 + n * 50, None, true, 0.2));
    let report = script.run("pondwalk");
    let exposed = report.exposed_requests["small/2"];
    assert!((1..50).contains(&exposed), "{exposed} runs without a single rating");
}

#[test]
fn the_same_seed_gives_the_same_bytes() {
    let report = || {
        let mut script = Script::new();
        (0..100).for_each(|n| script.request(1_000 + n * 30, None, n % 3 > 0, 0.0));
        script.run("pondwalk").to_json().to_string()
    };
    assert_eq!(report(), report());
}

#[test]
fn stated_outcomes_are_checked_by_their_path() {
    let mut script = Script::new();
    (0..20).for_each(|n| script.request(1_000 + n * 300, None, true, 0.0));
    let report = script.run("cheapest");
    let text = "[outcome]\nrequests = == 20\nlatency_ms.p95 = < 10\n\
                tasks.draft.answered = >= 20\nworkspaces.w.nothing = >= 0\n";
    let raw = RawFile::parse(Path::new("outcomes"), text).expect("INI");
    let unmet = report.unmet(&Outcomes::try_from(raw).expect("good outcomes"));
    let paths: Vec<&str> = unmet.iter().map(|unmet| unmet.outcome.path.as_str()).collect();
    assert_eq!(paths, ["latency_ms.p95", "workspaces.w.nothing"]);
    assert!(unmet[0].to_string().contains("seen"), "{}", unmet[0]);
}
