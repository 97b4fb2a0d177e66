//! The set of a job's completed tasks, kept in chunks that each fit one value of the store, so
//! that a hundred thousand tasks cost a handful of keys and one write a batch.

/// Bits in a word.
const WORD: usize = 64;
/// Bits in a hexadecimal digit.
const DIGIT: usize = 4;

/// Completed tasks, and which of them are in the store.
#[derive(Debug, Clone)]
pub struct DoneSet {
    seen: Vec<u64>,
    durable: Vec<u64>,
    chunk: usize,
    count: u32,
}

/// Tasks in one chunk: half a value's size in digits, the rest left for the envelope.
pub fn chunk_size(value_kb: f64) -> usize {
    let digits = (value_kb * 1024.0 / 2.0).max(64.0) as usize;
    digits * DIGIT / WORD * WORD
}

impl DoneSet {
    /// An empty set for `tasks` tasks in chunks of `chunk`.
    pub fn new(tasks: u32, chunk: usize) -> Self {
        let words = (tasks as usize).div_ceil(WORD);
        Self {
            seen: vec![0; words],
            durable: vec![0; words],
            chunk: chunk.max(WORD),
            count: 0,
        }
    }

    fn bit(words: &[u64], index: u32) -> bool {
        let index = index as usize;
        words
            .get(index / WORD)
            .is_some_and(|word| word >> (index % WORD) & 1 == 1)
    }

    /// Adds a task; whether it was new.
    pub fn insert(&mut self, index: u32) -> bool {
        if self.contains(index) {
            return false;
        }
        let at = index as usize;
        let Some(word) = self.seen.get_mut(at / WORD) else {
            return false;
        };
        *word |= 1 << (at % WORD);
        self.count += 1;
        true
    }

    /// Whether the task has completed.
    pub fn contains(&self, index: u32) -> bool {
        Self::bit(&self.seen, index)
    }

    /// Whether the store records that the task has completed.
    pub fn is_durable(&self, index: u32) -> bool {
        Self::bit(&self.durable, index)
    }

    /// Number of completed tasks.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Whether no task has completed.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn words_of(&self, chunk: usize) -> std::ops::Range<usize> {
        let each = self.chunk / WORD;
        let start = (chunk * each).min(self.seen.len());
        start..(start + each).min(self.seen.len())
    }

    /// Number of chunks.
    pub fn chunks(&self) -> usize {
        self.seen.len().div_ceil(self.chunk / WORD)
    }

    /// The first chunk that holds something that is not in the store.
    pub fn dirty_chunk(&self) -> Option<usize> {
        (0..self.chunks()).find(|chunk| {
            let words = self.words_of(*chunk);
            self.seen[words.clone()] != self.durable[words]
        })
    }

    /// Whether a chunk was ever written.
    pub fn chunk_written(&self, chunk: usize) -> bool {
        self.durable[self.words_of(chunk)].iter().any(|w| *w != 0)
    }

    /// A chunk in digits, without the empty ones at its end.
    pub fn encode(&self, chunk: usize) -> String {
        let mut digits = String::new();
        for word in &self.seen[self.words_of(chunk)] {
            for placement in 0..WORD / DIGIT {
                let digit = (word >> (placement * DIGIT) & 0xf) as u32;
                digits.push(char::from_digit(digit, 16).unwrap_or('0'));
            }
        }
        digits.truncate(digits.trim_end_matches('0').len());
        digits
    }

    /// Takes a chunk that is in the store.
    pub fn mark_durable(&mut self, chunk: usize, digits: &str) {
        let start = self.words_of(chunk).start;
        for (placement, digit) in digits.chars().enumerate() {
            let value = u64::from(digit.to_digit(16).unwrap_or(0));
            let bit = placement * DIGIT;
            let at = start + bit / WORD;
            let Some(word) = self.durable.get_mut(at) else {
                return;
            };
            *word |= value << (bit % WORD);
            let seen = &mut self.seen[at];
            let before = seen.count_ones();
            *seen |= *word;
            self.count += seen.count_ones() - before;
        }
    }
}

#[cfg(test)]
mod tests;
