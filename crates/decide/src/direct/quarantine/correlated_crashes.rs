//! Servers that end together.

use std::collections::{HashMap, HashSet};

use super::{ContentHash, server_hash};

/// Other servers that must end at the same moment for an end to be excused.
const OTHERS_OF_LOSS: usize = 3;

/// Servers that ended at about the same moment, each with the contents that it ran.
#[derive(Debug, Default)]
pub struct CorrelatedCrashes {
    servers: HashSet<u64>,
    /// Servers that ran each content.
    servers_of: HashMap<ContentHash, HashSet<u64>>,
}

impl CorrelatedCrashes {
    /// A request was aboard of a server that ended.
    pub fn record(&mut self, content: ContentHash, server: &str) {
        let server = server_hash(server);
        self.servers.insert(server);
        self.servers_of.entry(content).or_default().insert(server);
    }

    /// Whether a content is not what ended most of these servers: others ended that did not run it,
    /// either several or, in a service of `servers`, all that there are.
    pub fn exonerates(&self, content: ContentHash, servers: usize) -> bool {
        let ran = self.servers_of.get(&content).map_or(0, HashSet::len);
        let others = self.servers.len() - ran;
        others >= OTHERS_OF_LOSS || others > 0 && self.servers.len() >= servers
    }
}
