//! MessagePack as the protocol specifies it: structs are maps with text keys.

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// The largest request body that may be read or written, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Errors when decoding a body.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The outermost value is not a map.
    #[error("the body is not a MessagePack map")]
    NotAMap,
    /// A field is missing or has the wrong type.
    #[error("the body is not valid: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// The map is followed by further bytes.
    #[error("the body has further bytes after the MessagePack map")]
    Trailing,
}

/// Decodes a MessagePack map. Structs encoded as lists at the top level are refused,
/// although `rmp_serde` alone would accept them.
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

/// Encodes a value as a MessagePack map. Encoding the types of this crate cannot
/// fail, whatever values they hold.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_default()
}
