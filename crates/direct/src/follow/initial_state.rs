//! Fetches the initial state from one of the seeds.
//!
//! After a restart of all entries only the seeds read the store, and the others fetch the state
//! from them. An entry that starts during a store outage gets the state that running entries still
//! hold.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use pondwalk_store::Position;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use super::events::FollowEvent;
use crate::{
    core::Core,
    event_log::LogPriority,
    membership::{PeerClient, PeerError, StateRequest, StateRequestKind, StateUpdate},
};

/// Time for which a starting entry queries seeds before it reads the store.
const FETCH_TIMEOUT: Duration = Duration::from_millis(900);
/// The same for a seed, which other entries wait for.
const SEED_FETCH_TIMEOUT: Duration = Duration::from_millis(60);
/// Delay before the next seed is queried as well.
const SEED_STAGGER: Duration = Duration::from_millis(50);
/// Timeout of one reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a seed is queried again; it may be starting too.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// State received from a seed, and the client that received it.
pub struct InitialState {
    /// Address of the seed.
    pub from: SocketAddr,
    /// The state.
    pub reply: StateUpdate,
    /// Holds the connection to the seed and the offset of its clock.
    pub client: PeerClient,
}

/// Queries the seeds, staggered, until the first one replies with its state; `None` if none does.
pub async fn fetch(core: &Rc<Core>) -> Option<InitialState> {
    let membership = &core.settings.membership;
    let own = core.settings.peers?;
    let is_seed = membership.seeds.contains(&own);
    let mut seeds: Vec<SocketAddr> = membership.seeds.clone();
    seeds.retain(|seed| *seed != own);
    if !membership.first_state || seeds.is_empty() {
        return None;
    }
    // Entries start with different seeds, so that no seed is queried by all of them.
    let first = core.members.hash_slot(seeds.len());
    seeds.rotate_left(first);
    // A seed doesn't wait for the other seeds, which would wait for it in turn.
    let (kind, limit) = match is_seed {
        true => (StateRequestKind::FirstStateNow, SEED_FETCH_TIMEOUT),
        false => (StateRequestKind::FirstState, FETCH_TIMEOUT),
    };
    let end = Instant::now() + limit;
    let mut fetches = JoinSet::new();
    let receiving = Rc::default();
    for (place, seed) in seeds.into_iter().enumerate() {
        let (core, receiving) = (Rc::clone(core), Rc::clone(&receiving));
        fetches.spawn_local(async move {
            sleep(SEED_STAGGER * place as u32).await;
            poll_seed(&core, seed, kind, end, &receiving).await
        });
    }
    while let Some(received) = fetches.join_next().await {
        if let Ok(Some(first)) = received {
            return Some(first);
        }
    }
    None
}

/// Queries one seed repeatedly until `end`.
///
/// While `receiving` is non-zero another seed is sending its state, and no further query is sent: a
/// second large reply would only take bandwidth from the first.
async fn poll_seed(
    core: &Core,
    seed: SocketAddr,
    kind: StateRequestKind,
    end: Instant,
    receiving: &Rc<Cell<usize>>,
) -> Option<InitialState> {
    let client = PeerClient::with_receiving(receiving);
    let mut last = None;
    while Instant::now() < end || receiving.get() > 0 {
        if receiving.get() > 0 {
            sleep(RETRY_DELAY).await;
            continue;
        }
        let query = StateRequest {
            store: core.settings.store.address,
            after: Position::default(),
            kind,
            deadline: end.min(Instant::now() + REPLY_TIMEOUT),
        };
        match client.request_state(core, seed, query).await {
            Ok(reply) => return Some(InitialState { from: seed, reply, client }),
            Err(error) => last = Some(error),
        }
        sleep(RETRY_DELAY).await;
    }
    log_failure(core, seed, last);
    None
}

fn log_failure(core: &Core, seed: SocketAddr, error: Option<PeerError>) {
    let error = error.map_or(String::from("no time left"), |error| error.to_string());
    let event = FollowEvent::SourceFailed { entry: &seed.to_string(), error };
    core.event_log.record(LogPriority::State, &event);
}
