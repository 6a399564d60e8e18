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

use super::report::Learned;
use crate::{
    core::Core,
    event_log::LogPriority,
    membership::{PeerClient, PeerError, StateRequest, StateRequestKind, StateUpdate},
};

/// Time for which an entry that starts asks others before it reads the store.
const TIME_LIMIT: Duration = Duration::from_millis(900);
/// The same for a seed, which others wait for.
const SEED_TIME_LIMIT: Duration = Duration::from_millis(60);
/// Time after which the next seed is asked too.
const NEXT_SEED: Duration = Duration::from_millis(50);
/// Longest time for one answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// Pause before a seed is asked again; it may be about to start too.
const PAUSE: Duration = Duration::from_millis(30);

/// What a seed told, and the way to it.
pub struct FirstState {
    /// The seed.
    pub from: SocketAddr,
    /// What it told.
    pub told: StateUpdate,
    /// Holds the connection to it, and how its clock runs.
    pub client: PeerClient,
}

/// Asks the seeds, one shortly after the other, until the first of them tells; `None` if none does.
pub async fn hear(core: &Rc<Core>) -> Option<FirstState> {
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
        true => (StateRequestKind::FirstStateNow, SEED_TIME_LIMIT),
        false => (StateRequestKind::FirstState, TIME_LIMIT),
    };
    let end = Instant::now() + limit;
    let mut asking = JoinSet::new();
    let hearing = Rc::default();
    for (place, seed) in seeds.into_iter().enumerate() {
        let (core, hearing) = (Rc::clone(core), Rc::clone(&hearing));
        asking.spawn_local(async move {
            sleep(NEXT_SEED * place as u32).await;
            ask_until(&core, seed, kind, end, &hearing).await
        });
    }
    while let Some(heard) = asking.join_next().await {
        if let Ok(Some(first)) = heard {
            return Some(first);
        }
    }
    None
}

/// Asks one seed again and again until `end`.
///
/// While `hearing` says that another has begun to tell the state, nobody else is asked for it: a large one
/// would only take part of the link from it.
async fn ask_until(
    core: &Core,
    seed: SocketAddr,
    kind: StateRequestKind,
    end: Instant,
    hearing: &Rc<Cell<usize>>,
) -> Option<FirstState> {
    let client = PeerClient::with_receiving(hearing);
    let mut last = None;
    while Instant::now() < end || hearing.get() > 0 {
        if hearing.get() > 0 {
            sleep(PAUSE).await;
            continue;
        }
        let question = StateRequest {
            store: core.settings.store.address,
            after: Position::default(),
            kind,
            deadline: end.min(Instant::now() + ANSWER_LIMIT),
        };
        match client.request_state(&core.connect, &core.clock, seed, question).await {
            Ok(told) => return Some(FirstState { from: seed, told, client }),
            Err(error) => last = Some(error),
        }
        sleep(PAUSE).await;
    }
    note_failed(core, seed, last);
    None
}

fn note_failed(core: &Core, seed: SocketAddr, error: Option<PeerError>) {
    let error = error.map_or(String::from("no time was left"), |error| error.to_string());
    let event = Learned::SourceFailed { entry: &seed.to_string(), error };
    core.event_log.record(LogPriority::State, &event);
}
