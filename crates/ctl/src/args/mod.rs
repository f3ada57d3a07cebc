//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use persimmongate_core::record;
use persimmongate_core::report::Kind;

use crate::print::Exit;

/// Options of all commands that take a value.
const GLOBAL_OPTIONS: [&str; 3] = ["--fleet", "--operator", "--settings"];
/// Options of all commands that take none.
const GLOBAL_SWITCHES: [&str; 1] = ["--json"];

/// Steers a fleet: checks, plans and applies sheets, shows and explains the state, steers waves.
#[derive(Debug, FromArgs)]
#[argh(
    note = "The options above may stand before or after the command.",
    error_code(1, "refused, or the sheet has findings"),
    error_code(2, "wrong arguments, settings or file"),
    error_code(3, "fleet or platform can't be reached, or the result is not known")
)]
pub(crate) struct Args {
    /// fleet instances, separated by commas; the first that answers is used
    #[argh(
        option,
        long = "fleet",
        arg_name = "fleet",
        from_str_fn(parse_addresses),
        default = "Addresses::default()"
    )]
    pub(crate) fleet_addresses: Addresses,
    /// name that changes are made under; by default that of the user
    #[argh(option)]
    pub(crate) operator: Option<String>,
    /// settings file with the two above
    #[argh(option)]
    pub(crate) settings: Option<PathBuf>,
    /// print JSON
    #[argh(switch, long = "json")]
    pub(crate) prints_json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// `Addresses` lists the fleet instances.
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

/// Applies a sheet. The same sheet twice changes nothing, and a sheet of another operator is
/// replaced only when --base names its revision.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    note = "Options of all commands: --fleet, --operator, --settings and --json; see persimmonctl --help.",
    example = "{command_name} examples/kuiseb/sheet.csv"
)]
pub(crate) struct Apply {
    /// sheet to apply
    #[argh(positional)]
    pub(crate) sheet: PathBuf,
    /// revision that the sheet was made against, as plan shows it
    #[argh(option, long = "base", arg_name = "base")]
    pub(crate) base_revision: Option<u64>,
    /// apply although rows can't be met today
    #[argh(switch, long = "anyway")]
    pub(crate) allows_unmet: bool,
}

/// Checks a sheet without a fleet.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    note = "Options of all commands: --fleet, --operator, --settings and --json; see persimmonctl --help."
)]
pub(crate) struct Check {
    /// sheet to check
    #[argh(positional)]
    pub(crate) sheet: PathBuf,
}

/// Prints the whole state of a process, or of all members.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "dump",
    note = "Options of all commands: --fleet, --operator, --settings and --json; see persimmonctl --help."
)]
pub(crate) struct Dump {
    /// address of the process's HTTP interface; by default all members
    #[argh(positional)]
    pub(crate) address: Option<SocketAddr>,
}

/// Explains why something is as it is, and what comes next.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    note = "Options of all commands: --fleet, --operator, --settings and --json; see persimmonctl --help.",
    example = "{command_name} wave finder-december"
)]
pub(crate) struct Explain {
    /// what it is: host, pool, service or wave
    #[argh(positional, from_str_fn(parse_kind))]
    pub(crate) kind: Kind,
    /// its name
    #[argh(positional)]
    pub(crate) name: String,
}

/// Shows what a sheet would change, and what of it can't be met today.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "plan",
    note = "Options of all commands: --fleet, --operator, --settings and --json; see persimmonctl --help."
)]
pub(crate) struct Plan {
    /// sheet to plan
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

/// Steers a wave.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "wave",
    note = "Options of all commands: --fleet, --operator, --settings and --json; see persimmonctl --help.",
    example = "{command_name} pause finder-december"
)]
pub(crate) struct Wave {
    /// what to do: pause, resume or abort
    #[argh(positional, from_str_fn(parse_wave_command))]
    pub(crate) command: record::Command,
    /// wave to steer
    #[argh(positional)]
    pub(crate) wave: String,
}

/// Parses the arguments, or prints help or what is wrong with them.
pub(crate) fn parse(arguments: &[String]) -> Result<Args, ExitCode> {
    let Some((program, rest)) = arguments.split_first() else {
        return Err(Exit::Usage.into());
    };
    let rest = globals_first(rest);
    let rest: Vec<&str> = rest.iter().map(String::as_str).collect();
    let program = program.rsplit('/').next().unwrap_or(program);
    Args::from_args(&[program], &rest).map_err(|early| {
        if early.status.is_ok() {
            println!("{}", early.output);
            Exit::Done.into()
        } else {
            eprintln!(
                "{}\nRun {program} --help for more information.",
                early.output
            );
            Exit::Usage.into()
        }
    })
}

/// Puts the options of all commands in front of the command, where the parser takes them.
fn globals_first(arguments: &[String]) -> Vec<String> {
    let (mut globals, mut others) = (Vec::new(), Vec::new());
    let mut rest = arguments.iter();
    while let Some(argument) = rest.next() {
        if argument == "--" {
            others.push(argument.clone());
            others.extend(rest.by_ref().cloned());
        } else if GLOBAL_SWITCHES.contains(&argument.as_str()) {
            globals.push(argument.clone());
        } else if GLOBAL_OPTIONS.contains(&argument.as_str()) {
            globals.push(argument.clone());
            globals.extend(rest.next().cloned());
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
        address.map_err(|_| format!("{part:?} is no IP number with a port"))
    };
    let addresses = text.split(',').map(parse);
    addresses.collect::<Result<_, _>>().map(Addresses)
}

fn parse_kind(text: &str) -> Result<Kind, String> {
    text.parse()
        .map_err(|_| format!("{text:?} is none of host, pool, service and wave"))
}

fn parse_wave_command(text: &str) -> Result<record::Command, String> {
    match text {
        "abort" => Ok(record::Command::Abort),
        "pause" => Ok(record::Command::Pause),
        "resume" => Ok(record::Command::Resume),
        _ => Err(format!("{text:?} is none of pause, resume and abort")),
    }
}
