//! Watches the store for changes and handles its replies.

use std::{rc::Rc, time::Duration};

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
    outage::Outage,
};

/// Wait of a watch that only fetches the changes so far.
pub const MIN_WATCH_WAIT: Duration = Duration::from_millis(1);
/// Wait of the first watch after a store loss. Keys may be rejected until its reply confirms the
/// state again.
const WATCH_WAIT_AFTER_LOSS: Duration = Duration::from_millis(20);
/// Delay after a watch of a lone entry that brought changes, so that a burst of changes takes few
/// calls. It is a small part of the time within which a change must be in force.
const BURST_DELAY: Duration = Duration::from_millis(350);
/// Silence of the store, beyond its last reply time, after which it counts as lost and peers are
/// queried. Replies normally take milliseconds; 700 ms indicates a fault.
const STORE_SILENCE_LIMIT: Duration = Duration::from_millis(700);
/// Size from which a reply counts as large: reading it twice costs more of a narrow link than a
/// reply time is worth.
const LARGE_REPLY_BYTES: usize = 64 * 1024;
/// Poll interval while a reply is being received.
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl Follower {
    /// Queries the store at regular intervals, so that the confirmations other entries rely on are
    /// never older than a reply time plus one interval, whenever changes occur.
    ///
    /// A long-polling watch would deliver changes sooner, but a confirmation is dated by when the
    /// call was sent: a change that ends a wait late would delay the next confirmation to two waits
    /// after the last. Sequential calls would make the age two reply times.
    pub(super) async fn poll_store(&mut self, position: Position) -> Option<Position> {
        let interval = self.core.settings.membership.times.confirm_interval;
        // A formerly lone entry may have scheduled its next call later.
        self.next_watch_at = self.next_watch_at.min(Instant::now() + interval);
        if self.may_start_watch() {
            self.start_watch(position, MIN_WATCH_WAIT, StoreCause::Watching);
            self.next_watch_at = Instant::now() + interval;
        }
        self.check_silence();
        let relay_due_at = self.relay_due_at();
        if relay_due_at.is_some_and(|due_at| Instant::now() >= due_at) {
            self.start_relay_round(position);
        }
        let until = self.relay_due_at().unwrap_or(self.next_wakeup()).min(self.next_wakeup());
        self.wait_for_reply(until, position).await
    }

    /// Long-polls the store for changes; used by an entry that no other relies on.
    pub(super) async fn watch_alone(&mut self, position: Position) -> Option<Position> {
        if self.may_start_watch() {
            let wait = self.lone_watch_wait();
            self.start_watch(position, wait, StoreCause::Watching);
            let latency = self.core.state.borrow().store_latency;
            let relay_delay = self.core.settings.membership.times.relay_delay;
            self.next_watch_at = Instant::now() + wait + relay_delay + latency;
        }
        self.check_silence();
        self.wait_for_reply(self.next_wakeup(), position).await
    }

    /// Wait of a lone entry's watch. If its response is lost, the next watch must still bring
    /// changes in time.
    fn lone_watch_wait(&self) -> Duration {
        let membership = &self.core.settings.membership;
        let margin = membership.times.relay_delay + membership.times.exchange;
        let longest = membership.propagation.saturating_sub(margin);
        self.core.settings.store.watch_wait.min(longest)
    }

    fn may_start_watch(&self) -> bool {
        Instant::now() >= self.next_watch_at && !self.watch_calls.is_receiving()
    }

    /// When to wake next if no reply arrives before.
    fn next_wakeup(&self) -> Instant {
        if self.watch_calls.is_receiving() {
            Instant::now() + PROGRESS_POLL_INTERVAL
        } else {
            self.next_watch_at
        }
    }

    /// Starts a call for the changes after `position`.
    pub(super) fn start_watch(&mut self, position: Position, wait: Duration, cause: StoreCause) {
        let sent = self.core.clock.now();
        let wait = if self.store_lost { wait.min(WATCH_WAIT_AFTER_LOSS) } else { wait };
        let cause = if self.store_lost { StoreCause::Probing } else { cause };
        self.core.metrics.count_store_call(cause);
        let call = (self.port.store.watch)(String::new(), position.revision, wait);
        self.watch_calls.start(CallParams { sent, after: position, wait }, call);
    }

    /// Calls the store for another entry, unless a call was sent a moment ago.
    pub(super) fn serve_relay_request(&mut self, position: Position) {
        let exchange = self.core.settings.membership.times.exchange;
        let is_recent = |sent| self.core.clock.now().saturating_sub(sent) < exchange;
        if !self.watch_calls.newest_sent().is_some_and(is_recent) {
            self.start_watch(position, MIN_WATCH_WAIT, StoreCause::Relayed);
        }
    }

    async fn wait_for_reply(&mut self, until: Instant, position: Position) -> Option<Position> {
        let core = Rc::clone(&self.core);
        tokio::select! {
            biased;
            outcome = self.watch_calls.next() => self.handle_watch_reply(outcome, position),
            outcome = self.relays.next() => {
                Some(self.handle_relay_outcome(outcome, position))
            }
            () = core.relay_requests.next() => {
                self.serve_relay_request(position);
                Some(position)
            }
            () = sleep_until(until) => Some(position),
        }
    }

    /// Handles a watch reply; `None` if a new snapshot is needed.
    pub(super) fn handle_watch_reply(
        &mut self,
        outcome: CallOutcome<WatchReply>,
        position: Position,
    ) -> Option<Position> {
        let CallOutcome { params, bytes, reply } = outcome;
        match reply {
            // A call from before a restoration says nothing about the state after it.
            Ok(_) if params.after.era != position.era => Some(position),
            Ok(WatchReply::Changes(_, latest)) if latest.era != position.era => {
                self.watch_calls.clear();
                None
            }
            Ok(WatchReply::Changes(events, latest)) => {
                let next = latest.max(position);
                self.record_reply(params, bytes);
                self.begin_reply(StateSource::Store, Some(params.sent));
                // Calls overlap; changes already applied from a later call's reply are skipped.
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
            // An earlier call asked for compacted history that is no longer needed.
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
                    // A call that was silent for long must not delay the next one.
                    self.next_watch_at = self.next_watch_at.min(Instant::now() + self.backoff);
                    self.backoff = self.next_backoff();
                }
                Some(position)
            }
        }
    }

    /// Whether a reply to this call could still have brought something new.
    fn is_still_relevant(&self, params: CallParams) -> bool {
        self.core.state.borrow().freshness.confirmed_at().is_none_or(|at| params.sent >= at)
    }

    fn record_reply(&self, params: CallParams, bytes: usize) {
        let took = self.core.clock.now().saturating_sub(params.sent + params.wait);
        self.core.metrics.time(Timer::StoreCall, took);
        self.record_outage(took);
        if bytes >= LARGE_REPLY_BYTES || took >= STORE_SILENCE_LIMIT {
            let took_ms = took.as_millis() as u64;
            let event =
                FollowEvent::AnswerTookLong { after: params.after.revision, bytes, took_ms };
            self.core.event_log.record(LogPriority::State, &event);
        }
    }

    /// Records the outage that a reply of the store ends, if there was one, and the reply's time.
    ///
    /// The state is as old as the reply was late when it was confirmed, so that time is no outage.
    pub(super) fn record_outage(&self, took: Duration) {
        let mut state = self.core.state.borrow_mut();
        let latency = std::mem::replace(&mut state.store_latency, took);
        if let Some(confirmed) = state.freshness.confirmed_at() {
            let until = self.core.clock.now();
            let from = (confirmed + latency).min(until);
            state.outages.record(Outage { from, until });
        }
    }

    /// Marks the store as lost once it has been silent for too long.
    fn check_silence(&mut self) {
        let Some(oldest) = self.watch_calls.oldest_sent() else { return };
        let latency = self.core.state.borrow().store_latency;
        let wait = self.lone_watch_wait();
        let limit =
            STORE_SILENCE_LIMIT + latency + if self.is_alone() { wait } else { MIN_WATCH_WAIT };
        let confirmed = self.core.state.borrow().freshness.confirmed_at().unwrap_or_default();
        let from = oldest.max(confirmed);
        let is_silent = self.core.clock.now().saturating_sub(from) > limit;
        if is_silent && !self.watch_calls.is_receiving() && !self.store_lost {
            self.on_store_failure(&StoreError::ResponseLost);
        }
    }
}
