//! Listing of an entry in the store.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A value in the store that is not a valid listing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{0}` is not of the form `ADDRESS MBPS`")]
pub struct InvalidListing(String);

/// Peer address of an entry and width of its link, written as `ADDRESS MBPS`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Address at which the entry answers its peers.
    pub address: SocketAddr,
    /// Bandwidth of the machine's link in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
}

impl Listing {
    /// Sort key of the link, widest first. Links within a factor of two rank equal, so that
    /// machines of the same kind are ordered by name alone.
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
