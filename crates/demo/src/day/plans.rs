//! Plans of the two users' deployments, scaled down to one machine.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use pondwalk_standin::VersionProfile;
use sha2::{Digest, Sha256};

use crate::{
    deployment::{Plan, ServerPlan},
    load::{Load, TaskPlan, WorkspacePlan},
};

/// Deployment whose day is simulated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemoDeployment {
    /// Branch offices of a franchise.
    Franchise,
    /// Carriers and resellers of an association.
    Association,
}

/// Plan of a simulated day.
pub struct DayPlan {
    /// Deployment to start.
    pub plan: Plan,
    /// Version that is rolled out.
    pub new: &'static str,
    /// Version that the roll-out replaces, withdrawn later.
    pub old: &'static str,
    /// Index of the server whose agent is drained.
    pub stopped: usize,
    tasks: Vec<TaskPlan>,
    workspaces: Vec<WorkspacePlan>,
    service: &'static str,
}

const SMALL: &str = "small/3";
const MEDIUM: &str = "medium/2";
const NEW_MEDIUM: &str = "medium/3";
const LARGE: &str = "large/7";
/// Weights of the workspaces: a few large ones and several small ones.
const WORKSPACE_WEIGHTS: [f64; 5] = [10.0, 5.0, 2.0, 1.0, 1.0];
/// Requests per second.
const REQUESTS_PER_S: f64 = 60.0;
const SEED: u64 = 7;

impl DayPlan {
    /// Returns the load of the day.
    pub fn load(&self) -> Load {
        Load {
            tasks: self.tasks.clone(),
            workspaces: self.workspaces.clone(),
            rate: REQUESTS_PER_S,
            seed: SEED,
        }
    }

    /// Returns the versions and services that each workspace may use once the roll-out has begun.
    pub fn allowed(&self) -> HashMap<String, BTreeSet<String>> {
        let all = [SMALL, MEDIUM, NEW_MEDIUM, LARGE, self.service];
        let versions: BTreeSet<String> = all.iter().map(|name| (*name).to_owned()).collect();
        let names = self.workspaces.iter().map(|workspace| workspace.workspace.clone());
        names.map(|name| (name, versions.clone())).collect()
    }
}

/// Returns the plan of a deployment's day.
pub fn plan(deployment: DemoDeployment) -> DayPlan {
    match deployment {
        DemoDeployment::Franchise => franchise(),
        DemoDeployment::Association => association(),
    }
}

fn franchise() -> DayPlan {
    let tasks = vec![
        task("quote", 4.0, 1_200, 0.6),
        task("briefing", 3.0, 4_000, 0.6),
        TaskPlan { repeatable: false, ..task("order_note", 2.0, 4_000, 0.6) },
        service_task("quote_feed", 2.0, "market-data"),
    ];
    let targets = [("quote", 0.70, 0.85), ("briefing", 0.70, 0.90), ("order_note", 0.70, 0.90)];
    day("branch", "market-data", tasks, &targets)
}

fn association() -> DayPlan {
    let tasks = vec![
        task("draft", 3.0, 6_000, 0.6),
        task("classification", 2.5, 1_500, 0.6),
        TaskPlan { repeatable: false, ..task("dispute", 1.5, 6_000, 0.5) },
        service_task("rate_lookup", 3.0, "rating"),
    ];
    let targets = [("draft", 0.75, 0.90), ("classification", 0.75, 0.90), ("dispute", 0.75, 0.90)];
    day("carrier", "rating", tasks, &targets)
}

fn task(task: &'static str, weight: f64, deadline_ms: u64, in_session: f64) -> TaskPlan {
    TaskPlan {
        task,
        weight,
        deadline: Duration::from_millis(deadline_ms),
        repeatable: true,
        in_session,
        streaming: 0.4,
        service: None,
    }
}

fn service_task(name: &'static str, weight: f64, service: &'static str) -> TaskPlan {
    const DEADLINE_MS: u64 = 500;
    TaskPlan {
        in_session: 0.0,
        streaming: 0.0,
        service: Some(service),
        ..task(name, weight, DEADLINE_MS, 0.0)
    }
}

fn day(
    workspace: &str,
    service: &'static str,
    tasks: Vec<TaskPlan>,
    targets: &[(&str, f64, f64)],
) -> DayPlan {
    let workspaces: Vec<WorkspacePlan> = WORKSPACE_WEIGHTS
        .iter()
        .enumerate()
        .map(|(index, weight)| WorkspacePlan {
            workspace: format!("{workspace}-{}", index + 1),
            key: format!("key-of-{workspace}-{}", index + 1),
            weight: *weight,
        })
        .collect();
    let policy_ini = policy_ini(service, &workspaces, targets);
    let servers = servers(service);
    let plan = Plan { servers, entries: 2, policy_ini, entry_ini: String::new() };
    DayPlan { plan, new: NEW_MEDIUM, old: MEDIUM, stopped: 0, tasks, workspaces, service }
}

fn servers(service: &str) -> Vec<ServerPlan> {
    const SMALL_SERVERS: usize = 4;
    const MEDIUM_SERVERS: usize = 3;
    const LARGE_SERVERS: usize = 2;
    const SERVICE_SERVERS: usize = 2;
    let small = profile(60, 4, 40, 0.76);
    let medium = profile(90, 6, 40, 0.86);
    let new_medium = profile(85, 6, 40, 0.87);
    let large = profile(150, 10, 40, 0.94);
    let kinds: [(usize, &[(&str, VersionProfile)]); 4] = [
        (SMALL_SERVERS, &[(SMALL, small)]),
        (MEDIUM_SERVERS, &[(MEDIUM, medium), (NEW_MEDIUM, new_medium)]),
        (LARGE_SERVERS, &[(LARGE, large)]),
        (SERVICE_SERVERS, &[]),
    ];
    let mut servers = Vec::new();
    for (count, versions) in kinds {
        for _ in 0..count {
            let number = servers.len() + 1;
            let hosted = versions.iter().map(|(name, profile)| ((*name).to_owned(), *profile));
            servers.push(ServerPlan {
                server: format!("b{number}"),
                data_centre: format!("dc{}", number % 3 + 1),
                versions: hosted.collect::<BTreeMap<_, _>>(),
                loaded: versions.first().map(|(name, _)| (*name).to_owned()),
                service: versions.is_empty().then(|| service.to_owned()),
                slots: 16,
            });
        }
    }
    servers
}

fn profile(first_token_ms: u64, token_ms: u64, tokens: u64, quality: f64) -> VersionProfile {
    VersionProfile {
        first_token: Duration::from_millis(first_token_ms),
        token: Duration::from_millis(token_ms),
        tokens,
        quality,
    }
}

fn policy_ini(service: &str, workspaces: &[WorkspacePlan], targets: &[(&str, f64, f64)]) -> String {
    let mut ini = format!(
        "[version small/*]\nprompt_price_per_1k_tokens = 0.1\noutput_price_per_1k_tokens = 0.3\n\
         [version medium/*]\nprompt_price_per_1k_tokens = 0.5\noutput_price_per_1k_tokens = 1.5\n\
         [version large/*]\nprompt_price_per_1k_tokens = 3\noutput_price_per_1k_tokens = 9\n\
         [service {service}]\n\
         [template all]\nallowed_versions = {SMALL}, {MEDIUM}, {LARGE}\n\
         allowed_services = {service}\n"
    );
    for (task, target, share) in targets {
        ini +=
            &format!("task.{task}.quality_target = {target}\ntask.{task}.target_share = {share}\n");
    }
    for WorkspacePlan { workspace, key, .. } in workspaces {
        let digest = key_digest(key);
        ini += &format!("[workspace {workspace}]\ntemplate = all\nkeys_sha256 = {digest}\n");
    }
    ini
}

/// Returns the hexadecimal SHA-256 digest of a caller's key, as policies store it.
pub fn key_digest(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}
