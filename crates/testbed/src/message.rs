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

/// Decodes a message; what is none becomes null.
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

/// An answer with a message.
pub fn answer(status: u16, value: &Value) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status).unwrap();
    HttpResponse::build(status)
        .content_type("application/cbor")
        .body(encode(value))
}

/// Loopback addresses given out by this process.
static ADDRESSES: AtomicUsize = AtomicUsize::new(0);

/// An address nobody listens on, with a loopback IP number of its own. A port of 127.0.0.1 was taken by
/// another test's connection before the program came to use it: "Address already in use".
pub fn free_address() -> String {
    let number = ADDRESSES.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() as usize;
    let (network, high, low) = (1 + process % 250, number / 250, 1 + number % 250);
    let ip = format!("127.{network}.{high}.{low}");
    let listener = TcpListener::bind((ip.as_str(), 0)).unwrap();
    listener.local_addr().unwrap().to_string()
}
