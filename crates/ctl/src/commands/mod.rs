//! The commands, one function each.

mod sheet;
mod show;
mod wave;

use std::path::Path;

use persimmongate_core::settings::Control;
use persimmongate_core::{ids, name};
use serde_json::json;

use crate::args::{Args, Command};
use crate::client::{Client, Failure, error_of};
use crate::print::{Answer, Exit};

/// Variable of the environment that names the user.
const USER: &str = "USER";

/// Runs the command of the arguments.
pub(crate) async fn run(args: Args) -> Answer {
    let mut settings = match args.settings.as_deref().map(load).transpose() {
        Ok(settings) => settings.unwrap_or_default(),
        Err(answer) => return answer,
    };
    if !args.fleet.0.is_empty() {
        settings.fleet_addresses = args.fleet.0;
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

fn load(path: &Path) -> Result<Control, Answer> {
    let place = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|error| Answer::problem(Exit::Usage, &format!("{place}: {error}")))?;
    Control::try_from(&*text)
        .map_err(|error| Answer::problem(Exit::Usage, &format!("{place}:\n{error}")))
}

/// Gets the name that changes are made under.
fn operator(
    option: Option<String>,
    settings: Option<ids::Operator>,
) -> Result<ids::Operator, Answer> {
    let option = option.map(ids::Operator::from).or(settings);
    let user = || std::env::var(USER).ok().map(ids::Operator::from);
    let Some(operator) = option.or_else(user) else {
        let problem = "no operator is named; use --operator or --settings";
        return Err(Answer::problem(Exit::Usage, problem));
    };
    match name::check(&operator) {
        Ok(()) => Ok(operator),
        Err(problem) => {
            let text = format!(
                "operator {operator:?}: {problem}; accepted: {}",
                name::SYNTAX
            );
            Err(Answer::problem(Exit::Usage, &text))
        }
    }
}

/// Makes the answer for a call that brought no result.
fn failed(failure: Failure) -> Answer {
    match failure {
        Failure::Refused(value) => {
            let text = format!("refused: {}", error_of(&value));
            Answer::new(Exit::Refused, text, value)
        }
        Failure::Unreachable(problem) | Failure::Lost(problem) => {
            let text = format!("fleet can't be reached: {problem}");
            Answer::new(Exit::Unreachable, text, json!({ "error": problem }))
        }
    }
}

/// Makes the answer for an answer of the fleet that can't be read.
fn unreadable(error: &serde_json::Error) -> Answer {
    let text = format!("answer of the fleet can't be read, is it of another version? {error}");
    Answer::problem(Exit::Unreachable, &text)
}
