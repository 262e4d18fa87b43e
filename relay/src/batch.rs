//! A batch of records, coded compactly: an object's purge takes nine bytes, eight of them its id.

use crate::log::Record;

/// Records that follow each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The number before the first record: whoever has applied up to there applies it.
    pub after: u64,
    /// The records, numbers counting up.
    pub records: Vec<Record>,
}
