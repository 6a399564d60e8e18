//! Divides a bound over all entries among them.
//!
//! No entry knows what the others have used. Each takes a share that follows from the list of
//! entries, such that all shares add up to no more than the bound, whatever the number of entries.
//! Half of the bound stays unused, since two parts of a deployment may see different lists for a
//! while. An entry that is not listed takes nothing, since the others do not count it.

use super::hash::{hash_text, mix};

/// Number of different lists of entries that may be in use at once.
const MAX_VIEWS: u32 = 2;

/// The entries that share the bounds, as this entry knows them.
#[derive(Debug, Clone, Default)]
pub struct BoundSharing {
    own: u64,
    listed: Vec<u64>,
    /// Whether this is the only entry, permanently.
    is_sole: bool,
    /// Changes with the list, so that cached shares can be detected as outdated.
    generation: u64,
}

impl BoundSharing {
    /// Creates the state of an entry that is not listed yet.
    pub fn new(own: &str) -> Self {
        BoundSharing { own: hash_text(own), ..BoundSharing::default() }
    }

    /// Creates the state of an entry that is never listed since it is the only one.
    pub fn sole(own: &str) -> Self {
        BoundSharing { is_sole: true, ..BoundSharing::new(own) }
    }

    /// Replaces the list of entries.
    pub fn set_entries<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.listed = names.map(hash_text).collect();
        self.generation += 1;
    }

    /// Number of listed entries.
    pub fn entry_count(&self) -> usize {
        self.listed.len()
    }

    /// Increases whenever the list of entries changes.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Share of a bound that can be divided arbitrarily: equal for all entries.
    pub fn fraction(&self) -> f64 {
        match self.is_sole {
            true => 1.0,
            false if self.listed.contains(&self.own) => {
                1.0 / (f64::from(MAX_VIEWS) * self.listed.len() as f64)
            }
            false => 0.0,
        }
    }

    /// A number from 0 to 1, evenly distributed over the entries, with which shares of a bound are
    /// rounded; 0 while this entry has no share.
    pub fn rounding(&self) -> f64 {
        if self.is_sole || !self.listed.contains(&self.own) {
            return 0.0;
        }
        // NB: the position in the order, not a hash, so that it is even for few entries too.
        let preceding = self.listed.iter().filter(|entry| mix(**entry) < mix(self.own)).count();
        preceding as f64 / self.listed.len() as f64
    }

    /// Number of entries that have a share of a server.
    pub fn server_owner_count(&self, max: u32) -> u32 {
        (max / MAX_VIEWS).min(self.listed.len() as u32)
    }

    /// Requests a second that this entry may send to a server, where all entries together may send
    /// `max`. Such a bound is small and cannot be divided among all entries, so rendezvous hashing
    /// (Thaler and Ravishankar, 1998) selects a few owners for each server.
    pub fn server_share(&self, server: u64, max: u32) -> u32 {
        let usable = max / MAX_VIEWS;
        let owners = self.server_owner_count(max);
        if owners == 0 || !self.listed.contains(&self.own) {
            return 0;
        }
        let rank = |entry: u64| (mix(server ^ mix(entry)), entry);
        let own = rank(self.own);
        let preceding = self.listed.iter().filter(|entry| rank(**entry) > own).count() as u32;
        if preceding >= owners {
            return 0;
        }
        usable / owners + u32::from(preceding < usable % owners)
    }
}
