//! Bodies of answers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;

use super::waiting::PieceReceiver;

/// The answer cannot be finished; its connection is closed so that it does not look whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer was cut")]
pub struct Cut;

/// A body that is there, or that comes in pieces.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Pieces as they come.
    Pieces(PieceReceiver),
}

impl AnswerBody {
    /// A body that is there.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        AnswerBody::Whole(Some(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Pieces(pieces) => {
                pieces.poll_next(context).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Pieces(_) => SizeHint::default(),
        }
    }
}
