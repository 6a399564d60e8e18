//! Read calls to the store, several of which may be in flight.
//!
//! A call is abandoned only when its reply stalls. While it is pending, another one is sent at the
//! next regular interval, so the confirmation rate doesn't depend on the reply time, and a silent
//! connection delays confirmations by one interval only.

use std::{pin::pin, rc::Rc, time::Duration};

use pondwalk_store::{PortCall, Position, ReadProgress, StoreError};
use tokio::{
    sync::Notify,
    task::{AbortHandle, Id, JoinError, JoinSet},
    time::{Instant, sleep_until},
};

/// Time without a byte of the reply after which a call is abandoned, in addition to its own wait.
/// Guarantees cover reply times of up to 4 s; half as much again is left for transfer.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time since the last byte for which a reply counts as being received, in addition to the time to
/// its first byte, since the next page takes as long. TCP retransmits a lost packet after about 0.2
/// s, then 0.4 s.
const RECEIVING_TIMEOUT: Duration = Duration::from_secs(1);
/// Time since the first byte for which a reply counts as being received, in addition to several
/// times the time to its first byte. A reply that never ends must not keep other calls away; the
/// largest replies take half of this on the narrowest links.
const MAX_RECEIVING_TIME: Duration = Duration::from_secs(4);
/// Number of pages, each of which may take as long as the first byte.
const MAX_LATE_PAGES: u32 = 16;
/// Rate below which a reply counts as stalled once it has taken longer than a silent one may, in
/// bytes per second.
const MIN_BYTES_PER_S: f64 = 1_024.0;
/// Maximum number of calls in flight; the oldest is dropped for another one.
const MAX_CALLS: usize = 32;

/// Parameters of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallParams {
    /// Local time at which the call was sent.
    pub sent: Duration,
    /// Position after which changes are requested; the default for a list call.
    pub after: Position,
    /// How long the store waits for a change before it replies.
    pub wait: Duration,
}

/// A completed call.
#[derive(Debug)]
pub struct CallOutcome<T> {
    /// Parameters of the call.
    pub params: CallParams,
    /// Size of the reply in bytes.
    pub bytes: usize,
    /// The reply, or why there is none.
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

/// Calls in flight; dropping this aborts them.
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
        if self.calls.len() >= MAX_CALLS {
            let oldest = self.calls.remove(0);
            oldest.task.abort();
        }
        let progress = call.progress();
        let progressed = Rc::clone(&self.progressed);
        let task = self.tasks.spawn_local(async move {
            let progress = call.progress();
            let reply = await_with_progress(call, params.wait + SILENCE_TIMEOUT, &progressed).await;
            CallOutcome { params, bytes: progress.bytes(), reply }
        });
        self.calls.push(Call { id: task.id(), params, started: Instant::now(), progress, task });
    }

    /// Whether a reply is being received. A further call would only take bandwidth from it.
    pub fn is_receiving(&self) -> bool {
        self.calls.iter().any(Call::is_receiving)
    }

    /// When the oldest call in flight was sent, if there is one.
    pub fn oldest_sent(&self) -> Option<Duration> {
        self.oldest_sent_after(Duration::ZERO)
    }

    /// When the oldest call in flight of those sent at `from` or later was sent, if there is one.
    pub fn oldest_sent_after(&self, from: Duration) -> Option<Duration> {
        self.calls.iter().map(|call| call.params.sent).filter(|sent| *sent >= from).min()
    }

    /// When the newest call in flight was sent, if there is one.
    pub fn newest_sent(&self) -> Option<Duration> {
        self.calls.iter().map(|call| call.params.sent).max()
    }

    /// Waits for the next call to complete; forever if none is in flight.
    pub async fn next(&mut self) -> CallOutcome<T> {
        loop {
            self.keep_furthest();
            tokio::select! {
                biased;
                Some(joined) = self.tasks.join_next_with_id() => {
                    let id = joined.as_ref().map_or_else(JoinError::id, |(id, _)| *id);
                    self.calls.retain(|call| call.id != id);
                    // An aborted call yields no outcome.
                    if let Ok((_, outcome)) = joined {
                        return outcome;
                    }
                }
                () = self.progressed.notified() => {}
            }
        }
    }

    /// Drops calls whose replies are being received but would only repeat what is known at
    /// `position`.
    pub fn drop_superseded(&mut self, position: Position) {
        self.drop_if(|call| call.params.after < position && call.progress.bytes() > 0);
    }

    /// Drops the calls for changes after an earlier position than this one.
    pub fn drop_before(&mut self, position: Position) {
        self.drop_if(|call| call.params.after < position);
    }

    /// Drops all calls.
    pub fn clear(&mut self) {
        self.drop_if(|_| true);
    }

    /// Concurrent replies carry the same content and share the bandwidth, so only the one that has
    /// received most is kept.
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
        let first_byte_time = first - self.started;
        self.progress.bytes() > 0
            && !self.task.is_finished()
            && last.elapsed() < RECEIVING_TIMEOUT + first_byte_time
            && first.elapsed() < MAX_RECEIVING_TIME + first_byte_time * MAX_LATE_PAGES
    }
}

/// Whether a reply has taken longer than `limit` since its first byte, at a low rate.
fn is_too_slow(progress: &ReadProgress, limit: Duration) -> bool {
    let Some(first_byte_at) = progress.first_byte_at() else { return false };
    let elapsed = first_byte_at.elapsed();
    elapsed > limit && (progress.bytes() as f64) < elapsed.as_secs_f64() * MIN_BYTES_PER_S
}

/// Waits for a reply as long as it makes progress, with no gap longer than `limit`.
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
                if is_too_slow(&progress, limit) {
                    return Err(StoreError::ResponseStalled(progress.bytes()));
                }
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
