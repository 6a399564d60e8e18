//! Time of the quarantine's check of a request, and of recording a success, by whole contents alone
//! and with the parts of prompts.

// NB: the macros below generate functions without documentation.
#![allow(missing_docs)]

use std::{hint::black_box, rc::Rc, time::Duration};

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use pondwalk_decide::direct::{
    EndedRun, FeatureHash, Quarantine, RunExtent, ServerCrash, part_feature,
};

/// Recorded crashes, of as many requests.
const CRASHES: u64 = 1_000;
/// Requests in the window in which successes are remembered, at 33 a second.
const REQUESTS: u64 = 10_000;
/// Prompt parts that requests share.
const SHARED_PARTS: u64 = 600;
thread_local! {
    static SERVICE: Rc<str> = Rc::from("language");
}
const NOW: Duration = Duration::from_secs(1_000);

/// Features of a request: its content, and two parts.
fn features(request: u64) -> [FeatureHash; 3] {
    let part = |part| part_feature("language", part);
    [u128::from(request), part(request % 8), part(8 + request % SHARED_PARTS)]
}

fn quarantine(features_of: impl Fn(u64) -> Vec<FeatureHash>) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for id in 0..CRASHES {
        let feature = u128::from(1 << 40 | id);
        let crash = ServerCrash { feature, id, server: id, in_common_loss: false, on_probe: false };
        quarantine.record_crash(crash, NOW, NOW);
    }
    for request in 0..REQUESTS {
        for feature in features_of(request) {
            quarantine.record_success(feature, NOW);
        }
    }
    quarantine
}

fn checks(criterion: &mut Criterion) {
    let contents = quarantine(|request| features(request)[..1].to_vec());
    let parts = quarantine(|request| features(request).to_vec());
    let asked = features(REQUESTS + 1);
    let mut group = criterion.benchmark_group("quarantine");
    group.bench_function("check/content", |bencher| {
        bencher.iter(|| contents.check(black_box(&asked[..1]), NOW));
    });
    group.bench_function("check/content_and_parts", |bencher| {
        bencher.iter(|| parts.check(black_box(&asked), NOW));
    });
    group.bench_function("features", |bencher| {
        bencher.iter(|| features(black_box(REQUESTS + 1)));
    });
    group.finish();
}

/// Records an ended run of a request, and settles the runs that are due each tenth of a second.
fn record_success(quarantine: &mut Quarantine, features: &[FeatureHash], request: u64) {
    let now = NOW + Duration::from_millis(10 * (request - REQUESTS));
    if !quarantine.knows_success_of(features) {
        let run = EndedRun {
            request: request.to_string(),
            features: features.to_vec(),
            probed: Vec::new(),
            extent: RunExtent::Whole,
            took: Duration::from_secs(1),
            service: SERVICE.with(Rc::clone),
            server: "s1".into(),
            server_hash: 1,
            version: "v1".into(),
            kind: "k".into(),
            address: ([127, 0, 0, 1], 1).into(),
            may_be_leaving: false,
        };
        quarantine.record_ended_run(run, now);
    }
    if request.is_multiple_of(10) {
        for run in quarantine.take_due_runs(now) {
            quarantine.settle_run(&run, now);
        }
    }
}

fn successes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("quarantine");
    for (name, count) in [("success/content", 1), ("success/content_and_parts", 3)] {
        group.bench_function(name, |bencher| {
            bencher.iter_batched_ref(
                || quarantine(|request| features(request)[..count].to_vec()),
                |quarantine| {
                    for request in REQUESTS..REQUESTS + 100 {
                        let features = black_box(features(request));
                        record_success(quarantine, &features[..count], request);
                    }
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, checks, successes);
criterion_main!(benches);
