//! How the memory limit is divided among what clients and caches can make the router hold. Own copies yield to all else.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use silverspindle_wire::buffer;
use silverspindle_wire::memory::MemoryBudget;

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

/// Memory kept for the next messages uses at most this fraction (one in N) of the memory that is divided, and only what
/// can't come into use.
const SPARE_DIVISOR: usize = 8;

/// This fraction (one in N) of the limit of the whole process is left unused, for what changes between two looks at the
/// memory that the process has.
const HEADROOM_DIVISOR: usize = 32;

/// Limits of the memory for each use, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// The whole process.
    pub process: usize,
    /// All uses together, within their own limits.
    pub total: usize,
    /// Answers that clients have not read yet. Over this limit no own copies are served.
    pub unwritten_answers: usize,
    /// All answers of caches, from when they are read until they are written. Over this limit no further one is read.
    pub answers: usize,
    /// Bodies of open writes. Over this limit further ones are refused.
    pub write_bodies: usize,
    /// Requests that clients have sent in part. Over this limit the rest stays unread.
    pub incomplete_requests: usize,
    /// The router's own copies, as far as the other uses leave room.
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
            process: memory,
            total: divided,
            unwritten_answers,
            answers: unwritten_answers + incomplete_answers,
            write_bodies: bodies,
            incomplete_requests: (divided / INCOMPLETE_DIVISOR).max(MIN_INCOMPLETE_REQUESTS),
            own_copies: bodies.min(MAX_OWN_COPIES),
        }
    }
}

/// The memory of all uses, kept within one limit.
///
/// Requests and the bodies of writes keep to limits of their own. What they leave of the total goes to answers, and what
/// those leave to own copies: a copy is evicted rather than an answer kept waiting.
#[derive(Debug)]
pub struct MemoryPool {
    limits: Cell<MemoryLimits>,
    answers: Arc<MemoryBudget>,
    incomplete_requests: Arc<MemoryBudget>,
    write_bodies: Rc<Cell<usize>>,
    /// Memory of the process besides all uses, in bytes, at the last look.
    other: Cell<usize>,
}

impl MemoryPool {
    /// A pool within these limits. `answers` and `incomplete_requests` are the budgets of these uses, `write_bodies` the
    /// bytes in use for bodies of open writes.
    pub fn new(
        limits: MemoryLimits,
        answers: Arc<MemoryBudget>,
        incomplete_requests: Arc<MemoryBudget>,
        write_bodies: Rc<Cell<usize>>,
    ) -> Self {
        Self { limits: Cell::new(limits), answers, incomplete_requests, write_bodies, other: Cell::new(0) }
    }

    /// Sets the limits anew.
    pub fn set_limits(&self, limits: MemoryLimits) {
        self.limits.set(limits);
    }

    /// Takes into account how much anonymous memory the process has, in bytes: where it has more for other things than is
    /// set aside, the uses get less.
    pub fn observe(&self, process_memory: usize, used_by_copies: usize) {
        let uses = self.answers.used() + self.used_by_requests() + used_by_copies + buffer::spare_bytes();
        self.other.set(process_memory.saturating_sub(uses));
    }

    /// Bytes for all uses: the limit, or what the rest of the process leaves of its own limit. Half of the limit at the
    /// least.
    fn total(&self) -> usize {
        let MemoryLimits { process, total, .. } = self.limits.get();
        let left = process.saturating_sub(process / HEADROOM_DIVISOR + self.other.get());
        left.clamp(total / 2, total)
    }

    fn used_by_requests(&self) -> usize {
        self.incomplete_requests.used() + self.write_bodies.get()
    }

    /// Bytes that requests leave of the total.
    fn left_by_requests(&self) -> usize {
        self.total().saturating_sub(self.used_by_requests())
    }

    /// Bytes that own copies may use beside requests, answers, and answers that wait for memory.
    pub fn available_to_copies(&self) -> usize {
        let limits = self.limits.get();
        let answers = (self.answers.used() + self.answers.waiting_bytes()).min(limits.answers);
        self.left_by_requests().saturating_sub(answers).min(limits.own_copies)
    }

    /// Limits answers, and then the memory kept for the next messages, to what requests and own copies leave. Answers get
    /// room for a few of the largest at the least.
    pub fn limit_answers(&self, used_by_copies: usize) {
        let limits = self.limits.get();
        let left = self.left_by_requests().saturating_sub(used_by_copies);
        self.answers.set_limit(left.max(MIN_INCOMPLETE_ANSWERS).min(limits.answers));
        let unused = left.saturating_sub(limits.answers);
        buffer::set_spare_limit(unused.min(limits.total / SPARE_DIVISOR));
    }
}

/// Anonymous memory of this process, in bytes, as /proc/self/statm (proc(5)) tells; `None` where there is none.
pub fn process_memory() -> Option<usize> {
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let mut pages = statm.split_ascii_whitespace().skip(1).map(str::parse::<usize>);
    let (resident, shared) = (pages.next()?.ok()?, pages.next()?.ok()?);
    Some(resident.saturating_sub(shared) * rustix::param::page_size())
}
