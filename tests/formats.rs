//! The formats in which this version exchanges and stores data, against bytes written by 0.7.0. The
//! files in `tests/formats/` are never written again: whatever the types are called, the bytes stay.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

#[path = "formats/admin.rs"]
mod admin;
mod common;
#[path = "formats/files.rs"]
mod files;
#[path = "formats/fixture.rs"]
mod fixture;
#[path = "common/node.rs"]
mod node;
#[path = "formats/peers.rs"]
mod peers;
#[path = "formats/records.rs"]
mod records;
#[path = "formats/requests.rs"]
mod requests;
#[path = "formats/wire.rs"]
mod wire;
