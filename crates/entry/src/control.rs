//! Work of the control thread: configurations, instances, trips and bills.

use std::{collections::HashSet, sync::Arc, time::Duration};

use pondwalk_config::PolicyRecord;
use pondwalk_generations::{OnConflict, commit_edit, withdraw};
use pondwalk_threads::lock;
use pondwalk_types::VersionState;
use pondwalk_wire::Configuration;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::{
    calls::call_context,
    configuration_watcher, coordinator,
    core::Core,
    instances::{Instance, InstanceState, Role, read_list},
};

/// Interval of bill writes of a single entry; grows with the number of entries.
const MIN_BILL_FLUSH_INTERVAL: Duration = Duration::from_millis(500);
/// Bill writes per second by all entries together.
const FLEET_BILL_WRITES_PER_S: f64 = 4.0;
/// Random delay of a trip publication, in milliseconds per entry.
const TRIP_JITTER_PER_ENTRY_MS: u64 = 10;
/// Interval at which trips are checked.
const TRIP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the tasks of the control thread; never returns.
pub async fn run(core: Arc<Core>) {
    tokio::join!(
        configuration_watcher::watch(&core),
        poll_instances(&core),
        sync_configurations(&core),
        publish_trips(&core),
        write_bills(&core),
        coordinator::coordinate(&core),
    );
}

/// Sends the installed configuration to all connected agents with an older one.
pub fn push_configuration(core: &Arc<Core>) {
    let Some(installed) = core.installed() else {
        return;
    };
    let generation = installed.configuration.generation;
    for link in core.agents.all() {
        if link.is_connected() && link.generation() < generation {
            let configuration = installed.configuration.clone();
            core.traffic.spawn(async move { link.configure(configuration).await });
        }
    }
}

/// Installs newer configurations of agents and sends them to agents with older ones.
async fn sync_configurations(core: &Arc<Core>) {
    let mut ticks = interval(core.settings.heartbeat);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let newer_link = core.agents.all().into_iter().find(|l| l.generation() > core.generation());
        if let Some(client) = newer_link.and_then(|link| link.client())
            && let Ok(Some(newer)) = client.configuration(call_context()).await
        {
            core.install(newer);
        }
        push_configuration(core);
    }
}

/// Polls the list of instances.
async fn poll_instances(core: &Arc<Core>) {
    let client = reqwest::Client::new();
    let mut ticks = interval(core.settings.instances_every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match read_list(&client, core.settings.instances).await {
            Ok(list) => apply_instances(core, &list),
            Err(_) => core.count("instances.failed"),
        }
    }
}

fn apply_instances(core: &Arc<Core>, list: &[Instance]) {
    let entries = list.iter().filter(|instance| instance.role == Role::Entry);
    let is_local = |entry: &&Instance| entry.data_centre == core.settings.data_centre;
    core.agents.set_entry_counts(entries.clone().count(), entries.filter(is_local).count());
    let agents = list.iter().filter(|instance| instance.role == Role::Agent);
    let mut listed = HashSet::new();
    for agent in agents {
        listed.insert(agent.instance.clone());
        core.agents.open_link(core, &agent.instance, agent.address);
        if agent.state == InstanceState::Leaving {
            lock(&core.router).deactivate_server(&agent.instance);
        }
    }
    core.agents.close_unlisted(&listed);
}

/// Withdraws tripped versions in the configuration, for the whole fleet.
async fn publish_trips(core: &Arc<Core>) {
    let mut ticks = interval(TRIP_POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let trips = lock(&core.router).tripped_versions();
        if !trips.is_empty() {
            // NB: all entries detect a trip at about the same time, and one publication suffices.
            let max_jitter_ms = core.agents.entry_count() as u64 * TRIP_JITTER_PER_ENTRY_MS;
            sleep(Duration::from_millis(rand::random_range(0..=max_jitter_ms))).await;
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
                    core.record_head(&record);
                    let PolicyRecord { generation, policy, .. } = record;
                    core.install(Configuration { generation, policy });
                    push_configuration(core);
                }
                Err(_) => core.count("trips.unpublished"),
            }
        }
    }
}

/// Writes pending bills to the store.
async fn write_bills(core: &Arc<Core>) {
    loop {
        // NB: until it is written, a bill is held by two processes.
        let interval_s = core.agents.entry_count() as f64 / FLEET_BILL_WRITES_PER_S;
        sleep(MIN_BILL_FLUSH_INTERVAL.max(Duration::from_secs_f64(interval_s))).await;
        if core.bills.flush(&core.store, &core.agents).await.is_err() {
            core.count("bills.flush_failed");
        }
    }
}
