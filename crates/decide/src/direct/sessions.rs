//! Remembers the version on which each session runs.
//!
//! Every entry derives the same number for a session. For the duration of a session the table keeps
//! the version of its latest request.

use std::{collections::HashMap, time::Duration};

use pondwalk_types::VersionId;

use super::hash::{hash_text, mix};

/// Number of a session, the same at every entry.
pub type SessionKey = u64;

/// Maximum number of sessions kept; the versions of further sessions are not remembered.
const MAX_SESSIONS: usize = 20_000;

#[derive(Debug)]
struct Session {
    version: VersionId,
    seen_at: Duration,
}

/// The sessions that this entry has seen.
#[derive(Debug)]
pub struct Sessions {
    ttl: Duration,
    sessions: HashMap<SessionKey, Session>,
    swept_at: Duration,
}

impl Sessions {
    /// Creates an empty table; a session expires `ttl` after it was last recorded.
    pub fn new(ttl: Duration) -> Self {
        Sessions { ttl, sessions: HashMap::new(), swept_at: Duration::ZERO }
    }

    /// Version of a running session.
    pub fn version(&self, key: SessionKey, now: Duration) -> Option<&VersionId> {
        let session = self.sessions.get(&key)?;
        let is_live = now.saturating_sub(session.seen_at) < self.ttl;
        is_live.then_some(&session.version)
    }

    /// Running sessions on versions other than `target`.
    pub fn running_on_other_versions<'a>(
        &'a self,
        target: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = SessionKey> + 'a {
        let is_live = move |session: &Session| now.saturating_sub(session.seen_at) < self.ttl;
        let sessions = self.sessions.iter();
        sessions
            .filter(move |(_, session)| is_live(session) && session.version != target)
            .map(|(key, _)| *key)
    }

    /// Records that a request of the session runs, or has ended, on `version`.
    pub fn record(&mut self, key: SessionKey, version: &VersionId, now: Duration) {
        self.sweep(now);
        if let Some(session) = self.sessions.get_mut(&key) {
            session.seen_at = now;
            if session.version != *version {
                session.version.clone_from(version);
            }
        } else if self.sessions.len() < MAX_SESSIONS {
            self.sessions.insert(key, Session { version: version.clone(), seen_at: now });
        }
    }

    fn sweep(&mut self, now: Duration) {
        if now.saturating_sub(self.swept_at) < self.ttl {
            return;
        }
        let ttl = self.ttl;
        self.sessions.retain(|_, session| now.saturating_sub(session.seen_at) < ttl);
        self.swept_at = now;
    }
}

/// Number of a session by its name (FNV-1a, then mixed).
pub fn session_key(name: &str) -> SessionKey {
    mix(hash_text(name))
}
