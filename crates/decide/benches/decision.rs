//! Time of one routing decision with learned estimates, by the number of servers.

// NB: the macros below generate functions without documentation.
#![allow(missing_docs)]

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pondwalk_decide::{FinishedRun, Request, Router, ServerReport};
use pondwalk_types::{Policy, Price, TaskPolicy, VersionSpec, VersionState, WorkspacePolicy};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const VERSIONS: usize = 15;
const WORKSPACES: usize = 40;
const TASKS: usize = 3;
const WARM_UP_REQUESTS: usize = 5_000;

fn policy() -> Policy {
    let mut policy = Policy::default();
    for version in 0..VERSIONS {
        let price = 0.1 * 1.4_f64.powi(version as i32);
        let price = Price { prompt_per_1k_tokens: price, output_per_1k_tokens: 3.0 * price };
        let spec = VersionSpec { price, state: VersionState::Live };
        policy.versions.insert(format!("model{version}/1"), spec);
    }
    for workspace in 0..WORKSPACES {
        let mut workspace_policy = WorkspacePolicy {
            allowed_versions: policy.versions.keys().cloned().collect(),
            ..WorkspacePolicy::default()
        };
        for task in 0..TASKS {
            let target = TaskPolicy { quality_target: 0.7, target_share: 0.9 };
            workspace_policy.tasks.insert(format!("task{task}"), target);
        }
        policy.workspaces.insert(format!("workspace{workspace}"), workspace_policy);
    }
    policy
}

struct WarmRouter {
    router: Router,
    rng: Pcg64Mcg,
    names: Vec<(String, String)>,
    next: usize,
}

impl WarmRouter {
    fn new(servers: usize) -> Self {
        let mut router = Router::new("dc1");
        router.install(1, &policy());
        for server in 0..servers {
            let report = ServerReport {
                server: format!("server{server}"),
                data_centre: format!("dc{}", server % 11),
                versions: vec![format!("model{}/1", server % VERSIONS)],
                slots: 16,
                load: Some(3),
            };
            router.update_server(Duration::ZERO, &report);
        }
        let names = (0..WORKSPACES * TASKS)
            .map(|n| (format!("workspace{}", n % WORKSPACES), format!("task{}", n % TASKS)));
        let names = names.collect();
        let mut warm = WarmRouter { router, rng: Pcg64Mcg::seed_from_u64(1), names, next: 0 };
        (0..WARM_UP_REQUESTS).for_each(|_| warm.decide(true));
        warm
    }

    fn decide(&mut self, learn: bool) {
        self.next += 1;
        let now = Duration::from_millis(self.next as u64);
        let (workspace, task) = &self.names[self.next % self.names.len()];
        let request = Request {
            workspace,
            task,
            session: None,
            pin: None,
            service: None,
            version: None,
            prompt_tokens: 800,
            prefix: Some(self.next as u64 % 97),
            arrived: now,
            deadline: now + Duration::from_secs(9),
            repeatable: true,
            streaming: false,
        };
        let started = self.router.begin(now, &mut self.rng, black_box(&request));
        let Ok((mut in_flight, run)) = started else {
            return;
        };
        black_box(&run);
        if !learn {
            self.router.abandon(&mut in_flight, 0.0);
            return;
        }
        let service_time = Duration::from_millis(500);
        self.router.on_run_finished(
            now,
            &mut in_flight,
            FinishedRun { output_tokens: 100, service_time },
        );
        let quality = (self.next % 100) as f64 / 100.0;
        let rating = Some((quality, Duration::from_millis(100)));
        self.router.on_rating(now, &mut self.rng, &mut in_flight, rating);
        self.router.abandon(&mut in_flight, 0.0);
    }
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for servers in [20, 100, 400, 1_600] {
        let mut warm = WarmRouter::new(servers);
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter(|| warm.decide(false));
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
