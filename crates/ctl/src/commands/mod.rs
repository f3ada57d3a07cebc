//! The commands, one function each.

use std::path::Path;
use std::process::ExitCode;

use bytes::Bytes;
use persimmongate_core::errors::Error;
use persimmongate_core::report::Status;
use persimmongate_core::sheet;
use serde_json::{Value, json};

use crate::client::{Client, Failure};
use crate::{Args, Command};

/// Exit code for a sheet with findings or a refusal of the fleet.
const EXIT_REFUSED: u8 = 1;
/// Exit code for a file that can't be read.
const EXIT_USAGE: u8 = 2;
/// Exit code for a fleet that can't be reached.
const EXIT_UNREACHABLE: u8 = 3;

/// Runs the command of the arguments.
pub(crate) async fn run(args: Args) -> ExitCode {
    let client = Client::new(args.fleet.0);
    let result = match args.command {
        Command::Apply(apply) => {
            let Some(bytes) = load(&apply.sheet) else {
                return ExitCode::from(EXIT_USAGE);
            };
            if let Err(error) = sheet::parse(&bytes) {
                return report_findings(&error, args.json);
            }
            apply_sheet(&client, bytes, apply.base, &args.operator).await
        }
        Command::Check(check) => {
            let Some(bytes) = load(&check.sheet) else {
                return ExitCode::from(EXIT_USAGE);
            };
            return match sheet::parse(&bytes) {
                Ok(intents) => {
                    println!(
                        "{}: {} rows, no findings",
                        check.sheet.display(),
                        intents.len()
                    );
                    ExitCode::SUCCESS
                }
                Err(error) => report_findings(&error, args.json),
            };
        }
        Command::Dump(dump) => client.get_from(dump.address, "/dump").await,
        Command::Status(_) => client.get("/v1/status").await,
        Command::Wave(wave) => {
            let path = format!(
                "/v1/waves/{}/{}?operator={}",
                wave.wave, wave.command, args.operator
            );
            client.post(&path, Bytes::new()).await
        }
    };
    report(result, args.json)
}

fn load(path: &Path) -> Option<Bytes> {
    match std::fs::read(path) {
        Ok(bytes) => Some(bytes.into()),
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            None
        }
    }
}

async fn apply_sheet(
    client: &Client,
    bytes: Bytes,
    base: Option<u64>,
    operator: &str,
) -> Result<Value, Failure> {
    let base = if let Some(base) = base {
        base
    } else {
        let status = client.get("/v1/status").await?;
        status.get("revision").and_then(Value::as_u64).unwrap_or(0)
    };
    client
        .post(&format!("/v1/sheet?base={base}&operator={operator}"), bytes)
        .await
}

fn report_findings(error: &Error, json: bool) -> ExitCode {
    match error {
        Error::Findings(findings) if json => println!("{}", json!(findings)),
        error => eprintln!("{error}"),
    }
    ExitCode::from(EXIT_REFUSED)
}

fn report(result: Result<Value, Failure>, json: bool) -> ExitCode {
    match result {
        Ok(value) => {
            match serde_json::from_value::<Status>(value.clone()) {
                Ok(status) if !json => print_status(&status),
                _ => println!("{value:#}"),
            }
            ExitCode::SUCCESS
        }
        Err(Failure::Refused(status, answer)) => {
            let text = answer
                .get("error")
                .and_then(Value::as_str)
                .map(str::to_owned);
            eprintln!(
                "refused ({status}): {}",
                text.unwrap_or_else(|| answer.to_string())
            );
            ExitCode::from(EXIT_REFUSED)
        }
        Err(Failure::Unreachable(problem)) => {
            eprintln!("fleet can't be reached: {problem}");
            ExitCode::from(EXIT_UNREACHABLE)
        }
    }
}

fn print_status(status: &Status) {
    println!(
        "revision {}, offset {}, moves {}",
        status.revision, status.next, status.moves
    );
    println!(
        "{:<20}{:<16}{:>8}{:>8}{:>9}  holder",
        "pool", "service", "target", "hosts", "serving"
    );
    for pool in &status.pools {
        let service = pool.service.as_deref().unwrap_or("-");
        let holder = pool.holder.as_deref().unwrap_or("none");
        println!(
            "{:<20}{service:<16}{:>8}{:>8}{:>9}  {holder}",
            &*pool.name, pool.target, pool.hosts, pool.serving
        );
    }
    println!("{:<20}{:>10}{:>9}", "service", "promised", "serving");
    for service in &status.services {
        println!(
            "{:<20}{:>10}{:>9}",
            &*service.name, service.promised, service.serving
        );
    }
    for wave in &status.waves {
        println!(
            "wave {} over {}: {:?}, {} of {} hosts done, {} out: {}",
            wave.name, wave.pool, wave.phase, wave.done, wave.hosts, wave.out, wave.reason
        );
    }
}
