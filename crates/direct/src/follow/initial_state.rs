//! Hears a first state from one of the seeds.
//!
//! After a restart of all entries the seeds read the store and all others hear it from them; an
//! entry that starts while the store is away learns what others still hold.

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

/// Time for which an entry that starts asks others before it reads the store.
const FETCH_TIMEOUT: Duration = Duration::from_millis(900);
/// The same for a seed, which others wait for.
const SEED_FETCH_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after which the next seed is asked too.
const SEED_STAGGER: Duration = Duration::from_millis(50);
/// Longest time for one answer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a seed is asked again; it may be about to start too.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// What a seed told, and the way to it.
pub struct InitialState {
    /// The seed.
    pub from: SocketAddr,
    /// What it told.
    pub reply: StateUpdate,
    /// Holds the connection to it, and how its clock runs.
    pub client: PeerClient,
}

/// Asks the seeds, one shortly after the other, until the first of them tells; `None` if none does.
pub async fn fetch(core: &Rc<Core>) -> Option<InitialState> {
    let membership = &core.settings.membership;
    let own = core.settings.peers?;
    let is_seed = membership.seeds.contains(&own);
    let mut seeds: Vec<SocketAddr> = membership.seeds.clone();
    seeds.retain(|seed| *seed != own);
    if !membership.first_state || seeds.is_empty() {
        return None;
    }
    // NB: each entry starts with another one, so that no seed is asked by all.
    let first = core.members.hash_slot(seeds.len());
    seeds.rotate_left(first);
    // NB: a seed does not wait for the others, which would wait for it.
    let (kind, limit) = match is_seed {
        true => (StateRequestKind::FirstStateNow, SEED_FETCH_TIMEOUT),
        false => (StateRequestKind::FirstState, FETCH_TIMEOUT),
    };
    let end = Instant::now() + limit;
    let mut asking = JoinSet::new();
    let receiving = Rc::default();
    for (place, seed) in seeds.into_iter().enumerate() {
        let (core, receiving) = (Rc::clone(core), Rc::clone(&receiving));
        asking.spawn_local(async move {
            sleep(SEED_STAGGER * place as u32).await;
            poll_seed(&core, seed, kind, end, &receiving).await
        });
    }
    while let Some(received) = asking.join_next().await {
        if let Ok(Some(first)) = received {
            return Some(first);
        }
    }
    None
}

/// Asks one seed again and again until `end`.
///
/// While `hearing` says that another has begun to tell the state, nobody else is asked for it: a large one
/// would only take part of the link from it.
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
        let question = StateRequest {
            store: core.settings.store.address,
            after: Position::default(),
            kind,
            deadline: end.min(Instant::now() + REPLY_TIMEOUT),
        };
        match client.request_state(&core.connect, &core.clock, seed, question).await {
            Ok(reply) => return Some(InitialState { from: seed, reply, client }),
            Err(error) => last = Some(error),
        }
        sleep(RETRY_DELAY).await;
    }
    log_failure(core, seed, last);
    None
}

fn log_failure(core: &Core, seed: SocketAddr, error: Option<PeerError>) {
    let error = error.map_or(String::from("no time was left"), |error| error.to_string());
    let event = FollowEvent::SourceFailed { entry: &seed.to_string(), error };
    core.event_log.record(LogPriority::State, &event);
}
