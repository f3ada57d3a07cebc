//! Measurements of the decision code, each printed as a table next to its baselines.

mod accounts;
mod capacity;
mod flood;
mod log;
mod moves;
mod once;
mod placement;
mod replay;
mod retries;
mod routing;
mod sim;
mod soak;
mod table;
mod takeover;
mod testbed;
mod wave;
mod world;

use std::process::ExitCode;

use argh::FromArgs;

/// Measures the decision code.
#[derive(Debug, FromArgs)]
struct Args {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    seed: u64,
    /// steps of a long run
    #[argh(option, default = "100000")]
    steps: u64,
    /// measurement to run: a name, list or all, or the file of a trace to replay
    #[argh(positional)]
    name: String,
}

/// `Measurement` is one of the measurements.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Measurement {
    Accounts,
    Capacity,
    Flood,
    Log,
    Moves,
    Once,
    Placement,
    Replay,
    Retries,
    Routing,
    Soak,
    Takeover,
    Wave,
}

/// `Options` holds the parameters of all measurements.
#[derive(Clone, Copy, Debug)]
struct Options {
    /// Seed of the random numbers.
    seed: u64,
    /// Number of steps of the soak run.
    steps: u64,
}

impl Measurement {
    /// Every measurement, in the order of their names.
    const ALL: &[Self] = &[
        Self::Accounts,
        Self::Capacity,
        Self::Flood,
        Self::Log,
        Self::Moves,
        Self::Once,
        Self::Placement,
        Self::Replay,
        Self::Retries,
        Self::Routing,
        Self::Soak,
        Self::Takeover,
        Self::Wave,
    ];

    /// Gets the name under which the command line selects the measurement.
    fn name(self) -> &'static str {
        match self {
            Self::Accounts => "accounts",
            Self::Capacity => "capacity",
            Self::Flood => "flood",
            Self::Log => "log",
            Self::Once => "once",
            Self::Placement => "placement",
            Self::Retries => "retries",
            Self::Replay => "replay",
            Self::Routing => "routing",
            Self::Soak => "soak",
            Self::Moves => "moves",
            Self::Takeover => "takeover",
            Self::Wave => "wave",
        }
    }

    /// Runs the measurement; returns whether its targets were met.
    fn run(self, options: Options) -> bool {
        println!(
            "{} (seed {}, steps {})",
            self.name(),
            options.seed,
            options.steps
        );
        match self {
            Self::Accounts => accounts::run(),
            Self::Capacity => capacity::run(),
            Self::Flood => flood::run(options.seed),
            Self::Log => log::run(),
            Self::Once => once::run(options.seed),
            Self::Placement => placement::run(),
            Self::Retries => retries::run(options.seed),
            Self::Replay => replay::run(),
            Self::Routing => routing::run(options.seed),
            Self::Soak => soak::run(options.seed, options.steps),
            Self::Moves => moves::run(options.seed),
            Self::Takeover => takeover::run(options.seed),
            Self::Wave => wave::run(options.seed),
        }
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let options = Options {
        seed: args.seed,
        steps: args.steps,
    };
    if args.name == "list" {
        for measurement in Measurement::ALL {
            println!("{}", measurement.name());
        }
        return ExitCode::SUCCESS;
    }
    if args.name.ends_with(replay::TRACE_SUFFIX) {
        return replay::print(std::path::Path::new(&args.name));
    }
    let is_selected =
        |measurement: &&Measurement| args.name == "all" || measurement.name() == args.name;
    let selected: Vec<&Measurement> = Measurement::ALL.iter().filter(is_selected).collect();
    if selected.is_empty() {
        eprintln!(
            "unknown measurement {}; the name list prints all",
            args.name
        );
        return ExitCode::from(2);
    }
    let targets_met = selected
        .into_iter()
        .filter(|measurement| !measurement.run(options))
        .count()
        == 0;
    if targets_met {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
