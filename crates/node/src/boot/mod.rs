//! Reading of settings and the run of a daemon.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use actix::Addr;
use persimmongate_core::errors::Error as Refusal;
use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::errors::{Result, io_error};
use crate::supervisor::{ShutDown, Supervisor, Tree};

/// Exit code for settings or arguments that are refused.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a failure of the process.
const EXIT_FAILURE: u8 = 1;
/// Time that a process has to finish what is under way after it was told to end.
const LEAVE_TIMEOUT: Duration = Duration::from_mins(1);

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

/// Tells a supervisor to leave when the process is told to end.
///
/// A second signal, or a time limit, ends the process with requests still in flight.
pub fn shut_down_on_signal<T: Tree>(supervisor: Addr<Supervisor<T>>) {
    actix_rt::spawn(async move {
        let Ok(mut signals) = Signals::listen() else {
            actix_rt::System::current().stop_with_code(i32::from(EXIT_FAILURE));
            return;
        };
        signals.next().await;
        tokio::select! {
            // The supervisor ends the process itself.
            _ = supervisor.send(ShutDown) => return,
            () = signals.next() => {}
            () = actix_rt::time::sleep(LEAVE_TIMEOUT) => {}
        }
        actix_rt::System::current().stop_with_code(i32::from(EXIT_FAILURE));
    });
}

/// Notes that the settings file has changed, without an end of the process.
///
/// Settings hold for one run of a process; new ones are read at its next start.
pub fn log_hangups(logger: Logger) {
    actix_rt::spawn(async move {
        let mut hangups = match signal(SignalKind::hangup()) {
            Ok(hangups) => hangups,
            Err(problem) => {
                warn!(logger, "hangups end the process"; "error" => %problem);
                return;
            }
        };
        while hangups.recv().await.is_some() {
            info!(
                logger,
                "settings have changed; they hold from the next start on"
            );
        }
    });
}

/// `Signals` waits for signals to end, from the service manager or the terminal.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn listen() -> Result<Self> {
        let listen = |kind| signal(kind).map_err(|error| io_error("signal handler", error));
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
