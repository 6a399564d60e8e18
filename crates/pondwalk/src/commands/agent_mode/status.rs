//! `pondwalk status`: shows the configuration in force and the state of each process.

use std::{fmt, net::SocketAddr, time::Duration};

use pondwalk_entry::instances::{Instance, ListError, Role, read_list};
use pondwalk_generations::{Head, read_head};
use pondwalk_types::Generation;
use pondwalk_wire::connect;
use serde_json::{Value, json};

use super::{block_on, store};
use crate::{exit::Exit, options::StatusOptions};

/// Timeout of a status query to a process.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Generation in force and load of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct ProcessStatus {
    /// Name of the process.
    pub instance: String,
    /// Role of the process, or the reason why its role is unknown.
    pub role: &'static str,
    /// Generation in force; `None` if the process does not respond.
    pub generation: Option<Generation>,
    /// Number of running and queued requests, if the process reports it.
    pub load: Option<u32>,
}

impl ProcessStatus {
    /// Whether the generation, or a later one, is in force.
    pub fn has_generation(&self, generation: Generation) -> bool {
        self.generation.is_some_and(|current| current >= generation)
    }

    /// Placeholder for all processes if the list of instances cannot be read.
    pub fn list_unreadable() -> Self {
        ProcessStatus {
            instance: "(all)".to_owned(),
            role: "instance list unreadable",
            generation: None,
            load: None,
        }
    }
}

impl fmt::Display for ProcessStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<8} {:<20}", self.role, self.instance)?;
        match self.generation {
            Some(generation) => write!(f, " generation {generation}")?,
            None => write!(f, " no answer")?,
        }
        match self.load {
            Some(load) => write!(f, ", load {load}"),
            None => Ok(()),
        }
    }
}

/// Prints the configuration in force; fails if a process does not respond or has an older generation.
pub fn run(options: &StatusOptions) -> anyhow::Result<Exit> {
    block_on(async {
        let head = read_head(&store(options.store)).await?;
        let processes = match options.instances {
            Some(instances) => query_processes(instances).await?,
            None => Vec::new(),
        };
        let generation = head.record.generation;
        if options.json {
            println!("{}", to_json(&head, &processes));
        } else {
            print(&head, &processes);
        }
        let behind = processes.iter().any(|process| !process.has_generation(generation));
        Ok(if behind { Exit::CheckFailed } else { Exit::Success })
    })
}

/// Queries the status of every listed process.
///
/// # Errors
///
/// Returns an error if the list of instances cannot be read.
pub async fn query_processes(instances: SocketAddr) -> Result<Vec<ProcessStatus>, ListError> {
    let client = reqwest::Client::new();
    let list = read_list(&client, instances).await?;
    let queries = list.into_iter().map(|instance| query(&client, instance));
    Ok(futures::future::join_all(queries).await)
}

async fn query(client: &reqwest::Client, instance: Instance) -> ProcessStatus {
    let role = match instance.role {
        Role::Entry => "entry",
        Role::Agent => "agent",
    };
    let response = async {
        match instance.role {
            Role::Entry => query_entry(client, instance.address).await,
            Role::Agent => query_agent(instance.address).await,
        }
    };
    let response = tokio::time::timeout(QUERY_TIMEOUT, response).await.ok().flatten();
    let (generation, load) = match response {
        Some((generation, load)) => (Some(generation), load),
        None => (None, None),
    };
    ProcessStatus { instance: instance.instance, role, generation, load }
}

async fn query_entry(
    client: &reqwest::Client,
    address: SocketAddr,
) -> Option<(Generation, Option<u32>)> {
    let reply = client.get(format!("http://{address}/status")).send().await.ok()?;
    let status: Value = reply.json().await.ok()?;
    Some((status["generation"].as_u64()?, None))
}

async fn query_agent(address: SocketAddr) -> Option<(Generation, Option<u32>)> {
    let agent = connect(address).await.ok()?;
    let status = agent.status(tarpc::context::current()).await.ok()?;
    Some((status.snapshot.generation, Some(status.snapshot.load)))
}

fn to_json(head: &Head, processes: &[ProcessStatus]) -> Value {
    let processes: Vec<Value> = processes
        .iter()
        .map(|process| {
            json!({
                "instance": process.instance,
                "role": process.role,
                "generation": process.generation,
                "load": process.load,
            })
        })
        .collect();
    json!({
        "generation": head.record.generation,
        "versions": head.record.policy.versions,
        "roll_outs": head.record.policy.roll_outs,
        "processes": processes,
    })
}

fn print(head: &Head, processes: &[ProcessStatus]) {
    println!("generation {}", head.record.generation);
    for (version, spec) in &head.record.policy.versions {
        println!("version  {version:<20} {:?}", spec.state);
    }
    for roll_out in &head.record.policy.roll_outs {
        println!("roll-out {:<20} replaces {}", roll_out.version, roll_out.replaces);
    }
    for process in processes {
        println!("{process}");
    }
}
