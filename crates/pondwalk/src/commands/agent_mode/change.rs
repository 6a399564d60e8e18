//! `pondwalk apply`, `roll-out` and `withdraw`: change the configuration.

use pondwalk_config::{PolicyRecord, RawFile, policy_from_ini};
use pondwalk_generations::{
    EditError, OnConflict, add_roll_out, commit_edit, replace_policy, withdraw as withdraw_edit,
};
use pondwalk_types::{Policy, RollOut};
use serde_json::json;
use tokio::time::Instant;

use super::{
    block_on,
    status::{ProcessStatus, query_processes},
    store,
};
use crate::{
    exit::Exit,
    options::{ApplyOptions, ChangeOptions, RollOutOptions, WithdrawOptions},
};

/// Commits a policy file as the next generation.
pub fn apply(options: &ApplyOptions) -> anyhow::Result<Exit> {
    let file = policy_from_ini(RawFile::load(&options.policy)?)?;
    let edit = |current: &Policy| Ok(replace_policy(current, &file, &options.reinstate));
    change(&options.change, OnConflict::Abort, edit)
}

/// Starts a roll-out.
pub fn roll_out(options: &RollOutOptions) -> anyhow::Result<Exit> {
    let roll_out = RollOut { version: options.version.clone(), replaces: options.replaces.clone() };
    change(&options.change, OnConflict::Retry, |current| add_roll_out(current, &roll_out))
}

/// Withdraws a version.
pub fn withdraw(options: &WithdrawOptions) -> anyhow::Result<Exit> {
    change(&options.change, OnConflict::Retry, |current| withdraw_edit(current, &options.version))
}

fn change(
    options: &ChangeOptions,
    on_conflict: OnConflict,
    edit: impl Fn(&Policy) -> Result<Policy, EditError>,
) -> anyhow::Result<Exit> {
    block_on(async {
        let record = commit_edit(&store(options.store), rand::random(), on_conflict, edit).await?;
        let behind = wait_until_in_force(options, &record).await;
        print(options, &record, &behind);
        Ok(if behind.is_empty() { Exit::Success } else { Exit::CheckFailed })
    })
}

/// Waits until every live process has the generation; returns the processes that do not have it in time.
async fn wait_until_in_force(options: &ChangeOptions, record: &PolicyRecord) -> Vec<ProcessStatus> {
    const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);
    let Some(instances) = options.wait_for else {
        return Vec::new();
    };
    let deadline = Instant::now() + options.wait_limit;
    loop {
        let behind = match query_processes(instances).await {
            Ok(all) => all
                .into_iter()
                .filter(|process| !process.has_generation(record.generation))
                .collect(),
            Err(_) => vec![ProcessStatus::list_unreadable()],
        };
        if behind.is_empty() || Instant::now() >= deadline {
            return behind;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn print(options: &ChangeOptions, record: &PolicyRecord, behind: &[ProcessStatus]) {
    let has_waited = options.wait_for.is_some();
    let in_force = has_waited.then_some(behind.is_empty());
    if options.json {
        let names: Vec<&String> = behind.iter().map(|process| &process.instance).collect();
        let body = json!({
            "generation": record.generation, "in_force": in_force, "behind": names,
        });
        println!("{body}");
        return;
    }
    println!("accepted as generation {}", record.generation);
    match in_force {
        Some(true) => println!("in force everywhere"),
        Some(false) => {
            for process in behind {
                eprintln!("not in force at {process}");
            }
        }
        None => {}
    }
}
