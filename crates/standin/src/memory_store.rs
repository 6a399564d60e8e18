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
pub enum Weather {
    /// They are answered at once.
    #[default]
    Fair,
    /// They are refused; nothing is done.
    Refused,
    /// They get no answer for this long, and then fail; nothing is done.
    Silent(Duration),
    /// They are answered after this long.
    Slow(Duration),
    /// They are done at once, and answered after this long.
    Late(Duration),
    /// Answers come over a link that carries so many bytes a second, one after the other.
    Narrow(u64),
    /// Writes take effect, and their answers are lost.
    AnswersLost,
}

/// Time after which writers give up an answer.
const WRITE_LIMIT: Duration = Duration::from_secs(1);
/// Bytes of an answer that a narrow link carries before those of another.
const PIECE_BYTES: usize = 16 * 1024;

/// What a change did.
type Written = Option<Vec<u8>>;

#[derive(Debug, Default)]
struct State {
    weather: Weather,
    era: Era,
    revision: u64,
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    history: Vec<(u64, String, Written)>,
    forgotten: u64,
    calls: u64,
}

/// What the store held at some time.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    revision: u64,
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    history: Vec<(u64, String, Written)>,
}

/// The store.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore {
    state: Rc<RefCell<State>>,
    changed: Rc<Notify>,
    /// How the calls on this way fare, if otherwise than all calls.
    own_weather: Rc<Cell<Option<Weather>>>,
    /// When the link on this way will have carried all answers so far.
    link_free: Rc<Cell<Option<Instant>>>,
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
    pub fn set_weather(&self, weather: Weather) {
        self.state.borrow_mut().weather = weather;
        self.changed.notify_waiters();
    }

    /// The same store on a way of its own, which can fare differently.
    pub fn another_way(&self) -> MemoryStore {
        MemoryStore { own_weather: Rc::default(), link_free: Rc::default(), ..self.clone() }
    }

    /// Sets how calls on this way fare from now on.
    pub fn set_own_weather(&self, weather: Weather) {
        self.own_weather.set(Some(weather));
        self.changed.notify_waiters();
    }

    /// Writes a key, as operators and servers do, whatever the weather.
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
    pub fn forget_history(&self) {
        let mut state = self.state.borrow_mut();
        state.forgotten = state.revision;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// What the store holds now, to be restored later.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.borrow();
        StoreCopy {
            revision: state.revision,
            keys: state.keys.clone(),
            history: state.history.clone(),
        }
    }

    /// Goes back to a copy, in an era of its own. What was written since is gone, and its revisions
    /// are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.state.borrow_mut();
        state.era += 1;
        state.revision = copy.revision;
        state.keys = copy.keys;
        state.history = copy.history;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Goes back to a copy, after which the keys that `is_written_again` names are written as they were.
    pub fn restore_but(&self, copy: StoreCopy, is_written_again: impl Fn(&str) -> bool) {
        let written = |keys: &BTreeMap<String, (Vec<u8>, u64)>| -> BTreeMap<String, Vec<u8>> {
            let own = keys.iter().filter(|(key, _)| is_written_again(key));
            own.map(|(key, (value, _))| (key.clone(), value.clone())).collect()
        };
        let before = written(&self.state.borrow().keys);
        let copied = written(&copy.keys);
        self.restore(copy);
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
        self.meet_weather().await?;
        let listing = self.state.borrow().listing(prefix);
        self.carry(listing.entries.iter().map(|entry| entry.value.len()).sum(), progress).await;
        Ok(listing)
    }

    async fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
        progress: &ReadProgress,
    ) -> Result<WatchReply, StoreError> {
        self.meet_weather().await?;
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let reply = self.state.borrow().changes(prefix, since);
            if let Some(reply) = reply {
                self.carry(reply_bytes(&reply), progress).await;
                return Ok(reply);
            }
            if timeout_at(until, changed).await.is_err() {
                let position = self.state.borrow().position();
                self.carry(0, progress).await;
                return Ok(WatchReply::Changes(Vec::new(), position));
            }
            if !self.weather().lets_watches_wait() {
                return self.meet_weather().await.and(Err(StoreError::ResponseLost));
            }
        }
    }

    async fn commit(&self, changes: Vec<Change>) -> Result<Position, StoreError> {
        self.meet_weather().await?;
        let done = self.state.borrow_mut().commit(changes);
        if done.is_ok() {
            self.changed.notify_waiters();
        }
        match self.weather() {
            Weather::AnswersLost if done.is_ok() => return Err(StoreError::ResponseLost),
            Weather::Late(time) => {
                sleep(time.min(WRITE_LIMIT)).await;
                if time > WRITE_LIMIT {
                    return Err(StoreError::ResponseLost);
                }
            }
            _ => {}
        }
        done
    }

    fn weather(&self) -> Weather {
        self.own_weather.get().unwrap_or(self.state.borrow().weather)
    }

    async fn meet_weather(&self) -> Result<(), StoreError> {
        self.state.borrow_mut().calls += 1;
        match self.weather() {
            weather if weather.lets_watches_wait() => Ok(()),
            Weather::Refused => Err(StoreError::Unreachable),
            Weather::Silent(time) => {
                sleep(time).await;
                Err(StoreError::ResponseLost)
            }
            Weather::Slow(time) => {
                sleep(time).await;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Lets an answer of so many bytes come over the link.
    async fn carry(&self, bytes: usize, progress: &ReadProgress) {
        match self.weather() {
            Weather::Late(time) => sleep(time).await,
            Weather::Narrow(bytes_per_s) => self.carry_narrowly(bytes, bytes_per_s, progress).await,
            _ => {}
        }
    }

    /// Lets it come in pieces, between which those of other answers come.
    async fn carry_narrowly(&self, bytes: usize, bytes_per_s: u64, progress: &ReadProgress) {
        let mut left = bytes;
        while left > 0 {
            let piece = left.min(PIECE_BYTES);
            let time = Duration::from_secs_f64(piece as f64 / bytes_per_s as f64);
            let now = Instant::now();
            let done = self.link_free.get().map_or(now, |free| free.max(now)) + time;
            self.link_free.set(Some(done));
            sleep_until(done).await;
            progress.record(piece);
            left -= piece;
        }
    }
}

impl Weather {
    /// Whether a watch that has found nothing yet goes on waiting in it.
    fn lets_watches_wait(self) -> bool {
        let undisturbed = matches!(self, Weather::Fair | Weather::AnswersLost);
        undisturbed || matches!(self, Weather::Late(_) | Weather::Narrow(_))
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
        let holds = changes.iter().all(|change| {
            let current = self.keys.get(&change.key).map(|(_, revision)| *revision);
            match change.expect {
                Expect::Absent => current.is_none(),
                Expect::Revision(revision) => current == Some(revision),
            }
        });
        if !holds {
            return Err(StoreError::Conflict);
        }
        for change in changes {
            self.apply(&change.key, Some(change.value));
        }
        Ok(self.position())
    }

    fn apply(&mut self, key: &str, value: Written) {
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
        if since < self.forgotten || since > self.revision {
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
