//! One entry host or fleet instance with its settings.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use persimmongate_core::ids;

use crate::process::Process;

/// `Program` is the program that a process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Program {
    /// Entry host, which serves callers.
    Entry,
    /// Fleet instance, which manages the pools.
    Fleet,
}

impl Program {
    /// Returns the number of addresses that the program listens on.
    #[must_use]
    pub fn address_count(self) -> usize {
        match self {
            Self::Entry => 3,
            Self::Fleet => 2,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Entry => "persimmongate-entry",
            Self::Fleet => "persimmongate-fleet",
        }
    }
}

/// `Node` is a running entry host or fleet instance with its addresses.
#[derive(Debug)]
pub struct Node {
    /// Instance name in the settings of the process.
    pub name: ids::Instance,
    /// Address of its HTTP interface.
    pub http_address: SocketAddr,
    /// Address of its links to other instances.
    pub peer_address: SocketAddr,
    /// Address at which an entry host serves callers, `None` for a fleet instance.
    pub listen_address: Option<SocketAddr>,
    /// The process itself.
    pub process: Process,
}

impl Node {
    pub(super) fn start(
        program: Program,
        name: &str,
        folder: &Path,
        platform_address: SocketAddr,
        addresses: &[SocketAddr],
        seeds: &[SocketAddr],
        entry_settings: &str,
    ) -> Self {
        let [http_address, peer_address] = [addresses[0], addresses[1]];
        let listen_address = addresses.get(2).copied();
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let mut settings = format!(
            "instance = \"{name}\"\nzone = \"zone-a\"\nhttp = \"{http_address}\"\n\
             peer = \"{peer_address}\"\nplatform = \"{platform_address}\"\nseeds = [{}]\nrenew = \"500ms\"\n",
            seeds.join(", ")
        );
        match listen_address {
            Some(address) => {
                writeln!(settings, "listen = \"{address}\"\n{entry_settings}").unwrap();
            }
            None => settings.push_str("member_timeout = \"3s\"\nreport_timeout = \"2s\"\n"),
        }
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings).unwrap();
        let arguments = ["--settings", path.to_str().unwrap()];
        Self {
            name: name.into(),
            http_address,
            peer_address,
            listen_address,
            process: Process::start(folder, name, program.name(), &arguments),
        }
    }

    /// Returns the address at which an entry host serves callers.
    ///
    /// # Panics
    ///
    /// Panics for a fleet instance.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.listen_address.unwrap()
    }
}
