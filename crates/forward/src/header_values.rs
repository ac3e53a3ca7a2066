//! Functions with which protocols parse and write header values.

use http::header::HeaderName;
use http::{HeaderMap, HeaderValue};
use millford_core::Duration;
use millford_routing::PrefixBlock;

/// Returns a header's value as trimmed text; `None` if it is absent or not visible ASCII.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let value = headers.get(name)?;
    value.to_str().ok().map(str::trim)
}

/// Parses a header's value as an unsigned integer; `None` if it is absent or invalid.
#[must_use]
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Sets a header. Has no effect if the name or the value is invalid.
pub fn set(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = HeaderName::try_from(name);
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        headers.insert(name, value);
    }
}

/// Parses the token counts `PROMPT,OUTPUT`. A number that is invalid is `None`; without a comma both are.
#[must_use]
pub fn token_pair(value: Option<&str>) -> (Option<u64>, Option<u64>) {
    let Some((prompt, output)) = value.and_then(|value| value.split_once(',')) else {
        return (None, None);
    };
    (prompt.trim().parse().ok(), output.trim().parse().ok())
}

/// Parses prefix blocks, comma-separated `ID:TOKENS` with the id in hexadecimal. Returns an empty list if any of
/// them is malformed.
#[must_use]
pub fn parse_prefix_blocks(value: Option<&str>) -> Vec<PrefixBlock> {
    let Some(value) = value else {
        return Vec::new();
    };
    let blocks: Option<Vec<PrefixBlock>> = value.split(',').map(parse_prefix_block).collect();
    blocks.unwrap_or_default()
}

fn parse_prefix_block(text: &str) -> Option<PrefixBlock> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PrefixBlock {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}

/// Returns the `timeout` parameter of a `Keep-Alive` header, which is in whole seconds.
#[must_use]
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = text(headers, "keep-alive")?;
    let mut fields = value.split(',').map(str::trim);
    let seconds = fields.find_map(|field| field.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
