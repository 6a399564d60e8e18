//! Asks the store what has changed, and takes its answers in.

use std::time::Duration;

use pondwalk_store::{Position, StoreError, StoreEvent, WatchReply};
use tokio::time::{Instant, sleep_until};

use super::{
    Follower, StateSource,
    calls::{CallOutcome, CallParams},
    events::FollowEvent,
};
use crate::{
    event_log::LogPriority,
    metrics::{StoreCause, Timer},
};

/// Wait of a watch that is only to tell what has changed by now.
pub const MIN_WATCH_WAIT: Duration = Duration::from_millis(1);
/// Wait of the first watch after the store was lost. Its answer confirms the state again, and
/// until then keys may not be honoured.
const WATCH_WAIT_AFTER_LOSS: Duration = Duration::from_millis(20);
/// Pause after a watch of an entry that is alone, if it brought changes, so that a burst of them
/// costs a few calls only. It is a small part of the time in which a change must be in force.
const BURST_DELAY: Duration = Duration::from_millis(350);
/// Silence of the store, beyond what its last answer took, from which it counts as lost, so that
/// others are asked. Answers come in milliseconds; one in seven tenths of a second is out of order.
const STORE_SILENCE_LIMIT: Duration = Duration::from_millis(700);
/// Bytes from which an answer counts as large: reading it again costs a narrow link more than an
/// answer time is worth.
const LARGE_REPLY_BYTES: usize = 64 * 1024;
/// Time between two looks at an answer that is being read.
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl Follower {
    /// Asks the store at regular times, so that the confirmations that others rest on are never
    /// older than an answer takes and the time between two of them, whatever changes when.
    ///
    /// NB: a waiting watch would tell a change sooner, but is dated by when it was sent: a change
    /// that ends one late lets the next confirmation come two waits after the last. And a question
    /// that waited for the answer to the one before would make the age two answers' time.
    pub(super) async fn poll_store(&mut self, position: Position) -> Option<Position> {
        let interval = self.core.settings.membership.times.confirm_interval;
        // NB: one that was alone until now may have put its next question off for longer.
        self.next_watch_at = self.next_watch_at.min(Instant::now() + interval);
        if self.may_start_watch() {
            self.start_watch(position, MIN_WATCH_WAIT, StoreCause::Watching);
            self.next_watch_at = Instant::now() + interval;
        }
        self.check_silence();
        if self.store_lost && Instant::now() >= self.next_peer_round_at {
            self.next_peer_round_at = Instant::now() + interval;
            return Some(self.poll_peers(position).await);
        }
        self.wait_for_reply(self.next_wakeup(), position).await
    }

    /// Waits at the store for changes; for an entry on which no other rests.
    pub(super) async fn watch_alone(&mut self, position: Position) -> Option<Position> {
        if self.may_start_watch() {
            let wait = self.core.settings.store.watch_wait;
            self.start_watch(position, wait, StoreCause::Watching);
            self.next_watch_at = Instant::now() + wait + STORE_SILENCE_LIMIT;
        }
        self.check_silence();
        self.wait_for_reply(self.next_wakeup(), position).await
    }

    fn may_start_watch(&self) -> bool {
        Instant::now() >= self.next_watch_at && !self.watch_calls.is_receiving()
    }

    /// When to look next if no answer comes before.
    fn next_wakeup(&self) -> Instant {
        if self.watch_calls.is_receiving() {
            Instant::now() + PROGRESS_POLL_INTERVAL
        } else {
            self.next_watch_at
        }
    }

    /// Starts a call for what has changed after `position`.
    pub(super) fn start_watch(&mut self, position: Position, wait: Duration, cause: StoreCause) {
        let sent = self.core.clock.now();
        let wait = if self.store_lost { wait.min(WATCH_WAIT_AFTER_LOSS) } else { wait };
        let cause = if self.store_lost { StoreCause::Probing } else { cause };
        self.core.metrics.count_store_call(cause);
        let call = (self.port.store.watch)(String::new(), position.revision, wait);
        self.watch_calls.start(CallParams { sent, after: position, wait }, call);
    }

    async fn wait_for_reply(&mut self, until: Instant, position: Position) -> Option<Position> {
        tokio::select! {
            biased;
            outcome = self.watch_calls.next() => self.handle_watch_reply(outcome, position),
            () = sleep_until(until) => Some(position),
        }
    }

    /// Takes an answer in; `None` if all must be read anew.
    pub(super) fn handle_watch_reply(
        &mut self,
        outcome: CallOutcome<WatchReply>,
        position: Position,
    ) -> Option<Position> {
        let CallOutcome { params, bytes, reply } = outcome;
        match reply {
            // NB: what was asked before a restoration says nothing of what came after it.
            Ok(_) if params.after.era != position.era => Some(position),
            Ok(WatchReply::Changes(_, latest)) if latest.era != position.era => {
                self.watch_calls.clear();
                None
            }
            Ok(WatchReply::Changes(events, latest)) => {
                let next = latest.max(position);
                self.record_reply(params, bytes);
                self.applying_from = StateSource::Store;
                // NB: calls overlap; what an answer of a later one has brought is not gone back on.
                let events: Vec<StoreEvent> = events
                    .into_iter()
                    .filter(|event| event.revision() > position.revision)
                    .collect();
                self.apply_changes(&events, next);
                self.confirm(params.sent, next, StateSource::Store);
                if bytes >= LARGE_REPLY_BYTES {
                    self.watch_calls.drop_before(next);
                    self.next_watch_at = Instant::now();
                } else if self.is_alone() {
                    let is_burst = !events.is_empty() && params.wait > WATCH_WAIT_AFTER_LOSS;
                    let pause = if is_burst { BURST_DELAY } else { Duration::ZERO };
                    self.next_watch_at = Instant::now() + pause;
                }
                Some(next)
            }
            // NB: of the history that an earlier question asked for, nothing is needed any more.
            Ok(WatchReply::HistoryGone) if params.after < position => Some(position),
            Ok(WatchReply::HistoryGone) => {
                self.core
                    .event_log
                    .record(LogPriority::State, &FollowEvent::HistoryGone { position });
                self.watch_calls.clear();
                None
            }
            Err(error) => {
                if self.is_still_relevant(params) {
                    self.on_store_failure(&error);
                    self.next_watch_at = Instant::now() + self.backoff;
                    self.backoff = self.next_backoff();
                }
                Some(position)
            }
        }
    }

    /// Whether an answer to this question would still have told something.
    fn is_still_relevant(&self, params: CallParams) -> bool {
        self.core.state.borrow().freshness.confirmed_at().is_none_or(|at| params.sent >= at)
    }

    fn record_reply(&self, params: CallParams, bytes: usize) {
        let took = self.core.clock.now().saturating_sub(params.sent + params.wait);
        self.core.metrics.time(Timer::StoreCall, took);
        self.core.state.borrow_mut().store_latency = took;
        if bytes >= LARGE_REPLY_BYTES || took >= STORE_SILENCE_LIMIT {
            let took_ms = took.as_millis() as u64;
            let event =
                FollowEvent::AnswerTookLong { after: params.after.revision, bytes, took_ms };
            self.core.event_log.record(LogPriority::State, &event);
        }
    }

    /// Counts the store as lost once it has been silent for longer than it should.
    fn check_silence(&mut self) {
        let Some(oldest) = self.watch_calls.oldest_sent() else { return };
        let takes = self.core.state.borrow().store_latency;
        let wait = self.core.settings.store.watch_wait;
        let limit =
            STORE_SILENCE_LIMIT + takes + if self.is_alone() { wait } else { MIN_WATCH_WAIT };
        let confirmed = self.core.state.borrow().freshness.confirmed_at().unwrap_or_default();
        let from = oldest.max(confirmed);
        let is_silent = self.core.clock.now().saturating_sub(from) > limit;
        if is_silent && !self.watch_calls.is_receiving() && !self.store_lost {
            self.on_store_failure(&StoreError::ResponseLost);
        }
    }
}
