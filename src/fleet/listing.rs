//! Reads the cloud's machine list page by page, within the cloud's limit on requests.
//!
//! A list of 4,000 machines has more pages than the cloud takes at once: read in one go it would be
//! refused every time. A listing therefore goes on over several scaling cycles, and counts only when the
//! last page is read.

use std::time::{Duration, Instant};

use crate::wire::{ListedMachine, MachinePage};

/// Part of the allowed requests that listing may take.
const LISTING_RATE_PART: f64 = 0.5;

/// The listing under way, and when the next one is due.
#[derive(Debug, Default)]
pub struct MachineListing {
    read: Vec<ListedMachine>,
    pages: u32,
    last: Option<CompleteListing>,
}

#[derive(Debug, Clone, Copy)]
struct CompleteListing {
    at: Instant,
    pages: u32,
}

impl MachineListing {
    /// Whether a page should be read now: one of a listing under way, or the first of a new one. A new
    /// one is due after `interval`, or later where the pages would take too many of the requests.
    pub fn is_due(&self, interval: Duration, requests_per_s: f64, now: Instant) -> bool {
        if self.pages > 0 {
            return true;
        }
        self.last.is_none_or(|last| {
            let paced_s = f64::from(last.pages) / (requests_per_s * LISTING_RATE_PART);
            let paced = Duration::try_from_secs_f64(paced_s).unwrap_or(interval);
            now.saturating_duration_since(last.at) >= interval.max(paced)
        })
    }

    /// Whether the next page continues a listing.
    pub fn under_way(&self) -> bool {
        self.pages > 0
    }

    /// The machine after which the next page begins.
    pub fn last_read_machine(&self) -> Option<&str> {
        self.read.last().map(|machine| machine.id.as_str())
    }

    /// Adds a page; returns the whole list, if it was the last one.
    pub fn add_page(&mut self, page: MachinePage, now: Instant) -> Option<Vec<ListedMachine>> {
        let last = !page.more || page.machines.is_empty();
        self.read.extend(page.machines);
        self.pages += 1;
        if !last {
            return None;
        }
        let pages = std::mem::take(&mut self.pages);
        self.last = Some(CompleteListing { at: now, pages });
        Some(std::mem::take(&mut self.read))
    }

    /// Abandons a listing under way; the next one begins with the first page.
    pub fn abandon(&mut self) {
        self.read.clear();
        self.pages = 0;
    }

    /// Back to the state without any listing, as after a change of leader.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests;
