//! Detects restarts of draining servers while the store is unavailable.
//!
//! A server's draining signal holds for its incarnation. The store announces the next one; during
//! an outage all servers restarted in place would stay unused. Therefore connections are opened to
//! their addresses and closed again without sending a byte: once nothing has listened there for
//! long enough, a new listener is another process.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use pondwalk_types::ServerId;
use serde::Serialize;
use tokio::time::{sleep, timeout};

use crate::{catalog::ServiceId, core::Core, event_log::LogPriority};

/// Poll interval; a server restarted in place is usually away for some seconds.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Servers probed per poll. When hundreds are replaced during an outage, hundreds of entries open
/// at most about ten connections a second each.
const MAX_PROBES_PER_POLL: usize = 5;
/// Connect timeout; a slower connection is inconclusive.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// A draining server was restarted.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum DrainingServerEvent<'a> {
    LeaverStartedAnew { server: &'a str },
}

/// A server to probe.
struct DrainingServer {
    service: ServiceId,
    server: ServerId,
    address: SocketAddr,
}

/// Watches draining servers for as long as the process runs.
pub async fn watch_draining_servers(core: Rc<Core>) {
    let mut offset = 0;
    loop {
        sleep(POLL_INTERVAL).await;
        let draining = list_draining(&core);
        if draining.is_empty() {
            continue;
        }
        // In rotation, so that every server is probed however many there are.
        let rotation = draining.iter().cycle().skip(offset % draining.len());
        for server in rotation.take(MAX_PROBES_PER_POLL.min(draining.len())) {
            probe_server(&core, server).await;
        }
        offset += MAX_PROBES_PER_POLL;
    }
}

/// Draining servers, if the store may be unable to announce their next incarnation.
fn list_draining(core: &Core) -> Vec<DrainingServer> {
    if !core.is_state_outdated() {
        return Vec::new();
    }
    let now = core.clock.now();
    let state = core.state.borrow();
    let servers = state.fleets.iter().flat_map(|(service, fleet)| {
        let addresses = fleet.draining_addresses(now).into_iter();
        addresses.map(|(server, address)| DrainingServer {
            service: service.clone(),
            server,
            address,
        })
    });
    let mut draining: Vec<DrainingServer> = servers.collect();
    draining.sort_by(|one, other| one.server.cmp(&other.server));
    draining
}

async fn probe_server(core: &Core, server: &DrainingServer) {
    let listens = match timeout(CONNECT_TIMEOUT, (core.connect)(server.address)).await {
        Ok(Ok(_)) => true,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => false,
        // A timeout or a reset doesn't show that nothing listens.
        _ => return,
    };
    let now = core.clock.now();
    let mut state = core.state.borrow_mut();
    let fleet = state.fleets.get_mut(&server.service);
    let is_restarted =
        fleet.is_some_and(|fleet| fleet.record_listen_check(&server.server, listens, now));
    drop(state);
    if is_restarted {
        let event = DrainingServerEvent::LeaverStartedAnew { server: &server.server };
        core.event_log.record(LogPriority::State, &event);
    }
}
