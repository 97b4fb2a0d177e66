//! Directed links between the controllers of a cluster, the key-value store and the agents. An agent is the
//! program on a rented machine that sends heartbeats and runs tasks; its identifiers contain `worker`.
//!
//! The crate performs no I/O: the caller passes observations and the current time, and the crate returns
//! states and decisions. No decision here permits anything. Only a lease together with conditional
//! transactions permits a task to start; this crate can refuse a placement, evaluate an agent's health, or
//! recommend a handover of leadership.
//!
//! - [`detector`] and [`damping`] evaluate one link; [`link`] combines both.
//! - [`table`] holds the links of this controller.
//! - [`row`] is the message in which a controller publishes its links, [`matrix`] holds the rows of the
//!   other controllers.
//! - [`gate`], [`health`] and [`handover`] derive decisions from the links.
//! - [`reachability`] separates agents that acknowledge responses from those that only send heartbeats.
//! - [`contact`] and [`misdirected`] detect that a controller is isolated. Together with [`reachability`]
//!   they are in use with or without the rest of the crate.

pub mod contact;
pub mod damping;
pub mod detector;
pub mod gate;
pub mod handover;
pub mod health;
pub mod link;
pub mod matrix;
pub mod misdirected;
pub mod reachability;
pub mod row;
pub mod table;
#[cfg(test)]
mod test_support;
pub mod timing;
pub mod workers;
