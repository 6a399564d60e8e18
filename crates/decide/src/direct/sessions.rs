//! Which version each conversation runs on.
//!
//! A conversation is known by a number that every entry derives alike. The table remembers, for
//! as long as a conversation lasts, the version its last request ran on.

use std::{collections::HashMap, time::Duration};

use pondwalk_types::VersionId;

use super::hash::{hash_text, mix};

/// Number of a conversation, the same at every entry.
pub type SessionKey = u64;

/// Conversations kept at most; new ones beyond that are placed without memory.
const MAX_SESSIONS: usize = 20_000;

#[derive(Debug)]
struct Session {
    version: VersionId,
    seen_at: Duration,
}

/// The conversations that this entry has seen.
#[derive(Debug)]
pub struct Sessions {
    memory: Duration,
    known: HashMap<SessionKey, Session>,
    swept_at: Duration,
}

impl Sessions {
    /// An empty table that forgets a conversation `memory` after it was last noted.
    pub fn new(memory: Duration) -> Self {
        Sessions { memory, known: HashMap::new(), swept_at: Duration::ZERO }
    }

    /// Version that a running conversation is on.
    pub fn version(&self, key: SessionKey, now: Duration) -> Option<&VersionId> {
        let session = self.known.get(&key)?;
        let lasts = now.saturating_sub(session.seen_at) < self.memory;
        lasts.then_some(&session.version)
    }

    /// Conversations that run, on versions other than `target`.
    pub fn running_on_other_versions<'a>(
        &'a self,
        target: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = SessionKey> + 'a {
        let lasts = move |session: &Session| now.saturating_sub(session.seen_at) < self.memory;
        let known = self.known.iter();
        known.filter(move |(_, one)| lasts(one) && one.version != target).map(|(key, _)| *key)
    }

    /// A request of the conversation runs, or has ended, on `version`.
    pub fn record(&mut self, key: SessionKey, version: &VersionId, now: Duration) {
        self.sweep(now);
        if let Some(session) = self.known.get_mut(&key) {
            session.seen_at = now;
            if session.version != *version {
                session.version.clone_from(version);
            }
        } else if self.known.len() < MAX_SESSIONS {
            self.known.insert(key, Session { version: version.clone(), seen_at: now });
        }
    }

    fn sweep(&mut self, now: Duration) {
        if now.saturating_sub(self.swept_at) < self.memory {
            return;
        }
        let memory = self.memory;
        self.known.retain(|_, session| now.saturating_sub(session.seen_at) < memory);
        self.swept_at = now;
    }
}

/// The number of a conversation by its name (FNV-1a, then mixed).
pub fn session_key(name: &str) -> SessionKey {
    mix(hash_text(name))
}
