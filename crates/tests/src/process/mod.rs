//! One process, ended with its owner.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output};

use rustix::process::{Pid, Signal, kill_process};

use crate::wait::wait_until;

/// `Process` is a running program of the product.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// File that takes its log lines.
    pub log_path: PathBuf,
}

/// Gets the path of a program of the workspace, which the tests of its package build.
///
/// # Panics
///
/// Panics when the program was not built.
#[must_use]
pub fn program_path(name: &str) -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let path = test.ancestors().nth(2).unwrap().join(name);
    assert!(path.is_file(), "{} was not built", path.display());
    path
}

impl Process {
    /// Starts a program; its log lines go to a file in a folder.
    ///
    /// # Panics
    ///
    /// Panics when the program can't be started.
    #[must_use]
    pub fn start(folder: &Path, log: &str, name: &str, arguments: &[&str]) -> Self {
        let log_path = folder.join(format!("{log}.log"));
        let file = File::options()
            .append(true)
            .create(true)
            .open(&log_path)
            .unwrap();
        let child = Command::new(program_path(name))
            .args(arguments)
            .stdout(file.try_clone().unwrap())
            .stderr(file)
            .spawn()
            .unwrap();
        Self { child, log_path }
    }

    /// Sends a signal.
    ///
    /// # Panics
    ///
    /// Panics when the process is gone.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill_process(Pid::from_raw(id).unwrap(), signal).unwrap();
    }

    /// Waits until the process ends.
    ///
    /// # Panics
    ///
    /// Panics when the process can't be waited for.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("a process that ends", async || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        })
        .await;
        status.unwrap()
    }

    /// Ends the process without warning.
    ///
    /// # Panics
    ///
    /// Panics when the process can't be waited for.
    pub fn kill(&mut self) {
        // A process that ended before is only waited for.
        let _ = self.child.kill();
        self.child.wait().unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a program to its end.
///
/// # Panics
///
/// Panics when the program can't be started.
#[must_use]
pub fn run(name: &str, arguments: &[&str]) -> Output {
    Command::new(program_path(name))
        .args(arguments)
        .output()
        .unwrap()
}
