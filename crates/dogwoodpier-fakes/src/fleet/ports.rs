//! Reservation of ports for processes whose ports must be known before they start.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use rand::Rng;
use tokio::net::TcpSocket;

/// The range ends below the ports that the system uses for outgoing connections.
const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 31_999;
const MAX_ATTEMPTS: u32 = 1_000;
// A listener on a port of this address reserves the port. Unlike a lock file, it is seen by all
// processes on this host, whichever temporary directory they use.
const LOCK_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// An address of this host that no process listened on when it was reserved, and that no other
/// fleet reserves.
pub struct ReservedAddress {
    /// The address.
    pub address: SocketAddr,
    // The port is free again when the listener is dropped or the process exits.
    _lock: TcpListener,
}

/// Reserves an address. Fleets in other processes on this host see the reservation, so that none of
/// them takes the port before the process that it is meant for has started.
pub fn reserve_address() -> std::io::Result<ReservedAddress> {
    let mut last_error = std::io::Error::other("no port was tried");
    for _ in 0..MAX_ATTEMPTS {
        let port = rand::rng().random_range(FIRST_PORT..=LAST_PORT);
        let Ok(lock) = TcpListener::bind((LOCK_ADDRESS, port)) else {
            continue;
        };
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        match probe(address) {
            Ok(()) => {
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

// Checks that no process listens on an address. The socket doesn't listen itself: a child process
// that starts at this moment inherits it, and would keep the port from its owner for a moment.
fn probe(address: SocketAddr) -> std::io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)
}
