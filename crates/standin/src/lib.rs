//! In-process and loopback stand-ins for the systems around pondwalk, used by the demo, the soak
//! and the tests.
//!
//! Each stand-in records the calls that it receives and can inject the faults of the real system.

pub mod backends;
pub mod engine;
pub mod floods;
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
pub use kv::{KvCopy, KvFaults, KvStore};
pub use listen::ANY_PORT;
pub use rating::RatingService;
pub use service::PlainService;
