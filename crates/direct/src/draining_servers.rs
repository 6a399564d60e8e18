//! Looks whether servers that said they leave have started anew, while the store can't tell.
//!
//! A server's word that it leaves binds for its life. The store tells of the next one; while it is away, all
//! servers that were restarted in place would be left out, and callers with them. So connections are opened to
//! their addresses and closed again, without a byte: once nothing has listened there for long, whatever
//! listens again is another process.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use pondwalk_types::ServerId;
use serde::Serialize;
use tokio::time::{sleep, timeout};

use crate::{catalog::ServiceId, core::Core, event_log::LogPriority};

/// Time between two looks; a server that starts anew in place is mostly away for some seconds.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Servers looked at each time. When hundreds are replaced while the store is away, hundreds of entries open at
/// most some ten connections a second each.
const MAX_PROBES_PER_POLL: usize = 5;
/// Longest time for a connection to open; one that takes longer tells nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// A server that said it leaves has started anew.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum DrainingServerEvent<'a> {
    LeaverStartedAnew { server: &'a str },
}

/// A server to look at.
struct DrainingServer {
    service: ServiceId,
    server: ServerId,
    address: SocketAddr,
}

/// Looks after servers that leave for as long as the process runs.
pub async fn watch_draining_servers(core: Rc<Core>) {
    let mut offset = 0;
    loop {
        sleep(POLL_INTERVAL).await;
        let draining = list_draining(&core);
        if draining.is_empty() {
            continue;
        }
        // NB: by turns, so that each is looked at however many there are.
        let rotation = draining.iter().cycle().skip(offset % draining.len());
        for server in rotation.take(MAX_PROBES_PER_POLL.min(draining.len())) {
            probe_server(&core, server).await;
        }
        offset += MAX_PROBES_PER_POLL;
    }
}

/// Servers whose next life nobody could tell of.
fn list_draining(core: &Core) -> Vec<DrainingServer> {
    if !core.is_state_outdated(Duration::ZERO) {
        return Vec::new();
    }
    let now = core.clock.now();
    let state = core.state.borrow();
    let of_fleets = state.fleets.iter().flat_map(|(service, fleet)| {
        let leaving = fleet.draining_addresses(now).into_iter();
        leaving.map(|(server, address)| DrainingServer {
            service: service.clone(),
            server,
            address,
        })
    });
    let mut draining: Vec<DrainingServer> = of_fleets.collect();
    draining.sort_by(|one, other| one.server.cmp(&other.server));
    draining
}

async fn probe_server(core: &Core, server: &DrainingServer) {
    let listens = match timeout(CONNECT_TIMEOUT, (core.connect)(server.address)).await {
        Ok(Ok(_)) => true,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => false,
        // NB: silence, or a reset, is no sign that nothing listens.
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
