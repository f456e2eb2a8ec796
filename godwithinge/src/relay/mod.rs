//! A daemon that forwards requests unchanged to targets outside.
//!
//! One thread runs everything. [`front`] takes callers' requests, [`run`] carries one to its
//! answer, [`conduct`] has its stages made through the fleet's conductor, [`link`] connects the
//! daemons, and [`watch`] keeps the configuration and the targets. What crosses the edge goes
//! through a [`Dialect`].

mod accept;
mod body;
mod conduct;
pub mod dialect;
mod drain;
mod event;
mod frame;
mod front;
mod link;
mod metrics;
mod outcome;
mod run;
mod send;
mod settings;
mod side;
mod state;
mod store;
mod stream;
mod watch;

pub use self::{dialect::Dialect, drain::run, settings::Settings, state::Relay};
