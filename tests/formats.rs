//! Compatibility of the formats in which this version exchanges and stores data with those of version 0.7.0.
//! The fixtures in `tests/formats/` were written by 0.7.0 and must not change, whatever the types are named.

// A failed `unwrap` or `expect` fails the test with its message.
#![allow(clippy::unwrap_used, clippy::expect_used)]

#[path = "formats/admin.rs"]
mod admin;
mod common;
#[path = "formats/files.rs"]
mod files;
#[path = "formats/fixture.rs"]
mod fixture;
#[path = "formats/peers.rs"]
mod peers;
#[path = "formats/records.rs"]
mod records;
#[path = "formats/requests.rs"]
mod requests;
#[path = "common/test_controller.rs"]
mod test_controller;
#[path = "formats/wire.rs"]
mod wire;
