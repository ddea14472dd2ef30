//! Reservation of ports for processes whose ports must be known before they start.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;

use rand::Rng;

/// The range ends below the ports that the system uses for outgoing connections.
const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 31_999;
const MAX_ATTEMPTS: u32 = 1_000;
const LOCKS_DIRECTORY: &str = "dogwoodpier-ports";

/// An address of this host that no process listened on when it was reserved, and that no other
/// fleet reserves.
pub struct ReservedAddress {
    /// The address.
    pub address: SocketAddr,
    // The lock is released when the file is dropped or the process exits.
    _lock: File,
}

/// Reserves an address by locking a file. Fleets in other processes on this host check the lock, so
/// that none of them takes the port before the process that it is meant for has started.
pub fn reserve_address() -> std::io::Result<ReservedAddress> {
    let directory = std::env::temp_dir().join(LOCKS_DIRECTORY);
    std::fs::create_dir_all(&directory)?;
    let mut last_error = std::io::Error::other("no port was tried");
    for _ in 0..MAX_ATTEMPTS {
        let port = rand::rng().random_range(FIRST_PORT..=LAST_PORT);
        let lock = File::create(directory.join(port.to_string()))?;
        if lock.try_lock().is_err() {
            continue;
        }
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        match TcpListener::bind(address) {
            Ok(_) => {
                return Ok(ReservedAddress {
                    address,
                    _lock: lock,
                });
            }
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
