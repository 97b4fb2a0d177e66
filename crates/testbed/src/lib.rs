//! A testbed for development: real controller processes between stand-ins for the state service, the
//! cloud and the workers, with loopback proxies that cut chosen links, and a checker of what happened.
//!
//! The stand-ins speak the published protocol over loopback. Nothing here is part of the service.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

pub mod checker;
pub mod cloud;
pub mod deployment;
pub mod history;
pub mod message;
pub mod proxy;
pub mod schedule;
pub mod state_service;
pub mod worker;
