//! Passes a stream on, event by event, and resumes it elsewhere when it breaks.

use std::{rc::Rc, time::Duration};

use http_body_util::BodyExt;
use hyper::{StatusCode, body::Incoming};
use tokio::{select, task::spawn_local, time::timeout_at};

use super::{
    report::RequestEvent,
    run::Run,
    waiting::{PieceReceiver, PieceSender, pieces},
};
use crate::{
    event_log::LogPriority,
    metrics::Counter,
    placement::Placement,
    sse::EventSplitter,
    upstream::{Connection, Exchange, SendError},
};

/// Silence after which a stream is resumed elsewhere, as a multiple of the longest pause in time.
/// Most streams that pause that long go on by themselves, so a shorter one wins nothing.
const SILENCE_PART: f64 = 1.3;
/// Longest silence of a stream whose route tells no pause.
const DEFAULT_PAUSE: Duration = Duration::from_secs(2);

/// A request whose answer is under way.
pub struct Follower {
    /// The request.
    pub run: Run,
    /// The model's confidence in its answer.
    pub confidence: Option<u8>,
    /// Time until the head of the answer, in milliseconds.
    pub head_ms: u64,
    /// Status of the answer.
    pub status: StatusCode,
}

/// Where a stream comes from.
struct Source {
    body: Incoming,
    splitter: EventSplitter,
    /// Whether it goes on where another broke.
    is_resumed: bool,
    /// Whether it may be left for another when it is silent.
    may_be_left: bool,
    _connection: Connection,
    placement: Placement,
}

impl Source {
    fn new(body: Incoming, connection: Connection, placement: Placement, is_resumed: bool) -> Self {
        let splitter = EventSplitter::default();
        let _connection = connection;
        Source { body, splitter, is_resumed, may_be_left: true, _connection, placement }
    }
}

/// How a source ended.
enum End {
    /// Whole.
    Whole,
    /// The caller left.
    CallerLeft,
    /// Before it was whole, for this reason.
    Broken(&'static str),
    /// It is silent, and another could be asked.
    Silent,
    /// The time for the request is over.
    TimedOut,
}

/// Starts to pass a stream on.
pub fn start(
    follower: Follower,
    body: Incoming,
    connection: Connection,
    placement: Placement,
) -> PieceReceiver {
    let (sender, receiver) = pieces();
    let last_id = follower.run.job.last_event_id.clone();
    let is_resumed = last_id.is_some();
    let relay = Relay { follower, sender, last_id };
    let source = Source::new(body, connection, placement, is_resumed);
    spawn_local(relay.run(source));
    receiver
}

struct Relay {
    follower: Follower,
    sender: PieceSender,
    last_id: Option<String>,
}

impl Relay {
    async fn run(mut self, mut source: Source) {
        loop {
            match self.pass(&mut source).await {
                End::Whole => {
                    let Follower { run, confidence, head_ms, status } = &self.follower;
                    run.note_answered(&source.placement, *confidence, *head_ms, *status);
                    if !source.is_resumed {
                        source.placement.on_completed();
                    }
                    return;
                }
                End::CallerLeft => {
                    self.note_left(&source);
                    return;
                }
                End::TimedOut => {
                    self.cut(&source, "timed_out");
                    return;
                }
                End::Silent => {
                    let run = &self.follower.run;
                    run.note_failed(&source.placement, "stream_silent", String::new());
                    // NB: it is held on to until another has answered, since it may go on yet.
                    match self.resume(&source).await {
                        Some(next) => source = next,
                        None => source.may_be_left = false,
                    }
                }
                End::Broken(reason) => {
                    source.placement.on_connection_broken();
                    let run = &mut self.follower.run;
                    run.note_failed(&source.placement, "stream_broken", reason.to_owned());
                    run.note_broke(&source.placement);
                    match self.resume(&source).await {
                        Some(next) => source = next,
                        None => {
                            self.cut(&source, reason);
                            return;
                        }
                    }
                }
            }
        }
    }

    /// Passes events on until the source ends.
    async fn pass(&mut self, source: &mut Source) -> End {
        let job = Rc::clone(&self.follower.run.job);
        let clock = self.follower.run.core.clock.clone();
        let silence = job.route.max_event_gap.unwrap_or(DEFAULT_PAUSE).mul_f64(SILENCE_PART);
        let mut last_heard = clock.now();
        loop {
            // NB: with nowhere to go on, silence is no reason to end the answer.
            let may_leave = self.follower.run.core.settings.policy.leaves_silent_streams
                && source.may_be_left
                && source.placement.has_alternative
                // NB: two servers at a time must not run what one has ended under.
                && self.follower.run.core.crash_count(&job) == 0
                && self.follower.run.may_go_on();
            let until = if may_leave { last_heard + silence } else { clock.now() + silence };
            let until = until.min(job.deadline);
            let frame = select! {
                biased;
                () = self.sender.closed() => return End::CallerLeft,
                frame = timeout_at(clock.instant(until), source.body.frame()) => frame,
            };
            match frame {
                Err(_) if clock.now() >= job.deadline => return End::TimedOut,
                Err(_) if may_leave => return End::Silent,
                Err(_) => {}
                Ok(None) if source.splitter.has_partial_event() => {
                    return End::Broken("ended_within_an_event");
                }
                Ok(None) => return End::Whole,
                Ok(Some(Err(_))) => return End::Broken("connection_broken"),
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    last_heard = clock.now();
                    source.splitter.push(&data);
                    if !self.deliver(&mut source.splitter).await {
                        return End::CallerLeft;
                    }
                }
            }
        }
    }

    async fn deliver(&mut self, splitter: &mut EventSplitter) -> bool {
        let Some(whole) = splitter.pop_complete() else { return true };
        if whole.last_id.is_some() {
            self.last_id = whole.last_id;
        }
        self.sender.send(whole.bytes).await.is_ok()
    }

    /// Goes on after the last event delivered, at another backend server.
    async fn resume(&mut self, broken: &Source) -> Option<Source> {
        let run = &mut self.follower.run;
        run.avoid.push(broken.placement.server().clone());
        while run.job.route.kind.may_repeat() && run.core.clock.now() < run.job.deadline {
            run.ask_to_run().await.ok()?;
            if !run.take_further_send(0.0) {
                return None;
            }
            let placement = run.wait_for_place().await.ok()?;
            let until = run.job.deadline;
            match run.send(&placement, until, self.last_id.as_deref()).await {
                Ok(exchange) if goes_on(run, &exchange) => {
                    run.core.metrics.count(Counter::Resumes);
                    let event = RequestEvent::StreamResumed {
                        request: &run.job.id,
                        server: placement.server(),
                        last_event_id: self.last_id.as_deref(),
                        after_ms: run.after_ms(),
                    };
                    run.core.event_log.record(LogPriority::Failure, &event);
                    return Some(source_of(exchange, placement));
                }
                Ok(exchange) => {
                    let status = exchange.response.status().to_string();
                    run.note_failed(&placement, "not_resumed", status);
                    if run.says_not_run(&exchange.response) {
                        placement.mark_finished();
                    }
                    if run.notice(&exchange.response).backoff.is_none() {
                        placement.on_rejected();
                    }
                }
                Err(error) => {
                    run.note_failed(&placement, "not_resumed", error.to_string());
                    if matches!(error, SendError::Broken(_)) {
                        run.note_broke(&placement);
                    }
                    note_unsent(&placement, &error);
                }
            }
            run.avoid.push(placement.server().clone());
        }
        None
    }

    fn cut(&self, source: &Source, reason: &'static str) {
        let run = &self.follower.run;
        run.core.metrics.count(Counter::Failed);
        let event = RequestEvent::StreamCut {
            request: &run.job.id,
            server: source.placement.server(),
            reason,
            after_ms: run.after_ms(),
        };
        run.core.event_log.record(LogPriority::Failure, &event);
        self.sender.cut();
    }

    fn note_left(&self, source: &Source) {
        let run = &self.follower.run;
        run.core.metrics.count(Counter::Abandoned);
        let event = RequestEvent::CallerLeft {
            request: &run.job.id,
            server: source.placement.server(),
            after_ms: run.after_ms(),
        };
        run.core.event_log.record(LogPriority::Failure, &event);
    }
}

/// The server is left alone for a while, unless the request was kept from it; one that was not reached may
/// be cold when it is.
fn note_unsent(placement: &Placement, error: &SendError) {
    match error {
        SendError::NotSent { why, .. } => placement.on_unreachable(*why),
        SendError::Withheld => placement.mark_finished(),
        _ => placement.on_rejected(),
    }
}

fn goes_on(run: &Run, exchange: &Exchange) -> bool {
    let response = &exchange.response;
    response.status().is_success() && !run.says_not_run(response) && run.is_authentic(response)
}

fn source_of(exchange: Exchange, mut placement: Placement) -> Source {
    placement.on_response_started();
    Source::new(exchange.response.into_body(), exchange.connection, placement, true)
}
