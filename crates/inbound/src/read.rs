//! Reads bodies within bounds.

use std::{future::poll_fn, pin::Pin};

use bytes::Bytes;
use hyper::body::Body;
use thiserror::Error;

use crate::{BufferPool, MessageBuffer};

/// Why a body was not read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReadError {
    /// It is longer than allowed, or announces that it is.
    #[error("longer than {max_bytes} bytes")]
    TooLong {
        /// Maximum length.
        max_bytes: usize,
    },
    /// The process holds too much of other messages.
    #[error("no memory to buffer more than {bytes} bytes")]
    PoolExhausted {
        /// Bytes of the message read before.
        bytes: usize,
    },
    /// The connection failed.
    #[error("{0}")]
    Broken(String),
}

/// Reads a whole body of at most `max_bytes`; `on_bytes` is called with the size of each frame.
///
/// # Errors
///
/// An error if the body is longer, if the pool has no memory for it, or if the connection fails.
pub async fn read_whole<B>(
    mut body: B,
    max_bytes: usize,
    pool: &BufferPool,
    on_bytes: impl Fn(usize),
) -> Result<Bytes, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: ToString,
{
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(ReadError::TooLong { max_bytes });
    }
    let mut buffer = MessageBuffer::new(pool, max_bytes);
    while let Some(data) = next_data(&mut body).await? {
        on_bytes(data.len());
        buffer.push(&data)?;
    }
    Ok(buffer.into_bytes())
}

/// The first bytes of a body.
#[derive(Debug)]
pub enum BodyStart {
    /// The whole body.
    Whole(Bytes),
    /// The body goes on behind these bytes.
    Partial(Vec<Bytes>),
}

/// Reads a body as far as `max_bytes` and the pool allow.
///
/// # Errors
///
/// An error if the connection fails before that.
pub async fn read_start<B>(
    body: &mut B,
    max_bytes: usize,
    pool: &BufferPool,
) -> Result<BodyStart, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: ToString,
{
    let mut buffer = MessageBuffer::new(pool, max_bytes);
    while let Some(data) = next_data(body).await? {
        if buffer.push(&data).is_err() {
            return Ok(BodyStart::Partial(vec![buffer.into_bytes(), data]));
        }
    }
    Ok(BodyStart::Whole(buffer.into_bytes()))
}

/// Reads the next bytes; `None` at the end.
async fn next_data<B>(body: &mut B) -> Result<Option<Bytes>, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: ToString,
{
    loop {
        match poll_fn(|context| Pin::new(&mut *body).poll_frame(context)).await {
            None => return Ok(None),
            Some(Err(error)) => return Err(ReadError::Broken(error.to_string())),
            Some(Ok(frame)) => {
                // Trailers are not passed on.
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}
