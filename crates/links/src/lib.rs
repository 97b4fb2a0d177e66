//! Directed links between the controllers of a cluster, the state service and the workers.
//!
//! The crate decides without I/O: observations and the time are handed in, states and decisions are
//! handed out. Nothing here permits anything. A lease and conditional transactions are the only
//! permission to start a task; what this crate finds can only refuse a placement, describe a worker's
//! health, or suggest that a leader hands over.
//!
//! - [`detector`] and [`damping`] judge one link; [`link`] puts both together.
//! - [`table`] holds the links of this controller.
//! - [`row`] is what a controller tells the others, [`matrix`] what it keeps of theirs.
//! - [`gate`], [`health`] and [`leadership`] decide.
//! - [`reachability`] tells workers that hear this controller from those that only speak.
//! - [`contact`] and [`misdirected`] judge whether a controller is cut off alone. These three are in use
//!   with or without the rest of the crate.

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
