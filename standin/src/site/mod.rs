//! Fakes of the users' platform: its store, its model engines and its stage engines.

pub mod engine;
pub mod store;
