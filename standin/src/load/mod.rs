//! Open-loop load on entries, and what it measures.
//!
//! A [`Plan`] says what is offered, to which fakes and with which faults; [`run`] offers it and
//! returns a [`Measure`].

mod bound;
mod caller;
mod chaos;
mod entries;
mod measure;
mod plan;
mod plot;
mod run;
mod schedule;
mod stream;
mod summary;

pub use self::{
    caller::{Answer, Caller, Ending, Patience},
    chaos::{Action, Step},
    entries::{Entries, Error},
    measure::{Cost, Group, Measure, Quantiles},
    plan::{Plan, Scenario},
    plot::{Bar, plot},
    run::{offer, run},
    schedule::{Arrival, Class, Schedule},
    summary::{Report, Spread},
};
pub use policy::router::Rule;
