//! Request path of persimmongate on one entry host: admission, routing, retries and outcomes.

mod api;
mod gate;
mod link;
mod report;
mod tree;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use persimmongate_core::settings;
use persimmongate_node::boot;

/// Serves callers on an entry host.
#[derive(Debug, FromArgs)]
struct Args {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check_settings: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    boot::run::<settings::Entry>(&args.settings, args.check_settings, tree::start)
}
