//! Fleet daemon of persimmongate: pools, host moves, availability budgets and maintenance waves.

mod api;
mod manager;
mod tree;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use persimmongate_core::settings;
use persimmongate_node::boot;

/// Manages the pools of a fleet: host moves, availability budgets and maintenance waves.
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
    boot::run::<settings::Fleet>(&args.settings, args.check_settings, tree::start)
}
