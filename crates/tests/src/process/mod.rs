//! A child process that is killed when its handle is dropped.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output};

use rustix::process::{Pid, Signal, kill_process};

use crate::wait::wait_until;

/// `Process` is a running program of the workspace.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// File that receives the standard output and the log lines of the program.
    pub log_path: PathBuf,
}

/// Returns the path of a program of the workspace. Cargo builds it for the tests of its package.
///
/// # Panics
///
/// Panics if the program was not built.
#[must_use]
pub fn program_path(name: &str) -> PathBuf {
    let test_binary = std::env::current_exe().unwrap();
    let path = test_binary.ancestors().nth(2).unwrap().join(name);
    assert!(
        path.is_file(),
        "expected a built program at {}",
        path.display()
    );
    path
}

impl Process {
    /// Starts a program; its output is appended to `{log_name}.log` in `folder`.
    ///
    /// # Panics
    ///
    /// Panics if the program can't be started.
    #[must_use]
    pub fn start(folder: &Path, log_name: &str, program: &str, arguments: &[&str]) -> Self {
        let log_path = folder.join(format!("{log_name}.log"));
        let file = File::options()
            .append(true)
            .create(true)
            .open(&log_path)
            .unwrap();
        let child = Command::new(program_path(program))
            .args(arguments)
            .stdout(file.try_clone().unwrap())
            .stderr(file)
            .spawn()
            .unwrap();
        Self { child, log_path }
    }

    /// Returns the id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    ///
    /// Panics if the process does not exist any more.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).unwrap();
        kill_process(Pid::from_raw(pid).unwrap(), signal).unwrap();
    }

    /// Waits until the process exits, and returns its exit status.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be waited for or does not exit in time.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("a process to exit", async || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        })
        .await;
        status.unwrap()
    }

    /// Kills the process with SIGKILL and waits for its exit.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be waited for.
    pub fn kill(&mut self) {
        // Fails only if the process has exited already.
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

/// Runs a program to its end and returns its exit status and output.
///
/// # Panics
///
/// Panics if the program can't be started.
#[must_use]
pub fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program_path(program))
        .args(arguments)
        .output()
        .unwrap()
}
