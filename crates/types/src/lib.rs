//! Identifiers, the checked policy and refusals, shared by all crates.

pub mod backoff;
mod decimal;
pub mod ids;
pub mod policy;
pub mod refusal;
pub mod work;

pub use backoff::{MAX_SERVER_BACKOFF, parse_retry_after};
pub use decimal::parse_decimal;
pub use ids::*;
pub use policy::{
    Policy, Price, RollOut, TaskPolicy, VersionSpec, VersionState, WithdrawalPolicy,
    WorkspacePolicy,
};
pub use refusal::{Executed, Refusal};
pub use work::{TokenUsage, Work};
