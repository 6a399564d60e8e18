//! Relays a stream event by event, and resumes it on another server when it breaks.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use pondwalk_decide::direct::RunExtent;
use tokio::{select, task::spawn_local, time::timeout_at};

use super::{
    body_channel::{ChunkReceiver, ChunkSender, chunk_channel},
    events::RequestEvent,
    in_flight::InFlightRequest,
    stream_progress::{StreamMove, StreamProgress, log_slow},
};
use crate::{
    core::Core,
    event_log::LogPriority,
    metrics::Counter,
    placement::Placement,
    sse::{CompleteEvents, EventSplitter, RelayableBytes},
    upstream::{Exchange, SendError, StreamBody, is_final_status},
};

/// Silence after which a stream is resumed elsewhere, as a multiple of the route's event pause.
/// Most streams that pause that long continue by themselves, so a shorter time gains nothing.
const SILENCE_FACTOR: f64 = 1.3;
/// Time after its first event from which a stream counts as one that did not crash its server at
/// once.
const SURVIVAL_TIME: Duration = Duration::from_millis(500);
/// Time after the deadline in which the end of a stream that its server sends at once still counts.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(100);
/// Event pause of a route that sets none.
const DEFAULT_EVENT_PAUSE: Duration = Duration::from_secs(2);

/// A request whose response is being relayed.
pub struct RelayedRequest {
    /// The request.
    pub in_flight: InFlightRequest,
    /// The model's confidence in its response.
    pub confidence: Option<u8>,
    /// Time from arrival to the response head, in milliseconds.
    pub head_ms: u64,
    /// Status of the response.
    pub status: StatusCode,
}

/// A stream from a backend server.
struct StreamSource {
    body: StreamBody,
    splitter: EventSplitter,
    /// Whether it continues a stream that broke elsewhere.
    is_resumed: bool,
    /// Whether silence may move the request to another server.
    may_switch: bool,
    /// When the first event was received.
    first_event_at: Option<Duration>,
    /// Whether the run counts as one that did not crash its server at once.
    has_survived: bool,
    placement: Placement,
}

impl StreamSource {
    fn new(body: StreamBody, placement: Placement, is_resumed: bool) -> Self {
        let splitter = EventSplitter::new(placement.buffers());
        StreamSource {
            body,
            splitter,
            is_resumed,
            may_switch: true,
            first_event_at: None,
            has_survived: false,
            placement,
        }
    }
}

impl StreamSource {
    /// How much of the complete answer its server has made.
    fn extent(&self) -> RunExtent {
        match !self.is_resumed && self.first_event_at.is_some() {
            true => RunExtent::Whole,
            false => RunExtent::Partial,
        }
    }
}

/// How a stream ended.
enum StreamEnd {
    /// Complete.
    Whole,
    /// The caller disconnected.
    CallerLeft,
    /// Incomplete, for this reason.
    Broken(&'static str),
    /// Silent, and another server may be tried.
    Silent,
    /// Too slow, and to be moved to another server.
    Slow(StreamMove),
    /// The request's deadline has passed.
    TimedOut,
}

/// Starts to relay a stream.
pub fn start(relayed: RelayedRequest, body: StreamBody, placement: Placement) -> ChunkReceiver {
    let (sender, receiver) = chunk_channel(&relayed.in_flight.core.traffic_buffers);
    let last_id = relayed.in_flight.job.last_event_id.clone();
    let is_resumed = last_id.is_some();
    let progress = StreamProgress::new(&relayed.in_flight);
    let relay = Relay {
        relayed,
        sender,
        last_id,
        can_resume: true,
        caller_paused: Duration::ZERO,
        progress,
    };
    let source = StreamSource::new(body, placement, is_resumed);
    spawn_local(relay.run(source));
    receiver
}

struct Relay {
    relayed: RelayedRequest,
    sender: ChunkSender,
    last_id: Option<String>,
    /// Whether the stream would continue exactly after `last_id`.
    can_resume: bool,
    /// Time for which the caller did not take what was received.
    caller_paused: Duration,
    progress: StreamProgress,
}

impl Relay {
    async fn run(mut self, mut source: StreamSource) {
        loop {
            match self.relay_events(&mut source).await {
                StreamEnd::Whole => {
                    let RelayedRequest { in_flight, confidence, head_ms, status } = &self.relayed;
                    let timing = self.progress.timing();
                    in_flight.record_answered(
                        &source.placement,
                        *confidence,
                        *head_ms,
                        *status,
                        timing,
                        source.extent(),
                    );
                    if !source.is_resumed {
                        source.placement.on_completed();
                    }
                    self.sender.finish();
                    return;
                }
                StreamEnd::CallerLeft => {
                    self.relayed.in_flight.record_caller_left(&source.placement);
                    return;
                }
                StreamEnd::TimedOut => {
                    let in_flight = &self.relayed.in_flight;
                    if source.body.meter.bytes() > in_flight.core.max_kept_bytes() {
                        source.placement.on_connection_broken();
                        in_flight.record_answer_too_long(&source.placement, &source.body.meter);
                    }
                    self.cut(&source, "timed_out");
                    return;
                }
                StreamEnd::Silent => {
                    let in_flight = &self.relayed.in_flight;
                    in_flight.log_failed_send(&source.placement, "stream_silent", String::new());
                    // The silent stream is kept until another server has responded, since it may
                    // still continue.
                    let deadline = in_flight.job.deadline;
                    match self.resume(&source, deadline, u32::MAX).await {
                        Some(next) => source = next,
                        None => source.may_switch = false,
                    }
                }
                StreamEnd::Slow(decided) => {
                    // Like a silent stream, the old one is kept until another server has responded.
                    match self.resume(&source, decided.until, 1).await {
                        Some(next) => {
                            self.record_move(&source, &next, decided);
                            source = next;
                        }
                        None => {
                            let in_flight = &self.relayed.in_flight;
                            let StreamMove { token_ms, expected_ms, .. } = decided;
                            log_slow(in_flight, &source.placement, token_ms, expected_ms);
                        }
                    }
                }
                StreamEnd::Broken(reason) => {
                    let in_flight = &mut self.relayed.in_flight;
                    in_flight.log_failed_send(
                        &source.placement,
                        "stream_broken",
                        reason.to_owned(),
                    );
                    source.placement.on_connection_broken();
                    if source.body.meter.exceeded_in().is_some() {
                        in_flight.record_answer_too_long(&source.placement, &source.body.meter);
                    } else {
                        in_flight.record_broken_connection(&source.placement);
                    }
                    let deadline = in_flight.job.deadline;
                    match self.resume(&source, deadline, u32::MAX).await {
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

    /// Relays events until the stream ends.
    async fn relay_events(&mut self, source: &mut StreamSource) -> StreamEnd {
        let job = Rc::clone(&self.relayed.in_flight.job);
        let clock = self.relayed.in_flight.core.clock.clone();
        let max_silence =
            job.route.max_event_gap.unwrap_or(DEFAULT_EVENT_PAUSE).mul_f64(SILENCE_FACTOR);
        let mut last_received = clock.now();
        loop {
            // The time for which the caller does not read is not the server's.
            let deadline = job.deadline + self.caller_paused;
            if clock.now() >= deadline + DEADLINE_TOLERANCE {
                return StreamEnd::TimedOut;
            }
            // Without an alternative, silence does not end the stream.
            let can_switch = self.can_resume
                && self.relayed.in_flight.core.settings.policy.leaves_silent_streams
                && source.may_switch
                && source.placement.has_alternative
                // A request that has crashed a server must not run on two servers at once.
                && self.relayed.in_flight.core.crash_count(&job) == 0
                && self.relayed.in_flight.can_send_again();
            let until =
                if can_switch { last_received + max_silence } else { clock.now() + max_silence };
            let until = until.min(deadline);
            let frame = select! {
                biased;
                () = self.sender.closed() => return StreamEnd::CallerLeft,
                frame = timeout_at(clock.instant(until), source.body.frames.frame()) => frame,
            };
            match frame {
                Err(_) if clock.now() >= deadline => return StreamEnd::TimedOut,
                Err(_) if can_switch => return StreamEnd::Silent,
                Err(_) => {}
                Ok(None) if source.splitter.has_partial_event() => {
                    return StreamEnd::Broken("ended_within_an_event");
                }
                Ok(None) if source.body.ends_with_connection => {
                    let in_flight = &self.relayed.in_flight;
                    let is_long = source.body.meter.bytes() > in_flight.core.max_kept_bytes();
                    let has_ended = match is_long {
                        true => {
                            in_flight.has_server_ended_after_long_answer(&source.placement).await
                        }
                        false => in_flight.has_server_ended(&source.placement).await,
                    };
                    return match has_ended {
                        true => StreamEnd::Broken("ended_with_its_server"),
                        false => StreamEnd::Whole,
                    };
                }
                Ok(None) => return StreamEnd::Whole,
                Ok(Some(Err(_))) => return StreamEnd::Broken("connection_broken"),
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    last_received = clock.now();
                    source.splitter.push(&data);
                    let Some(has_sample) = self.deliver(source).await else {
                        return StreamEnd::CallerLeft;
                    };
                    let in_flight = &self.relayed.in_flight;
                    if has_sample
                        && let Some(decided) = self.progress.take_move(in_flight, &source.placement)
                    {
                        return StreamEnd::Slow(decided);
                    }
                }
            }
        }
    }

    /// Passes on what can be relayed. Returns whether a sample of the stream's pace is complete, or
    /// `None` if the caller has disconnected.
    async fn deliver(&mut self, source: &mut StreamSource) -> Option<bool> {
        let mut has_sample = false;
        while let Some(relayable) = source.splitter.pop() {
            match relayable {
                RelayableBytes::Events(whole) => {
                    has_sample |= self.deliver_events(source, whole).await?;
                }
                RelayableBytes::Piece(piece) => {
                    self.can_resume = false;
                    self.send(piece).await?;
                }
            }
        }
        Some(has_sample)
    }

    /// Passes complete events on, as [`Relay::deliver`].
    async fn deliver_events(
        &mut self,
        source: &mut StreamSource,
        whole: CompleteEvents,
    ) -> Option<bool> {
        let in_flight = &self.relayed.in_flight;
        let has_sample = self.progress.record(&whole, in_flight, &source.placement);
        let received_at = in_flight.core.clock.now();
        let first_event_at = *source.first_event_at.get_or_insert(received_at);
        if !source.has_survived && received_at >= first_event_at + SURVIVAL_TIME {
            source.has_survived = true;
            in_flight.record_survival();
        }
        if whole.has_unidentified_data {
            self.can_resume = false;
        } else if whole.last_id.is_some() {
            self.can_resume = true;
        }
        if whole.last_id.is_some() {
            self.last_id = whole.last_id;
        }
        self.send(whole.bytes).await?;
        Some(has_sample)
    }

    /// Passes bytes on; `None` if the caller has disconnected.
    async fn send(&mut self, bytes: Bytes) -> Option<()> {
        let core = Rc::clone(&self.relayed.in_flight.core);
        let sent_at = core.clock.now();
        self.sender.send(bytes).await.ok()?;
        let now = core.clock.now();
        let paused = now.saturating_sub(sent_at);
        self.caller_paused += paused;
        self.progress.record_caller_pause(paused, now);
        Some(())
    }

    /// Resumes after the last delivered event on another backend server, which must respond before
    /// `until`; tries at most `attempts` servers.
    async fn resume(
        &mut self,
        broken: &StreamSource,
        until: Duration,
        attempts: u32,
    ) -> Option<StreamSource> {
        if !self.can_resume {
            return None;
        }
        self.progress.on_server_changed();
        let in_flight = &mut self.relayed.in_flight;
        in_flight.avoid.push(broken.placement.server().clone());
        for _ in 0..attempts {
            if !in_flight.job.route.kind.may_repeat() || in_flight.core.clock.now() >= until {
                return None;
            }
            in_flight.check_quarantine().await.ok()?;
            if !in_flight.try_take_send(0.0) {
                return None;
            }
            let placement = in_flight.wait_for_placement().await.ok()?;
            match in_flight.send(&placement, until, || None, self.last_id.as_deref()).await {
                Ok(exchange) if is_resumable(in_flight, &exchange) => {
                    in_flight.core.metrics.count(Counter::Resumes);
                    let event = RequestEvent::StreamResumed {
                        request: &in_flight.job.id,
                        server: placement.server(),
                        last_event_id: self.last_id.as_deref(),
                        after_ms: in_flight.after_ms(),
                    };
                    in_flight.core.event_log.record(LogPriority::Failure, &event);
                    return Some(resumed_source(&in_flight.core, exchange, placement));
                }
                Ok(exchange) => {
                    let status = exchange.response.status().to_string();
                    in_flight.log_failed_send(&placement, "not_resumed", status);
                    if in_flight.is_not_run(&exchange.response) {
                        placement.mark_finished();
                    } else if !is_final_status(exchange.response.status()) {
                        in_flight.record_invalid_answer(&placement);
                    }
                    if in_flight.signals(&exchange.response).backoff.is_none() {
                        placement.on_rejected();
                    }
                }
                Err(error) => {
                    in_flight.log_failed_send(&placement, "not_resumed", error.to_string());
                    match error {
                        SendError::Broken(_) => in_flight.record_broken_connection(&placement),
                        SendError::Invalid(_) => in_flight.record_invalid_answer(&placement),
                        SendError::HeadTooLong { bytes } => {
                            in_flight.record_head_too_long(&placement, bytes);
                        }
                        _ => {}
                    }
                    record_unsent(&placement, &error);
                }
            }
            in_flight.avoid.push(placement.server().clone());
        }
        None
    }

    fn record_move(&self, from: &StreamSource, to: &StreamSource, decided: StreamMove) {
        let in_flight = &self.relayed.in_flight;
        in_flight.core.metrics.count(Counter::StreamsMoved);
        let event = RequestEvent::StreamMoved {
            request: &in_flight.job.id,
            server: from.placement.server(),
            to: to.placement.server(),
            token_ms: decided.token_ms,
            expected_ms: decided.expected_ms,
            after_ms: in_flight.after_ms(),
        };
        in_flight.core.event_log.record(LogPriority::Failure, &event);
    }

    fn cut(&self, source: &StreamSource, reason: &'static str) {
        let in_flight = &self.relayed.in_flight;
        in_flight.core.metrics.count(Counter::Failed);
        let event = RequestEvent::StreamCut {
            request: &in_flight.job.id,
            server: source.placement.server(),
            reason,
            after_ms: in_flight.after_ms(),
        };
        in_flight.core.event_log.record(LogPriority::Failure, &event);
    }
}

/// Records why a request was not sent: the server is avoided for a while, or presumed cold if it
/// was unreachable. A withheld request leaves the server unaffected.
fn record_unsent(placement: &Placement, error: &SendError) {
    match error {
        SendError::NotSent { why, .. } => placement.on_unreachable(*why),
        SendError::Withheld => placement.mark_finished(),
        _ => placement.on_rejected(),
    }
}

fn is_resumable(in_flight: &InFlightRequest, exchange: &Exchange) -> bool {
    let response = &exchange.response;
    response.status().is_success()
        && !in_flight.is_not_run(response)
        && in_flight.is_authentic(response)
}

fn resumed_source(core: &Core, exchange: Exchange, mut placement: Placement) -> StreamSource {
    placement.on_response_started();
    let (_, body) = core.split_response(exchange);
    StreamSource::new(body, placement, true)
}
