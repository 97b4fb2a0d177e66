//! Schedules of injected faults, generated from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::proxy::{Flow, LinkMode};

/// A link of the deployment. Controllers are given by their index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkId {
    /// From a controller to the key-value store.
    Store(usize),
    /// From the first controller to the second one.
    Peer(usize, usize),
    /// From the agents of a zone (0 or 1) to a controller.
    Workers(usize, usize),
}

/// A fault of one link for a limited time.
#[derive(Debug, Clone, Copy)]
pub struct LinkFault {
    /// Start, relative to the start of the schedule.
    pub at: Duration,
    /// Time from the start to the end of the fault.
    pub duration: Duration,
    /// The affected link.
    pub link: LinkId,
    /// Mode of the link during the fault; at its end the link is healed.
    pub mode: LinkMode,
}

/// A fault with its time, relative to the start of the schedule.
#[derive(Debug, Clone, Copy)]
pub enum ScheduledFault {
    /// One link is in a faulty mode.
    Link(LinkFault),
    /// The store refuses transactions that contain changes; it serves reads and lease requests.
    WritesRefused {
        /// Start of the fault.
        at: Duration,
        /// Time from the start to the end of the fault.
        duration: Duration,
    },
    /// Outage of the store: it refuses all requests but watches, which wait.
    StoreOutage {
        /// Start of the fault.
        at: Duration,
        /// Time from the start to the end of the fault.
        duration: Duration,
    },
    /// Crash and immediate restart of a controller.
    Restart {
        /// Start of the fault.
        at: Duration,
        /// Index of the controller.
        controller: usize,
    },
}

impl ScheduledFault {
    /// Start, relative to the start of the schedule.
    pub fn starts_at(&self) -> Duration {
        match self {
            Self::Link(fault) => fault.at,
            Self::WritesRefused { at, .. }
            | Self::StoreOutage { at, .. }
            | Self::Restart { at, .. } => *at,
        }
    }

    /// End, relative to the start of the schedule. A restart ends when it starts.
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

fn random_mode(rng: &mut StdRng) -> LinkMode {
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

fn random_link(rng: &mut StdRng, controller_count: usize) -> LinkId {
    let controller = rng.random_range(0..controller_count);
    let other = (controller + rng.random_range(1..controller_count)) % controller_count;
    match rng.random_range(0..5) {
        0 | 1 => LinkId::Store(controller),
        2 | 3 => LinkId::Peer(controller, other),
        _ => LinkId::Workers(rng.random_range(0..2), controller),
    }
}

/// Generates `count` faults from a seed, in order of their starts. All end within `schedule_duration`. A
/// flapping link counts as one fault, with an entry for each of its periods.
pub fn generate_faults(
    seed: u64,
    controller_count: usize,
    schedule_duration: Duration,
    count: usize,
) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for _ in 0..count {
        let at = schedule_duration.mul_f64(rng.random_range(0.0..0.8));
        let duration = (schedule_duration - at).mul_f64(rng.random_range(0.1..0.9));
        match rng.random_range(0..10) {
            0 => faults.push(ScheduledFault::WritesRefused { at, duration }),
            1 => faults.push(ScheduledFault::StoreOutage {
                at,
                duration: duration / 2,
            }),
            2 => faults.push(ScheduledFault::Restart {
                at,
                controller: rng.random_range(0..controller_count),
            }),
            3 => faults.extend(flapping_link_faults(
                &mut rng,
                controller_count,
                at,
                duration,
            )),
            _ => faults.push(ScheduledFault::Link(LinkFault {
                at,
                duration,
                link: random_link(&mut rng, controller_count),
                mode: random_mode(&mut rng),
            })),
        }
    }
    faults.sort_by_key(ScheduledFault::starts_at);
    faults
}

/// Generates the faults of a flapping link: it is faulty in the first half of each period of 2 s to 5 s.
fn flapping_link_faults(
    rng: &mut StdRng,
    controller_count: usize,
    at: Duration,
    duration: Duration,
) -> Vec<ScheduledFault> {
    let (link, mode) = (random_link(rng, controller_count), random_mode(rng));
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
