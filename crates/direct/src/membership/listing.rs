//! How an entry is listed in the store.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A listing that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{0}` is no address with the width of a link behind it")]
pub struct InvalidListing(String);

/// Where an entry is asked, and over which link: written as `ADDRESS MBPS`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Where it is asked.
    pub address: SocketAddr,
    /// Megabits a second that its machine's link carries; 0 if that is not known.
    pub link_mbps: u32,
}

impl Listing {
    /// Rank of the link, the widest first. Links within a factor of two count as equal, so that the
    /// order among like machines is by name alone.
    pub fn link_rank(&self) -> u32 {
        u32::MAX - self.link_mbps.checked_ilog2().map_or(0, |power| power + 1)
    }
}

impl fmt::Display for Listing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.address, self.link_mbps)
    }
}

impl TryFrom<&[u8]> for Listing {
    type Error = InvalidListing;

    fn try_from(value: &[u8]) -> Result<Self, InvalidListing> {
        let text = String::from_utf8_lossy(value);
        let (address, link_mbps) = text.split_once(' ').unwrap_or((&text, "0"));
        match (address.parse(), link_mbps.parse()) {
            (Ok(address), Ok(link_mbps)) => Ok(Listing { address, link_mbps }),
            _ => Err(InvalidListing(text.into_owned())),
        }
    }
}
