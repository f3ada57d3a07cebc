//! Command line for operators of persimmongate.

mod args;
mod client;
mod commands;
mod print;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let args = match args::parse(&arguments) {
        Ok(args) => args,
        Err(exit) => return exit,
    };
    let prints_json = args.prints_json;
    let system = actix_rt::System::new();
    let output = system.block_on(commands::run(args));
    print::print(&output, prints_json)
}
