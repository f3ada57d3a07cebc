//! Command that controls a maintenance wave.

use bytes::Bytes;
use persimmongate_core::ids;
use persimmongate_core::record::Command;
use persimmongate_core::report::{Status, is_in_effect};
use serde::Deserialize;
use serde_json::{Value, json};

use super::failure_output;
use crate::client::{Client, Failure, escape};
use crate::print::{Exit, Output};

/// Pauses, resumes or aborts a wave.
pub(crate) async fn control(
    client: &Client,
    command: Command,
    wave: &str,
    operator: Result<ids::Operator, Output>,
) -> Output {
    let operator = match operator {
        Ok(operator) => operator,
        Err(output) => return output,
    };
    let (verb, phase) = match command {
        Command::Abort => ("abort", "aborted"),
        Command::Pause => ("pause", "paused"),
        Command::Resume => ("resume", "running"),
    };
    let (name, operator) = (escape(wave), escape(&operator));
    let path = format!("/v1/waves/{name}/{verb}?operator={operator}");
    match client.post(&path, Bytes::new()).await {
        Ok(value) => match value.get("changed").and_then(Value::as_bool) {
            Some(true) => Output::new(Exit::Done, format!("wave {wave} is {phase}"), value),
            Some(false) => {
                let text = format!("no change: wave {wave} is already {phase}");
                Output::new(Exit::Done, text, value)
            }
            None => recheck(client, command, wave, "the answer can't be decoded").await,
        },
        Err(Failure::AnswerLost(problem)) => recheck(client, command, wave, &problem).await,
        Err(failure) => failure_output(failure),
    }
}

/// Reads the state of the wave, to learn whether a command whose answer was lost took effect.
async fn recheck(client: &Client, command: Command, wave: &str, problem: &str) -> Output {
    let status = client.get("/v1/status").await.ok();
    let status = status.and_then(|value| Status::deserialize(&value).ok());
    let is_effective = status.is_some_and(|status| {
        let mut waves = status.waves.iter();
        waves.any(|entry| entry.name == wave && is_in_effect(entry.phase, command))
    });
    if is_effective {
        let text = format!(
            "the command took effect, confirmed by a second call; the answer to the first was \
             lost ({problem})"
        );
        return Output::new(Exit::Done, text, json!({ "changed": true }));
    }
    let text = format!(
        "not known whether the command takes effect: {problem}\n\
         Run it again; it changes nothing if it has taken effect by then."
    );
    Output::new(Exit::Unreachable, text, json!({ "error": problem }))
}
