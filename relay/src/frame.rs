//! What nodes say to each other, as bodies of the exchange's pieces.

use std::fmt;
use std::ops::Deref;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::log::Reset;
use crate::watermark::{Status, Summary};
use crate::{Micros, NodeId, bounds};

/// A frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A child's first frame on a connection.
    Subscribe(Subscribe),
    /// A child's report, which asks for a confirmation as well.
    Report(Report),
    /// From a parent: records, a confirmation, or both.
    Update(Update),
    /// From a parent instead of records that it does not keep any more.
    Reset(Reset),
    /// Anybody asks how far a number has come.
    Ask {
        /// The number; 0: the latest.
        number: u64,
    },
    /// The answer to that.
    Answer(Status),
}

/// Who wants the log, and from where on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscribe {
    /// Which process.
    pub node: NodeId,
    /// Up to which number it has applied the log.
    pub applied: u64,
}

/// What a child tells of itself and of all below it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Counts up; the confirmation names it.
    pub question: u64,
    /// All below it, and itself, have applied the log up to here.
    pub watermark: u64,
    /// Who that is.
    pub summary: Summary,
}

/// Coded bytes that many frames share: a batch is coded once for all children that are as far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Coded(Rc<[u8]>);

impl From<Vec<u8>> for Coded {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl Deref for Coded {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl Serialize for Coded {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Coded {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        <&[u8]>::deserialize(deserializer).map(|bytes| Self(bytes.into()))
    }
}

/// Records and a confirmation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// A coded [`crate::Batch`]; empty: none.
    pub batch: Coded,
    /// The answer to a report.
    pub confirm: Option<Confirm>,
}

/// "`number` was the latest, `age` before your report came": so the child counts it back from its own asking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirm {
    /// Which report it answers.
    pub question: u64,
    /// The latest number then.
    pub number: u64,
    /// How old the parent's own word was when that report came: counted back from the child's own asking.
    pub age: Micros,
}

/// What a peer did wrong; its connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// More bytes than a frame has.
    TooLong,
    /// Bytes that are no frame.
    Unreadable,
    /// A frame that does not belong there: a report before a subscription, an update from a child.
    Unexpected,
    /// A batch that begins behind what was applied.
    Gap {
        /// Up to where the log is applied.
        applied: u64,
        /// Where the batch begins.
        after: u64,
    },
    /// Numbers that do not count up.
    Order,
    /// A watermark beyond the log.
    Ahead {
        /// What was claimed.
        claimed: u64,
        /// The latest number.
        latest: u64,
    },
    /// A number from the past: a watermark or a question lower than the one before.
    Regressed,
    /// It subscribed again, or another process of it is here.
    Replaced,
    /// As many children as may be are here.
    Full,
    /// Silent for longer than the lease.
    Silent,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::TooLong => write!(f, "a frame longer than {} bytes", bounds::FRAME),
            Fault::Unreadable => f.write_str("a frame that can't be read"),
            Fault::Unexpected => f.write_str("a frame that does not belong here"),
            Fault::Gap { applied, after } => {
                write!(f, "a batch after number {after}, the log is applied up to {applied}")
            }
            Fault::Order => f.write_str("numbers that do not count up"),
            Fault::Ahead { claimed, latest } => write!(f, "a watermark of {claimed}, the latest is {latest}"),
            Fault::Regressed => f.write_str("a number from the past"),
            Fault::Replaced => f.write_str("replaced by a newer connection"),
            Fault::Full => f.write_str("no room for another child"),
            Fault::Silent => f.write_str("silent for longer than the lease"),
        }
    }
}

impl std::error::Error for Fault {}

impl Frame {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a whole frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, Fault> {
        if bytes.len() > bounds::FRAME {
            return Err(Fault::TooLong);
        }
        match postcard::take_from_bytes(bytes) {
            Ok((frame, [])) => Ok(frame),
            _ => Err(Fault::Unreadable),
        }
    }
}
