//! Roll-outs: loading new versions on servers, one at a time, and unloading withdrawn ones.
//!
//! Any entry may conduct; a lease in the platform's store says which one does. No progress is
//! recorded: what is still to be done follows from the configuration and from what servers host,
//! so another entry goes on where a conductor died.

use std::{sync::Arc, time::Duration};

use pondwalk_types::VersionState;
use pondwalk_wire::{Order, OrderKind};
use tarpc::context::Context;
use tokio::time::sleep;

use crate::{
    core::{Core, Installed},
    lease::FencedLease,
    link::Link,
};

const CONDUCTOR_KEY: &str = "pondwalk/conductor";
/// Time to live of the conductor's lease.
const LEASE_TTL: Duration = Duration::from_secs(10);
/// Pause between looks at what is to be done.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Pause before the lease is tried again after another process was found to hold it.
const HELD_PAUSE: Duration = Duration::from_secs(5);

/// Conducts whenever there is something to do and nobody else does it.
pub async fn conduct(core: &Arc<Core>) {
    loop {
        sleep(LOOK_EVERY).await;
        if next_order(core).is_none() {
            continue;
        }
        match FencedLease::take(&core.store, CONDUCTOR_KEY, LEASE_TTL).await {
            Ok(lease) => give_orders(core, lease).await,
            Err(_) => sleep(HELD_PAUSE).await,
        }
    }
}

/// Gives orders until nothing is left to do or the lease is lost.
async fn give_orders(core: &Arc<Core>, mut lease: FencedLease) {
    spdlog::info!("conducting", kv: { fence = lease.fence() });
    while let Some((link, kind)) = next_order(core) {
        if lease.renew().await.is_err() {
            core.count("conductor.lease_lost");
            return;
        }
        let valid_for = lease.valid_for();
        if valid_for.is_zero() {
            return;
        }
        // NB: one at a time, since weights come from a store that limits their rate.
        let order = Order { fence: lease.fence(), valid_for, kind };
        if !give(&link, order).await {
            core.count("conductor.order_failed");
        }
        sleep(LOOK_EVERY).await;
    }
}

async fn give(link: &Link, order: Order) -> bool {
    let Some(client) = link.client() else {
        return false;
    };
    let mut context = Context::current();
    context.deadline = std::time::Instant::now() + order.valid_for;
    matches!(client.order(context, order).await, Ok(Ok(_)))
}

/// The next order that the configuration calls for, if any does.
fn next_order(core: &Core) -> Option<(Arc<Link>, OrderKind)> {
    let installed = core.installed()?;
    let links = core.fleet.all();
    let connected = links.into_iter().filter(|link| link.is_connected());
    connected.into_iter().find_map(|link| {
        let kind = order_for(&installed, &link.versions())?;
        Some((link, kind))
    })
}

/// What a server that hosts these versions has to do next.
fn order_for(installed: &Installed, hosted: &[String]) -> Option<OrderKind> {
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
    // NB: a server's last version stays loaded; without any it would be no use at all.
    let spare = hosted.iter().any(|version| !withdrawn(&version));
    let unload = hosted.iter().find(withdrawn).filter(|_| spare);
    unload.map(|version| OrderKind::Unload(version.clone()))
}
