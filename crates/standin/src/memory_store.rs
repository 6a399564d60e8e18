//! The platform's store as one process sees it, in memory and on tokio's clock, with its faults.
//!
//! It serves the calls of [`StorePort`]: keys with revisions, conditional writes, and watches
//! that wait. Calls can be kept from being answered, refused, slowed, or lose their answers
//! after taking effect; the history can be dropped.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use pondwalk_store::{
    Change, Era, Expect, Listing, PortCall, Position, ReadProgress, StoreEntry, StoreError,
    StoreEvent, StorePort, WatchReply,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, sleep_until, timeout_at},
};

/// How calls fare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FaultMode {
    /// They are answered at once.
    #[default]
    Normal,
    /// They are refused; nothing is done.
    Refused,
    /// They get no answer for this long, and then fail; nothing is done.
    Silent(Duration),
    /// They are answered after this long.
    Slow(Duration),
    /// They are done at once, and answered after this long.
    Late(Duration),
    /// Answers come over a link that carries so many bytes a second, one after the other.
    LimitedBandwidth(u64),
    /// Writes take effect, and their answers are lost.
    AnswersLost,
}

/// Time after which writers give up an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of an answer that a narrow link carries before those of another.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a change did.
type NewValue = Option<Vec<u8>>;

#[derive(Debug, Default)]
struct State {
    fault_mode: FaultMode,
    era: Era,
    revision: u64,
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    history: Vec<(u64, String, NewValue)>,
    dropped_up_to: u64,
    calls: u64,
}

/// What the store held at some time.
#[derive(Debug, Clone)]
pub struct StoreSnapshot {
    revision: u64,
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    history: Vec<(u64, String, NewValue)>,
}

/// The store.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore {
    state: Rc<RefCell<State>>,
    changed: Rc<Notify>,
    /// How the calls on this way fare, if otherwise than all calls.
    connection_fault_mode: Rc<Cell<Option<FaultMode>>>,
    /// When the link on this way will have carried all answers so far.
    link_free_at: Rc<Cell<Option<Instant>>>,
}

impl MemoryStore {
    /// The store's calls.
    pub fn port(&self) -> StorePort {
        let (listing, watching, committing) = (self.clone(), self.clone(), self.clone());
        StorePort {
            list: Rc::new(move |prefix| {
                let store = listing.clone();
                PortCall::new(|progress| async move { store.list(&prefix, &progress).await })
            }),
            watch: Rc::new(move |prefix, since, wait| {
                let store = watching.clone();
                PortCall::new(|progress| async move {
                    store.watch(&prefix, since, wait, &progress).await
                })
            }),
            commit: Rc::new(move |changes| {
                let store = committing.clone();
                Box::pin(async move { store.commit(changes).await })
            }),
        }
    }

    /// Sets how calls fare from now on.
    pub fn set_fault_mode(&self, fault_mode: FaultMode) {
        self.state.borrow_mut().fault_mode = fault_mode;
        self.changed.notify_waiters();
    }

    /// The same store on a way of its own, which can fare differently.
    pub fn new_connection(&self) -> MemoryStore {
        MemoryStore {
            connection_fault_mode: Rc::default(),
            link_free_at: Rc::default(),
            ..self.clone()
        }
    }

    /// Sets how calls on this way fare from now on.
    pub fn set_connection_fault_mode(&self, fault_mode: FaultMode) {
        self.connection_fault_mode.set(Some(fault_mode));
        self.changed.notify_waiters();
    }

    /// Writes a key, as operators and servers do, whatever the fault_mode.
    pub fn put(&self, key: &str, value: &str) {
        self.state.borrow_mut().apply(key, Some(value.as_bytes().to_vec()));
        self.changed.notify_waiters();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.state.borrow_mut().apply(key, None);
        self.changed.notify_waiters();
    }

    /// A key's value as text.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.state.borrow();
        let (value, _) = state.keys.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Drops the history up to now.
    pub fn drop_history(&self) {
        let mut state = self.state.borrow_mut();
        state.dropped_up_to = state.revision;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// What the store holds now, to be restored later.
    pub fn snapshot(&self) -> StoreSnapshot {
        let state = self.state.borrow();
        StoreSnapshot {
            revision: state.revision,
            keys: state.keys.clone(),
            history: state.history.clone(),
        }
    }

    /// Goes back to a copy, in an era of its own. What was written since is gone, and its revisions
    /// are given out again.
    pub fn restore(&self, snapshot: StoreSnapshot) {
        let mut state = self.state.borrow_mut();
        state.era += 1;
        state.revision = snapshot.revision;
        state.keys = snapshot.keys;
        state.history = snapshot.history;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Goes back to a copy, after which the keys that `is_rewritten` names are written as they were.
    pub fn restore_and_rewrite(
        &self,
        snapshot: StoreSnapshot,
        is_rewritten: impl Fn(&str) -> bool,
    ) {
        let written = |keys: &BTreeMap<String, (Vec<u8>, u64)>| -> BTreeMap<String, Vec<u8>> {
            let own = keys.iter().filter(|(key, _)| is_rewritten(key));
            own.map(|(key, (value, _))| (key.clone(), value.clone())).collect()
        };
        let before = written(&self.state.borrow().keys);
        let copied = written(&snapshot.keys);
        self.restore(snapshot);
        let mut state = self.state.borrow_mut();
        for key in copied.keys().filter(|key| !before.contains_key(*key)) {
            state.apply(key, None);
        }
        for (key, value) in before {
            if copied.get(&key) != Some(&value) {
                state.apply(&key, Some(value));
            }
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Era that the store is in.
    pub fn era(&self) -> Era {
        self.state.borrow().era
    }

    /// Calls made so far.
    pub fn calls(&self) -> u64 {
        self.state.borrow().calls
    }

    async fn list(&self, prefix: &str, progress: &ReadProgress) -> Result<Listing, StoreError> {
        self.apply_fault_mode().await?;
        let listing = self.state.borrow().listing(prefix);
        self.transfer(listing.entries.iter().map(|entry| entry.value.len()).sum(), progress).await;
        Ok(listing)
    }

    async fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
        progress: &ReadProgress,
    ) -> Result<WatchReply, StoreError> {
        self.apply_fault_mode().await?;
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let reply = self.state.borrow().changes(prefix, since);
            if let Some(reply) = reply {
                self.transfer(reply_bytes(&reply), progress).await;
                return Ok(reply);
            }
            if timeout_at(until, changed).await.is_err() {
                let position = self.state.borrow().position();
                self.transfer(0, progress).await;
                return Ok(WatchReply::Changes(Vec::new(), position));
            }
            if !self.fault_mode().allows_watches_to_wait() {
                return self.apply_fault_mode().await.and(Err(StoreError::ResponseLost));
            }
        }
    }

    async fn commit(&self, changes: Vec<Change>) -> Result<Position, StoreError> {
        self.apply_fault_mode().await?;
        let result = self.state.borrow_mut().commit(changes);
        if result.is_ok() {
            self.changed.notify_waiters();
        }
        match self.fault_mode() {
            FaultMode::AnswersLost if result.is_ok() => return Err(StoreError::ResponseLost),
            FaultMode::Late(time) => {
                sleep(time.min(WRITE_TIMEOUT)).await;
                if time > WRITE_TIMEOUT {
                    return Err(StoreError::ResponseLost);
                }
            }
            _ => {}
        }
        result
    }

    fn fault_mode(&self) -> FaultMode {
        self.connection_fault_mode.get().unwrap_or(self.state.borrow().fault_mode)
    }

    async fn apply_fault_mode(&self) -> Result<(), StoreError> {
        self.state.borrow_mut().calls += 1;
        match self.fault_mode() {
            fault_mode if fault_mode.allows_watches_to_wait() => Ok(()),
            FaultMode::Refused => Err(StoreError::Unreachable),
            FaultMode::Silent(time) => {
                sleep(time).await;
                Err(StoreError::ResponseLost)
            }
            FaultMode::Slow(time) => {
                sleep(time).await;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Lets an answer of so many bytes come over the link.
    async fn transfer(&self, bytes: usize, progress: &ReadProgress) {
        match self.fault_mode() {
            FaultMode::Late(time) => sleep(time).await,
            FaultMode::LimitedBandwidth(bytes_per_s) => {
                self.transfer_at_rate(bytes, bytes_per_s, progress).await
            }
            _ => {}
        }
    }

    /// Lets it come in pieces, between which those of other answers come.
    async fn transfer_at_rate(&self, bytes: usize, bytes_per_s: u64, progress: &ReadProgress) {
        let mut left = bytes;
        while left > 0 {
            let chunk = left.min(CHUNK_BYTES);
            let time = Duration::from_secs_f64(chunk as f64 / bytes_per_s as f64);
            let now = Instant::now();
            let done = self.link_free_at.get().map_or(now, |free| free.max(now)) + time;
            self.link_free_at.set(Some(done));
            sleep_until(done).await;
            progress.record(chunk);
            left -= chunk;
        }
    }
}

impl FaultMode {
    /// Whether a watch that has found nothing yet goes on waiting in it.
    fn allows_watches_to_wait(self) -> bool {
        let is_undelayed = matches!(self, FaultMode::Normal | FaultMode::AnswersLost);
        is_undelayed || matches!(self, FaultMode::Late(_) | FaultMode::LimitedBandwidth(_))
    }
}

/// Bytes of the values in a watch's answer.
fn reply_bytes(reply: &WatchReply) -> usize {
    let WatchReply::Changes(events, _) = reply else { return 0 };
    let bytes = |event: &StoreEvent| match event {
        StoreEvent::Written(entry) => entry.value.len(),
        StoreEvent::Removed { .. } => 0,
    };
    events.iter().map(bytes).sum()
}

impl State {
    fn position(&self) -> Position {
        Position { era: self.era, revision: self.revision }
    }

    fn listing(&self, prefix: &str) -> Listing {
        let found = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let entries = found.map(|(key, (value, revision))| StoreEntry {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        });
        Listing { entries: entries.collect(), position: self.position() }
    }

    /// Makes all changes, if all their conditions hold.
    fn commit(&mut self, changes: Vec<Change>) -> Result<Position, StoreError> {
        let conditions_hold = changes.iter().all(|change| {
            let current = self.keys.get(&change.key).map(|(_, revision)| *revision);
            match change.expect {
                Expect::Absent => current.is_none(),
                Expect::Revision(revision) => current == Some(revision),
            }
        });
        if !conditions_hold {
            return Err(StoreError::Conflict);
        }
        for change in changes {
            self.apply(&change.key, Some(change.value));
        }
        Ok(self.position())
    }

    fn apply(&mut self, key: &str, value: NewValue) {
        self.revision += 1;
        let revision = self.revision;
        self.history.push((revision, key.to_owned(), value.clone()));
        match value {
            Some(value) => {
                self.keys.insert(key.to_owned(), (value, revision));
            }
            None => {
                self.keys.remove(key);
            }
        }
    }

    /// What a watch after `since` has to tell, if anything.
    fn changes(&self, prefix: &str, since: u64) -> Option<WatchReply> {
        if since < self.dropped_up_to || since > self.revision {
            return Some(WatchReply::HistoryGone);
        }
        let newer = self.history.iter().filter(|(revision, _, _)| *revision > since);
        let events: Vec<StoreEvent> = newer
            .filter(|(_, key, _)| key.starts_with(prefix))
            .map(|(revision, key, value)| match value {
                Some(value) => StoreEvent::Written(StoreEntry {
                    key: key.clone(),
                    value: value.clone(),
                    revision: *revision,
                }),
                None => StoreEvent::Removed { key: key.clone(), revision: *revision },
            })
            .collect();
        (!events.is_empty()).then_some(WatchReply::Changes(events, self.position()))
    }
}
