//! Replay of recorded traces, compared with the expected summaries that are shipped with them.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use persimmongate_core::trace::{Replay, Summary};
use persimmongate_wire::trace::decode;

use crate::table::Table;

/// File name suffix of a trace.
pub(crate) const TRACE_SUFFIX: &str = ".cbor";
/// Directory of the example deployments, each of which has a directory `trace`.
const EXAMPLES_DIRECTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

type Result<T> = std::result::Result<T, String>;

/// Replays every shipped trace; returns whether all summaries are as expected.
pub(crate) fn run() -> bool {
    let mut table = Table::new(&["trace", "steps", "actions", "differing", "as expected"]);
    let mut targets_met = true;
    let paths = shipped_traces();
    for path in &paths {
        let (Ok(summary), Ok(expected)) = (replay(path), read_expected(path)) else {
            eprintln!(
                "{}: the trace can't be replayed or its expected summary can't be read",
                path.display()
            );
            targets_met = false;
            continue;
        };
        targets_met &= summary == expected;
        let name = path.strip_prefix(EXAMPLES_DIRECTORY).unwrap_or(path);
        table.add(vec![
            name.display().to_string(),
            summary.step_count.to_string(),
            summary.action_count.to_string(),
            summary.mismatched_steps.to_string(),
            (summary == expected).to_string(),
        ]);
    }
    table.print();
    targets_met && !paths.is_empty()
}

/// Replays one trace and prints its summary in the format of the expected summaries.
pub(crate) fn print(path: &Path) -> ExitCode {
    let text = replay(path)
        .and_then(|summary| toml::to_string(&summary).map_err(|error| error.to_string()));
    match text {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}

fn replay(path: &Path) -> Result<Summary> {
    let bytes = std::fs::read(path).map_err(|error| error.to_string())?;
    let (header, steps) = decode(&bytes).map_err(|error| error.to_string())?;
    let start = tokio::time::Instant::now().into_std();
    let mut replay = Replay::new(start, header).map_err(|error| error.to_string())?;
    for step in steps {
        replay.step(step).map_err(|error| error.to_string())?;
    }
    Ok(replay.summary())
}

fn read_expected(path: &Path) -> Result<Summary> {
    let text =
        std::fs::read_to_string(path.with_extension("toml")).map_err(|error| error.to_string())?;
    toml::from_str(&text).map_err(|error| error.to_string())
}

/// Lists the traces of all example deployments in the order of their paths.
fn shipped_traces() -> Vec<PathBuf> {
    let directories = std::fs::read_dir(EXAMPLES_DIRECTORY)
        .into_iter()
        .flatten()
        .flatten();
    let traces =
        directories.flat_map(|directory| std::fs::read_dir(directory.path().join("trace")));
    let files = traces.flatten().flatten().map(|file| file.path());
    let mut paths: Vec<PathBuf> = files
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "cbor")
        })
        .collect();
    paths.sort();
    paths
}
