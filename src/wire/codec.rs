//! Encodes and decodes CBOR bodies.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Largest body in either direction.
pub const BODY_LIMIT: usize = 64 * 1024;
/// The content type of every body.
pub const CBOR: &str = "application/cbor";

/// Why a body is rejected.
#[derive(Debug, Error)]
pub enum WireError {
    /// Not CBOR, or not the fields expected.
    #[error("malformed body: {0}")]
    Malformed(String),
    /// A field has a value out of range.
    #[error("field `{0}` is invalid")]
    Field(&'static str),
}

/// Encodes a body. Encoding our own types into memory can't fail; should it, the body is empty.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    if let Err(error) = ciborium::into_writer(value, &mut bytes) {
        tracing::error!(%error, "encoding a body failed");
        bytes.clear();
    }
    bytes
}

/// Decodes a body.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    ciborium::from_reader(bytes).map_err(|error| WireError::Malformed(error.to_string()))
}
