//! Seeded schedules of injected faults.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::proxy::{Flow, LinkMode};

/// A link of the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkId {
    /// From a controller to the key-value store.
    Store(usize),
    /// From a controller to another one.
    Peer(usize, usize),
    /// From the workers of a zone (0 or 1) to a controller.
    Workers(usize, usize),
}

/// A fault of one link for a limited time.
#[derive(Debug, Clone, Copy)]
pub struct LinkFault {
    /// Start, relative to the start of the schedule.
    pub at: Duration,
    /// Its duration.
    pub duration: Duration,
    /// The affected link.
    pub link: LinkId,
    /// The mode of the link meanwhile.
    pub mode: LinkMode,
}

/// A fault with its time.
#[derive(Debug, Clone, Copy)]
pub enum ScheduledFault {
    /// A link fault.
    Link(LinkFault),
    /// Transactions are refused; reads and leases are served.
    WritesRefused {
        /// Its start.
        at: Duration,
        /// Its duration.
        duration: Duration,
    },
    /// Outage of the key-value store.
    StoreOutage {
        /// Its start.
        at: Duration,
        /// Its duration.
        duration: Duration,
    },
    /// Crash and immediate restart of a controller.
    Restart {
        /// Its start.
        at: Duration,
        /// The controller.
        controller: usize,
    },
}

impl ScheduledFault {
    /// Time at which the fault starts.
    pub fn starts_at(&self) -> Duration {
        match self {
            Self::Link(fault) => fault.at,
            Self::WritesRefused { at, .. }
            | Self::StoreOutage { at, .. }
            | Self::Restart { at, .. } => *at,
        }
    }

    /// Time at which the fault ends.
    pub fn ends_at(&self) -> Duration {
        match self {
            Self::Link(fault) => fault.at + fault.duration,
            Self::WritesRefused { at, duration } | Self::StoreOutage { at, duration } => {
                *at + *duration
            }
            Self::Restart { at, .. } => *at,
        }
    }
}

fn mode(rng: &mut StdRng) -> LinkMode {
    let delay = Duration::from_millis(rng.random_range(50..900));
    match rng.random_range(0..8) {
        0 => LinkMode::BLACKHOLE,
        1 => LinkMode::REFUSED,
        2 => LinkMode::RESPONSES_LOST,
        3 => LinkMode::REQUESTS_LOST,
        4 => LinkMode {
            responses: Flow::Hold,
            ..LinkMode::default()
        },
        5 => LinkMode {
            requests: Flow::Hold,
            ..LinkMode::default()
        },
        6 => LinkMode {
            bytes_per_s: Some(20_000),
            ..LinkMode::default()
        },
        _ => LinkMode {
            delay,
            ..LinkMode::default()
        },
    }
}

fn link(rng: &mut StdRng, controllers: usize) -> LinkId {
    let controller = rng.random_range(0..controllers);
    let other = (controller + rng.random_range(1..controllers)) % controllers;
    match rng.random_range(0..5) {
        0 | 1 => LinkId::Store(controller),
        2 | 3 => LinkId::Peer(controller, other),
        _ => LinkId::Workers(rng.random_range(0..2), controller),
    }
}

/// Draws faults from a seed, all of which end by `length`.
pub fn generate_faults(
    seed: u64,
    controllers: usize,
    length: Duration,
    count: usize,
) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for _ in 0..count {
        let at = length.mul_f64(rng.random_range(0.0..0.8));
        let duration = (length - at).mul_f64(rng.random_range(0.1..0.9));
        match rng.random_range(0..10) {
            0 => faults.push(ScheduledFault::WritesRefused { at, duration }),
            1 => faults.push(ScheduledFault::StoreOutage {
                at,
                duration: duration / 2,
            }),
            2 => faults.push(ScheduledFault::Restart {
                at,
                controller: rng.random_range(0..controllers),
            }),
            3 => faults.extend(flapping(&mut rng, controllers, at, duration)),
            _ => faults.push(ScheduledFault::Link(LinkFault {
                at,
                duration,
                link: link(&mut rng, controllers),
                mode: mode(&mut rng),
            })),
        }
    }
    faults.sort_by_key(ScheduledFault::starts_at);
    faults
}

/// A flapping link, with a period of two to five seconds.
fn flapping(
    rng: &mut StdRng,
    controllers: usize,
    at: Duration,
    duration: Duration,
) -> Vec<ScheduledFault> {
    let (link, mode) = (link(rng, controllers), mode(rng));
    let period = Duration::from_secs_f64(rng.random_range(2.0..5.0));
    let mut link_faults = Vec::new();
    let mut next_at = at;
    while next_at + period <= at + duration {
        link_faults.push(ScheduledFault::Link(LinkFault {
            at: next_at,
            duration: period / 2,
            link,
            mode,
        }));
        next_at += period;
    }
    link_faults
}
