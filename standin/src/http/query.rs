//! Query strings and percent encoding.

use hyper::Uri;

/// Returns the percent-decoded value of the first query parameter called `name`, if there is one.
pub fn parameter(uri: &Uri, name: &str) -> Option<String> {
    let pairs = uri.query()?.split('&');
    let text = pairs
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))?;
    Some(percent_decode(text))
}

/// Decodes percent escapes, and `+` as a space. Invalid hex digits count as 0, and invalid UTF-8 is
/// replaced by U+FFFD.
pub fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, after @ ..] = rest {
        let (byte, after) = match (first, after) {
            (b'%', [high, low, after @ ..]) => (decode_hex(*high, *low), after),
            (b'+', after) => (b' ', after),
            (byte, after) => (*byte, after),
        };
        bytes.push(byte);
        rest = after;
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn decode_hex(high: u8, low: u8) -> u8 {
    let digit = |byte: u8| char::from(byte).to_digit(16).unwrap_or(0) as u8;
    digit(high) << 4 | digit(low)
}
