//! One test for each fault that was found.

mod stream_content_type;
