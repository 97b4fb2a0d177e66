//! Testbed for development: real controller processes with stand-ins for the key-value store, the cloud and
//! the agents, loopback proxies with fault injection, and a history checker.
//!
//! The stand-ins implement the published protocol on loopback addresses. Nothing here is part of the service.

// All of this crate is test code: an unexpected state ends the test with a panic.
#![allow(clippy::unwrap_used, clippy::expect_used)]

pub mod checker;
pub mod cloud;
pub mod deployment;
pub mod history;
pub mod key_value_store;
pub mod message;
pub mod proxy;
pub mod schedule;
pub mod worker;
