//! Scale in: machines to be released because they failed, or because they are idle.

pub(super) mod failed;
pub(super) mod idle;
