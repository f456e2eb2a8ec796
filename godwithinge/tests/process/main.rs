//! Integration tests of the real daemons on loopback against the fakes of the `standin` crate.

mod api;
mod ceiling;
mod chaos;
mod checkpoint;
mod claim;
mod common;
mod control;
mod drain;
mod edit;
mod leaving;
mod poison;
mod refusal;
mod silent;
mod stream;
mod sweep;
mod table;
