//! Encodes and decodes the parameters in the query of a URL.

use std::fmt::Write as _;

/// Parameter whose escapes are incomplete or do not decode to UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("a parameter is not percent-encoded UTF-8")]
pub struct MalformedParameter;

/// Encodes a value for the query of a URL.
///
/// # Examples
///
/// ```
/// use cloverrack::query_string::{decode, encode};
/// assert_eq!(encode("/a b?c=ü"), "/a%20b%3Fc%3D%C3%BC");
/// assert_eq!(decode("/a%20b%3Fc%3D%C3%BC").as_deref(), Ok("/a b?c=ü"));
/// ```
pub fn encode(value: &str) -> String {
    let mut text = String::with_capacity(value.len());
    for byte in value.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' | b':' => {
                text.push(char::from(byte));
            }
            _ => {
                // Writing to a string does not fail.
                let _ = write!(text, "%{byte:02X}");
            }
        }
    }
    text
}

/// Decodes a value of a query. A plus sign stands for itself, as in paths.
///
/// # Errors
///
/// Fails if an escape is incomplete or the bytes are no UTF-8.
pub fn decode(text: &str) -> Result<String, MalformedParameter> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits = bytes.next().zip(bytes.next());
        let (high, low) = digits.ok_or(MalformedParameter)?;
        let value = hex_digit(high).zip(hex_digit(low));
        let (high, low) = value.ok_or(MalformedParameter)?;
        decoded.push(high << 4 | low);
    }
    String::from_utf8(decoded).map_err(|_| MalformedParameter)
}

/// Decodes the names and values of a query in their order. A parameter without a value has an empty one.
///
/// # Errors
///
/// Fails if one can't be decoded.
pub fn parameters(query: &str) -> Result<Vec<(String, String)>, MalformedParameter> {
    let parts = query.split('&').filter(|part| !part.is_empty());
    let pairs = parts.map(|part| part.split_once('=').unwrap_or((part, "")));
    pairs
        .map(|(name, value)| Ok((decode(name)?, decode(value)?)))
        .collect()
}

fn hex_digit(byte: u8) -> Option<u8> {
    let digit = char::from(byte).to_digit(16)?;
    u8::try_from(digit).ok()
}
