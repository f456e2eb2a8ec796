//! Markers that tests put into payloads to control how the fakes answer.

/// Returns whether `text` contains `"crash":"POOL"`, which makes a fake of `pool` terminate.
///
/// Spaces and backslashes are ignored, so the marker is also found in JSON that is nested in a JSON
/// string.
pub fn has_crash_marker(text: &str, pool: &str) -> bool {
    if !text.contains("crash") {
        return false;
    }
    let unescaped: String = text.chars().filter(|c| !matches!(c, '\\' | ' ')).collect();
    unescaped.contains(&format!("\"crash\":\"{pool}\""))
}

/// Returns the number of tokens that a prompt requests by `tokens=N` or, failing that,
/// `"tokens":N`.
pub fn requested_tokens(prompt: &str) -> Option<u32> {
    parse_number_after(prompt, "tokens=").or_else(|| parse_number_after(prompt, "\"tokens\":"))
}

/// Returns the request id that a prompt gives as `request=ID`. The id ends at white space, a double
/// quote or a backslash.
pub fn request_id(prompt: &str) -> Option<&str> {
    let (_, rest) = prompt.split_once("request=")?;
    rest.split(|c: char| c.is_whitespace() || matches!(c, '"' | '\\'))
        .next()
}

fn parse_number_after(prompt: &str, marker: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(marker)?;
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest.get(..end)?.parse().ok()
}
