//! How much of the records a process keeps in memory.

/// Bytes that a final verdict takes with its key, in a table that has just grown.
const VERDICT_BYTES: f64 = 160.0;
/// Part of the memory for them.
const VERDICTS_PART: f64 = 0.15;

/// The most final verdicts that a process with so much memory keeps in its replica.
pub fn verdicts_max(mem_mb: f64) -> usize {
    (mem_mb * 1024.0 * 1024.0 * VERDICTS_PART / VERDICT_BYTES).max(1.0) as usize
}
