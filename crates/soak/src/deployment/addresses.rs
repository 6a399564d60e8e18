//! Allocation of loopback addresses.

use std::{
    cell::RefCell,
    collections::HashSet,
    net::{Ipv4Addr, SocketAddr},
    process,
};

use tokio::net::TcpListener;

/// Allocates addresses for the processes of one run.
///
/// Each run has a loopback IP address of its own. On 127.0.0.1, another connection of the machine may
/// take a free port before the process listens on it: 8 of 50 runs, eight at a time, failed to start.
pub struct Addresses {
    ip: Ipv4Addr,
    allocated: RefCell<HashSet<u16>>,
}

impl Addresses {
    /// Derives the loopback IP address from the id of this process.
    pub fn for_this_process() -> Self {
        let [_, high, middle, low] = process::id().to_be_bytes();
        // Avoids 127.0.0.1 and addresses that end like a network or broadcast address.
        let ip = Ipv4Addr::new(127, 64 + (high & 0x3f), middle, low.clamp(1, 254));
        Addresses { ip, allocated: RefCell::default() }
    }

    /// Returns an address without a listener that was not allocated before.
    pub async fn allocate(&self) -> anyhow::Result<SocketAddr> {
        loop {
            let address = TcpListener::bind((self.ip, 0)).await?.local_addr()?;
            if self.allocated.borrow_mut().insert(address.port()) {
                return Ok(address);
            }
        }
    }
}
