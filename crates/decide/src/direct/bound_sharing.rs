//! The part of a bound over all entries that one entry may use.
//!
//! No entry knows what the others have used. So each takes a part that follows from who is listed, such that
//! all parts add up to no more than the bound, whatever the number of entries. Half of it stays unused:
//! two parts of a deployment may know different entries for a while. An entry that is not listed takes
//! nothing, since the others do not count it.

use super::hash::{hash_text, mix};

/// Views of which entries are listed that may be held at once.
const VIEWS: u32 = 2;

/// The entries that share the bounds, as this entry knows them.
#[derive(Debug, Clone, Default)]
pub struct BoundSharing {
    own: u64,
    listed: Vec<u64>,
    /// Whether there are no others, and never will be.
    is_sole: bool,
    /// Changes with the entries known, so that shares worked out before are found to be old.
    generation: u64,
}

impl BoundSharing {
    /// An entry that is listed nowhere yet.
    pub fn new(own: &str) -> Self {
        BoundSharing { own: hash_text(own), ..BoundSharing::default() }
    }

    /// An entry that is never listed, since there are no others.
    pub fn sole(own: &str) -> Self {
        BoundSharing { is_sole: true, ..BoundSharing::new(own) }
    }

    /// The entries listed have changed.
    pub fn set_entries<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.listed = names.map(hash_text).collect();
        self.generation += 1;
    }

    /// Entries that are listed.
    pub fn entry_count(&self) -> usize {
        self.listed.len()
    }

    /// Rises each time that the entries listed change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Part of a bound that may be cut into any pieces: an equal one for each entry.
    pub fn fraction(&self) -> f64 {
        match self.is_sole {
            true => 1.0,
            false if self.listed.contains(&self.own) => {
                1.0 / (f64::from(VIEWS) * self.listed.len() as f64)
            }
            false => 0.0,
        }
    }

    /// A number from 0 to 1 that differs evenly from entry to entry, by which parts of a whole are rounded; 0 as
    /// long as this entry takes no part.
    pub fn rounding(&self) -> f64 {
        if self.is_sole || !self.listed.contains(&self.own) {
            return 0.0;
        }
        // NB: by its place among the others, so that few entries differ as evenly as many.
        let before = self.listed.iter().filter(|entry| mix(**entry) < mix(self.own)).count();
        before as f64 / self.listed.len() as f64
    }

    /// Requests that this entry may send to a server within a second, where all entries together may
    /// send `most`. Such a bound is small and cannot be cut into as many pieces as there are entries, so
    /// rendezvous hashing (Thaler and Ravishankar, 1998) names a few owners for each server.
    pub fn server_share(&self, server: u64, most: u32) -> u32 {
        let planned = most / VIEWS;
        let owners = planned.min(self.listed.len() as u32);
        if owners == 0 || !self.listed.contains(&self.own) {
            return 0;
        }
        let order = |entry: u64| (mix(server ^ mix(entry)), entry);
        let own = order(self.own);
        let before = self.listed.iter().filter(|entry| order(**entry) > own).count() as u32;
        if before >= owners {
            return 0;
        }
        planned / owners + u32::from(before < planned % owners)
    }
}
