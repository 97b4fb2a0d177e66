//! Knotlanding: a gang scheduler for rented clusters.
//!
//! One controller is the leader, under a lease in an external key-value store. In every scheduling cycle the
//! leader tentatively places the tasks of each gang, and sends all their starts together once there is
//! capacity for the gang's minimum; otherwise no task of the gang starts. The module `actors` runs the
//! periodic work; the other modules contain the decisions and the communication.

pub mod actors;
pub mod admin_client;
pub mod api;
pub mod capacity;
pub mod cli;
pub mod cluster;
pub mod config;
pub mod demand;
pub mod features;
pub mod fleet;
pub mod forwarding;
pub mod http;
pub mod leader;
pub mod metrics;
pub mod model;
pub mod peer;
pub mod pending_reason;
pub mod policy;
pub mod rate_limit;
pub mod run;
pub mod sched;
pub mod service;
pub mod sockets;
pub mod state_summary;
pub mod store;
pub mod time;
pub mod timing;
pub mod wire;
