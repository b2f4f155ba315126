//! Keys by which a service recognizes a repeated request (the `Idempotency-Key` header of HTTP).

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Name of the request header that carries an [`IdempotencyKey`].
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Maximum length of a key, in characters.
pub const MAX_KEY_LEN: usize = 64;

/// A key that a client chooses for a request and sends again with each repeat of it: 1 to
/// [`MAX_KEY_LEN`] ASCII letters, digits, `-` or `_`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey(String);

/// The text is not a valid idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not an idempotency key: expected 1 to {MAX_KEY_LEN} letters, digits, - or _")]
pub struct InvalidIdempotencyKey;

impl FromStr for IdempotencyKey {
    type Err = InvalidIdempotencyKey;

    fn from_str(text: &str) -> Result<Self, InvalidIdempotencyKey> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        match (1..=MAX_KEY_LEN).contains(&text.len()) && text.chars().all(is_allowed) {
            true => Ok(Self(text.to_owned())),
            false => Err(InvalidIdempotencyKey),
        }
    }
}

impl From<u128> for IdempotencyKey {
    /// The key that consists of the hexadecimal digits of a number.
    fn from(number: u128) -> Self {
        Self(format!("{number:032x}"))
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = InvalidIdempotencyKey;

    fn try_from(text: String) -> Result<Self, InvalidIdempotencyKey> {
        text.parse()
    }
}

impl From<IdempotencyKey> for String {
    fn from(key: IdempotencyKey) -> Self {
        key.0
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
