//! Memory for messages and copies. Large ones get pages of their own: on the heap, blocks of many sizes that come and go
//! leave gaps that the process keeps. Pages are reused for the next messages as far as a limit allows, and go back to the
//! system beyond it.

use std::cell::RefCell;
use std::ops::{Deref, DerefMut};

use bytes::Bytes;
use memmap2::{MmapMut, MmapOptions};

/// Size in bytes from which on a buffer gets pages of its own.
pub const MIN_MAPPED: usize = 32 * 1024;
/// Pages are reused for a buffer that is smaller by at most this fraction (one in N) of its size.
const MAX_UNUSED_DIVISOR: usize = 8;

thread_local! {
    static SPARE_PAGES: RefCell<SparePages> = RefCell::default();
}

/// Pages that wait to be reused.
#[derive(Debug, Default)]
struct SparePages {
    /// The smallest first.
    pages: Vec<MmapMut>,
    bytes: usize,
    limit: usize,
}

impl SparePages {
    /// Takes the smallest pages that fit a buffer of this length.
    fn take(&mut self, length: usize) -> Option<MmapMut> {
        let first = self.pages.partition_point(|pages| pages.len() < length);
        self.pages.get(first).filter(|pages| pages.len() - length <= length / MAX_UNUSED_DIVISOR)?;
        let pages = self.pages.remove(first);
        self.bytes -= pages.len();
        Some(pages)
    }

    /// Keeps pages, unless that is over the limit.
    fn put(&mut self, pages: MmapMut) {
        if self.bytes + pages.len() <= self.limit {
            self.bytes += pages.len();
            let place = self.pages.partition_point(|other| other.len() < pages.len());
            self.pages.insert(place, pages);
        }
    }

    fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
        while self.bytes > limit {
            let Some(pages) = self.pages.pop() else { return };
            self.bytes -= pages.len();
        }
    }
}

/// Limits the memory that this thread keeps for reuse, in bytes; at first it keeps none.
pub fn set_spare_limit(limit: usize) {
    SPARE_PAGES.with_borrow_mut(|spare| spare.set_limit(limit));
}

/// Memory that this thread keeps for reuse, in bytes.
pub fn spare_bytes() -> usize {
    SPARE_PAGES.with_borrow(|spare| spare.bytes)
}

/// Pages of the system, given back or kept for reuse when dropped.
#[derive(Debug)]
pub struct Pages {
    /// `None` only while being dropped.
    map: Option<MmapMut>,
    /// Bytes in use.
    length: usize,
}

impl Pages {
    /// Pages for this many bytes, with any content; `None` where the system has none.
    fn new(length: usize) -> Option<Self> {
        let spare = SPARE_PAGES.with_borrow_mut(|spare| spare.take(length));
        let map = spare.or_else(|| MmapOptions::new().len(length).populate().map_anon().ok())?;
        Some(Self { map: Some(map), length })
    }
}

impl Drop for Pages {
    fn drop(&mut self) {
        if let Some(map) = self.map.take() {
            // At the end of the thread there is nothing to keep it for.
            let _ = SPARE_PAGES.try_with(|spare| spare.borrow_mut().put(map));
        }
    }
}

/// A buffer of bytes.
#[derive(Debug)]
pub enum Buffer {
    /// On the heap.
    Heap(Vec<u8>),
    /// On pages of its own.
    Mapped(Pages),
}

impl Default for Buffer {
    fn default() -> Self {
        Self::Heap(Vec::new())
    }
}

impl Buffer {
    /// A buffer of this many bytes, with any content. One that the system has no pages for comes from the heap.
    pub fn with_length(length: usize) -> Self {
        let pages = if length >= MIN_MAPPED { Pages::new(length) } else { None };
        pages.map_or_else(|| Self::Heap(vec![0; length]), Self::Mapped)
    }

    /// A buffer with these bytes.
    pub fn copy_of(bytes: &[u8]) -> Self {
        if bytes.len() < MIN_MAPPED {
            return Self::Heap(bytes.to_vec());
        }
        let mut buffer = Self::with_length(bytes.len());
        buffer.copy_from_slice(bytes);
        buffer
    }

    /// Keeps the first `length` bytes and appends these. Meant for short buffers: one with pages of its own moves to the
    /// heap.
    pub fn replace_from(&mut self, length: usize, bytes: &[u8]) {
        if let Self::Mapped(_) = self {
            *self = Self::Heap(self[..length].to_vec());
        }
        if let Self::Heap(buffer) = self {
            buffer.truncate(length);
            buffer.extend_from_slice(bytes);
        }
    }
}

impl Deref for Buffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        match self {
            Self::Heap(bytes) => bytes,
            Self::Mapped(Pages { map, length }) => map.as_ref().map_or(&[], |map| &map[..*length]),
        }
    }
}

impl DerefMut for Buffer {
    fn deref_mut(&mut self) -> &mut [u8] {
        match self {
            Self::Heap(bytes) => bytes,
            Self::Mapped(Pages { map, length }) => map.as_mut().map_or(&mut [], |map| &mut map[..*length]),
        }
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        self
    }
}

impl From<Buffer> for Bytes {
    fn from(buffer: Buffer) -> Self {
        match buffer {
            Buffer::Heap(bytes) => bytes.into(),
            pages => Bytes::from_owner(pages),
        }
    }
}
