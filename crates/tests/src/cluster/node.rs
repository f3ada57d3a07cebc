//! One entry host or fleet instance.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use persimmongate_core::ids;

use crate::process::Process;

/// `Program` is what a process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Program {
    /// Serves callers.
    Entry,
    /// Decides for pools.
    Fleet,
}

impl Program {
    /// Gets the number of addresses that it listens on.
    #[must_use]
    pub fn addresses(self) -> usize {
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

/// `Node` is one process with its addresses.
#[derive(Debug)]
pub struct Node {
    /// Name of the process.
    pub name: ids::Instance,
    /// Address of its HTTP interface.
    pub http: SocketAddr,
    /// Address of its peer links.
    pub peer: SocketAddr,
    /// Address at which an entry host serves callers.
    pub listen: Option<SocketAddr>,
    /// The process itself.
    pub process: Process,
}

impl Node {
    pub(super) fn start(
        program: Program,
        name: &str,
        folder: &Path,
        platform: SocketAddr,
        addresses: &[SocketAddr],
        seeds: &[SocketAddr],
    ) -> Self {
        let [http, peer] = [addresses[0], addresses[1]];
        let listen = addresses.get(2).copied();
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let mut settings = format!(
            "instance = \"{name}\"\nzone = \"zone-a\"\nhttp = \"{http}\"\npeer = \"{peer}\"\n\
             platform = \"{platform}\"\nseeds = [{}]\nrenew = \"500ms\"\n",
            seeds.join(", ")
        );
        match listen {
            Some(listen) => writeln!(settings, "listen = \"{listen}\"").unwrap(),
            None => settings.push_str("member_timeout = \"3s\"\nreport_timeout = \"2s\"\n"),
        }
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings).unwrap();
        let arguments = ["--settings", path.to_str().unwrap()];
        Self {
            name: name.into(),
            http,
            peer,
            listen,
            process: Process::start(folder, name, program.name(), &arguments),
        }
    }

    /// Gets the address at which an entry host serves callers.
    ///
    /// # Panics
    ///
    /// Panics for a fleet instance.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.listen.unwrap()
    }
}
