//! Routing decisions: which model version and backend server answer each request.
//!
//! The crate is pure: it has no clock, no I/O, no async code and no random number generator. Times
//! are passed in as a [`std::time::Duration`] since any fixed origin, random numbers come from a
//! generator of the caller, and decisions are returned as values. The entry, the agent and the
//! replay share this code.
//!
//! * [`Router`] runs in entries: it plans the runs of a request and updates its estimates from
//!   their outcomes.
//! * [`AdmissionQueue`] runs in agents: fair shares, deadlines and displacement.
//! * [`direct`] serves entries that reach backend servers without agents.
//! * [`Trial`] is the sequential test of a new version, used by both.

mod admission;
mod budget;
pub mod direct;
mod estimate;
mod histogram;
mod in_flight;
mod intern;
mod plan;
mod quality_balance;
mod request;
mod router;
mod servers;
mod session;
mod trial;
pub mod tuning;

pub use admission::{Admission, AdmissionQueue, Dispatch, QueuedWork};
pub use budget::{RetryBudget, SpendBudget};
pub use in_flight::{DeliveredAnswer, InFlightRequest};
pub use request::{FinishedRun, NextAction, PlannedRun, Request, ServerReport};
pub use router::{Router, RouterCounters};
pub use trial::{Baseline, Reference, Trial, TrialStage, TripCause};
