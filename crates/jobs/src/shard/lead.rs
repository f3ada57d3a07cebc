use std::fmt::Write;
use std::time::Duration;

use actix::{
    ActorFutureExt, AsyncContext, Context, Handler, Message, ResponseActFuture, SpawnHandle,
    WrapFuture,
};
use futures_util::future::join;
use persimmongate_core::ids;
use persimmongate_core::journal::Record;
use persimmongate_core::sched::{Action, Event, Scheduler};
use persimmongate_core::term::{self, Action as Elected};
use persimmongate_node::clock;
use slog::{info, warn};

use super::{IDLE_PAUSE, LeadershipChanged, Resign, Shard};
use crate::lead::{Pen, claim, encoded, notice, persist, resign, resignation};
use crate::platform::{Append, Failure, Platform};
use crate::roster::{Subscribe, Unsubscribe, Update};

/// Time between the notice of a leader that is going to give up and its end: the others' longest pause
/// between two reads.
const NOTICE: Duration = IDLE_PAUSE;
/// Time between two rounds of upkeep of a scheduler.
const TICK: Duration = Duration::from_millis(200);

/// `Told` is an event for the scheduler of a term.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Told {
    term: ids::Term,
    event: Event,
}

/// `Lead` is the leadership of a shard in one term.
pub(super) struct Lead {
    pub(super) term: ids::Term,
    pub(super) scheduler: Scheduler,
    pen: Pen,
    tick: SpawnHandle,
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Shard<P, C> {
    /// Takes an event of the election in, and carries out what it asks for.
    pub(super) fn elect(&mut self, event: term::Event, ctx: &mut Context<Self>) {
        let mut actions = Vec::new();
        self.election.step(clock::now(), event, &mut actions);
        for action in actions {
            match action {
                Elected::Claim {
                    expected_end: at,
                    nonce,
                } => self.claim(at, nonce, ctx),
                Elected::Lead {
                    term,
                    has_predecessor: succeeds,
                    predecessor_resigned: resigned,
                } => self.take_over(term, succeeds, resigned, ctx),
                Elected::StepDown => self.give_up(ctx),
            }
        }
    }

    fn claim(&mut self, at: ids::Offset, nonce: u64, ctx: &mut Context<Self>) {
        let append = claim(self.topic(), at, self.setup.node.clone(), nonce);
        let Some(append) = encoded(append, &self.setup.logger) else {
            return;
        };
        let appended = self.setup.platform.append(append).into_actor(self);
        ctx.spawn(appended.map(move |appended, act, ctx| {
            info!(act.setup.logger, "shard claimed"; "shard" => act.setup.shard, "at" => at,
                "outcome" => ?appended);
            // A claim without an answer may still take effect; the log tells.
            if appended.is_err_and(|failure| failure != Failure::Unknown) {
                act.elect(term::Event::ClaimRejected, ctx);
            }
        }));
    }

    fn take_over(
        &mut self,
        term: ids::Term,
        succeeds: bool,
        resigned: bool,
        ctx: &mut Context<Self>,
    ) {
        info!(self.setup.logger, "leads shard"; "shard" => self.setup.shard, "term" => term,
            "succeeds" => succeeds, "resigned" => resigned);
        let options = self.setup.options.clone();
        let scheduler = Scheduler::new(options, term, succeeds, resigned, clock::now());
        let tick = ctx.run_interval(TICK, |act, ctx| act.schedule(Event::Tick, ctx));
        self.lead = Some(Lead {
            term,
            scheduler,
            pen: Pen::new(self.topic(), term),
            tick,
        });
        if let Some(config) = self.config.clone() {
            self.schedule(Event::Config(config), ctx);
        }
        let drains: Vec<_> = self.drains.keys().cloned().collect();
        for worker in drains {
            self.schedule(Event::Drain(worker, true), ctx);
        }
        let jobs: Vec<_> = self.book.jobs().map(|(job, _)| job.id.clone()).collect();
        for job in jobs {
            self.schedule_job(&job, ctx);
        }
        let recipient = ctx.address().recipient();
        self.setup
            .roster
            .do_send(Subscribe(self.setup.shard, recipient));
        self.setup.leadership.do_send(LeadershipChanged {
            shard: self.setup.shard,
            is_leader: true,
        });
    }

    pub(super) fn give_up(&mut self, ctx: &mut Context<Self>) {
        let Some(lead) = self.lead.take() else {
            return;
        };
        warn!(self.setup.logger, "leads shard no more"; "shard" => self.setup.shard,
            "term" => lead.term);
        ctx.cancel_future(lead.tick);
        self.setup.roster.do_send(Unsubscribe(self.setup.shard));
        self.setup.leadership.do_send(LeadershipChanged {
            shard: self.setup.shard,
            is_leader: false,
        });
    }

    /// Tells the scheduler of a job with all that is known of it.
    pub(super) fn schedule_job(&mut self, job: &ids::Job, ctx: &mut Context<Self>) {
        if self.lead.is_none() {
            return;
        }
        let Some(entry) = self.book.get(job) else {
            return;
        };
        if let Some(job) = &entry.job {
            let event = Event::Job {
                job: job.clone(),
                offset: entry.offset,
                progress: Box::new(entry.progress.clone()),
                is_canceled: entry.is_canceled,
            };
            self.schedule(event, ctx);
        }
    }

    /// Takes an event of the scheduler in, and carries out what it asks for.
    pub(super) fn schedule(&mut self, event: Event, ctx: &mut Context<Self>) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let mut actions = Vec::new();
        lead.scheduler
            .step(clock::now(), clock::wall(), event, &mut actions);
        let term = lead.term;
        for action in actions {
            self.carry_out(term, action, ctx);
        }
    }

    /// Takes in an event that an older term of this process may have asked for.
    fn schedule_for(&mut self, term: ids::Term, event: Event, ctx: &mut Context<Self>) {
        if self.lead.as_ref().is_some_and(|lead| lead.term == term) {
            self.schedule(event, ctx);
        }
    }

    /// Tells the scheduler of an event that a task of its own waits for.
    ///
    /// Futures that an actor spawns are all polled whenever one of them is woken.
    fn tell_later(
        term: ids::Term,
        ctx: &mut Context<Self>,
        event: impl Future<Output = Event> + 'static,
    ) {
        let shard = ctx.address();
        actix_rt::spawn(async move {
            let event = event.await;
            shard.do_send(Told { term, event });
        });
    }

    fn carry_out(&mut self, term: ids::Term, action: Action, ctx: &mut Context<Self>) {
        let platform = self.setup.platform.clone();
        let sent = clock::now();
        match action {
            Action::Poll(hold) => {
                let worker = hold.worker.clone();
                let asked = platform.poll_worker(hold);
                Self::tell_later(term, ctx, async move {
                    let answer = asked.await;
                    Event::Polled {
                        worker,
                        sent_at: sent,
                        answer,
                    }
                });
            }
            Action::Call(call) => {
                let called = platform.send_worker_command(call.clone());
                Self::tell_later(term, ctx, async move {
                    let (answer, clock) = called.await;
                    Event::Called {
                        call,
                        sent_at: sent,
                        answer,
                        clock_ms: clock,
                    }
                });
            }
            Action::RequestAdvice(question) => {
                let (job, occurrence, step) =
                    (question.job.clone(), question.occurrence, question.step);
                let advised = platform.request_advice(question);
                Self::tell_later(term, ctx, async move {
                    let answer = advised.await;
                    Event::Advised {
                        job,
                        occurrence,
                        step,
                        sent_at: sent,
                        answer,
                    }
                });
            }
            Action::SchedulePoll(worker, wait) => {
                Self::tell_later(term, ctx, async move {
                    actix_rt::time::sleep(wait).await;
                    Event::PollDue(worker)
                });
            }
            Action::Append(records) => self.append(term, &records, ctx),
            Action::Fenced => self.elect(term::Event::Fenced, ctx),
            Action::LogStarts {
                job,
                occurrence,
                step,
                tasks,
            } => {
                let mut list = String::new();
                for (index, run, worker) in tasks {
                    // Writing to a string does not fail.
                    let _ = write!(list, "{index}:{run}@{worker} ");
                }
                info!(self.setup.logger, "start"; "job" => %job,
                    "step" => format!("{occurrence}.{step}"), "tasks" => list.trim_end(),
                    "term" => term);
            }
            Action::LogRun {
                message: what,
                task,
                run,
                worker,
            } => {
                info!(self.setup.logger, "{}", what; "job" => %task.job,
                    "task" => format!("{}.{}.{}", task.occurrence, task.step, task.index),
                    "run" => run, "worker" => %worker, "term" => term);
            }
        }
    }

    fn append(&mut self, term: ids::Term, records: &[Record], ctx: &mut Context<Self>) {
        let Some(append) = self.authored(records) else {
            return;
        };
        let persisted = persist(self.setup.platform.clone(), append, None).into_actor(self);
        ctx.spawn(persisted.map(move |appended, act, ctx| match appended {
            Ok(_) => act.schedule_for(term, Event::Appended, ctx),
            Err(failure) => {
                warn!(act.setup.logger, "leader's append refused"; "shard" => act.setup.shard,
                    "term" => term, "reason" => ?failure);
                if act.lead.as_ref().is_some_and(|lead| lead.term == term) {
                    act.elect(term::Event::Fenced, ctx);
                }
            }
        }));
    }

    /// Makes the leader's next append.
    fn authored(&mut self, records: &[Record]) -> Option<Append> {
        let lead = self.lead.as_mut()?;
        encoded(lead.pen.append(records), &self.setup.logger)
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Told> for Shard<P, C> {
    type Result = ();

    fn handle(&mut self, told: Told, ctx: &mut Self::Context) {
        self.schedule_for(told.term, told.event, ctx);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Update> for Shard<P, C> {
    type Result = ();

    fn handle(&mut self, update: Update, ctx: &mut Self::Context) {
        match update {
            Update::Listed(reports) => {
                for report in reports {
                    if self.owns(&report.service) {
                        self.schedule(Event::Listed(report), ctx);
                    }
                }
            }
            Update::Unlisted(workers) => {
                for worker in workers {
                    self.schedule(Event::Unlisted(worker), ctx);
                }
            }
            Update::Hosts(hosts) => {
                // A host that moves is listed in another pool, but its worker may still be known here.
                let workers = hosts.into_iter().map(|host| {
                    let own = self.owns(&host.service);
                    (host.name, host.worker.filter(|_| own))
                });
                let workers = workers.collect();
                self.schedule(Event::Hosts(workers), ctx);
            }
        }
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Resign> for Shard<P, C> {
    type Result = ResponseActFuture<Self, ()>;

    /// Gives the shard up, after a notice by which others follow closely.
    fn handle(&mut self, _: Resign, ctx: &mut Self::Context) -> Self::Result {
        let node = self.setup.node.clone();
        let record = self.lead.as_ref().map(|lead| notice(lead.term, node));
        let Some(append) = record.and_then(|record| self.authored(&[record])) else {
            return self.resign(ctx);
        };
        let noted = persist(
            self.setup.platform.clone(),
            append,
            Some(clock::now() + NOTICE),
        );
        let noted = join(noted, actix_rt::time::sleep(NOTICE)).into_actor(self);
        Box::pin(noted.then(|_, act, ctx| act.resign(ctx)))
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Shard<P, C> {
    /// Gives the shard up: the record says that this leader sends nothing more.
    fn resign(&mut self, ctx: &mut Context<Self>) -> ResponseActFuture<Self, ()> {
        let node = self.setup.node.clone();
        let record = self.lead.as_ref().map(|lead| resignation(lead.term, node));
        let append = record.and_then(|record| self.authored(&[record]));
        self.elect(term::Event::ShutDown, ctx);
        let (platform, logger) = (self.setup.platform.clone(), self.setup.logger.clone());
        Box::pin(resign(platform, append, logger).into_actor(self))
    }
}
