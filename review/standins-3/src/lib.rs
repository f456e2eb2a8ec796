//! Stand-ins of the platform's store, of engines and of clients, and the daemons before them.
//!
//! Every server listens on a loopback address. Threads and blocking sockets are enough for the few
//! connections of a case.

pub mod case;
pub mod client;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod store;
