//! Bills, claims on idempotency keys and spend caps, counted exactly once even if the store is unavailable
//! or its responses are lost.

pub mod bills;
pub mod claims;
mod commit;
pub mod spend;

pub use bills::{Bill, BillBuffer, BillItem, Ledger, read_ledger};
pub use claims::{ClaimTicket, Claims};
pub use commit::{CreateOutcome, create_once};
