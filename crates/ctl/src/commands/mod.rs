//! Implementation of the commands, with one function for each.

mod sheet;
mod show;
mod wave;

use std::path::Path;

use persimmongate_core::settings::Control;
use persimmongate_core::{ids, name};
use serde_json::json;

use crate::args::{Args, Command};
use crate::client::{Client, Failure, error_message};
use crate::print::{Exit, Output};

/// Environment variable with the user's name.
const USER_VARIABLE: &str = "USER";

/// Runs the command that the arguments select.
pub(crate) async fn run(args: Args) -> Output {
    let mut settings = match args.settings.as_deref().map(load_settings).transpose() {
        Ok(settings) => settings.unwrap_or_default(),
        Err(output) => return output,
    };
    if !args.fleet_addresses.0.is_empty() {
        settings.fleet_addresses = args.fleet_addresses.0;
    }
    let client = Client::new(settings.fleet_addresses);
    let operator = choose_operator(args.operator, settings.operator);
    match args.command {
        Command::Apply(apply) => sheet::apply(&client, &apply, operator).await,
        Command::Check(check) => sheet::check(&check.sheet),
        Command::Dump(dump) => show::dump(&client, dump.address).await,
        Command::Explain(explain) => show::explain(&client, explain.kind, &explain.name).await,
        Command::Plan(plan) => sheet::plan(&client, &plan.sheet).await,
        Command::Status(_) => show::status(&client).await,
        Command::Wave(wave) => wave::control(&client, wave.command, &wave.wave, operator).await,
    }
}

fn load_settings(path: &Path) -> Result<Control, Output> {
    let file = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|error| Output::error(Exit::Usage, &format!("{file}: {error}")))?;
    Control::try_from(&*text)
        .map_err(|error| Output::error(Exit::Usage, &format!("{file}:\n{error}")))
}

/// Returns the name under which changes are recorded: the option, the setting or the user's name.
fn choose_operator(
    option: Option<String>,
    settings: Option<ids::Operator>,
) -> Result<ids::Operator, Output> {
    let configured = option.map(ids::Operator::from).or(settings);
    let user = || std::env::var(USER_VARIABLE).ok().map(ids::Operator::from);
    let Some(operator) = configured.or_else(user) else {
        let problem = "no operator is named; use --operator, the key operator of --settings, or the \
                       variable USER";
        return Err(Output::error(Exit::Usage, problem));
    };
    match name::check(&operator) {
        Ok(()) => Ok(operator),
        Err(problem) => {
            let text = format!(
                "operator {operator:?}: {problem}; accepted: {}",
                name::SYNTAX
            );
            Err(Output::error(Exit::Usage, &text))
        }
    }
}

/// Builds the output for a call that has no result.
fn failure_output(failure: Failure) -> Output {
    match failure {
        Failure::Refused(value) => {
            let text = format!("refused: {}", error_message(&value));
            Output::new(Exit::Refused, text, value)
        }
        Failure::Unreachable(problem) | Failure::AnswerLost(problem) => {
            let text = format!("fleet can't be reached: {problem}");
            Output::new(Exit::Unreachable, text, json!({ "error": problem }))
        }
    }
}

/// Builds the output for an answer of the fleet that can't be decoded.
fn unreadable_output(error: &serde_json::Error) -> Output {
    let text = format!(
        "the fleet's answer can't be decoded, possibly because its version differs: {error}"
    );
    Output::error(Exit::Unreachable, &text)
}
