//! Marks in payloads by which a test steers the fakes.

/// Returns whether `text` holds the mark that ends a fake of `pool`: `"crash":"POOL"`.
///
/// Spaces and the escapes of a JSON string within a JSON string don't matter.
pub fn is_crash(text: &str, pool: &str) -> bool {
    if !text.contains("crash") {
        return false;
    }
    let plain: String = text
        .chars()
        .filter(|letter| !matches!(letter, '\\' | ' '))
        .collect();
    plain.contains(&format!("\"crash\":\"{pool}\""))
}

/// Returns the number of tokens that a prompt asks for by `tokens=N` or `"tokens":N`.
pub fn tokens(prompt: &str) -> Option<u32> {
    number(prompt, "tokens=").or_else(|| number(prompt, "\"tokens\":"))
}

/// Returns the request that a prompt names by `request=ID`, up to white space or a quote.
pub fn request(prompt: &str) -> Option<&str> {
    let (_, rest) = prompt.split_once("request=")?;
    rest.split(|letter: char| letter.is_whitespace() || matches!(letter, '"' | '\\'))
        .next()
}

fn number(prompt: &str, mark: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(mark)?;
    let end = rest
        .find(|letter: char| !letter.is_ascii_digit())
        .unwrap_or(rest.len());
    rest.get(..end)?.parse().ok()
}
