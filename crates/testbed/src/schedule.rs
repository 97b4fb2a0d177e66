//! Seeded schedules of cuts.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::proxy::{Flow, LinkMode};

/// A link of the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkId {
    /// From a controller to the state service.
    State(usize),
    /// From a controller to another one.
    Peer(usize, usize),
    /// From the workers of a zone (0 or 1) to a controller.
    Workers(usize, usize),
}

/// A link that is so for a while.
#[derive(Debug, Clone, Copy)]
pub struct Cut {
    /// When it begins, from the start of the schedule.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// The link.
    pub link: LinkId,
    /// How it is meanwhile.
    pub mode: LinkMode,
}

/// Something else that goes wrong.
#[derive(Debug, Clone, Copy)]
pub enum Trouble {
    /// A link.
    Cut(Cut),
    /// Transactions are refused for a while; reads and leases are served.
    WritesFail {
        /// When.
        at: Duration,
        /// How long.
        lasts: Duration,
    },
    /// The state service is out for a while.
    StateOut {
        /// When.
        at: Duration,
        /// How long.
        lasts: Duration,
    },
    /// A controller ends and is back at once.
    Restart {
        /// When.
        at: Duration,
        /// Which.
        controller: usize,
    },
}

impl Trouble {
    /// When it begins.
    pub fn begins(&self) -> Duration {
        match self {
            Self::Cut(cut) => cut.at,
            Self::WritesFail { at, .. } | Self::StateOut { at, .. } | Self::Restart { at, .. } => {
                *at
            }
        }
    }

    /// When it is over.
    pub fn ends(&self) -> Duration {
        match self {
            Self::Cut(cut) => cut.at + cut.lasts,
            Self::WritesFail { at, lasts } | Self::StateOut { at, lasts } => *at + *lasts,
            Self::Restart { at, .. } => *at,
        }
    }
}

fn mode(rng: &mut StdRng) -> LinkMode {
    let delay = Duration::from_millis(rng.random_range(50..900));
    match rng.random_range(0..8) {
        0 => LinkMode::BLACKHOLE,
        1 => LinkMode::REFUSED,
        2 => LinkMode::ANSWERS_LOST,
        3 => LinkMode::REQUESTS_LOST,
        4 => LinkMode {
            answers: Flow::Hold,
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
        0 | 1 => LinkId::State(controller),
        2 | 3 => LinkId::Peer(controller, other),
        _ => LinkId::Workers(rng.random_range(0..2), controller),
    }
}

/// Troubles drawn from a seed, all over by `length`.
pub fn draw(seed: u64, controllers: usize, length: Duration, count: usize) -> Vec<Trouble> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut troubles = Vec::new();
    for _ in 0..count {
        let at = length.mul_f64(rng.random_range(0.0..0.8));
        let lasts = (length - at).mul_f64(rng.random_range(0.1..0.9));
        match rng.random_range(0..10) {
            0 => troubles.push(Trouble::WritesFail { at, lasts }),
            1 => troubles.push(Trouble::StateOut {
                at,
                lasts: lasts / 2,
            }),
            2 => troubles.push(Trouble::Restart {
                at,
                controller: rng.random_range(0..controllers),
            }),
            3 => troubles.extend(flapping(&mut rng, controllers, at, lasts)),
            _ => troubles.push(Trouble::Cut(Cut {
                at,
                lasts,
                link: link(&mut rng, controllers),
                mode: mode(&mut rng),
            })),
        }
    }
    troubles.sort_by_key(Trouble::begins);
    troubles
}

/// A link that comes and goes every two to five seconds.
fn flapping(rng: &mut StdRng, controllers: usize, at: Duration, lasts: Duration) -> Vec<Trouble> {
    let (link, mode) = (link(rng, controllers), mode(rng));
    let period = Duration::from_secs_f64(rng.random_range(2.0..5.0));
    let mut cuts = Vec::new();
    let mut begins = at;
    while begins + period <= at + lasts {
        cuts.push(Trouble::Cut(Cut {
            at: begins,
            lasts: period / 2,
            link,
            mode,
        }));
        begins += period;
    }
    cuts
}
