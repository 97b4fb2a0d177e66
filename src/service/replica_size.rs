//! The size of the part of the replica that grows with the number of finished jobs.

/// Bytes that a final verdict takes with its key in a hash table that has just grown.
const VERDICT_BYTES: f64 = 160.0;
/// Fraction of the memory of the process for final verdicts.
const VERDICTS_MEMORY_FRACTION: f64 = 0.15;

/// The most final verdicts that a process with `mem_mb` MiB of memory keeps in its replica.
pub fn verdicts_max(mem_mb: f64) -> usize {
    (mem_mb * 1024.0 * 1024.0 * VERDICTS_MEMORY_FRACTION / VERDICT_BYTES).max(1.0) as usize
}
