use actix::Addr;
use persimmongate_core::account::Caller;
use persimmongate_core::ids;
use persimmongate_core::journal::Phase;

use super::Cancel;
use crate::platform::Platform;
use crate::shard::{self, Answer, Shard, Status};

/// Queries shards one after another until one knows the job.
pub(super) async fn find<P: Platform, C: Copy + Send + Unpin + 'static>(
    shards: Vec<Addr<Shard<P, C>>>,
    job: &ids::Job,
    caller: &Caller,
) -> (Status, Option<Addr<Shard<P, C>>>) {
    let mut status = Status::Missing;
    for shard in shards {
        let query = shard::Query {
            job: job.clone(),
            caller: caller.clone(),
        };
        match shard.send(query).await {
            Ok(Status::Phase(phase)) => return (Status::Phase(phase), Some(shard)),
            // A job of the caller under the same id in another shard comes first.
            Ok(Status::Foreign) => status = Status::Foreign,
            Ok(Status::Unavailable) | Err(_) if status == Status::Missing => {
                status = Status::Unavailable;
            }
            Ok(Status::Missing | Status::Unavailable) | Err(_) => {}
        }
    }
    (status, None)
}

/// Cancels a job that no shard knows, as its acceptance may be on the way to the log.
async fn cancel_unknown<P: Platform, C: Copy + Send + Unpin + 'static>(
    shards: Vec<Addr<Shard<P, C>>>,
    cancel: Cancel,
    status: Status,
) -> Answer {
    let mut answer = Answer::Missing;
    for shard in shards {
        let message = shard::Cancel {
            job: cancel.job.clone(),
            caller: cancel.caller.clone(),
            deadline: cancel.deadline,
        };
        match shard.send(message).await.unwrap_or(Answer::Unknown) {
            Answer::Missing => {}
            Answer::Done => answer = Answer::Done,
            failed => return failed,
        }
    }
    match status {
        // A shard that could not tell may hold the job.
        Status::Unavailable => Answer::Unknown,
        Status::Missing | Status::Phase(_) | Status::Foreign => answer,
    }
}

/// Cancels a job as far as the shards have told its state.
pub(super) async fn cancel_found<P: Platform, C: Copy + Send + Unpin + 'static>(
    accepting_shards: Vec<Addr<Shard<P, C>>>,
    shard: Option<Addr<Shard<P, C>>>,
    cancel: Cancel,
    status: Status,
) -> Answer {
    let shard = match (status, shard) {
        (Status::Foreign, _) => return Answer::Missing,
        (Status::Phase(Phase::Completed | Phase::Failed | Phase::Canceled), Some(_)) => {
            return Answer::Done;
        }
        (_, Some(shard)) => shard,
        (_, None) => return cancel_unknown(accepting_shards, cancel, status).await,
    };
    let message = shard::Cancel {
        job: cancel.job,
        caller: cancel.caller,
        deadline: cancel.deadline,
    };
    shard.send(message).await.unwrap_or(Answer::Unknown)
}
