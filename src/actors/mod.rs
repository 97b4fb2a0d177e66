//! The actors that own the loops. They carry decisions out; the modules without I/O decide.

pub mod election;
pub mod fleet;
pub mod forward;
pub mod links;
pub mod metrics;
pub mod peers;
pub mod scheduler;
