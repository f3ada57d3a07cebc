//! The commands, one function each.

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

/// Variable of the environment that names the user.
const USER: &str = "USER";

/// Runs the command of the arguments.
pub(crate) async fn run(args: Args) -> Output {
    let mut settings = match args.settings.as_deref().map(load).transpose() {
        Ok(settings) => settings.unwrap_or_default(),
        Err(answer) => return answer,
    };
    if !args.fleet_addresses.0.is_empty() {
        settings.fleet_addresses = args.fleet_addresses.0;
    }
    let client = Client::new(settings.fleet_addresses);
    let operator = operator(args.operator, settings.operator);
    match args.command {
        Command::Apply(apply) => sheet::apply(&client, &apply, operator).await,
        Command::Check(check) => sheet::check(&check.sheet),
        Command::Dump(dump) => show::dump(&client, dump.address).await,
        Command::Explain(explain) => show::explain(&client, explain.kind, &explain.name).await,
        Command::Plan(plan) => sheet::plan(&client, &plan.sheet).await,
        Command::Status(_) => show::status(&client).await,
        Command::Wave(wave) => wave::steer(&client, wave.command, &wave.wave, operator).await,
    }
}

fn load(path: &Path) -> Result<Control, Output> {
    let place = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|error| Output::error(Exit::Usage, &format!("{place}: {error}")))?;
    Control::try_from(&*text)
        .map_err(|error| Output::error(Exit::Usage, &format!("{place}:\n{error}")))
}

/// Gets the name that changes are made under.
fn operator(
    option: Option<String>,
    settings: Option<ids::Operator>,
) -> Result<ids::Operator, Output> {
    let option = option.map(ids::Operator::from).or(settings);
    let user = || std::env::var(USER).ok().map(ids::Operator::from);
    let Some(operator) = option.or_else(user) else {
        let problem = "no operator is named; use --operator or --settings";
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

/// Makes the answer for a call that brought no result.
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

/// Makes the answer for an answer of the fleet that can't be read.
fn unreadable_output(error: &serde_json::Error) -> Output {
    let text = format!("answer of the fleet can't be read, is it of another version? {error}");
    Output::error(Exit::Unreachable, &text)
}
