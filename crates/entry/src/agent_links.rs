//! The links of this entry to all agents.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
};

use pondwalk_threads::lock;
use pondwalk_types::ServerId;

use crate::{core::Core, link::AgentLink};

/// Links by backend server, and the number of entries.
#[derive(Debug, Default)]
pub struct AgentLinks {
    links: Mutex<BTreeMap<ServerId, Arc<AgentLink>>>,
    entry_count: AtomicUsize,
    local_entry_count: AtomicUsize,
}

impl AgentLinks {
    /// The link to the agent of a server.
    pub fn get(&self, server: &str) -> Option<Arc<AgentLink>> {
        lock(&self.links).get(server).cloned()
    }

    /// Number of entries in the list of instances; at least 1.
    pub fn entry_count(&self) -> usize {
        self.entry_count.load(Ordering::Relaxed).max(1)
    }

    /// Number of entries of this data centre in the list; at least 1.
    pub fn local_entry_count(&self) -> usize {
        self.local_entry_count.load(Ordering::Relaxed).max(1)
    }

    /// Sets the number of entries in all data centres and in the local one.
    pub fn set_entry_counts(&self, all: usize, local: usize) {
        self.entry_count.store(all, Ordering::Relaxed);
        self.local_entry_count.store(local, Ordering::Relaxed);
    }

    /// All links.
    pub fn all(&self) -> Vec<Arc<AgentLink>> {
        lock(&self.links).values().cloned().collect()
    }

    /// Whether any agent is connected.
    pub fn any_connected(&self) -> bool {
        lock(&self.links).values().any(|link| link.is_connected())
    }

    /// Opens a link to an agent, replacing one to a different address.
    pub fn open_link(&self, core: &Arc<Core>, server: &ServerId, address: SocketAddr) {
        let mut links = lock(&self.links);
        if let Some(link) = links.get(server) {
            if link.address() == address {
                return;
            }
            link.close();
        }
        let link = AgentLink::open(core, server.clone(), address);
        links.insert(server.clone(), link);
    }

    /// Closes the links to unlisted servers that are disconnected and have no open attempts.
    pub fn close_unlisted(&self, listed: &HashSet<ServerId>) {
        lock(&self.links).retain(|server, link| {
            let keep = listed.contains(server) || link.has_open_attempts() || link.is_connected();
            if !keep {
                link.close();
            }
            keep
        });
    }
}
