//! Bounds on what a process reads from outside: callers, backend servers, the store and other
//! entries.
//!
//! No sender is trusted to end a message. Three bounds apply, whoever sends
//! (docs/decisions/0025-bounded-reads.md):
//!
//! - [`MeteredStream`] counts the bytes of a message as they arrive on the connection, whatever
//!   they mean, and fails the connection beyond a limit;
//! - [`PacedBody`] and a [`Pacer`] limit the rate at which long messages are read;
//! - [`read_whole`] and [`read_start`] keep at most so many bytes of one body;
//! - [`BufferPool`] limits what the process keeps of all messages together.

mod buffer;
mod meter;
mod paced_body;
mod pacer;
mod pool;
mod read;

pub use buffer::MessageBuffer;
pub use meter::{MessageLimits, MessagePart, Meter, MeteredStream};
pub use paced_body::PacedBody;
pub use pacer::Pacer;
pub use pool::{BufferPool, Reservation};
pub use read::{BodyStart, ReadError, read_start, read_whole};
