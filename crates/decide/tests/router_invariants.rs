//! Property test: no sequence of events makes the router violate its invariants.
//!
//! Checks after every decision that the version is allowed and not withdrawn, the server hosts it
//! and accepts work, requests that may not repeat run once, and sessions keep their version.

use std::{collections::BTreeMap, time::Duration};

use pondwalk_decide::{
    FinishedRun, InFlightRequest, NextAction, PlannedRun, Request, Router, ServerReport,
};
use pondwalk_types::{
    Executed, Policy, Price, Refusal, RollOut, TaskPolicy, VersionSpec, VersionState,
    WorkspacePolicy,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const VERSIONS: [&str; 4] = ["small/1", "medium/1", "medium/2", "large/1"];
const WORKSPACES: [&str; 3] = ["a", "b", "c"];
const TASKS: [&str; 2] = ["quote", "draft"];
const SERVERS: u8 = 6;

/// An event applied to the router.
#[derive(Debug, Clone)]
enum Op {
    Request { workspace: u8, task: u8, session: Option<u8>, repeatable: bool, streaming: bool },
    UpdateServer { server: u8, version: u8 },
    DrainServer { server: u8 },
    Withdraw { version: u8 },
    Allow { workspace: u8, versions: u8 },
    RollOut,
    EndRun { request: u8, outcome: u8 },
    Wait { ms: u16 },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let byte = |g: &mut Gen| u8::arbitrary(g);
        match byte(g) % 16 {
            0..=5 => Op::Request {
                workspace: byte(g) % 3,
                task: byte(g) % 2,
                session: bool::arbitrary(g).then(|| byte(g) % 4),
                repeatable: bool::arbitrary(g),
                streaming: bool::arbitrary(g),
            },
            6 => Op::UpdateServer { server: byte(g) % SERVERS, version: byte(g) % 4 },
            7 => Op::DrainServer { server: byte(g) % SERVERS },
            8 => Op::Withdraw { version: byte(g) % 4 },
            9 => Op::Allow { workspace: byte(g) % 3, versions: byte(g) },
            10 => Op::RollOut,
            11 => Op::Wait { ms: u16::arbitrary(g) % 4_000 },
            _ => Op::EndRun { request: byte(g), outcome: byte(g) % 8 },
        }
    }
}

/// A request in flight and its history.
struct OpenRequest {
    in_flight: InFlightRequest,
    run: PlannedRun,
    workspace: usize,
    session: Option<u8>,
    repeatable: bool,
    may_have_run: bool,
    awaiting_rating: bool,
}

struct Simulation {
    router: Router,
    rng: Pcg64Mcg,
    policy: Policy,
    generation: u64,
    now: Duration,
    hosts: BTreeMap<String, (String, bool)>,
    pins: BTreeMap<(usize, u8), String>,
    open: Vec<OpenRequest>,
}

impl Simulation {
    fn new() -> Self {
        let mut policy = Policy::default();
        for (index, version) in VERSIONS.iter().enumerate() {
            let price = 10_f64.powi(index as i32);
            let price = Price { prompt_per_1k_tokens: price, output_per_1k_tokens: price };
            let spec = VersionSpec { price, state: VersionState::Live };
            policy.versions.insert((*version).to_owned(), spec);
        }
        for workspace in WORKSPACES {
            let mut workspace_policy = WorkspacePolicy {
                allowed_versions: VERSIONS.iter().map(|v| (*v).to_owned()).collect(),
                ..WorkspacePolicy::default()
            };
            let target = TaskPolicy { quality_target: 0.7, target_share: 0.9 };
            workspace_policy.tasks.insert("draft".to_owned(), target);
            policy.workspaces.insert(workspace.to_owned(), workspace_policy);
        }
        let mut router = Router::new("dc1");
        router.install(1, &policy);
        let mut simulation = Simulation {
            router,
            rng: Pcg64Mcg::seed_from_u64(1),
            policy,
            generation: 1,
            now: Duration::ZERO,
            hosts: BTreeMap::new(),
            pins: BTreeMap::new(),
            open: Vec::new(),
        };
        (0..SERVERS).for_each(|server| simulation.update_server(server, server % 4));
        simulation
    }

    fn install(&mut self) {
        self.generation += 1;
        assert!(self.router.install(self.generation, &self.policy));
        let stale = self.router.install(self.generation, &Policy::default());
        assert!(!stale, "a generation that is not newer was installed");
    }

    fn update_server(&mut self, server: u8, version: u8) {
        let name = format!("s{server}");
        let version = VERSIONS[usize::from(version)].to_owned();
        let report = ServerReport {
            server: name.clone(),
            data_centre: "dc1".to_owned(),
            versions: vec![version.clone()],
            slots: 2,
            load: None,
        };
        self.router.update_server(self.now, &report);
        self.hosts.insert(name, (version, true));
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Request { workspace, task, session, repeatable, streaming } => {
                self.begin_request(workspace, task, session, repeatable, streaming);
            }
            Op::UpdateServer { server, version } => self.update_server(server, version),
            Op::DrainServer { server } => {
                let name = format!("s{server}");
                self.router.deactivate_server(&name);
                self.hosts.entry(name).and_modify(|host| host.1 = false);
            }
            Op::Withdraw { version } => {
                let version = VERSIONS[usize::from(version)];
                let spec = self.policy.versions.get_mut(version).expect("a version");
                spec.state = VersionState::Withdrawn;
                self.install();
            }
            Op::Allow { workspace, versions } => {
                let name = WORKSPACES[usize::from(workspace)];
                let allowed = VERSIONS.iter().enumerate();
                let allowed = allowed.filter(|(index, _)| versions & (1 << index) != 0);
                let allowed = allowed.map(|(_, version)| (*version).to_owned()).collect();
                let workspace_policy = self.policy.workspaces.get_mut(name).expect("a workspace");
                workspace_policy.allowed_versions = allowed;
                self.install();
            }
            Op::RollOut => {
                let roll_out = RollOut { version: "medium/2".into(), replaces: "medium/1".into() };
                self.policy.roll_outs = vec![roll_out];
                self.install();
            }
            Op::EndRun { request, outcome } => self.end_run(request, outcome),
            Op::Wait { ms } => self.now += Duration::from_millis(ms.into()),
        }
    }

    fn begin_request(
        &mut self,
        workspace: u8,
        task: u8,
        session: Option<u8>,
        repeatable: bool,
        streaming: bool,
    ) {
        let workspace = usize::from(workspace);
        let name = session.map(|session| format!("session{session}"));
        let request = Request {
            workspace: WORKSPACES[workspace],
            task: TASKS[usize::from(task)],
            session: name.as_deref(),
            pin: None,
            service: None,
            version: None,
            prompt_tokens: 100,
            prefix: session.map(u64::from),
            arrived: self.now,
            deadline: self.now + Duration::from_secs(5),
            repeatable,
            streaming,
        };
        if let Ok((in_flight, run)) = self.router.begin(self.now, &mut self.rng, &request) {
            let open = OpenRequest {
                in_flight,
                run,
                workspace,
                session,
                repeatable,
                may_have_run: false,
                awaiting_rating: false,
            };
            self.check(&open);
            self.open.push(open);
        }
    }

    /// Checks the invariants of a planned run.
    fn check(&mut self, open: &OpenRequest) {
        let PlannedRun { version, server, .. } = &open.run;
        let workspace_policy = &self.policy.workspaces[WORKSPACES[open.workspace]];
        assert!(workspace_policy.allowed_versions.contains(version), "{version} is not allowed");
        let state = self.policy.versions[version].state;
        assert_ne!(state, VersionState::Withdrawn, "{version} is withdrawn");
        let (hosted, is_open) = &self.hosts[server];
        assert!(*is_open, "{server} is draining");
        assert_eq!(hosted, version, "{server} hosts another version");
        assert!(
            open.repeatable || !open.may_have_run,
            "a request that may not repeat would run twice"
        );
        if let Some(session) = open.session {
            let pin = self.pins.insert((open.workspace, session), version.clone());
            if let Some(pin) = pin.filter(|pin| pin != version) {
                let tripped = self.router.trial(&pin).is_some_and(|t| t.tripped_at().is_some());
                let is_unavailable = tripped
                    || self.policy.versions[&pin].state == VersionState::Withdrawn
                    || !workspace_policy.allowed_versions.contains(&pin);
                assert!(is_unavailable, "session moved from {pin} to {version}");
            }
        }
    }

    fn end_run(&mut self, request: u8, outcome: u8) {
        if self.open.is_empty() {
            return;
        }
        let mut open = self.open.swap_remove(usize::from(request) % self.open.len());
        let next = self.apply_outcome(&mut open, outcome);
        match next {
            NextAction::Run(run) => {
                open.run = run;
                open.awaiting_rating = false;
                self.check(&open);
                self.open.push(open);
            }
            NextAction::AwaitRating(_) => {
                open.awaiting_rating = true;
                self.open.push(open);
            }
            NextAction::Deliver => {
                assert!(self.router.on_delivered(self.now, &mut open.in_flight).is_some());
            }
            NextAction::Refuse(_) => {}
        }
    }

    fn apply_outcome(&mut self, open: &mut OpenRequest, outcome: u8) -> NextAction {
        let (now, rng, in_flight) = (self.now, &mut self.rng, &mut open.in_flight);
        if open.awaiting_rating {
            let rating = match outcome % 3 {
                0 => None,
                quality => Some((f64::from(quality) * 0.4, Duration::from_millis(100))),
            };
            return self.router.on_rating(now, rng, in_flight, rating);
        }
        match outcome {
            0 => self.router.on_run_refused(now, rng, in_flight, Refusal::Draining),
            1 => {
                open.may_have_run = true;
                self.router.on_run_failed(
                    now,
                    rng,
                    in_flight,
                    Executed::Unknown,
                    0.0,
                    Refusal::ContactLost,
                )
            }
            2 => {
                open.may_have_run = true;
                self.router.on_run_failed(
                    now,
                    rng,
                    in_flight,
                    Executed::Yes,
                    0.0,
                    Refusal::BackendFailed,
                )
            }
            _ => {
                open.may_have_run = true;
                let service_time = Duration::from_millis(200 * u64::from(outcome));
                self.router.on_run_finished(
                    now,
                    in_flight,
                    FinishedRun { output_tokens: 50, service_time },
                )
            }
        }
    }
}

#[test]
fn no_sequence_of_events_violates_the_invariants() {
    fn property(ops: Vec<Op>) -> bool {
        let mut simulation = Simulation::new();
        ops.iter().for_each(|op| simulation.apply(op));
        true
    }
    const SIZE: usize = 400;
    const SEED: u64 = 20_261_202;
    let source = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new().rng(source).tests(400).quickcheck(property as fn(Vec<Op>) -> bool);
}
