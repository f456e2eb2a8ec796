//! Order of jobs, which is the same in all queues.

use super::job::RunningJob;
use crate::id::Time;

/// Sort key of a job: its class and its due time within the class.
pub(super) type Precedence = (Class, Time);

/// Class of a job; a class is served before those that follow.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Class {
    /// A piece has been sent. Work would be lost if jobs that arrive later displaced it.
    Begun,
    /// It can still be on time.
    OnTime,
    /// It can only be late.
    Late,
}

/// Delay of the due time for each step of priority, as a fraction of the time to the objective.
const PRIORITY_DELAY: f64 = 0.25; // orders kinds with similar objectives, and lets none wait for ever

/// Returns the sort key of a job.
pub(super) fn precedence(now: Time, running: &RunningJob) -> Precedence {
    let job = &running.job;
    if running.is_begun {
        (Class::Begun, due(running))
    } else if now + running.remaining + running.on_time_margin <= job.objective {
        (Class::OnTime, due(running))
    } else {
        (Class::Late, job.deadline)
    }
}

/// Returns the time that orders jobs which are to be on time: the objective, delayed for less urgent ones.
fn due(running: &RunningJob) -> Time {
    let job = &running.job;
    let delay = PRIORITY_DELAY * f64::from(job.priority);
    let time_to_objective = job.objective.saturating_sub(running.submitted_at);
    job.objective + time_to_objective.mul_f64(delay)
}
