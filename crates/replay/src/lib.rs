//! Replay of recorded traces through the pure decision code, in virtual time.
//!
//! A backend server is a number of slots and the service times that were recorded. The same
//! trace, settings, policy name and seed give the same report, byte for byte.

mod baseline;
mod driver;
mod events;
mod report;
mod simulation;
pub mod trace;

pub use driver::PolicyName;
pub use report::{Report, UnmetOutcome};
pub use simulation::replay;
pub use trace::{Trace, TraceError};
