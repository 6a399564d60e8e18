//! The control thread: configurations, instances, heartbeats, trips and bills.

use std::{collections::HashSet, sync::Arc, time::Duration};

use pondwalk_config::PolicyRecord;
use pondwalk_generations::{OnConflict, commit_edit, withdraw};
use pondwalk_threads::lock;
use pondwalk_types::VersionState;
use pondwalk_wire::Configuration;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::{
    calls::call_context,
    conductor,
    core::Core,
    instances::{Instance, InstanceState, Role, read_list},
    watcher,
};

/// How often a lone entry writes its bills.
const BILLS_EVERY: Duration = Duration::from_millis(500);
/// Writes of bills a second by all entries together, whatever their number.
const BILL_WRITES_PER_SECOND: f64 = 4.0;
/// Time by which publications of a trip are spread, for each entry, in milliseconds.
const TRIP_SPREAD_MS: u64 = 10;
/// How often trips are looked for.
const TRIPS_EVERY: Duration = Duration::from_millis(200);

/// Does the control thread's work; never ends by itself.
pub async fn run(core: Arc<Core>) {
    tokio::join!(
        watcher::watch(&core),
        watch_instances(&core),
        exchange_generations(&core),
        publish_trips(&core),
        write_bills(&core),
        conductor::conduct(&core),
    );
}

/// Offers the configuration in force to every agent that is behind.
pub fn offer_to_all(core: &Arc<Core>) {
    let Some(installed) = core.installed() else {
        return;
    };
    let generation = installed.configuration.generation;
    for link in core.fleet.all() {
        if link.is_connected() && link.generation() < generation {
            let configuration = installed.configuration.clone();
            core.traffic.spawn(async move { link.configure(configuration).await });
        }
    }
}

/// Takes newer configurations over from agents, and hands them to those behind.
async fn exchange_generations(core: &Arc<Core>) {
    let mut ticks = interval(core.settings.heartbeat);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let ahead = core.fleet.all().into_iter().find(|l| l.generation() > core.generation());
        if let Some(client) = ahead.and_then(|link| link.client())
            && let Ok(Some(newer)) = client.configuration(call_context()).await
        {
            core.install(newer);
        }
        offer_to_all(core);
    }
}

/// Follows the list of instances.
async fn watch_instances(core: &Arc<Core>) {
    let client = reqwest::Client::new();
    let mut ticks = interval(core.settings.instances_every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match read_list(&client, core.settings.instances).await {
            Ok(list) => take_in(core, &list),
            Err(_) => core.count("instances.failed"),
        }
    }
}

fn take_in(core: &Arc<Core>, list: &[Instance]) {
    let entries = list.iter().filter(|instance| instance.role == Role::Entry);
    let near = |entry: &&Instance| entry.data_centre == core.settings.data_centre;
    core.fleet.count_entries(entries.clone().count(), entries.filter(near).count());
    let agents = list.iter().filter(|instance| instance.role == Role::Agent);
    let mut listed = HashSet::new();
    for agent in agents {
        listed.insert(agent.instance.clone());
        core.fleet.open(core, &agent.instance, agent.address);
        if agent.state == InstanceState::Leaving {
            lock(&core.router).deactivate_server(&agent.instance);
        }
    }
    core.fleet.close_unlisted(&listed);
}

/// Withdraws, for everyone, versions that a test has stopped.
async fn publish_trips(core: &Arc<Core>) {
    let mut ticks = interval(TRIPS_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let trips = lock(&core.router).tripped_versions();
        if !trips.is_empty() {
            // NB: all entries hear of a trip at about the same time, and one of them is enough.
            let spread = core.fleet.entries() as u64 * TRIP_SPREAD_MS;
            sleep(Duration::from_millis(rand::random_range(0..=spread))).await;
        }
        for (version, cause) in trips {
            let withdrawn = core.installed().is_some_and(|installed| {
                let spec = installed.configuration.policy.versions.get(&version);
                spec.is_some_and(|spec| spec.state == VersionState::Withdrawn)
            });
            if withdrawn {
                continue;
            }
            let edit = |policy: &_| withdraw(policy, &version);
            match commit_edit(&core.store, rand::random(), OnConflict::Retry, edit).await {
                Ok(record) => {
                    let cause = format!("{cause:?}");
                    spdlog::warn!("version stopped", kv: { version = version.as_str(), cause = cause.as_str() });
                    let PolicyRecord { generation, policy, .. } = record;
                    core.install(Configuration { generation, policy });
                    offer_to_all(core);
                }
                Err(_) => core.count("trips.unpublished"),
            }
        }
    }
}

/// Writes bills while there are any.
async fn write_bills(core: &Arc<Core>) {
    loop {
        // NB: until then each bill is held by two processes.
        let share = core.fleet.entries() as f64 / BILL_WRITES_PER_SECOND;
        sleep(BILLS_EVERY.max(Duration::from_secs_f64(share))).await;
        if core.bills.flush(&core.store, &core.fleet).await.is_err() {
            core.count("bills.flush_failed");
        }
    }
}
