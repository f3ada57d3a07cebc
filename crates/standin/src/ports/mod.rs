//! Free addresses of the loopback network.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use rand::RngExt;

/// First port tried; below the range from which outgoing connections take theirs.
const FIRST: u16 = 10_000;
/// Last port tried.
const LAST: u16 = 30_000;

/// Gets free addresses, all with the same random IP number of the loopback network.
///
/// Calls at the same time, also in one process, get addresses of their own: the loopback network
/// has more IP numbers than any set of tests uses.
///
/// # Errors
///
/// Returns an error when there are too few free ports.
pub fn find_free(wanted: usize) -> io::Result<Vec<SocketAddr>> {
    let mut rng = rand::rng();
    let host: [u8; 3] = [rng.random(), rng.random(), rng.random_range(1..=254)];
    let host = Ipv4Addr::new(127, host[0], host[1], host[2]);
    let mut held = Vec::new();
    for port in FIRST..=LAST {
        if held.len() == wanted {
            break;
        }
        // Held until all are found, so that no port is found twice.
        held.extend(TcpListener::bind((host, port)));
    }
    if held.len() < wanted {
        return Err(io::Error::new(
            io::ErrorKind::AddrNotAvailable,
            "too few free ports",
        ));
    }
    held.iter().map(TcpListener::local_addr).collect()
}
