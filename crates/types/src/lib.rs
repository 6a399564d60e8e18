//! Identifiers, units and the checked policy that all of pondwalk shares.

pub mod answer;
pub mod backoff;
mod decimal;
pub mod ids;
pub mod policy;
pub mod refusal;

pub use answer::{TokenUsage, Work};
pub use backoff::{LONGEST_BACKOFF, read_retry_after};
pub use decimal::read_decimal;
pub use ids::*;
pub use policy::{
    Policy, Price, RollOut, SessionOnWithdrawal, TaskPolicy, VersionSpec, VersionState,
    WorkspacePolicy,
};
pub use refusal::{Ran, Refusal};
