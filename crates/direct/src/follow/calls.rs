//! Reading calls to the store that are under way, several at a time.
//!
//! A call is given up only when its answer no longer comes. While it is unanswered another is sent at
//! the next regular time, so that how often the state is confirmed does not depend on how long an
//! answer takes; a connection that has gone silent delays it by one such time.

use std::{pin::pin, rc::Rc, time::Duration};

use pondwalk_store::{PortCall, Position, ReadProgress, StoreError};
use tokio::{
    sync::Notify,
    task::{AbortHandle, Id, JoinError, JoinSet},
    time::{Instant, sleep_until},
};

/// Time without a byte of its answer after which a call is given up, besides its own wait: the
/// longest answer time for which anything is promised is 4 s, and a third more is left to the way.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time since the last byte for which an answer counts as being read, besides what the store took to
/// begin it, since the next page takes as long. A lost packet is sent again after some 0.2 s, then
/// 0.4 s.
const RECEIVING_TIMEOUT: Duration = Duration::from_secs(1);

/// What a call asked, and when.
#[derive(Debug, Clone, Copy)]
pub struct CallParams {
    /// Own time at which it was sent.
    pub sent: Duration,
    /// Place after which it asks for changes; the first one for a whole reading.
    pub after: Position,
    /// How long the store was to wait for one.
    pub wait: Duration,
}

/// A call that has ended.
#[derive(Debug)]
pub struct CallOutcome<T> {
    /// What it asked.
    pub params: CallParams,
    /// Bytes of its answer.
    pub bytes: usize,
    /// Its answer, or why there is none.
    pub reply: Result<T, StoreError>,
}

#[derive(Debug)]
struct Call {
    id: Id,
    params: CallParams,
    started: Instant,
    progress: ReadProgress,
    task: AbortHandle,
}

/// The calls under way; all are ended with it.
#[derive(Debug)]
pub struct PendingCalls<T> {
    tasks: JoinSet<CallOutcome<T>>,
    calls: Vec<Call>,
    progressed: Rc<Notify>,
}

impl<T> Default for PendingCalls<T> {
    fn default() -> Self {
        PendingCalls { tasks: JoinSet::new(), calls: Vec::new(), progressed: Rc::default() }
    }
}

impl<T: 'static> PendingCalls<T> {
    /// Starts another call.
    pub fn start(&mut self, params: CallParams, call: PortCall<T>) {
        let progress = call.progress();
        let progressed = Rc::clone(&self.progressed);
        let task = self.tasks.spawn_local(async move {
            let progress = call.progress();
            let reply = await_with_progress(call, params.wait + SILENCE_TIMEOUT, &progressed).await;
            CallOutcome { params, bytes: progress.bytes(), reply }
        });
        self.calls.push(Call { id: task.id(), params, started: Instant::now(), progress, task });
    }

    /// Whether an answer is being read. A further call would only take part of the link from it.
    pub fn is_receiving(&self) -> bool {
        self.calls.iter().any(Call::is_receiving)
    }

    /// When the oldest call under way was sent, if any is.
    pub fn oldest_sent(&self) -> Option<Duration> {
        self.calls.iter().map(|call| call.params.sent).min()
    }

    /// Waits for the next call to end; forever if none is under way.
    pub async fn next(&mut self) -> CallOutcome<T> {
        loop {
            self.keep_furthest();
            tokio::select! {
                biased;
                Some(ended) = self.tasks.join_next_with_id() => {
                    let id = ended.as_ref().map_or_else(JoinError::id, |(id, _)| *id);
                    self.calls.retain(|call| call.id != id);
                    // NB: a call that was dropped ends without an answer.
                    if let Ok((_, outcome)) = ended {
                        return outcome;
                    }
                }
                () = self.progressed.notified() => {}
            }
        }
    }

    /// Drops the calls whose answers are being read, but would only bring what is known by
    /// `position`.
    pub fn drop_superseded(&mut self, position: Position) {
        self.drop_if(|call| call.params.after < position && call.progress.bytes() > 0);
    }

    /// Drops the calls for changes after a place before this one.
    pub fn drop_before(&mut self, position: Position) {
        self.drop_if(|call| call.params.after < position);
    }

    /// Drops all calls.
    pub fn clear(&mut self) {
        self.drop_if(|_| true);
    }

    /// Of two answers that come at the same time each brings what the other does, and halves its
    /// speed; the one that has come furthest is kept.
    fn keep_furthest(&mut self) {
        let receiving = self.calls.iter().filter(|call| call.is_receiving());
        let furthest = receiving.max_by_key(|call| call.progress.bytes()).map(|call| call.id);
        if let Some(furthest) = furthest {
            self.drop_if(|call| call.id != furthest && call.is_receiving());
        }
    }

    fn drop_if(&mut self, is_dropped: impl Fn(&Call) -> bool) {
        self.calls.retain(|call| {
            let is_dropped = is_dropped(call);
            if is_dropped {
                call.task.abort();
            }
            !is_dropped
        });
    }
}

impl Call {
    fn is_receiving(&self) -> bool {
        let (Some(first), Some(last)) =
            (self.progress.first_byte_at(), self.progress.last_byte_at())
        else {
            return false;
        };
        let limit = RECEIVING_TIMEOUT + (first - self.started);
        self.progress.bytes() > 0 && !self.task.is_finished() && last.elapsed() < limit
    }
}

/// Waits for an answer for as long as it makes progress, with no pause over `limit`.
async fn await_with_progress<T>(
    call: PortCall<T>,
    limit: Duration,
    progressed: &Notify,
) -> Result<T, StoreError> {
    let progress = call.progress();
    let mut call = pin!(call);
    let mut end = Instant::now() + limit;
    loop {
        tokio::select! {
            biased;
            reply = &mut call => return reply,
            () = progress.changed() => {
                end = Instant::now() + limit;
                progressed.notify_one();
            }
            () = sleep_until(end) => {
                return Err(match progress.bytes() {
                    0 => StoreError::ResponseLost,
                    bytes => StoreError::ResponseStalled(bytes),
                });
            }
        }
    }
}
