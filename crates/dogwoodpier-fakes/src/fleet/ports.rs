//! Ports for processes that must know theirs before they start.

use std::net::SocketAddr;
use std::net::TcpListener;

use rand::Rng;

/// Below the range from which the system takes ports of outgoing connections.
const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 31_999;
const MAX_TRIES: u32 = 1_000;

/// Returns an address of this host that nobody listens on.
pub fn free_address() -> std::io::Result<SocketAddr> {
    let mut last_error = std::io::Error::other("no port was tried");
    for _ in 0..MAX_TRIES {
        let port = rand::rng().random_range(FIRST_PORT..=LAST_PORT);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
