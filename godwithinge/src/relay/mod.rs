//! Daemon that forwards requests unchanged to external targets.
//!
//! All tasks run on one thread. Module `front` accepts requests from callers, `run` processes one
//! request until its response, `conduct` runs its stages on the leader's scheduler, `link` connects
//! the daemons with each other, and `watch` keeps the configuration and the targets up to date.
//! External formats are read and written by a [`Dialect`].

mod accept;
mod address;
mod attempt;
mod body;
mod buffer;
mod builds;
mod call;
mod callers;
mod cold;
mod conduct;
mod crash;
pub mod dialect;
mod drain;
mod evacuation;
mod event;
mod frame;
mod front;
mod handover;
mod ledger;
mod link;
mod metrics;
mod notice;
mod origin;
mod outcome;
mod pace;
mod process;
mod quarantine;
mod rate;
mod reach;
mod receive;
mod rejection;
mod replication;
mod run;
mod scheduler;
mod send;
mod settings;
mod side;
mod snapshot;
mod sse;
mod state;
mod store;
mod stream;
mod transport;
mod tunnel;
mod watch;

pub use self::{dialect::Dialect, drain::run, settings::Settings, state::Relay};
