//! Command line for operators of persimmongate.

mod client;
mod commands;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

/// Steers a fleet: checks and applies sheets, shows the status, steers waves.
#[derive(Debug, FromArgs)]
pub(crate) struct Args {
    /// fleet instances, separated by commas; the first that answers is used
    #[argh(option, from_str_fn(addresses), default = "Addresses::default()")]
    pub(crate) fleet: Addresses,
    /// name that changes are made under
    #[argh(option, default = "\"operator\".to_owned()")]
    pub(crate) operator: String,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// `Addresses` lists the fleet instances.
#[derive(Clone, Debug, Default)]
pub(crate) struct Addresses(pub(crate) Vec<SocketAddr>);

fn addresses(text: &str) -> Result<Addresses, String> {
    let parse = |part: &str| part.parse().map_err(|_| format!("{part} is no address"));
    text.split(',')
        .map(parse)
        .collect::<Result<_, _>>()
        .map(Addresses)
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Apply(Apply),
    Check(Check),
    Dump(Dump),
    Status(Status),
    Wave(Wave),
}

/// Applies a sheet; the same sheet twice changes nothing.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// sheet to apply
    #[argh(positional)]
    pub(crate) sheet: PathBuf,
    /// revision that the sheet was made against; by default the one in force
    #[argh(option)]
    pub(crate) base: Option<u64>,
}

/// Checks a sheet without a fleet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// sheet to check
    #[argh(positional)]
    pub(crate) sheet: PathBuf,
}

/// Prints the whole state of a process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub(crate) struct Dump {
    /// address of the process's HTTP interface
    #[argh(positional)]
    pub(crate) address: SocketAddr,
}

/// Shows pools, services and waves.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

/// Steers a wave.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "wave")]
pub(crate) struct Wave {
    /// what to do: pause, resume or abort
    #[argh(positional)]
    pub(crate) command: String,
    /// wave to steer
    #[argh(positional)]
    pub(crate) wave: String,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let system = actix_rt::System::new();
    system.block_on(commands::run(args))
}
