//! Detects servers that crash together.

use std::collections::{HashMap, HashSet};

use super::{FeatureHash, server_hash};

/// Other servers that must crash at the same moment to exonerate a feature.
const MIN_UNRELATED_SERVERS: usize = 3;

/// Servers that crashed at about the same moment, each with the features that it ran.
#[derive(Debug, Default)]
pub struct CorrelatedCrashes {
    servers: HashSet<u64>,
    /// Servers that ran each feature.
    servers_of: HashMap<FeatureHash, HashSet<u64>>,
}

impl CorrelatedCrashes {
    /// Records that a request was in flight at a server that crashed.
    pub fn record(&mut self, feature: FeatureHash, server: &str) {
        let server = server_hash(server);
        self.servers.insert(server);
        self.servers_of.entry(feature).or_default().insert(server);
    }

    /// Whether a feature is not the cause of most of these crashes: servers crashed that did not
    /// run it, either several or, in a service of `servers`, all that there are.
    pub fn exonerates(&self, feature: FeatureHash, servers: usize) -> bool {
        let related = self.servers_of.get(&feature).map_or(0, HashSet::len);
        let unrelated = self.servers.len() - related;
        unrelated >= MIN_UNRELATED_SERVERS || unrelated > 0 && self.servers.len() >= servers
    }
}
