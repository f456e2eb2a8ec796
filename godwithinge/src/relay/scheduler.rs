//! Runs the scheduler within the leader's time, and survives its panics.

use super::{event, state::Relay};
use policy::{
    id::Time,
    relay::scheduler::{Command, Scheduler, Throttle},
};
use std::{
    cell::{Cell, RefCell, RefMut},
    panic::{self, AssertUnwindSafe},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time;

/// The scheduler of a daemon, which has jobs while the daemon is the leader.
#[derive(Debug, Default)]
pub(super) struct Runner {
    state: RefCell<Scheduler>,
    /// Time in which the scheduler ran since the queues were last logged.
    busy_time: Cell<Duration>,
    /// Decides when calls are chosen.
    throttle: Cell<Throttle>,
    /// Whether a task waits to choose calls.
    is_choice_pending: Cell<bool>,
}

impl Runner {
    /// Returns the scheduler, for reads and changes from which no command follows.
    pub fn state(&self) -> RefMut<'_, Scheduler> {
        self.state.borrow_mut()
    }

    /// Logs the state of the queues if there are unfinished jobs.
    pub fn log_queues(&self, relay: &Relay) {
        let busy_time = self.busy_time.take();
        let scheduler = self.state.borrow();
        if scheduler.unfinished_jobs() == 0 {
            return;
        }
        for stats in scheduler.pool_stats(relay.now()) {
            event::pool_stats(&stats, &scheduler, busy_time);
        }
    }

    /// Calls `act` with the scheduler, executes the commands that it returns, and then chooses calls, or
    /// has them chosen later.
    pub fn act(
        &self,
        relay: &Rc<Relay>,
        act: impl FnOnce(&mut Scheduler, Time, &mut Vec<Command>),
    ) {
        self.run(relay, act);
        match self.throttle.get().wait(relay.now()) {
            None => self.choose_calls(relay),
            Some(at) if !self.is_choice_pending.replace(true) => {
                let relay = Rc::clone(relay);
                tokio::task::spawn_local(async move {
                    time::sleep_until(relay.instant_of(at).into()).await;
                    let runner = &relay.dispatcher.scheduler;
                    runner.is_choice_pending.set(false);
                    runner.choose_calls(&relay);
                });
            }
            Some(_) => {}
        }
    }

    fn choose_calls(&self, relay: &Rc<Relay>) {
        let started = relay.now();
        let taken = self.run(relay, Scheduler::dispatch_calls);
        let mut throttle = self.throttle.get();
        throttle.record(started, started + taken);
        self.throttle.set(throttle);
    }

    /// Calls `act` with the scheduler, executes the commands that it returns, and returns the time that the
    /// scheduler took. If it panics, all jobs are refused, as nothing is known of their pieces.
    fn run(
        &self,
        relay: &Rc<Relay>,
        act: impl FnOnce(&mut Scheduler, Time, &mut Vec<Command>),
    ) -> Duration {
        let mut commands = Vec::new();
        let started = Instant::now();
        let mut scheduler = self.state.borrow_mut();
        let acted = panic::catch_unwind(AssertUnwindSafe(|| {
            act(&mut scheduler, relay.now(), &mut commands);
        }));
        // The panic hook has logged it.
        if let Err(_panic) = acted {
            scheduler.abandon_jobs(relay.now(), &mut commands);
        }
        drop(scheduler);
        let taken = started.elapsed();
        self.busy_time.set(self.busy_time.get() + taken);
        let seconds = &relay.metrics.scheduler_seconds;
        seconds.inc_by(taken.as_secs_f64());
        for command in commands {
            relay.execute(command);
        }
        taken
    }
}
