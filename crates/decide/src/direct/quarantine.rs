//! Requests under which backend servers ended, known again by what they carry.

/// What a request carries, as a number by which all entries know it again.
pub type Content = u128;
