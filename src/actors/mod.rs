//! The actors that run the loops of a process. They carry out decisions, which are made in modules
//! without I/O.

pub mod election;
pub mod fleet;
pub mod forward;
pub mod links;
pub mod metrics;
pub mod peers;
pub mod scheduler;
