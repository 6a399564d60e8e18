//! The agents that this entry knows, and the connection to each.

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

use crate::{core::Core, link::Link};

/// Links by server.
#[derive(Debug, Default)]
pub struct Fleet {
    links: Mutex<BTreeMap<ServerId, Arc<Link>>>,
    entries: AtomicUsize,
    near_entries: AtomicUsize,
}

impl Fleet {
    /// The link to a server's agent.
    pub fn get(&self, server: &str) -> Option<Arc<Link>> {
        lock(&self.links).get(server).cloned()
    }

    /// Entries on the list of instances, at least this one.
    pub fn entries(&self) -> usize {
        self.entries.load(Ordering::Relaxed).max(1)
    }

    /// Entries of this data centre on the list, at least this one.
    pub fn near_entries(&self) -> usize {
        self.near_entries.load(Ordering::Relaxed).max(1)
    }

    /// Takes in how many entries the list of instances names.
    pub fn count_entries(&self, all: usize, near: usize) {
        self.entries.store(all, Ordering::Relaxed);
        self.near_entries.store(near, Ordering::Relaxed);
    }

    /// All links.
    pub fn all(&self) -> Vec<Arc<Link>> {
        lock(&self.links).values().cloned().collect()
    }

    /// Whether any agent is connected.
    pub fn any_connected(&self) -> bool {
        lock(&self.links).values().any(|link| link.is_connected())
    }

    /// Opens a link unless there is one to the same address.
    pub fn open(&self, core: &Arc<Core>, server: &ServerId, address: SocketAddr) {
        let mut links = lock(&self.links);
        if let Some(link) = links.get(server) {
            if link.address() == address {
                return;
            }
            link.close();
        }
        let link = Link::open(core, server.clone(), address);
        links.insert(server.clone(), link);
    }

    /// Closes links to servers that are not listed and have no work of ours.
    pub fn close_unlisted(&self, listed: &HashSet<ServerId>) {
        lock(&self.links).retain(|server, link| {
            let keep = listed.contains(server) || link.is_busy() || link.is_connected();
            if !keep {
                link.close();
            }
            keep
        });
    }
}
