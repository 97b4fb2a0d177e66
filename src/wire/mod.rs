//! Request and response bodies of the external protocol, as CBOR maps, and their validation.
//!
//! The protocol's field names appear only here, as serde renames; every other module uses the terms of
//! [`crate::model`]. There is one module for each party: [`users`], [`workers`] and [`cloud`].

pub mod cloud;
pub mod codec;
mod number;
pub mod users;
pub mod workers;

pub use cloud::{ListedMachine, MachineNames, MachinePage, MachineTypeCatalog, RentalRequest};
pub use codec::{decode, encode, WireError, BODY_BYTES_MAX, CBOR_CONTENT_TYPE};
pub use users::{ErrorBody, JobState, JobSubmission, JOB_TASKS_MAX};
pub use workers::{
    DirectCommand, ExitCause, Heartbeat, HeartbeatResponse, Redirect, TaskPhase, TaskStatus,
    WorkerCommand,
};
