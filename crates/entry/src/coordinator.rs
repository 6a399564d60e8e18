//! Coordination of roll-outs: loads new versions on servers, one server at a time, and unloads
//! withdrawn ones.
//!
//! A lease in the platform's store elects the coordinator among the entries. Progress is not
//! stored: the next order follows from the configuration and the hosted versions, so another entry
//! can take over at any time.

use std::{sync::Arc, time::Duration};

use pondwalk_types::VersionState;
use pondwalk_wire::{Order, OrderKind};
use tarpc::context::Context;
use tokio::time::sleep;

use crate::{
    core::{Core, InstalledConfiguration},
    lease::FencedLease,
    link::AgentLink,
};

const COORDINATOR_KEY: &str = "pondwalk/conductor";
/// Time to live of the coordinator's lease.
const LEASE_TTL: Duration = Duration::from_secs(10);
/// Interval at which the next order is determined.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed attempt to acquire the lease.
const LEASE_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Coordinates while orders are due and no other entry holds the lease.
pub async fn coordinate(core: &Arc<Core>) {
    loop {
        sleep(POLL_INTERVAL).await;
        if next_order(core).is_none() {
            continue;
        }
        match FencedLease::acquire(&core.store, COORDINATOR_KEY, LEASE_TTL).await {
            Ok(lease) => send_orders(core, lease).await,
            Err(_) => sleep(LEASE_RETRY_DELAY).await,
        }
    }
}

/// Sends orders until none is due or the lease is lost.
async fn send_orders(core: &Arc<Core>, mut lease: FencedLease) {
    spdlog::info!("conducting", kv: { fence = lease.fencing_token() });
    while let Some((link, kind)) = next_order(core) {
        if lease.renew().await.is_err() {
            core.count("conductor.lease_lost");
            return;
        }
        let valid_for = lease.valid_for();
        if valid_for.is_zero() {
            return;
        }
        // NB: one at a time, because the store of model weights limits the download rate.
        let order = Order { fence: lease.fencing_token(), valid_for, kind };
        if !send_order(&link, order).await {
            core.count("conductor.order_failed");
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn send_order(link: &AgentLink, order: Order) -> bool {
    let Some(client) = link.client() else {
        return false;
    };
    let mut context = Context::current();
    context.deadline = std::time::Instant::now() + order.valid_for;
    matches!(client.order(context, order).await, Ok(Ok(_)))
}

/// The next order required by the configuration, if any, and the link to send it on.
fn next_order(core: &Core) -> Option<(Arc<AgentLink>, OrderKind)> {
    let installed = core.installed()?;
    let links = core.agents.all();
    let connected = links.into_iter().filter(|link| link.is_connected());
    connected.into_iter().find_map(|link| {
        let kind = order_for(&installed, &link.versions())?;
        Some((link, kind))
    })
}

/// The next order for a server that hosts the given versions, if any.
fn order_for(installed: &InstalledConfiguration, hosted: &[String]) -> Option<OrderKind> {
    let policy = &installed.configuration.policy;
    let withdrawn = |version: &&String| {
        let spec = policy.versions.get(*version);
        spec.is_some_and(|spec| spec.state == VersionState::Withdrawn)
    };
    let load = policy.roll_outs.iter().find(|roll_out| {
        hosted.contains(&roll_out.replaces)
            && !hosted.contains(&roll_out.version)
            && !withdrawn(&&roll_out.version)
    });
    if let Some(roll_out) = load {
        return Some(OrderKind::Load(roll_out.version.clone()));
    }
    // NB: the last version of a server stays loaded, because a server without one is useless.
    let keeps_another = hosted.iter().any(|version| !withdrawn(&version));
    let unload = hosted.iter().find(withdrawn).filter(|_| keeps_another);
    unload.map(|version| OrderKind::Unload(version.clone()))
}
