//! Command line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use persimmongate_core::record;
use persimmongate_core::report::Subject;

use crate::print::Exit;

/// Global options that take a value.
const GLOBAL_OPTIONS: [&str; 3] = ["--fleet", "--operator", "--settings"];
/// Global options that take no value.
const GLOBAL_SWITCHES: [&str; 1] = ["--json"];

/// Manages a fleet: checks, plans and applies sheets, shows and explains its state, and controls
/// maintenance waves.
#[derive(Debug, FromArgs)]
#[argh(
    note = "These options are accepted before or after the command.",
    error_code(
        1,
        "the fleet refused the call, the sheet has findings, or rows can't be met"
    ),
    error_code(2, "invalid arguments or settings, or a file can't be read"),
    error_code(
        3,
        "the fleet or the platform can't be reached, or the result is unknown"
    )
)]
pub(crate) struct Args {
    /// addresses of fleet instances as IP:PORT, separated by commas; the first that answers is used
    #[argh(
        option,
        long = "fleet",
        arg_name = "fleet",
        from_str_fn(parse_addresses),
        default = "Addresses::default()"
    )]
    pub(crate) fleet_addresses: Addresses,
    /// name under which changes are recorded; by default the value of the variable USER
    #[argh(option)]
    pub(crate) operator: Option<String>,
    /// TOML file that sets fleet and operator; the options override it
    #[argh(option)]
    pub(crate) settings: Option<PathBuf>,
    /// print the result as JSON
    #[argh(switch, long = "json")]
    pub(crate) prints_json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// `Addresses` is the list of addresses of fleet instances.
#[derive(Clone, Debug, Default)]
pub(crate) struct Addresses(pub(crate) Vec<SocketAddr>);

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Apply(Apply),
    Check(Check),
    Dump(Dump),
    Explain(Explain),
    Plan(Plan),
    Status(Status),
    Wave(Wave),
}

/// Applies a sheet. Applying the sheet in force again changes nothing, and a sheet of another
/// operator is replaced only if --base names its revision.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    note = "Options of all commands: --fleet, --operator, --settings and --json; see persimmonctl --help.",
    example = "{command_name} examples/kuiseb/sheet.csv"
)]
pub(crate) struct Apply {
    /// CSV file of the sheet to apply
    #[argh(positional)]
    pub(crate) sheet: PathBuf,
    /// revision of the sheet to replace, as plan prints it
    #[argh(option, long = "base", arg_name = "base")]
    pub(crate) base_revision: Option<u64>,
    /// apply the sheet although some of its rows can't be met with the current hosts
    #[argh(switch, long = "anyway")]
    pub(crate) allows_unmet: bool,
}

/// Checks a sheet without contacting a fleet.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    note = "Options of all commands: --fleet, --operator, --settings and --json; see persimmonctl --help."
)]
pub(crate) struct Check {
    /// CSV file of the sheet to check
    #[argh(positional)]
    pub(crate) sheet: PathBuf,
}

/// Prints the complete state of one process, or of all members of the fleet.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "dump",
    note = "Options of all commands: --fleet, --operator, --settings and --json; see persimmonctl --help."
)]
pub(crate) struct Dump {
    /// address of the HTTP interface of one process as IP:PORT; by default all members
    #[argh(positional)]
    pub(crate) address: Option<SocketAddr>,
}

/// Explains why a host, pool, service or wave is in its state, and what happens next.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    note = "Options of all commands: --fleet, --operator, --settings and --json; see persimmonctl --help.",
    example = "{command_name} wave finder-december"
)]
pub(crate) struct Explain {
    /// host, pool, service or wave
    #[argh(positional, from_str_fn(parse_kind))]
    pub(crate) kind: Subject,
    /// name of the host, pool, service or wave
    #[argh(positional)]
    pub(crate) name: String,
}

/// Shows what a sheet would change, and which of its rows can't be met with the current hosts.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "plan",
    note = "Options of all commands: --fleet, --operator, --settings and --json; see persimmonctl --help."
)]
pub(crate) struct Plan {
    /// CSV file of the sheet to plan
    #[argh(positional)]
    pub(crate) sheet: PathBuf,
}

/// Shows pools, services, waves and processes.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    note = "Options of all commands: --fleet, --operator, --settings and --json; see persimmonctl --help."
)]
pub(crate) struct Status {}

/// Pauses, resumes or aborts a maintenance wave.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "wave",
    note = "Options of all commands: --fleet, --operator, --settings and --json; see persimmonctl --help.",
    example = "{command_name} pause finder-december"
)]
pub(crate) struct Wave {
    /// pause, resume or abort
    #[argh(positional, from_str_fn(parse_wave_command))]
    pub(crate) command: record::Command,
    /// name of the wave
    #[argh(positional)]
    pub(crate) wave: String,
}

/// Parses the arguments, or prints the help or the error and returns the exit code.
pub(crate) fn parse(arguments: &[String]) -> Result<Args, ExitCode> {
    let Some((program, rest)) = arguments.split_first() else {
        return Err(Exit::Usage.into());
    };
    let arguments = move_globals_first(rest);
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let program = program.rsplit('/').next().unwrap_or(program);
    Args::from_args(&[program], &arguments).map_err(|early_exit| {
        if early_exit.status.is_ok() {
            println!("{}", early_exit.output);
            Exit::Done.into()
        } else {
            eprintln!(
                "{}\nRun {program} --help for more information.",
                early_exit.output
            );
            Exit::Usage.into()
        }
    })
}

/// Moves the global options in front of the command, the only place where the parser accepts them.
fn move_globals_first(arguments: &[String]) -> Vec<String> {
    let (mut globals, mut others) = (Vec::new(), Vec::new());
    let mut remaining = arguments.iter();
    while let Some(argument) = remaining.next() {
        if argument == "--" {
            others.push(argument.clone());
            others.extend(remaining.by_ref().cloned());
        } else if GLOBAL_SWITCHES.contains(&argument.as_str()) {
            globals.push(argument.clone());
        } else if GLOBAL_OPTIONS.contains(&argument.as_str()) {
            globals.push(argument.clone());
            globals.extend(remaining.next().cloned());
        } else {
            others.push(argument.clone());
        }
    }
    globals.append(&mut others);
    globals
}

fn parse_addresses(text: &str) -> Result<Addresses, String> {
    let parse = |part: &str| {
        let address = part.trim().parse();
        address.map_err(|_| format!("expected IP:PORT, found {part:?}"))
    };
    let addresses = text.split(',').map(parse);
    addresses.collect::<Result<_, _>>().map(Addresses)
}

fn parse_kind(text: &str) -> Result<Subject, String> {
    text.parse()
        .map_err(|_| format!("expected host, pool, service or wave, found {text:?}"))
}

fn parse_wave_command(text: &str) -> Result<record::Command, String> {
    match text {
        "abort" => Ok(record::Command::Abort),
        "pause" => Ok(record::Command::Pause),
        "resume" => Ok(record::Command::Resume),
        _ => Err(format!("expected pause, resume or abort, found {text:?}")),
    }
}
