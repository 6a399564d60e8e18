//! Prints the measurements for docs/CAPACITY.md: memory, CPU time, messages and store calls.
//!
//! Memory is measured by the allocator, CPU time by the kernel's accounting of the roles' threads, and
//! store calls by the stand-in store.

use std::{
    alloc::System,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use cap::Cap;
use pondwalk_decide::{FinishedRun, Request, Router, ServerReport};
use pondwalk_demo::{
    bench::{self, BenchPlan},
    deployment::{Deployment, Plan, ServerPlan},
    faults::fault_plan,
    load::{ExchangeLog, Load, TaskPlan, WorkspacePlan},
};
use pondwalk_ledger::{Bill, BillBuffer, BillItem};
use pondwalk_standin::VersionProfile;
use pondwalk_types::{Policy, Price, TaskPolicy, VersionSpec, VersionState, WorkspacePolicy};
use pondwalk_wire::{AgentSnapshot, Configuration, FetchFrames, FrameBatch};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

#[global_allocator]
static ALLOCATED: Cap<System> = Cap::new(System, usize::MAX);

const TASKS: usize = 3;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    router_state();
    configuration_costs();
    bill_and_message_sizes();
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(cpu_time())?;
    runtime.block_on(store_calls())?;
    Ok(())
}

fn policy(versions: usize, workspaces: usize) -> Policy {
    let mut policy = Policy::default();
    for version in 0..versions {
        let price = 0.1 * 1.4_f64.powi(version as i32);
        let price = Price { prompt_per_1k_tokens: price, output_per_1k_tokens: 3.0 * price };
        let spec = VersionSpec { price, state: VersionState::Live };
        policy.versions.insert(format!("model{version}/1"), spec);
    }
    for workspace in 0..workspaces {
        let mut rights = WorkspacePolicy {
            allowed_versions: policy.versions.keys().cloned().collect(),
            ..WorkspacePolicy::default()
        };
        for task in 0..TASKS {
            let target = TaskPolicy { quality_target: 0.7, target_share: 0.9 };
            rights.tasks.insert(format!("task{task}"), target);
        }
        rights.keys_sha256.insert(format!("{workspace:064x}"));
        policy.workspaces.insert(format!("workspace{workspace}"), rights);
    }
    policy
}

/// Returns a router that has served every version on every task, and this number of sessions.
fn router(servers: usize, versions: usize, workspaces: usize, sessions: usize) -> Router {
    let mut router = Router::new("dc1");
    router.install(1, &policy(versions, workspaces));
    for server in 0..servers {
        let report = ServerReport {
            server: format!("server{server}"),
            data_centre: format!("dc{}", server % 11),
            versions: vec![format!("model{}/1", server % versions)],
            slots: 16,
            load: Some(3),
        };
        router.update_server(Duration::ZERO, &report);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for n in 0..sessions.max(versions * TASKS * 4) {
        run_request(&mut router, &mut rng, n, workspaces, versions, sessions > 0);
    }
    router
}

fn run_request(
    router: &mut Router,
    rng: &mut Pcg64Mcg,
    n: usize,
    workspaces: usize,
    versions: usize,
    in_session: bool,
) {
    let now = Duration::from_millis(n as u64);
    let workspace = format!("workspace{}", n % workspaces);
    let task = format!("task{}", n % TASKS);
    let session = format!("session-{n:024}");
    let version = format!("model{}/1", n % versions);
    let request = Request {
        workspace: &workspace,
        task: &task,
        session: in_session.then_some(session.as_str()),
        pin: None,
        service: None,
        version: Some(&version),
        prompt_tokens: 800,
        prefix: None,
        arrived: now,
        deadline: now + Duration::from_secs(9),
        repeatable: true,
        streaming: false,
    };
    if let Ok((mut flight, _)) = router.begin(now, rng, &request) {
        let service_time = Duration::from_millis(500);
        router.on_run_finished(now, &mut flight, FinishedRun { output_tokens: 100, service_time });
        router.on_delivered(now, &mut flight);
    }
}

/// Returns the number of bytes that the built value occupies.
fn bytes_of<T>(build: impl FnOnce() -> T) -> f64 {
    let before = ALLOCATED.allocated();
    let built = build();
    let after = ALLOCATED.allocated();
    drop(built);
    after.saturating_sub(before) as f64
}

fn router_state() {
    println!("state of an entry's router, bytes");
    let slope = |few: f64, many: f64, step: f64| (many - few) / step;
    let base = bytes_of(|| router(16, 4, 4, 0));
    println!("  16 servers, 4 versions, 4 workspaces   {base:>12.0}");
    let servers = slope(base, bytes_of(|| router(1_616, 4, 4, 0)), 1_600.0);
    println!("  each server                            {servers:>12.0}");
    let versions = slope(base, bytes_of(|| router(16, 16, 4, 0)), 12.0);
    println!("  each version (with {TASKS} tasks)            {versions:>12.0}");
    let workspaces = slope(base, bytes_of(|| router(16, 4, 404, 0)), 400.0);
    println!("  each workspace                         {workspaces:>12.0}");
    let few = bytes_of(|| router(16, 4, 4, 1_000));
    let sessions = slope(few, bytes_of(|| router(16, 4, 4, 21_000)), 20_000.0);
    println!("  each session remembered                {sessions:>12.0}");
}

fn configuration_costs() {
    const REPEATS: u32 = 50;
    println!("configurations of 15 versions");
    for workspaces in [10, 100, 400] {
        let policy = policy(15, workspaces);
        let json = serde_json::to_vec(&policy).unwrap_or_default().len();
        let mut router = Router::new("dc1");
        let started = Instant::now();
        for generation in 1..=REPEATS {
            router.install(generation.into(), &policy);
        }
        let each_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS);
        println!(
            "  {workspaces:>4} workspaces: {json:>8} bytes in the store, {each_us:>8.0} us to install"
        );
    }
}

fn bill_and_message_sizes() {
    const BILLS: usize = 20_000;
    let bill = |n: usize| Bill {
        request: format!("{n:032x}"),
        workspace: "workspace-17".to_owned(),
        items: vec![BillItem {
            version: "medium/2".to_owned(),
            prompt_tokens: 900,
            output_tokens: 260,
            cost: 0.84,
        }],
    };
    let buffer_bytes = bytes_of(|| {
        let mut buffer = BillBuffer::new(1);
        (0..BILLS).for_each(|n| buffer.add(bill(n)));
        buffer
    });
    println!("bills and messages, bytes");
    println!("  each bill waiting at an entry          {:>12.0}", buffer_bytes / BILLS as f64);
    let text = serde_json::to_vec(&bill(1)).unwrap_or_default().len();
    println!("  each bill in the store                 {text:>12}");
    let snapshot = AgentSnapshot {
        incarnation: 1,
        generation: 1,
        load: 1,
        hosting_changes: 0,
        draining: false,
        tripped: Vec::new(),
    };
    let batch = FrameBatch { snapshot, frames: Vec::new() };
    let fetch = FetchFrames { entry: 1, acknowledged: 1, wait: Duration::from_secs(5) };
    let size = |bytes: Result<u64, _>| bytes.unwrap_or_default();
    let both = size(bincode::serialized_size(&batch)) + size(bincode::serialized_size(&fetch));
    println!("  a call for frames and its empty reply  {both:>12}  (without tarpc's own some 90)");
    let policy = policy(15, 400);
    let configuration = Configuration { generation: 1, policy };
    let pushed = size(bincode::serialized_size(&configuration));
    println!("  a configuration of 400 workspaces      {pushed:>12}");
}

async fn cpu_time() -> Result<(), bench::BenchError> {
    println!("processor time of entry and agent together, us");
    let plan = |tokens, rate| BenchPlan {
        rate,
        length: Duration::from_secs(4),
        tokens,
        token: Duration::from_millis(5),
    };
    let few = bench::run(&plan(10, 200.0)).await?.cpu_per_request_us();
    let many = bench::run(&plan(110, 200.0)).await?.cpu_per_request_us();
    println!("  each token                             {:>12.1}", (many - few) / 100.0);
    println!("  each request of 10 tokens              {few:>12.0}");
    Ok(())
}

async fn store_calls() -> Result<(), Box<dyn std::error::Error>> {
    println!("calls to the store a second, a waiting watch counted once");
    println!("  processes  entries  agents   idle reads writes   load reads writes  bills");
    for (entries, agents) in [(1, 3), (8, 32), (40, 160)] {
        let deployment = Deployment::start(&fleet_plan(entries, agents)).await?;
        if !deployment.wait_ready(Duration::from_secs(60)).await {
            return Err("the fleet did not become ready".into());
        }
        tokio::time::sleep(Duration::from_secs(6)).await;
        let idle = calls_during(&deployment, Duration::from_secs(20), None).await;
        let log = ExchangeLog::default();
        let loaded = calls_during(&deployment, Duration::from_secs(20), Some(&log)).await;
        println!(
            "  {:>9}  {entries:>7}  {agents:>6}  {:>11.2} {:>6.2}  {:>11.2} {:>6.2}  {:>5}",
            entries + agents,
            idle.0,
            idle.1,
            loaded.0,
            loaded.1,
            log.len()
        );
        tokio::task::spawn_blocking(move || drop(deployment)).await?;
    }
    Ok(())
}

/// Returns reads and writes of the store per second during `length`, optionally under load.
async fn calls_during(
    deployment: &Deployment,
    length: Duration,
    load: Option<&ExchangeLog>,
) -> (f64, f64) {
    let before = deployment.kv.store.counts();
    match load {
        Some(log) => {
            let entries = deployment.entry_addresses();
            steady_load().run(length, log, || entries.clone()).await;
        }
        None => tokio::time::sleep(length).await,
    }
    let after = deployment.kv.store.counts();
    let per_second = |count: u64| count as f64 / length.as_secs_f64();
    (per_second(after.reads - before.reads), per_second(after.writes - before.writes))
}

fn steady_load() -> Load {
    let task = TaskPlan {
        task: "note",
        weight: 1.0,
        deadline: Duration::from_secs(10),
        repeatable: true,
        in_session: 0.0,
        streaming: 0.0,
        service: None,
    };
    let workspace =
        WorkspacePlan { workspace: "one".to_owned(), key: "key of one".to_owned(), weight: 1.0 };
    Load { tasks: vec![task], workspaces: vec![workspace], rate: 40.0, seed: 1 }
}

fn fleet_plan(entries: usize, agents: usize) -> Plan {
    let profile = VersionProfile {
        first_token: Duration::from_millis(20),
        token: Duration::from_millis(5),
        tokens: 10,
        quality: 0.9,
    };
    let servers = (0..agents).map(|number| ServerPlan {
        server: format!("b{number}"),
        data_centre: format!("dc{}", number % 3 + 1),
        versions: BTreeMap::from([("small/1".to_owned(), profile)]),
        loaded: None,
        service: None,
        slots: 16,
    });
    Plan { servers: servers.collect(), entries, ..fault_plan() }
}
