//! Fakes of the users' platform: its store and its plain, model and stage engines.

pub mod engine;
pub mod store;
