//! Replay of recorded traces against their stated outcomes.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use persimmongate_core::trace::{Replay, Summary};
use persimmongate_wire::trace::decode;

use crate::table::Table;

/// Suffix of the files of traces.
pub(crate) const SUFFIX: &str = ".cbor";
/// Folder of the deployments, each with a folder of its traces.
const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

type Result<T> = std::result::Result<T, String>;

/// Replays every shipped trace; returns whether all came out as stated.
pub(crate) fn run() -> bool {
    let mut table = Table::new(&["trace", "steps", "actions", "differing", "as stated"]);
    let mut met = true;
    let paths = shipped();
    for path in &paths {
        let (Ok(outcome), Ok(stated)) = (replay(path), stated(path)) else {
            eprintln!("{}: can't be replayed", path.display());
            met = false;
            continue;
        };
        met &= outcome == stated;
        let name = path.strip_prefix(EXAMPLES).unwrap_or(path);
        table.add(vec![
            name.display().to_string(),
            outcome.step_count.to_string(),
            outcome.action_count.to_string(),
            outcome.mismatched_steps.to_string(),
            (outcome == stated).to_string(),
        ]);
    }
    table.print();
    met && !paths.is_empty()
}

/// Replays one trace and prints its outcome in the form in which outcomes are stated.
pub(crate) fn print(path: &Path) -> ExitCode {
    let text = replay(path)
        .and_then(|outcome| toml::to_string(&outcome).map_err(|error| error.to_string()));
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

fn stated(path: &Path) -> Result<Summary> {
    let text =
        std::fs::read_to_string(path.with_extension("toml")).map_err(|error| error.to_string())?;
    toml::from_str(&text).map_err(|error| error.to_string())
}

fn shipped() -> Vec<PathBuf> {
    let folders = std::fs::read_dir(EXAMPLES).into_iter().flatten().flatten();
    let traces = folders.flat_map(|folder| std::fs::read_dir(folder.path().join("trace")));
    let files = traces.flatten().flatten().map(|file| file.path());
    let mut paths: Vec<PathBuf> = files
        .filter(|path| path.extension().is_some_and(|end| end == "cbor"))
        .collect();
    paths.sort();
    paths
}
