//! Whatever the inputs and their order, no decision breaks a promise.

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

/// One thing that happens to a router.
#[derive(Debug, Clone)]
enum Op {
    Ask { workspace: u8, task: u8, session: Option<u8>, repeatable: bool, streaming: bool },
    Server { server: u8, version: u8 },
    Leaving { server: u8 },
    Withdraw { version: u8 },
    Allow { workspace: u8, versions: u8 },
    RollOut,
    End { flight: u8, how: u8 },
    Wait { ms: u16 },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let byte = |g: &mut Gen| u8::arbitrary(g);
        match byte(g) % 16 {
            0..=5 => Op::Ask {
                workspace: byte(g) % 3,
                task: byte(g) % 2,
                session: bool::arbitrary(g).then(|| byte(g) % 4),
                repeatable: bool::arbitrary(g),
                streaming: bool::arbitrary(g),
            },
            6 => Op::Server { server: byte(g) % SERVERS, version: byte(g) % 4 },
            7 => Op::Leaving { server: byte(g) % SERVERS },
            8 => Op::Withdraw { version: byte(g) % 4 },
            9 => Op::Allow { workspace: byte(g) % 3, versions: byte(g) },
            10 => Op::RollOut,
            11 => Op::Wait { ms: u16::arbitrary(g) % 4_000 },
            _ => Op::End { flight: byte(g), how: byte(g) % 8 },
        }
    }
}

/// A request under way, with what it is known to have done.
struct Open {
    flight: InFlightRequest,
    step: PlannedRun,
    workspace: usize,
    session: Option<u8>,
    repeatable: bool,
    may_have_run: bool,
    awaiting: bool,
}

struct World {
    router: Router,
    rng: Pcg64Mcg,
    policy: Policy,
    generation: u64,
    now: Duration,
    hosts: BTreeMap<String, (String, bool)>,
    pins: BTreeMap<(usize, u8), String>,
    open: Vec<Open>,
}

impl World {
    fn new() -> Self {
        let mut policy = Policy::default();
        for (index, version) in VERSIONS.iter().enumerate() {
            let price = 10_f64.powi(index as i32);
            let price = Price { prompt_per_1k_tokens: price, output_per_1k_tokens: price };
            let spec = VersionSpec { price, state: VersionState::Live };
            policy.versions.insert((*version).to_owned(), spec);
        }
        for workspace in WORKSPACES {
            let mut rights = WorkspacePolicy {
                allowed_versions: VERSIONS.iter().map(|v| (*v).to_owned()).collect(),
                ..WorkspacePolicy::default()
            };
            let target = TaskPolicy { quality_target: 0.7, target_share: 0.9 };
            rights.tasks.insert("draft".to_owned(), target);
            policy.workspaces.insert(workspace.to_owned(), rights);
        }
        let mut router = Router::new("dc1");
        router.install(1, &policy);
        let mut world = World {
            router,
            rng: Pcg64Mcg::seed_from_u64(1),
            policy,
            generation: 1,
            now: Duration::ZERO,
            hosts: BTreeMap::new(),
            pins: BTreeMap::new(),
            open: Vec::new(),
        };
        (0..SERVERS).for_each(|server| world.server(server, server % 4));
        world
    }

    fn install(&mut self) {
        self.generation += 1;
        assert!(self.router.install(self.generation, &self.policy));
        let stale = self.router.install(self.generation, &Policy::default());
        assert!(!stale, "a generation no newer must change nothing");
    }

    fn server(&mut self, server: u8, version: u8) {
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
            Op::Ask { workspace, task, session, repeatable, streaming } => {
                self.ask(workspace, task, session, repeatable, streaming);
            }
            Op::Server { server, version } => self.server(server, version),
            Op::Leaving { server } => {
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
                let rights = self.policy.workspaces.get_mut(name).expect("a workspace");
                rights.allowed_versions = allowed;
                self.install();
            }
            Op::RollOut => {
                let roll_out = RollOut { version: "medium/2".into(), replaces: "medium/1".into() };
                self.policy.roll_outs = vec![roll_out];
                self.install();
            }
            Op::End { flight, how } => self.end(flight, how),
            Op::Wait { ms } => self.now += Duration::from_millis(ms.into()),
        }
    }

    fn ask(
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
        if let Ok((flight, step)) = self.router.begin(self.now, &mut self.rng, &request) {
            let open = Open {
                flight,
                step,
                workspace,
                session,
                repeatable,
                may_have_run: false,
                awaiting: false,
            };
            self.check(&open);
            self.open.push(open);
        }
    }

    /// A step just decided keeps all promises.
    fn check(&mut self, open: &Open) {
        let PlannedRun { version, server, .. } = &open.step;
        let rights = &self.policy.workspaces[WORKSPACES[open.workspace]];
        assert!(rights.allowed_versions.contains(version), "{version} is not allowed");
        let state = self.policy.versions[version].state;
        assert_ne!(state, VersionState::Withdrawn, "{version} is withdrawn");
        let (hosted, is_open) = &self.hosts[server];
        assert!(*is_open, "{server} is leaving");
        assert_eq!(hosted, version, "{server} hosts another version");
        assert!(open.repeatable || !open.may_have_run, "would run twice");
        if let Some(session) = open.session {
            let pin = self.pins.insert((open.workspace, session), version.clone());
            if let Some(pin) = pin.filter(|pin| pin != version) {
                let tripped = self.router.trial(&pin).is_some_and(|t| t.tripped_at().is_some());
                let gone = tripped
                    || self.policy.versions[&pin].state == VersionState::Withdrawn
                    || !rights.allowed_versions.contains(&pin);
                assert!(gone, "session moved from {pin} to {version}");
            }
        }
    }

    fn end(&mut self, flight: u8, how: u8) {
        if self.open.is_empty() {
            return;
        }
        let mut open = self.open.swap_remove(usize::from(flight) % self.open.len());
        let next = self.next(&mut open, how);
        match next {
            NextAction::Run(step) => {
                open.step = step;
                open.awaiting = false;
                self.check(&open);
                self.open.push(open);
            }
            NextAction::AwaitRating(_) => {
                open.awaiting = true;
                self.open.push(open);
            }
            NextAction::Deliver => {
                assert!(self.router.on_delivered(self.now, &mut open.flight).is_some());
            }
            NextAction::Refuse(_) => {}
        }
    }

    fn next(&mut self, open: &mut Open, how: u8) -> NextAction {
        let (now, rng, flight) = (self.now, &mut self.rng, &mut open.flight);
        if open.awaiting {
            let rating = match how % 3 {
                0 => None,
                quality => Some((f64::from(quality) * 0.4, Duration::from_millis(100))),
            };
            return self.router.on_rating(now, rng, flight, rating);
        }
        match how {
            0 => self.router.on_run_refused(now, rng, flight, Refusal::Draining),
            1 => {
                open.may_have_run = true;
                self.router.on_run_failed(
                    now,
                    rng,
                    flight,
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
                    flight,
                    Executed::Yes,
                    0.0,
                    Refusal::BackendFailed,
                )
            }
            _ => {
                open.may_have_run = true;
                let service_time = Duration::from_millis(200 * u64::from(how));
                self.router.on_run_finished(
                    now,
                    flight,
                    FinishedRun { output_tokens: 50, service_time },
                )
            }
        }
    }
}

#[test]
fn no_order_of_events_breaks_a_promise() {
    fn property(ops: Vec<Op>) -> bool {
        let mut world = World::new();
        ops.iter().for_each(|op| world.apply(op));
        true
    }
    const SIZE: usize = 400;
    const SEED: u64 = 20_261_202;
    let source = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new().rng(source).tests(400).quickcheck(property as fn(Vec<Op>) -> bool);
}
