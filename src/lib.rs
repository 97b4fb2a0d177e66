//! Knotlanding: a gang scheduler for rented clusters.
//!
//! One controller leads under a lease in the state service. Every round it tentatively gives
//! room to each gang's tasks and sends all starts together once the minimum fits; otherwise
//! nothing of the gang starts. The modules are the parts; `actors` own the loops, the rest
//! decides or talks.

pub mod actors;
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
