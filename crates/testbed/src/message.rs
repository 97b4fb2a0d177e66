//! Messages of the protocol as CBOR maps, for stand-ins and test clients.

use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};

use actix_web::HttpResponse;
use ciborium::Value;

/// Encodes a message as CBOR.
pub fn encode(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    bytes
}

/// Decodes a CBOR message; returns null for malformed bytes.
pub fn decode(bytes: &[u8]) -> Value {
    ciborium::from_reader(bytes).unwrap_or(Value::Null)
}

/// Returns a field of a map; `None` if the value is not a map or has no such field.
pub fn field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    let map = value.as_map()?;
    let found = map.iter().find(|(key, _)| key.as_text() == Some(name));
    found.map(|(_, value)| value)
}

/// Returns an integer field; 0 if it is missing, negative or of another type.
pub fn number(value: &Value, name: &str) -> u64 {
    let integer = field(value, name).and_then(Value::as_integer);
    integer.and_then(|i| u64::try_from(i).ok()).unwrap_or(0)
}

/// Returns a text field; empty if it is missing or of another type.
pub fn text(value: &Value, name: &str) -> String {
    let found = field(value, name).and_then(Value::as_text);
    found.unwrap_or_default().to_owned()
}

/// Builds a response with the CBOR message as its body.
pub fn respond(status: u16, value: &Value) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status).unwrap();
    HttpResponse::build(status)
        .content_type("application/cbor")
        .body(encode(value))
}

/// Number of loopback addresses that this process has allocated.
static ALLOCATED_ADDRESSES: AtomicUsize = AtomicUsize::new(0);

/// Listens on a loopback IP address that depends on the process ID: ports of 127.0.0.1 are taken by the
/// connections of other tests.
///
/// Callers should keep the listener if they can. A released address may stay in use for a moment, since a
/// child process that another test has just forked inherits the socket until it executes its program.
pub fn free_listener() -> TcpListener {
    let index = ALLOCATED_ADDRESSES.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() as usize;
    let (high, middle, low) = (1 + process % 250, process / 250 % 250, 1 + index % 250);
    TcpListener::bind((format!("127.{high}.{middle}.{low}"), 0)).unwrap()
}

/// Returns an address that nothing listens on. With addresses of 127.0.0.1, processes that bound them later
/// failed with "Address already in use".
pub fn free_address() -> String {
    free_listener().local_addr().unwrap().to_string()
}
