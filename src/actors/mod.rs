//! The actors that own the loops. They hand decisions out; deciding is done by the pure parts.

pub mod election;
pub mod fleet;
pub mod forward;
pub mod links;
pub mod metrics;
pub mod peers;
pub mod scheduler;
