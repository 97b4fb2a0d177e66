//! Messages of the protocol as CBOR maps, for stand-ins and test clients.

use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};

use actix_web::HttpResponse;
use ciborium::Value;

/// Encodes a message.
pub fn encode(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    ciborium::into_writer(value, &mut out).unwrap();
    out
}

/// Decodes a message; malformed bytes become null.
pub fn decode(bytes: &[u8]) -> Value {
    ciborium::from_reader(bytes).unwrap_or(Value::Null)
}

/// A field of a map.
pub fn field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    let map = value.as_map()?;
    let found = map.iter().find(|(key, _)| key.as_text() == Some(name));
    found.map(|(_, value)| value)
}

/// A field that is a number; 0 if there is none.
pub fn number(value: &Value, name: &str) -> u64 {
    let integer = field(value, name).and_then(Value::as_integer);
    integer.and_then(|i| u64::try_from(i).ok()).unwrap_or(0)
}

/// A field that is a text; empty if there is none.
pub fn text(value: &Value, name: &str) -> String {
    let text = field(value, name).and_then(Value::as_text);
    text.unwrap_or_default().to_owned()
}

/// A response with a message as its body.
pub fn respond(status: u16, value: &Value) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status).unwrap();
    HttpResponse::build(status)
        .content_type("application/cbor")
        .body(encode(value))
}

/// Number of loopback addresses allocated by this process.
static ADDRESSES: AtomicUsize = AtomicUsize::new(0);

/// A listener at a loopback IP number of its own: ports of 127.0.0.1 are taken by other tests' connections.
/// Callers should keep the listener if they can: a released address may stay in use for a moment, since a
/// process that another test has just forked holds the socket until it runs its program.
pub fn free_listener() -> TcpListener {
    let number = ADDRESSES.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() as usize;
    let (high, middle, low) = (1 + process % 250, process / 250 % 250, 1 + number % 250);
    TcpListener::bind((format!("127.{high}.{middle}.{low}"), 0)).unwrap()
}

/// An address without a listener. "Address already in use" was seen while it was one of 127.0.0.1.
pub fn free_address() -> String {
    free_listener().local_addr().unwrap().to_string()
}
