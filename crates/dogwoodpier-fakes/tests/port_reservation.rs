//! Guards against a process of a test fleet that can't bind its reserved port: a process that the
//! test starts at the same moment inherits all open sockets until it runs its program.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use dogwoodpier_fakes::fleet::ports::reserve_address;

const RESERVATIONS: usize = 3_000;
const STARTERS: usize = 3;

#[test]
fn reserved_port_can_be_bound_beside_process_starts() {
    let is_over = AtomicBool::new(false);
    let failures = thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    Command::new("true").status().expect("a process runs");
                }
            });
        }
        let failures = (0..RESERVATIONS)
            .filter(|_| {
                let reserved = reserve_address().expect("a free port");
                TcpListener::bind(reserved.address).is_err()
            })
            .count();
        is_over.store(true, Ordering::Relaxed);
        failures
    });
    assert_eq!(failures, 0, "ports of {RESERVATIONS} could not be bound");
}
