//! Response bodies.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;

use super::body_channel::ChunkReceiver;

/// The response cannot be completed. The connection is closed, so that the caller does not take it
/// for complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the response was truncated")]
pub struct Truncated;

/// A response body that is complete, or that arrives in chunks.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body; `None` once it has been taken.
    Whole(Option<Bytes>),
    /// Chunks as they arrive.
    Chunks(ChunkReceiver),
}

impl ResponseBody {
    /// Creates a complete body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        ResponseBody::Whole(Some(bytes.into()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            ResponseBody::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Chunks(chunks) => {
                chunks.poll_next(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Chunks(_) => SizeHint::default(),
        }
    }
}
