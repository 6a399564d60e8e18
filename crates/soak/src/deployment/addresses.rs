//! Addresses of a run's processes.

use std::{
    cell::RefCell,
    collections::HashSet,
    net::{Ipv4Addr, SocketAddr},
    process,
};

use tokio::net::TcpListener;

/// Addresses for the processes of one run.
///
/// NB: they lie on a loopback address of the run's own. On the usual one, a port that was found free
/// may be taken by any connection of the machine before its process listens: 8 of 50 runs, eight at a
/// time, did not start for that.
pub struct Addresses {
    ip: Ipv4Addr,
    given: RefCell<HashSet<u16>>,
}

impl Addresses {
    /// On a loopback address that follows from the id of this process.
    pub fn of_this_run() -> Self {
        let [_, high, middle, low] = process::id().to_be_bytes();
        // NB: neither the usual address nor one that ends like a network's own or a broadcast.
        let ip = Ipv4Addr::new(127, 64 + (high & 0x3f), middle, low.clamp(1, 254));
        Addresses { ip, given: RefCell::default() }
    }

    /// An address that nobody listens on, and that was not given before.
    pub async fn free(&self) -> anyhow::Result<SocketAddr> {
        loop {
            let address = TcpListener::bind((self.ip, 0)).await?.local_addr()?;
            if self.given.borrow_mut().insert(address.port()) {
                return Ok(address);
            }
        }
    }
}
