//! Free ports of the loopback address.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// First port tried; below the range from which outgoing connections take theirs.
const FIRST: u16 = 10_000;
/// Ports tried.
const COUNT: u32 = 20_000;
/// Distance between the first ports of two processes.
const STRIDE: u32 = 211;

/// Gets free addresses, starting at a port that depends on the process.
///
/// # Errors
///
/// Returns an error when there are too few free ports.
pub fn free(wanted: usize) -> io::Result<Vec<SocketAddr>> {
    let start = std::process::id().wrapping_mul(STRIDE);
    let mut held = Vec::new();
    for step in 0..COUNT {
        if held.len() == wanted {
            break;
        }
        let port = u16::try_from(start.wrapping_add(step) % COUNT).unwrap_or(0) + FIRST;
        // Held until all are found, so that no port is found twice.
        held.extend(TcpListener::bind((Ipv4Addr::LOCALHOST, port)));
    }
    if held.len() < wanted {
        return Err(io::Error::new(
            io::ErrorKind::AddrNotAvailable,
            "too few free ports",
        ));
    }
    held.iter().map(TcpListener::local_addr).collect()
}
