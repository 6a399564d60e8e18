//! Small stand-ins for the systems around pondwalk, for the demo and for tests.
//!
//! Each listens on a loopback port of its own choosing, counts what it was asked, and can be told
//! to fail in the ways that the real system fails.

pub mod backends;
pub mod engine;
pub mod instances;
pub mod kv;
mod listen;
pub mod memory_store;
pub mod platform_server;
pub mod platform_store;
pub mod rating;
pub mod service;
pub mod usage_sink;

pub use engine::{Engine, EngineFaults, VersionProfile};
pub use instances::{InstanceList, ListedInstance};
pub use kv::{KvFaults, KvStore};
pub use listen::ANY_PORT;
pub use rating::RatingService;
pub use service::PlainService;
