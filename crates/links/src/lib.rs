//! Directed links between the controllers of a cluster, the state service and the workers.
//!
//! The crate decides without I/O: observations and the time are passed in, states and decisions are
//! returned. Nothing here grants a permission. A lease and conditional transactions are the only
//! permission to start a task; this crate can only refuse a placement, describe a worker's health, or
//! recommend a hand-over of leadership.
//!
//! - [`detector`] and [`damping`] evaluate one link; [`link`] combines both.
//! - [`table`] holds the links of this controller.
//! - [`row`] is what a controller publishes, [`matrix`] holds the rows of the others.
//! - [`gate`], [`health`] and [`handover`] decide.
//! - [`reachability`] separates workers that confirm responses from those that only send heartbeats.
//! - [`contact`] and [`misdirected`] detect that a controller is isolated. These three are in use with or
//!   without the rest of the crate.

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
