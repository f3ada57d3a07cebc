//! Loading of settings, start of a daemon, and signals.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use actix::Addr;
use persimmongate_core::errors::Error as SettingsError;
use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::errors::{Result, io_error};
use crate::supervisor::{ChildSet, Shutdown, Supervisor};

/// Exit code for invalid settings or arguments.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a failure of the process.
const EXIT_FAILURE: u8 = 1;
/// Time that a graceful shutdown may take.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_mins(1);

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns an error when the file can't be read or its settings are invalid.
pub fn load<T>(path: &Path) -> Result<T>
where
    T: for<'a> TryFrom<&'a str, Error = SettingsError>,
{
    let text = std::fs::read_to_string(path)
        .map_err(|error| io_error(format!("settings {}", path.display()), error))?;
    Ok(T::try_from(&text)?)
}

/// Runs a daemon until its system stops; with `check_only`, only checks its settings.
///
/// The function `start` starts the actors; it runs inside the actix system.
pub fn run<T>(path: &Path, check_only: bool, start: impl FnOnce(T) -> Result<()>) -> ExitCode
where
    T: for<'a> TryFrom<&'a str, Error = SettingsError>,
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

/// Shuts a supervisor down gracefully on SIGTERM or SIGINT.
///
/// A second signal, or the time-out, ends the process with requests still in flight.
pub fn shut_down_on_signal<T: ChildSet>(supervisor: Addr<Supervisor<T>>) {
    actix_rt::spawn(async move {
        let Ok(mut signals) = Signals::listen() else {
            actix_rt::System::current().stop_with_code(i32::from(EXIT_FAILURE));
            return;
        };
        signals.next().await;
        tokio::select! {
            // The supervisor stops the system itself.
            _ = supervisor.send(Shutdown) => return,
            () = signals.next() => {}
            () = actix_rt::time::sleep(SHUTDOWN_TIMEOUT) => {}
        }
        actix_rt::System::current().stop_with_code(i32::from(EXIT_FAILURE));
    });
}

/// Logs each SIGHUP, which would otherwise end the process, and does nothing else.
///
/// Settings are read only at the start of a process.
pub fn ignore_sighup(logger: Logger) {
    actix_rt::spawn(async move {
        let mut hangups = match signal(SignalKind::hangup()) {
            Ok(hangups) => hangups,
            Err(error) => {
                warn!(logger, "SIGHUP can't be handled and would end the process";
                    "error" => %error);
                return;
            }
        };
        while hangups.recv().await.is_some() {
            info!(
                logger,
                "SIGHUP ignored: changed settings take effect at the next start"
            );
        }
    });
}

/// `Signals` receives the termination signals of the service manager and the terminal.
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
