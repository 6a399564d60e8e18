//! A body whose frames are read at a limited rate.
//!
//! Each frame takes processor time, however few bytes it has.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Sleep, sleep_until};

use crate::{Meter, Pacer};

/// Number of bytes that take as much processor time as a frame itself.
const FRAME_COST_BYTES: usize = 16 * 1024;

/// A body that is read at any rate at first, and then at the rate of a pacer.
#[derive(Debug)]
pub struct PacedBody<B> {
    body: B,
    free_bytes: usize,
    pacer: Rc<Pacer>,
    meter: Meter,
    pause: Option<Pin<Box<Sleep>>>,
}

impl<B> PacedBody<B> {
    /// Reads the first `free_bytes` of `body` at any rate. The meter of its connection learns what is
    /// delivered.
    pub fn new(body: B, free_bytes: usize, pacer: &Rc<Pacer>, meter: &Meter) -> Self {
        let (pacer, meter) = (Rc::clone(pacer), meter.clone());
        PacedBody { body, free_bytes, pacer, meter, pause: None }
    }

    fn pause_after(&mut self, bytes: usize) -> Option<Pin<Box<Sleep>>> {
        let cost_bytes = bytes.max(FRAME_COST_BYTES);
        if let Some(free_bytes) = self.free_bytes.checked_sub(cost_bytes) {
            self.free_bytes = free_bytes;
            return None;
        }
        self.pacer.record(cost_bytes).map(|until| Box::pin(sleep_until(until)))
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for PacedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let Some(Ok(frame)) = &frame {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.meter.on_data(bytes);
            self.pause = self.pause_after(bytes);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
