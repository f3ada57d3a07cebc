//! Reading of settings and the run of a daemon.

use std::path::Path;
use std::process::ExitCode;

use persimmongate_core::errors::Error as Refusal;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::errors::{Result, io_error};

/// Exit code for settings or arguments that are refused.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a failure of the process.
const EXIT_FAILURE: u8 = 1;

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns an error when the file can't be read or has findings.
pub fn load<T>(path: &Path) -> Result<T>
where
    T: for<'a> TryFrom<&'a str, Error = Refusal>,
{
    let text = std::fs::read_to_string(path)
        .map_err(|error| io_error(format!("settings {}", path.display()), error))?;
    Ok(T::try_from(&text)?)
}

/// Runs a daemon: loads its settings, checks them only when asked to, and runs until the end.
///
/// The function `start` sets up the actors; it runs inside the actix system.
pub fn run<T>(path: &Path, check_only: bool, start: impl FnOnce(T) -> Result<()>) -> ExitCode
where
    T: for<'a> TryFrom<&'a str, Error = Refusal>,
{
    let settings = match load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{}:\n{error}", path.display());
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if check_only {
        println!("{}: settings are accepted", path.display());
        return ExitCode::SUCCESS;
    }
    let system = actix_rt::System::new();
    if let Err(error) = system.block_on(async { start(settings) }) {
        eprintln!("{error}");
        return ExitCode::from(EXIT_FAILURE);
    }
    match system.run_with_code() {
        Ok(code) => ExitCode::from(u8::try_from(code).unwrap_or(EXIT_FAILURE)),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Waits for the signal to end, from the service manager or the terminal.
///
/// # Errors
///
/// Returns an error when the operating system refuses a handler.
pub async fn stopped() -> Result<()> {
    let listen = |kind| signal(kind).map_err(|error| io_error("signal handler", error));
    let (mut term, mut int): (Signal, Signal) = (
        listen(SignalKind::terminate())?,
        listen(SignalKind::interrupt())?,
    );
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
