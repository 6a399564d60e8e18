//! Relays an answer that is too long to be buffered, as it arrives.
//!
//! The caller has received a part of it, so it cannot be retried: if it breaks off, it is truncated
//! in a way that the caller can detect.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use pondwalk_decide::direct::RunExtent;
use tokio::{select, task::spawn_local, time::timeout_at};

use super::{
    body_channel::{ChunkReceiver, ChunkSender, chunk_channel},
    events::RequestEvent,
    relay::RelayedRequest,
    stream_progress::StreamTiming,
};
use crate::{event_log::LogPriority, metrics::Counter, placement::Placement, upstream::StreamBody};

/// An answer of which a part was received.
pub struct LongAnswer {
    /// The request.
    pub relayed: RelayedRequest,
    /// What was received.
    pub start: Vec<Bytes>,
    /// What is still to come.
    pub body: StreamBody,
    /// Where the request runs.
    pub placement: Placement,
}

/// How an answer ended.
enum AnswerEnd {
    Whole,
    CallerLeft,
    /// Incomplete, for this reason.
    Broken(&'static str),
    /// The request's deadline has passed.
    TimedOut,
}

/// Starts to relay an answer.
pub fn start(answer: LongAnswer) -> ChunkReceiver {
    let (sender, receiver) = chunk_channel(&answer.relayed.in_flight.core.traffic_buffers);
    spawn_local(answer.run(sender));
    receiver
}

impl LongAnswer {
    async fn run(mut self, sender: ChunkSender) {
        let end = self.relay(&sender).await;
        let LongAnswer { relayed, body, placement, .. } = &mut self;
        let RelayedRequest { in_flight, confidence, head_ms, status } = relayed;
        match end {
            AnswerEnd::Whole => {
                let (extent, timing) = (RunExtent::Whole, StreamTiming::default());
                in_flight.record_answered(
                    placement,
                    *confidence,
                    *head_ms,
                    *status,
                    timing,
                    extent,
                );
                sender.finish();
            }
            AnswerEnd::CallerLeft => in_flight.record_caller_left(placement),
            AnswerEnd::Broken(reason) => {
                placement.on_connection_broken();
                if body.meter.exceeded_in().is_some() {
                    in_flight.record_answer_too_long(placement, &body.meter);
                } else {
                    in_flight.record_broken_connection(placement);
                }
                self.record_cut(reason);
            }
            AnswerEnd::TimedOut => {
                placement.on_connection_broken();
                in_flight.record_answer_too_long(placement, &body.meter);
                self.record_cut("timed_out");
            }
        }
    }

    async fn relay(&mut self, sender: &ChunkSender) -> AnswerEnd {
        let job = Rc::clone(&self.relayed.in_flight.job);
        let clock = self.relayed.in_flight.core.clock.clone();
        // The time for which the caller does not read is not the server's.
        let mut caller_paused = Duration::ZERO;
        let mut received = std::mem::take(&mut self.start);
        loop {
            let sent_at = clock.now();
            for bytes in received.drain(..) {
                if sender.send(bytes).await.is_err() {
                    return AnswerEnd::CallerLeft;
                }
            }
            caller_paused += clock.now().saturating_sub(sent_at);
            let until = job.deadline + caller_paused;
            if clock.now() >= until {
                return AnswerEnd::TimedOut;
            }
            let frame = select! {
                biased;
                () = sender.closed() => return AnswerEnd::CallerLeft,
                frame = timeout_at(clock.instant(until), self.body.frames.frame()) => frame,
            };
            match frame {
                Err(_) => return AnswerEnd::TimedOut,
                Ok(None) if self.body.ends_with_connection => {
                    let in_flight = &self.relayed.in_flight;
                    let placement = &self.placement;
                    return match in_flight.has_server_ended_after_long_answer(placement).await {
                        true => AnswerEnd::Broken("ended_with_its_server"),
                        false => AnswerEnd::Whole,
                    };
                }
                Ok(None) => return AnswerEnd::Whole,
                Ok(Some(Err(_))) => return AnswerEnd::Broken("connection_broken"),
                Ok(Some(Ok(frame))) => received.extend(frame.into_data()),
            }
        }
    }

    fn record_cut(&self, reason: &'static str) {
        let in_flight = &self.relayed.in_flight;
        in_flight.core.metrics.count(Counter::Failed);
        let event = RequestEvent::AnswerCut {
            request: &in_flight.job.id,
            server: self.placement.server(),
            reason,
            bytes: self.body.meter.bytes(),
            after_ms: in_flight.after_ms(),
        };
        in_flight.core.event_log.record(LogPriority::Failure, &event);
    }
}
