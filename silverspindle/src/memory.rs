//! How the memory limit is divided among what clients and caches can make the router hold.

/// Memory that is not divided, in bytes: the program, its state and what the allocator adds.
const UNDIVIDED_BYTES: usize = 14_000_000;
/// At least this fraction (one in N) of the limit is divided.
const MIN_DIVIDED: usize = 2;
/// Unwritten answers use at most this fraction (one in N) of the limit.
const UNWRITTEN_DIVISOR: usize = 3;
/// Bodies of writes, and own copies, each use at most this fraction (one in N) of the limit.
const BODIES_DIVISOR: usize = 8;
/// Upper limit of the memory for own copies, in bytes.
const MAX_OWN_COPIES: usize = 12_000_000;
/// Requests that clients have sent in part use this fraction (one in N) of the memory that is divided.
const INCOMPLETE_DIVISOR: usize = 16;
/// Answers that are being read use this fraction (one in N) of the memory that is divided, besides what unwritten
/// answers leave.
const INCOMPLETE_ANSWERS_DIVISOR: usize = 8;
/// Minimum memory for requests that clients have sent in part, in bytes: four of the largest.
const MIN_INCOMPLETE_REQUESTS: usize = 4 * 68 * 1024;
/// Minimum memory for answers that are being read, in bytes: four of the largest.
const MIN_INCOMPLETE_ANSWERS: usize = 4 * 260 * 1024;

/// Limits of the memory for each use, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Answers that clients have not read yet. Over this limit clients that read too slowly are cut off, and no own copies are
    /// served.
    pub unwritten_answers: usize,
    /// All answers of caches, from when they are read until they are written. Over this limit no further one is read.
    pub answers: usize,
    /// Bodies of open writes. Over this limit further ones are refused.
    pub write_bodies: usize,
    /// Requests that clients have sent in part. Over this limit the rest stays unread.
    pub incomplete_requests: usize,
    /// The router's own copies.
    pub own_copies: usize,
}

impl MemoryLimits {
    /// Divides a memory limit of the whole process.
    pub fn divide(memory: usize) -> Self {
        let divided = memory.saturating_sub(UNDIVIDED_BYTES).max(memory / MIN_DIVIDED);
        let unwritten_answers = (memory / UNWRITTEN_DIVISOR).min(divided / 4 * 3);
        let incomplete_answers = (divided / INCOMPLETE_ANSWERS_DIVISOR).max(MIN_INCOMPLETE_ANSWERS);
        let bodies = (memory / BODIES_DIVISOR).min(divided / 4);
        Self {
            unwritten_answers,
            answers: unwritten_answers + incomplete_answers,
            write_bodies: bodies,
            incomplete_requests: (divided / INCOMPLETE_DIVISOR).max(MIN_INCOMPLETE_REQUESTS),
            own_copies: bodies.min(MAX_OWN_COPIES),
        }
    }
}
