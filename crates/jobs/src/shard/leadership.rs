use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, Handler, Message, SpawnHandle, WrapFuture};
use persimmongate_core::ids;
use persimmongate_core::journal::Record;
use persimmongate_core::limit;
use persimmongate_core::sched::{Action, Event, Options, Report, Scheduler};
use persimmongate_core::term::{self, Action as Elected};
use persimmongate_core::upkeep::State;
use persimmongate_node::clock;
use slog::{info, warn};

use super::gauge::{Counts, Limits};
use super::lag::Lag;
use super::line;
use super::{Shard, Transition};
use crate::leadership::{Outbox, Sequencer, claim, encoded_or_logged};
use crate::platform::{Append, Failure, Platform};
use crate::roster::{Change, Unsubscribe, Update};

/// Interval of the scheduler's time-driven work.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// `Notice` is an event for the scheduler of one term; it is dropped after that term.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Notice {
    term: ids::Term,
    event: Event,
}

/// `Leadership` is the state that this process keeps while it leads a shard, in one term.
pub(super) struct Leadership {
    pub(super) term: ids::Term,
    pub(super) scheduler: Scheduler,
    pub(super) sequencer: Sequencer,
    pub(super) outbox: Outbox,
    tick_timer: SpawnHandle,
    counts: Counts,
    limits: Limits,
    lag: Lag,
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Shard<P, C> {
    /// Passes an event to the election and performs the actions that it returns.
    pub(super) fn step_election(&mut self, event: term::Event, ctx: &mut Context<Self>) {
        let mut actions = Vec::new();
        self.election.step(clock::now(), event, &mut actions);
        for action in actions {
            match action {
                Elected::Claim {
                    expected_end,
                    nonce,
                } => self.claim(expected_end, nonce, ctx),
                Elected::Lead {
                    term,
                    has_predecessor,
                    predecessor_resigned,
                } => self.take_over(term, has_predecessor, predecessor_resigned, ctx),
                Elected::StepDown => self.step_down(ctx),
            }
        }
    }

    fn claim(&mut self, expected_end: ids::Offset, nonce: u64, ctx: &mut Context<Self>) {
        let append = claim(
            self.partition(),
            expected_end,
            self.setup.node.clone(),
            nonce,
        );
        let Some(append) = encoded_or_logged(append, &self.setup.logger) else {
            return;
        };
        let appended = self.setup.platform.append(append).into_actor(self);
        ctx.spawn(appended.map(move |appended, act, ctx| {
            info!(act.setup.logger, "shard claim answered"; "shard" => act.setup.shard, "at" => expected_end,
                "outcome" => ?appended);
            // A claim without an answer may still take effect; reading the log shows whether it did.
            if appended.is_err_and(|failure| failure != Failure::Unknown) {
                act.step_election(term::Event::ClaimRejected, ctx);
            }
        }));
    }

    fn take_over(
        &mut self,
        term: ids::Term,
        has_predecessor: bool,
        predecessor_resigned: bool,
        ctx: &mut Context<Self>,
    ) {
        info!(self.setup.logger, "became leader of shard"; "shard" => self.setup.shard, "term" => term,
            "succeeds" => has_predecessor, "resigned" => predecessor_resigned);
        let options = Options {
            shard: self.setup.shard,
            ..self.setup.options.clone()
        };
        let scheduler = Scheduler::new(
            options,
            term,
            has_predecessor,
            predecessor_resigned,
            clock::now(),
        );
        let tick_timer = ctx.run_interval(TICK_INTERVAL, |act, ctx| {
            act.report_lag();
            act.step_scheduler(Event::Tick, ctx);
            if let Some(led) = &mut act.leadership {
                led.counts.publish(led.scheduler.counts(clock::now()));
                led.limits.publish(led.scheduler.limits());
            }
        });
        self.leadership = Some(Leadership {
            term,
            scheduler,
            sequencer: Sequencer::new(self.partition(), term),
            outbox: Outbox::new(self.setup.log_limits),
            tick_timer,
            counts: Counts::new(self.led_shards.clone(), self.setup.shard),
            limits: Limits::new(self.account_limits.clone(), self.setup.shard),
            lag: Lag::new(clock::now()),
        });
        if let Some(config) = self.config.clone() {
            self.step_scheduler(Event::Config(config), ctx);
        }
        let loans = self.ledger.loans();
        let loans = loans.map(|(_, account, loan)| limit::Notice::Loan(account.clone(), loan));
        for loan in loans.collect::<Vec<_>>() {
            self.step_scheduler(Event::Limit(loan), ctx);
        }
        let drains: Vec<_> = self.drains.keys().cloned().collect();
        for worker in drains {
            self.step_scheduler(Event::Drain(worker, true), ctx);
        }
        let jobs: Vec<_> = self
            .job_index
            .jobs()
            .map(|(job, _)| job.id.clone())
            .collect();
        for job in jobs {
            self.schedule_job(&job, ctx);
        }
        self.follow_payloads(term, ctx);
        self.subscribe(ctx);
        self.setup.leadership_observer.do_send(Transition {
            shard: self.setup.shard,
            is_leader: true,
        });
    }

    pub(super) fn step_down(&mut self, ctx: &mut Context<Self>) {
        let Some(leadership) = self.leadership.take() else {
            return;
        };
        warn!(self.setup.logger, "no longer leader of shard"; "shard" => self.setup.shard,
            "term" => leadership.term);
        ctx.cancel_future(leadership.tick_timer);
        self.setup.roster.do_send(Unsubscribe(self.setup.shard));
        self.setup.leadership_observer.do_send(Transition {
            shard: self.setup.shard,
            is_leader: false,
        });
    }

    /// Passes a job with all its recorded state to the scheduler.
    pub(super) fn schedule_job(&mut self, job: &ids::Job, ctx: &mut Context<Self>) {
        if self.leadership.is_none() {
            return;
        }
        let Some(entry) = self.job_index.get(job) else {
            return;
        };
        if let Some(job) = &entry.job {
            let event = Event::Job {
                job: job.clone(),
                offset: entry.offset,
                progress: Box::new(entry.progress.clone()),
                is_canceled: entry.is_canceled,
            };
            self.step_scheduler(event, ctx);
        }
    }

    /// Checks if this process leads the shard in a term.
    pub(super) fn leads_in(&self, term: ids::Term) -> bool {
        let leadership = self.leadership.as_ref();
        leadership.is_some_and(|leadership| leadership.term == term)
    }

    /// Writes a log line if the leader is behind its events.
    fn report_lag(&mut self) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let now = clock::now();
        if let Some(delay) = leadership.lag.record_tick(now) {
            let counts = leadership.scheduler.counts(now);
            let (shard, term) = (self.setup.shard, leadership.term);
            line::log_lag(&self.setup.logger, shard, term, &delay, &counts);
        }
    }

    /// Passes an event to the scheduler and performs the actions that it returns.
    pub(super) fn step_scheduler(&mut self, event: Event, ctx: &mut Context<Self>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let mut actions = Vec::new();
        let (now, kind) = (clock::now(), event.kind());
        leadership
            .scheduler
            .step(now, clock::unix_ms(), event, &mut actions);
        let duration = clock::now().saturating_duration_since(now);
        leadership.lag.record_step(duration, kind);
        let term = leadership.term;
        for action in actions {
            self.perform(term, action, ctx);
        }
    }

    /// Passes an event to the scheduler unless it belongs to an earlier term of this process.
    pub(super) fn step_scheduler_in_term(
        &mut self,
        term: ids::Term,
        event: Event,
        ctx: &mut Context<Self>,
    ) {
        if self.leads_in(term) {
            self.step_scheduler(event, ctx);
        }
    }

    /// Awaits an event on a separate task and sends it to the scheduler.
    ///
    /// A future spawned on the actor's context would be polled whenever any other one there is woken.
    fn send_when_ready(
        term: ids::Term,
        ctx: &mut Context<Self>,
        event: impl Future<Output = Event> + 'static,
    ) {
        let shard = ctx.address();
        actix_rt::spawn(async move {
            let event = event.await;
            shard.do_send(Notice { term, event });
        });
    }

    fn perform(&mut self, term: ids::Term, action: Action, ctx: &mut Context<Self>) {
        let platform = self.setup.platform.clone();
        let (logger, shard) = (&self.setup.logger, self.setup.shard);
        let sent_at = clock::now();
        match action {
            Action::Poll(poll) => {
                let worker = poll.worker.clone();
                let polled = platform.poll_worker(poll);
                Self::send_when_ready(term, ctx, async move {
                    let answer = polled.await;
                    Event::Polled {
                        worker,
                        sent_at,
                        answer,
                    }
                });
            }
            Action::Call(call) => {
                let called = platform.send_worker_command(call.clone());
                Self::send_when_ready(term, ctx, async move {
                    let (answer, clock_ms) = called.await;
                    Event::Called {
                        call,
                        sent_at,
                        answer,
                        clock_ms,
                    }
                });
            }
            Action::RequestAdvice(request) => {
                let (job, occurrence, step) =
                    (request.job.clone(), request.occurrence, request.step);
                let advised = platform.request_advice(request);
                Self::send_when_ready(term, ctx, async move {
                    let answer = advised.await;
                    Event::Advised {
                        job,
                        occurrence,
                        step,
                        sent_at,
                        answer,
                    }
                });
            }
            Action::SchedulePoll(worker, wait) => {
                Self::send_when_ready(term, ctx, async move {
                    actix_rt::time::sleep(wait).await;
                    Event::PollDue(worker)
                });
            }
            Action::SchedulePlacement(wait) => {
                Self::send_when_ready(term, ctx, async move {
                    actix_rt::time::sleep(wait).await;
                    Event::PlacementDue
                });
            }
            Action::DropPayloads(jobs) => self.drop_payloads(jobs, ctx),
            Action::Append(records) => self.append(term, records, ctx),
            Action::NotifyLender(records) => self.notify_lender(term, &records, ctx),
            Action::Fenced => self.step_election(term::Event::Fenced, ctx),
            Action::LogStarts {
                job,
                occurrence,
                step,
                tasks,
            } => line::log_starts(logger, term, &job, (occurrence, step), &tasks),
            Action::LogRun {
                message,
                task,
                run,
                worker,
            } => {
                info!(logger, "{}", message; "job" => %task.job,
                    "task" => format!("{}.{}.{}", task.occurrence, task.step, task.index),
                    "run" => run, "worker" => %worker, "term" => term);
            }
            Action::LogStop(stop) => line::log_stop(logger, term, &stop),
            Action::LogWorker(change, belief) => {
                line::log_worker(logger, shard, term, change, &belief);
            }
            Action::LogIdle(idle) => line::log_idle(logger, shard, term, &idle),
            Action::LogWaiting(service, tally) => {
                line::log_waiting(logger, term, &service, &tally);
            }
            Action::LogLimited(reports) => line::log_limited(logger, shard, term, &reports),
            Action::LogPlaceWait(ending) => line::log_place_wait(logger, term, &ending),
            Action::LogRecovery(wait) => line::log_recovery(logger, shard, term, wait),
        }
    }

    /// Creates the leader's next append.
    pub(super) fn next_append(&mut self, records: &[Record]) -> Option<Append> {
        let leadership = self.leadership.as_mut()?;
        encoded_or_logged(leadership.sequencer.append(records), &self.setup.logger)
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Notice> for Shard<P, C> {
    type Result = ();

    fn handle(&mut self, message: Notice, ctx: &mut Self::Context) {
        self.step_scheduler_in_term(message.term, message.event, ctx);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Update> for Shard<P, C> {
    type Result = ();

    fn handle(&mut self, update: Update, ctx: &mut Self::Context) {
        match update {
            Update::Workers(changes) => {
                for change in changes {
                    match change {
                        Change::Listed(report) if self.serves(&report.service) => {
                            self.step_scheduler(Event::Listed(report), ctx);
                        }
                        // An earlier entry may have listed it as a worker of this shard.
                        Change::Listed(Report { worker, .. }) | Change::Unlisted(worker) => {
                            self.step_scheduler(Event::Unlisted(worker), ctx);
                        }
                    }
                }
            }
            Update::Hosts(listing) => {
                let arriving = listing
                    .hosts
                    .iter()
                    .filter(|host| host.state == State::Moving && self.owns(&host.service));
                let arriving = arriving.map(|host| {
                    let cpu_millicores = host.resources.cpu_millicores;
                    (host.name.clone(), host.service.clone(), cpu_millicores)
                });
                let arriving = arriving.collect();
                // A host that moves is listed in another pool while its worker may still be known to this shard.
                let hosts = listing.hosts.into_iter().map(|host| {
                    let is_own = self.owns(&host.service);
                    (host.name, host.worker.filter(|_| is_own))
                });
                let event = Event::Hosts {
                    hosts: hosts.collect(),
                    arriving,
                    is_complete: listing.is_complete,
                };
                self.step_scheduler(event, ctx);
            }
        }
    }
}
