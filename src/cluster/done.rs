//! The set of a job's completed tasks, stored in chunks that each fit one value of the store, so
//! that 100,000 tasks take a handful of keys and one write per batch.

const WORD_BITS: usize = 64;
/// Bits of a hexadecimal digit.
const DIGIT_BITS: usize = 4;

/// The completed tasks of a job, and which of them the store records.
#[derive(Debug, Clone)]
pub struct DoneSet {
    completed: Vec<u64>,
    durable: Vec<u64>,
    tasks_per_chunk: usize,
    count: u32,
}

/// Tasks per chunk for a given value size limit: the digits take half of a value, the rest is left
/// for the envelope.
pub fn tasks_per_chunk(value_kb: f64) -> usize {
    let digits = (value_kb * 1024.0 / 2.0).max(64.0) as usize;
    digits * DIGIT_BITS / WORD_BITS * WORD_BITS
}

impl DoneSet {
    /// An empty set for `tasks` tasks.
    pub fn new(tasks: u32, tasks_per_chunk: usize) -> Self {
        let words = (tasks as usize).div_ceil(WORD_BITS);
        Self {
            completed: vec![0; words],
            durable: vec![0; words],
            tasks_per_chunk: tasks_per_chunk.max(WORD_BITS),
            count: 0,
        }
    }

    fn bit(words: &[u64], index: u32) -> bool {
        let index = index as usize;
        words
            .get(index / WORD_BITS)
            .is_some_and(|word| word >> (index % WORD_BITS) & 1 == 1)
    }

    /// Adds a task, and returns whether it was new. Numbers beyond the set are ignored.
    pub fn insert(&mut self, index: u32) -> bool {
        if self.contains(index) {
            return false;
        }
        let at = index as usize;
        let Some(word) = self.completed.get_mut(at / WORD_BITS) else {
            return false;
        };
        *word |= 1 << (at % WORD_BITS);
        self.count += 1;
        true
    }

    /// Whether the task has completed, recorded or not.
    pub fn contains(&self, index: u32) -> bool {
        Self::bit(&self.completed, index)
    }

    /// Whether the store records that the task has completed.
    pub fn is_durable(&self, index: u32) -> bool {
        Self::bit(&self.durable, index)
    }

    /// The number of completed tasks.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Whether no task has completed.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn words_of(&self, chunk: usize) -> std::ops::Range<usize> {
        let each = self.tasks_per_chunk / WORD_BITS;
        let start = (chunk * each).min(self.completed.len());
        start..(start + each).min(self.completed.len())
    }

    /// The number of chunks, written or not.
    pub fn chunks(&self) -> usize {
        self.completed
            .len()
            .div_ceil(self.tasks_per_chunk / WORD_BITS)
    }

    /// The first chunk with a completed task that the store does not record.
    pub fn dirty_chunk(&self) -> Option<usize> {
        (0..self.chunks()).find(|chunk| {
            let words = self.words_of(*chunk);
            self.completed[words.clone()] != self.durable[words]
        })
    }

    /// Whether the store records any completed task of this chunk.
    pub fn chunk_written(&self, chunk: usize) -> bool {
        self.durable[self.words_of(chunk)].iter().any(|w| *w != 0)
    }

    /// The chunk as hexadecimal digits, lowest task first, without trailing zeros.
    pub fn encode(&self, chunk: usize) -> String {
        let mut digits = String::new();
        for word in &self.completed[self.words_of(chunk)] {
            for position in 0..WORD_BITS / DIGIT_BITS {
                let digit = (word >> (position * DIGIT_BITS) & 0xf) as u32;
                digits.push(char::from_digit(digit, 16).unwrap_or('0'));
            }
        }
        digits.truncate(digits.trim_end_matches('0').len());
        digits
    }

    /// Marks all tasks of an encoded chunk as completed and recorded.
    pub fn mark_durable(&mut self, chunk: usize, digits: &str) {
        let start = self.words_of(chunk).start;
        for (position, digit) in digits.chars().enumerate() {
            let value = u64::from(digit.to_digit(16).unwrap_or(0));
            let bit = position * DIGIT_BITS;
            let at = start + bit / WORD_BITS;
            let Some(word) = self.durable.get_mut(at) else {
                return;
            };
            *word |= value << (bit % WORD_BITS);
            let completed = &mut self.completed[at];
            let before = completed.count_ones();
            *completed |= *word;
            self.count += completed.count_ones() - before;
        }
    }
}

#[cfg(test)]
mod tests;
