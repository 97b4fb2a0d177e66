//! Reads the cloud's machine list page by page, within the cloud's limit on requests.
//!
//! A list of 4,000 machines has more pages than the cloud takes at once: read in one go it would be
//! refused every time. A reading therefore goes on over several looks, and what it brings counts only
//! when the last page is in.

use std::time::{Duration, Instant};

use crate::wire::{ListedMachine, MachinePage};

/// Part of the allowed requests that reading the list may take.
const LISTING_PART: f64 = 0.5;

/// The reading under way, and when the next one is due.
#[derive(Debug, Default)]
pub struct MachineListing {
    read: Vec<ListedMachine>,
    pages: u32,
    last: Option<FinishedReading>,
}

#[derive(Debug, Clone, Copy)]
struct FinishedReading {
    at: Instant,
    pages: u32,
}

impl MachineListing {
    /// Whether a page should be read now: one of a reading under way, or the first of a new one. A new
    /// one is due after `interval`, or later where the pages would take too many of the requests.
    pub fn due(&self, interval: Duration, requests_per_s: f64, now: Instant) -> bool {
        if self.pages > 0 {
            return true;
        }
        self.last.is_none_or(|last| {
            let paced_s = f64::from(last.pages) / (requests_per_s * LISTING_PART);
            let paced = Duration::try_from_secs_f64(paced_s).unwrap_or(interval);
            now.saturating_duration_since(last.at) >= interval.max(paced)
        })
    }

    /// Whether the next page goes on with a reading.
    pub fn under_way(&self) -> bool {
        self.pages > 0
    }

    /// The machine after which the next page begins.
    pub fn after(&self) -> Option<&str> {
        self.read.last().map(|machine| machine.id.as_str())
    }

    /// Takes a page; the whole list, if it was the last one.
    pub fn take_page(&mut self, page: MachinePage, now: Instant) -> Option<Vec<ListedMachine>> {
        let last = !page.more || page.machines.is_empty();
        self.read.extend(page.machines);
        self.pages += 1;
        if !last {
            return None;
        }
        let pages = std::mem::take(&mut self.pages);
        self.last = Some(FinishedReading { at: now, pages });
        Some(std::mem::take(&mut self.read))
    }

    /// Gives up a reading under way; the next one begins anew.
    pub fn abandon(&mut self) {
        self.read.clear();
        self.pages = 0;
    }

    /// Forgets everything, as after a change of leader.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests;
