//! What must be counted exactly once, over a store that may be down or lose its answers: bills,
//! and claims on idempotency keys.

pub mod bills;
pub mod claims;
mod commit;
pub mod spend;

pub use bills::{Bill, BillBuffer, BillItem, Ledger, read_ledger};
pub use claims::{ClaimTicket, Claims};
pub use commit::{CreateOutcome, create_once};
