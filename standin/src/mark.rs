//! Marks in payloads by which a test steers the fakes.

/// Returns whether `text` holds the marker that ends a fake of `pool`: `"crash":"POOL"`.
///
/// Spaces and the escapes of a JSON string within a JSON string don't matter.
pub fn has_crash_marker(text: &str, pool: &str) -> bool {
    if !text.contains("crash") {
        return false;
    }
    let unescaped: String = text.chars().filter(|c| !matches!(c, '\\' | ' ')).collect();
    unescaped.contains(&format!("\"crash\":\"{pool}\""))
}

/// Returns the number of tokens that a prompt asks for by `tokens=N` or `"tokens":N`.
pub fn requested_tokens(prompt: &str) -> Option<u32> {
    parse_number_after(prompt, "tokens=").or_else(|| parse_number_after(prompt, "\"tokens\":"))
}

/// Returns the request that a prompt names by `request=ID`, up to white space or a quote.
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
