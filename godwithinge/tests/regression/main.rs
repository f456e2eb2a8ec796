//! Regression tests, one for each fixed fault.

mod stream_content_type;
