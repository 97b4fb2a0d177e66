//! Reads the cloud's machine list page by page, within the cloud's rate limit.
//!
//! A list of 4,000 machines has more pages than the number of requests that the cloud accepts in
//! one burst. If all pages were requested at once, some would be rejected every time. A listing
//! therefore continues over several scaling cycles, and its result is used only when the last page
//! has been read.

use std::time::{Duration, Instant};

use crate::wire::{ListedMachine, MachinePage};

/// The part of the allowed request rate that listings may take; the rest is for rentals and
/// releases.
const LISTING_RATE_PART: f64 = 0.5;

/// The listing in progress, if any, and the last complete one, which determines when the next is
/// due.
#[derive(Debug, Default)]
pub struct MachineListing {
    /// Machines of the pages read so far.
    machines: Vec<ListedMachine>,
    /// Pages read so far; 0 if no listing is in progress.
    pages: u32,
    last_complete: Option<CompleteListing>,
}

#[derive(Debug, Clone, Copy)]
struct CompleteListing {
    completed_at: Instant,
    pages: u32,
}

impl MachineListing {
    /// Whether a page should be read now: the next one of a listing in progress, or the first one
    /// of a new listing. A new listing is due after `interval`, or later if its pages would exceed
    /// the part of `requests_per_s` that listings may take.
    pub fn is_due(&self, interval: Duration, requests_per_s: f64, now: Instant) -> bool {
        if self.pages > 0 {
            return true;
        }
        self.last_complete.is_none_or(|last| {
            let min_interval_s = f64::from(last.pages) / (requests_per_s * LISTING_RATE_PART);
            let min_interval = Duration::try_from_secs_f64(min_interval_s).unwrap_or(interval);
            now.saturating_duration_since(last.completed_at) >= interval.max(min_interval)
        })
    }

    /// Whether some pages have been read and the last one has not.
    pub fn in_progress(&self) -> bool {
        self.pages > 0
    }

    /// Returns the name of the machine after which the next page begins, or `None` for the first
    /// page.
    pub fn last_read_machine(&self) -> Option<&str> {
        self.machines.last().map(|machine| machine.id.as_str())
    }

    /// Adds a page. Returns the whole list if it was the last page.
    pub fn add_page(&mut self, page: MachinePage, now: Instant) -> Option<Vec<ListedMachine>> {
        let is_last_page = !page.more || page.machines.is_empty();
        self.machines.extend(page.machines);
        self.pages += 1;
        if !is_last_page {
            return None;
        }
        let pages = std::mem::take(&mut self.pages);
        self.last_complete = Some(CompleteListing {
            completed_at: now,
            pages,
        });
        Some(std::mem::take(&mut self.machines))
    }

    /// Discards a listing in progress. The next one begins with the first page.
    pub fn abandon(&mut self) {
        self.machines.clear();
        self.pages = 0;
    }

    /// Discards all state, as after a change of leader. A new listing is then due immediately.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests;
