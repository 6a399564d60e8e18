//! Asks the store what has changed, and takes its answers in.

use std::time::Duration;

use pondwalk_store::{Position, StoreError, StoreEvent, WatchReply};
use tokio::time::{Instant, sleep_until};

use super::{
    Follower, Heard,
    asking::{Answered, Asked},
    report::Learned,
};
use crate::{
    event_log::LogPriority,
    metrics::{StoreCause, Timer},
};

/// Wait of a watch that is only to tell what has changed by now.
pub const NO_WAIT: Duration = Duration::from_millis(1);
/// Wait of the first watch after the store was lost. Its answer confirms the state again, and
/// until then keys may not be honoured.
const WAIT_AFTER_LOSS: Duration = Duration::from_millis(20);
/// Pause after a watch of an entry that is alone, if it brought changes, so that a burst of them
/// costs a few calls only. It is a small part of the time in which a change must be in force.
const GATHER_PAUSE: Duration = Duration::from_millis(350);
/// Silence of the store, beyond what its last answer took, from which it counts as lost, so that
/// others are asked. Answers come in milliseconds; one in seven tenths of a second is out of order.
const SILENCE: Duration = Duration::from_millis(700);
/// Bytes from which an answer counts as large: reading it again costs a narrow link more than an
/// answer time is worth.
const LARGE_BYTES: usize = 64 * 1024;
/// Time between two looks at an answer that is being read.
const LOOK: Duration = Duration::from_millis(100);

impl Follower {
    /// Asks the store at regular times, so that the confirmations that others rest on are never
    /// older than an answer takes and the time between two of them, whatever changes when.
    ///
    /// NB: a waiting watch would tell a change sooner, but is dated by when it was sent: a change
    /// that ends one late lets the next confirmation come two waits after the last. And a question
    /// that waited for the answer to the one before would make the age two answers' time.
    pub(super) async fn confirm_for_others(&mut self, position: Position) -> Option<Position> {
        let interval = self.core.settings.membership.times.confirm_interval;
        // NB: one that was alone until now may have put its next question off for longer.
        self.ask_at = self.ask_at.min(Instant::now() + interval);
        if self.may_ask() {
            self.start_watch(position, NO_WAIT, StoreCause::Watching);
            self.ask_at = Instant::now() + interval;
        }
        self.note_silence();
        if self.lost && Instant::now() >= self.ask_around_at {
            self.ask_around_at = Instant::now() + interval;
            return Some(self.ask_around(position).await);
        }
        self.answer_until(self.look_at(), position).await
    }

    /// Waits at the store for changes; for an entry on which no other rests.
    pub(super) async fn watch_alone(&mut self, position: Position) -> Option<Position> {
        if self.may_ask() {
            let wait = self.core.settings.store.watch_wait;
            self.start_watch(position, wait, StoreCause::Watching);
            self.ask_at = Instant::now() + wait + SILENCE;
        }
        self.note_silence();
        self.answer_until(self.look_at(), position).await
    }

    fn may_ask(&self) -> bool {
        Instant::now() >= self.ask_at && !self.watching.is_moving()
    }

    /// When to look next if no answer comes before.
    fn look_at(&self) -> Instant {
        if self.watching.is_moving() { Instant::now() + LOOK } else { self.ask_at }
    }

    /// Starts a call for what has changed after `position`.
    pub(super) fn start_watch(&mut self, position: Position, wait: Duration, cause: StoreCause) {
        let sent = self.core.clock.now();
        let wait = if self.lost { wait.min(WAIT_AFTER_LOSS) } else { wait };
        let cause = if self.lost { StoreCause::Probing } else { cause };
        self.core.metrics.count_store_call(cause);
        let call = (self.port.store.watch)(String::new(), position.revision, wait);
        self.watching.start(Asked { sent, after: position, wait }, call);
    }

    async fn answer_until(&mut self, until: Instant, position: Position) -> Option<Position> {
        tokio::select! {
            biased;
            answered = self.watching.next() => self.take_answer(answered, position),
            () = sleep_until(until) => Some(position),
        }
    }

    /// Takes an answer in; `None` if all must be read anew.
    pub(super) fn take_answer(
        &mut self,
        answered: Answered<WatchReply>,
        position: Position,
    ) -> Option<Position> {
        let Answered { asked, bytes, answer } = answered;
        match answer {
            // NB: what was asked before a restoration says nothing of what came after it.
            Ok(_) if asked.after.era != position.era => Some(position),
            Ok(WatchReply::Changes(_, told)) if told.era != position.era => {
                self.watching.clear();
                None
            }
            Ok(WatchReply::Changes(events, told)) => {
                let next = told.max(position);
                self.note_answer(asked, bytes);
                self.learns_from = Heard::FromStore;
                // NB: calls overlap; what an answer of a later one has brought is not gone back on.
                let events: Vec<StoreEvent> = events
                    .into_iter()
                    .filter(|event| event.revision() > position.revision)
                    .collect();
                self.take_changes(&events, next);
                self.confirm(asked.sent, next, Heard::FromStore);
                if bytes >= LARGE_BYTES {
                    self.watching.drop_before(next);
                    self.ask_at = Instant::now();
                } else if self.is_alone() {
                    let is_burst = !events.is_empty() && asked.wait > WAIT_AFTER_LOSS;
                    let pause = if is_burst { GATHER_PAUSE } else { Duration::ZERO };
                    self.ask_at = Instant::now() + pause;
                }
                Some(next)
            }
            // NB: of the history that an earlier question asked for, nothing is needed any more.
            Ok(WatchReply::HistoryGone) if asked.after < position => Some(position),
            Ok(WatchReply::HistoryGone) => {
                self.core.event_log.record(LogPriority::State, &Learned::HistoryGone { position });
                self.watching.clear();
                None
            }
            Err(error) => {
                if self.is_of_use(asked) {
                    self.note_failure(&error);
                    self.ask_at = Instant::now() + self.pause;
                    self.pause = self.next_pause();
                }
                Some(position)
            }
        }
    }

    /// Whether an answer to this question would still have told something.
    fn is_of_use(&self, asked: Asked) -> bool {
        self.core.state.borrow().freshness.confirmed().is_none_or(|at| asked.sent >= at)
    }

    fn note_answer(&self, asked: Asked, bytes: usize) {
        let took = self.core.clock.now().saturating_sub(asked.sent + asked.wait);
        self.core.metrics.time(Timer::StoreCall, took);
        self.core.state.borrow_mut().store_latency = took;
        if bytes >= LARGE_BYTES || took >= SILENCE {
            let took_ms = took.as_millis() as u64;
            let event = Learned::AnswerTookLong { after: asked.after.revision, bytes, took_ms };
            self.core.event_log.record(LogPriority::State, &event);
        }
    }

    /// Counts the store as lost once it has been silent for longer than it should.
    fn note_silence(&mut self) {
        let Some(oldest) = self.watching.oldest_sent() else { return };
        let takes = self.core.state.borrow().store_latency;
        let wait = self.core.settings.store.watch_wait;
        let limit = SILENCE + takes + if self.is_alone() { wait } else { NO_WAIT };
        let confirmed = self.core.state.borrow().freshness.confirmed().unwrap_or_default();
        let from = oldest.max(confirmed);
        let is_silent = self.core.clock.now().saturating_sub(from) > limit;
        if is_silent && !self.watching.is_moving() && !self.lost {
            self.note_failure(&StoreError::ResponseLost);
        }
    }
}
