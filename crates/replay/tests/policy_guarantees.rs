//! Guarantees of the policy, each checked by a small generated trace with a fault or a change.

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

/// Builds the text of a trace.
struct TraceBuilder {
    lines: Vec<(u64, String)>,
    rng: Pcg64Mcg,
    requests: u64,
}

impl TraceBuilder {
    fn new() -> Self {
        let mut builder =
            TraceBuilder { lines: Vec::new(), rng: Pcg64Mcg::seed_from_u64(3), requests: 0 };
        for server in 0..4 {
            let version = if server < 2 { "small/1" } else { "large/1" };
            builder.server(0, server, &[version]);
        }
        builder
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

    /// Adds a request. The answer of `small/1` meets the target in 6 of 10 cases, that of `large/1`
    /// always.
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
        let trace = Trace::parse("trace", &text).expect("a valid trace");
        let settings = RawFile::parse(Path::new("settings"), SETTINGS).expect("INI");
        let settings = ReplaySettings::try_from(settings).expect("valid settings");
        let policy = PolicyName::parse(policy).expect("a policy");
        replay("trace", &trace, &settings, policy, 1).expect("replayed")
    }
}

#[test]
fn quality_target_is_met_at_lower_cost_than_best_version() {
    let builder = || {
        let mut builder = TraceBuilder::new();
        (0..400).for_each(|n| builder.request(1_000 + n * 250, None, true, 0.0));
        builder
    };
    let (ours, best) = (builder().run("pondwalk"), builder().run("best"));
    assert_eq!(ours.total.answered_on_time, 400);
    assert!(ours.total.target_met >= 360, "{} of 400 met", ours.total.target_met);
    assert!(ours.total.cost < 0.6 * best.total.cost, "{} and {}", ours.total.cost, best.total.cost);
}

#[test]
fn withdrawn_version_gets_no_new_runs_and_sessions_restart() {
    let mut builder = TraceBuilder::new();
    for n in 0..200 {
        let session = format!("s{}", n % 8);
        builder.request(1_000 + n * 100, Some(&session), true, 0.0);
    }
    builder.event(9_000, r#""kind":"withdraw","version":"large/1""#);
    let report = builder.run("pondwalk");
    assert_eq!(report.total.withdrawn_runs, 0);
    assert_eq!(report.total.session_moves, 0);
    assert_eq!(report.total.answered, 200);
}

#[test]
fn leaving_server_gets_no_late_runs_and_all_requests_are_answered() {
    let mut builder = TraceBuilder::new();
    (0..200).for_each(|n| builder.request(1_000 + n * 50, None, true, 0.0));
    builder.event(4_000, r#""kind":"leaving","server":"b0""#);
    builder.event(9_000, r#""kind":"gone","server":"b0""#);
    let report = builder.run("pondwalk");
    assert_eq!((report.total.leaving_runs, report.total.answered), (0, 200));
}

#[test]
fn non_repeatable_requests_run_at_most_once_when_servers_disappear() {
    let mut builder = TraceBuilder::new();
    (0..200).for_each(|n| builder.request(1_000 + n * 20, None, false, 0.0));
    builder.event(2_000, r#""kind":"gone","server":"b0""#);
    builder.event(3_000, r#""kind":"gone","server":"b2""#);
    let report = builder.run("pondwalk");
    assert_eq!(report.total.ran_twice, 0);
    assert!(report.total.failed > 0, "no request is reported as interrupted");
    assert_eq!(report.total.answered + report.total.failed + report.total.refused_not_run, 200);
}

#[test]
fn non_repeatable_requests_are_refused_without_the_store() {
    let mut builder = TraceBuilder::new();
    builder.event(500, r#""kind":"store","up":false"#);
    (0..10).for_each(|n| builder.request(1_000 + n * 20, None, false, 0.0));
    builder.event(5_000, r#""kind":"store","up":true"#);
    (0..10).for_each(|n| builder.request(6_000 + n * 20, None, false, 0.0));
    let report = builder.run("pondwalk");
    assert_eq!((report.total.refused_not_run, report.total.answered), (10, 10));
}

fn roll_out(new_quality: impl Fn(u64) -> f64) -> Report {
    let mut builder = TraceBuilder::new();
    (0..2).for_each(|server| builder.server(5_000, server, &["small/1", "small/2"]));
    builder.event(
        5_000,
        r#""kind":"allow","workspace":"w","versions":["small/1","large/1","small/2"]"#,
    );
    builder.event(10_000, r#""kind":"roll_out","version":"small/2","replaces":"small/1""#);
    for n in 0..1_500 {
        let at_ms = 1_000 + n * 100;
        builder.request(at_ms, None, true, new_quality(at_ms));
    }
    builder.run("pondwalk")
}

#[test]
fn version_is_tripped_early_when_its_quality_drops() {
    let report = roll_out(|at_ms| if at_ms < 60_000 { 0.75 } else { 0.2 });
    let tripped = report.tripped_at["small/2"].expect("the version trips");
    assert!(tripped.as_millis() >= 60_000, "tripped before the quality dropped, at {tripped:?}");
    let before = roll_out(|_| 0.75).exposed_requests["small/2"];
    let exposed = report.exposed_requests["small/2"];
    assert!(exposed < before, "{exposed} of {before}");
    assert_eq!(report.total.disallowed_runs, 0);
}

#[test]
fn version_of_good_quality_is_not_tripped() {
    assert_eq!(roll_out(|_| 0.75).tripped_at["small/2"], None);
}

#[test]
fn roll_out_does_not_widen_without_ratings() {
    let mut builder = TraceBuilder::new();
    (0..2).for_each(|server| builder.server(0, server, &["small/1", "small/2"]));
    builder.event(0, r#""kind":"allow","workspace":"w","versions":["small/1","small/2"]"#);
    (0..200).for_each(|n| builder.request(100 + n * 100, None, true, 0.2));
    builder.event(20_500, r#""kind":"rating","up":false"#);
    builder.event(20_500, r#""kind":"roll_out","version":"small/2","replaces":"small/1""#);
    (0..1_000).for_each(|n| builder.request(21_000 + n * 50, None, true, 0.2));
    let report = builder.run("pondwalk");
    let exposed = report.exposed_requests["small/2"];
    assert!((1..50).contains(&exposed), "{exposed} runs without ratings");
}

#[test]
fn report_is_reproducible_for_a_seed() {
    let report = || {
        let mut builder = TraceBuilder::new();
        (0..100).for_each(|n| builder.request(1_000 + n * 30, None, n % 3 > 0, 0.0));
        builder.run("pondwalk").to_json().to_string()
    };
    assert_eq!(report(), report());
}

#[test]
fn expected_outcomes_are_checked_by_path() {
    let mut builder = TraceBuilder::new();
    (0..20).for_each(|n| builder.request(1_000 + n * 300, None, true, 0.0));
    let report = builder.run("cheapest");
    let text = "[outcome]\nrequests = == 20\nlatency_ms.p95 = < 10\n\
                tasks.draft.answered = >= 20\nworkspaces.w.nothing = >= 0\n";
    let raw = RawFile::parse(Path::new("outcomes"), text).expect("INI");
    let unmet = report.unmet(&Outcomes::try_from(raw).expect("valid outcomes"));
    let paths: Vec<&str> = unmet.iter().map(|unmet| unmet.outcome.path.as_str()).collect();
    assert_eq!(paths, ["latency_ms.p95", "workspaces.w.nothing"]);
    assert!(unmet[0].to_string().contains("found"), "{}", unmet[0]);
}
