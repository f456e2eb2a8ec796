//! Sans-I/O decision logic of godwithinge.
//!
//! Each component is a state machine that takes the current time, an [`Event`] and a list to
//! which it appends the resulting [`Command`]s. Nothing in this crate reads a clock, opens a
//! socket or uses a global random number generator, so a recorded sequence of events produces the
//! same commands on each run.

pub mod allowance;
pub mod budget;
pub mod ceiling;
pub mod chart;
pub mod claim;
pub mod command;
pub mod decision;
pub mod directory;
pub mod entry;
pub mod estimate;
pub mod event;
pub mod fault;
pub mod hash;
pub mod host;
pub mod id;
pub mod input;
pub mod lease;
pub mod limit;
pub mod member;
pub mod millis;
pub mod outcome;
pub mod placement;
pub mod poison;
pub mod pool;
pub mod queue;
pub mod relay;
pub mod router;
pub mod sweep;
pub mod table;

pub use crate::{command::Command, event::Event, outcome::Outcome, table::Table};
