//! Scale-in: selects the machines to release because they failed, or because they are idle.

pub(super) mod failed;
pub(super) mod idle;
