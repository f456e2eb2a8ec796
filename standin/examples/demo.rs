//! Placeholder of the demonstration.
fn main() {}
