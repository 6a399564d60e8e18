//! News that entries pass on among themselves, without the store.
//!
//! What one entry has found, and all are to weigh within a fraction of a second, goes up the tree
//! by messages of its own, and down with the answers to questions. Nothing of it must last: an entry
//! that starts anew hears what is still remembered.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use pondwalk_decide::direct::{
    ContentHash, Observation, RateLimit, ServerCrash, ServerIncarnation, SessionKey, Stage,
    UsageCounts, WindowId,
};
use pondwalk_types::ServerId;
use serde::{Deserialize, Serialize};

use super::Listing;

/// Time for which news that only goes up is remembered, so that none counts twice. It takes a
/// fraction of a second to reach all roots, or is lost.
const LIFE_OF_SEEN: Duration = Duration::from_secs(10);
/// Time for which other news is remembered. A roll-out takes up to some minutes, but what it needs to hear
/// belongs to its first seconds, or is written to the store once it counts.
const LIFE: Duration = Duration::from_secs(60);
/// Items remembered. Each entry tells a few in a roll-out.
const MOST_ITEMS: usize = 4_096;
/// Sessions in one item; an entry with more tells several.
pub const MAX_SESSIONS_PER_ITEM: usize = 1_024;

/// What an entry has found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Gossip {
    /// Sessions run through it that stay on the old version while `target` is on trial.
    Kept {
        /// Service that moves.
        service: String,
        /// Version on trial.
        target: String,
        /// The sessions.
        sessions: Vec<SessionKey>,
    },
    /// What it has seen of both versions since it last told. This only goes up: the roots weigh it.
    Seen {
        /// Service that moves.
        service: String,
        /// Version on trial.
        target: String,
        /// The answers.
        seen: Vec<Observation>,
    },
    /// It has written to the store that a roll-out has come so far.
    Stage {
        /// Service that moves.
        service: String,
        /// Version on trial.
        target: String,
        /// How far it has come.
        stage: WireStage,
    },
    /// A version on trial is bad.
    Bad {
        /// Service that moves.
        service: String,
        /// Version on trial.
        target: String,
    },
    /// A backend server could not be reached, and may be cold when it is reached again.
    Unreached {
        /// Service of the server.
        fleet: String,
        /// The server.
        server: ServerId,
    },
    /// A backend server names a rate limit, or none any more.
    Limited {
        /// Service of the server.
        fleet: String,
        /// The server.
        server: ServerId,
        /// The life in which it said so.
        life: ServerIncarnation,
        /// The limit.
        limit: Option<RateLimit>,
    },
    /// Servers ended under requests of these contents; each with the time since, when this was told.
    Ended {
        /// The ends.
        ends: Vec<(ServerCrash, Duration)>,
    },
    /// A request of this content came to a good end.
    Cleared {
        /// The content.
        content: ContentHash,
    },
    /// Requests that it has seen begin to run in a window, all of them so far. This only goes up.
    Used {
        /// The window.
        window: WindowId,
        /// The requests, by workspace.
        counts: UsageCounts,
        /// Milliseconds since 1970 when it told this, by its own clocks.
        unix_ms: u64,
    },
    /// It has started and is to be listed.
    Joined {
        /// Where other entries may ask it, and over which link.
        listing: Listing,
    },
}

/// Word for a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireStage {
    /// On trial.
    Trial,
    /// The share widens.
    Widening,
    /// Complete.
    Completed,
    /// Taken back.
    Reverted,
}

impl From<Stage> for WireStage {
    fn from(stage: Stage) -> Self {
        match stage {
            Stage::Trial => WireStage::Trial,
            Stage::Widening => WireStage::Widening,
            Stage::Completed => WireStage::Completed,
            Stage::Reverted => WireStage::Reverted,
        }
    }
}

impl From<WireStage> for Stage {
    fn from(word: WireStage) -> Self {
        match word {
            WireStage::Trial => Stage::Trial,
            WireStage::Widening => Stage::Widening,
            WireStage::Completed => Stage::Completed,
            WireStage::Reverted => Stage::Reverted,
        }
    }
}

/// What tells one item from all others: the entry that told it, its life, and a number.
type ItemId = (String, u64, u64);

/// One piece of news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipItem {
    /// Name of the entry that found it.
    pub origin: String,
    /// Random number of that life of the entry.
    pub incarnation: u64,
    /// Its number among those of that life.
    pub number: u64,
    /// Time since it was found.
    pub age: Duration,
    /// What was found.
    pub news: Gossip,
}

impl GossipItem {
    /// Whether it only goes up the tree.
    pub fn is_for_roots_only(&self) -> bool {
        matches!(self.news, Gossip::Seen { .. } | Gossip::Used { .. })
    }

    fn id(&self) -> ItemId {
        (self.origin.clone(), self.incarnation, self.number)
    }
}

/// The news that this entry remembers, in the order in which it heard them.
#[derive(Debug)]
pub struct GossipLog {
    life: Duration,
    /// Place of the first item that is still remembered.
    start: u64,
    /// When each was found, by the own clock.
    items: VecDeque<(Duration, GossipItem)>,
    known: HashSet<ItemId>,
}

impl GossipLog {
    /// Remembers news that all are to hear.
    pub fn for_all() -> Self {
        Self::lasting(LIFE)
    }

    /// Remembers news that only goes up.
    pub fn for_roots() -> Self {
        Self::lasting(LIFE_OF_SEEN)
    }

    fn lasting(life: Duration) -> Self {
        GossipLog { life, start: 0, items: VecDeque::new(), known: HashSet::new() }
    }

    /// Takes an item in; `false` if it is known already, or too old.
    pub fn add(&mut self, item: GossipItem, now: Duration) -> bool {
        self.forget_old(now);
        if item.age >= self.life || !self.known.insert(item.id()) {
            return false;
        }
        self.items.push_back((now.saturating_sub(item.age), item));
        true
    }

    /// Place behind the latest item.
    pub fn end(&self) -> u64 {
        self.start + self.items.len() as u64
    }

    /// The items from a place on.
    pub fn since(&self, place: u64, now: Duration) -> Vec<GossipItem> {
        let skipped = place.saturating_sub(self.start) as usize;
        let items = self.items.iter().skip(skipped);
        let aged = |(found, item): &(Duration, GossipItem)| GossipItem {
            age: now.saturating_sub(*found),
            ..item.clone()
        };
        items.map(aged).collect()
    }

    /// All items that are remembered, with the time since they were found.
    pub fn all(&self, now: Duration) -> impl Iterator<Item = (Duration, &GossipItem)> {
        self.items.iter().map(move |(found, item)| (now.saturating_sub(*found), item))
    }

    fn forget_old(&mut self, now: Duration) {
        // NB: items that were long on their way lie behind younger ones; they go with those.
        while let Some((found, _)) = self.items.front() {
            let is_old = now.saturating_sub(*found) >= self.life;
            if !is_old && self.items.len() < MOST_ITEMS {
                return;
            }
            if let Some((_, item)) = self.items.pop_front() {
                self.known.remove(&item.id());
                self.start += 1;
            }
        }
    }
}
