//! Encodes and decodes CBOR bodies.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Largest body in either direction, in bytes.
pub const BODY_BYTES_MAX: usize = 64 * 1024;
/// Content type of every body of the external protocol.
pub const CBOR_CONTENT_TYPE: &str = "application/cbor";

/// Why a body is rejected.
#[derive(Debug, Error)]
pub enum WireError {
    /// The body is not CBOR or lacks an expected field; the decoder's error.
    #[error("malformed body: {0}")]
    Malformed(String),
    /// A field has a value that is not allowed; the field's name in the protocol.
    #[error("field `{0}` is invalid")]
    InvalidField(&'static str),
}

/// Encodes a body. Encoding this crate's types into memory does not fail; if it did, the error would be
/// logged and the body would be empty.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    if let Err(error) = ciborium::into_writer(value, &mut bytes) {
        tracing::error!(%error, "encoding a body failed");
        bytes.clear();
    }
    bytes
}

/// Decodes a body. The caller limits its size.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    ciborium::from_reader(bytes).map_err(|error| WireError::Malformed(error.to_string()))
}
