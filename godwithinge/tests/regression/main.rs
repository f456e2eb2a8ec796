//! Regression tests, one for each fixed fault.

mod dead_seeds_delayed_join;
mod discarded_upload_counted_as_written;
mod stream_content_type;
