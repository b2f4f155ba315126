//! MessagePack in the form that the protocol documents: maps keyed by text.

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// The size above which no request body may be read or written.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The outermost value has to be a map.
    #[error("the body is not a MessagePack map")]
    NotAMap,
    /// Something inside the map is missing or of another type.
    #[error("the body can not be read: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// A whole value was followed by more bytes.
    #[error("the body goes on after its end")]
    Trailing,
}

/// Reads a map. A struct written as a list is refused, which plain
/// `rmp_serde` would take.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, CodecError> {
    match body.first() {
        Some(0x80..=0x8f | 0xde | 0xdf) => {}
        _ => return Err(CodecError::NotAMap),
    }
    let mut rest = body;
    let value = T::deserialize(&mut rmp_serde::Deserializer::new(&mut rest))?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(CodecError::Trailing)
    }
}

/// Writes a value as a map. The types of this crate have no state that could
/// make this fail.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_default()
}
