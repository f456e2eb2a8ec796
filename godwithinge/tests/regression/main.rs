//! Regression tests, one for each fixed fault.

mod dead_seeds_delayed_join;
mod stream_content_type;
