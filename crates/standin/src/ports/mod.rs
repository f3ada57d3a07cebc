//! Free ports on loopback addresses.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use rand::RngExt;

/// First port tried. The range ends below the ephemeral ports of outgoing connections.
const FIRST_PORT: u16 = 10_000;
/// Last port tried.
const LAST_PORT: u16 = 30_000;

/// Returns `count` free addresses, all on the same random IP address in 127.0.0.0/8.
///
/// Concurrent calls, also in one process, return different addresses: 127.0.0.0/8 is far larger
/// than the number of addresses that any set of tests uses.
///
/// # Errors
///
/// Returns an error if the IP address has fewer than `count` free ports.
pub fn find_free(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut rng = rand::rng();
    let octets: [u8; 3] = [rng.random(), rng.random(), rng.random_range(1..=254)];
    let ip = Ipv4Addr::new(127, octets[0], octets[1], octets[2]);
    let mut listeners = Vec::new();
    for port in FIRST_PORT..=LAST_PORT {
        if listeners.len() == count {
            break;
        }
        // The listeners stay open until all ports are found, so that no port is returned twice.
        listeners.extend(TcpListener::bind((ip, port)));
    }
    if listeners.len() < count {
        return Err(io::Error::new(
            io::ErrorKind::AddrNotAvailable,
            "too few free ports on the loopback address",
        ));
    }
    listeners.iter().map(TcpListener::local_addr).collect()
}
