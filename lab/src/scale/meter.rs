//! Counts what processes send, receive and compute while it is on, with what a frame costs on the wire.

use std::time::{Duration, Instant};

/// Bytes that head a message of the exchange: its length and kind.
pub const EXCHANGE_HEAD: u64 = 5;
/// A byte in each piece of a frame says whether it is the last.
pub const PIECE_FLAG: u64 = 1;
/// What TLS 1.3 adds to a record: head, kind and tag.
pub const TLS_RECORD: u64 = 22;
/// Heads of IP and TCP of a segment, without options.
pub const SEGMENT_HEAD: u64 = 40;
/// Bytes that a segment carries.
pub const SEGMENT_PAYLOAD: u64 = 1448;
/// An acknowledgement on its own.
pub const ACKNOWLEDGEMENT: u64 = 40;
/// Segments that one acknowledgement stands for.
pub const SEGMENTS_AN_ACKNOWLEDGEMENT: u64 = 2;
/// What a child sends and receives for a connection with TLS 1.3 and certificates of both sides; assumed.
pub const HANDSHAKE_UP: u64 = 2_300;
/// See [`HANDSHAKE_UP`].
pub const HANDSHAKE_DOWN: u64 = 2_700;

/// What a message of the exchange or the coordinator is on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnWire {
    /// Bytes that its sender sends.
    pub bytes: u64,
    /// Bytes of acknowledgements that its receiver sends.
    pub acknowledgements: u64,
}

fn segmented(stream_bytes: u64) -> OnWire {
    let segments = stream_bytes.div_ceil(SEGMENT_PAYLOAD).max(1);
    OnWire {
        bytes: stream_bytes + segments * SEGMENT_HEAD,
        acknowledgements: segments * ACKNOWLEDGEMENT / SEGMENTS_AN_ACKNOWLEDGEMENT,
    }
}

/// A frame of so many bytes in so many pieces, over the exchange's TLS.
pub fn exchange_frame(frame_bytes: u64, pieces: u64) -> OnWire {
    segmented(frame_bytes + pieces * (EXCHANGE_HEAD + PIECE_FLAG + TLS_RECORD))
}

/// An event of the coordinator's feed, which goes without TLS, each in a packet of its own.
pub fn feed_event(bytes: u64) -> OnWire {
    segmented(bytes)
}

/// What one process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Frames sent.
    pub sent_messages: u64,
    /// Bytes of these frames, encoded.
    pub sent_frame_bytes: u64,
    /// With all that the wire adds, acknowledgements among it.
    pub sent_bytes: u64,
    /// Frames received.
    pub received_messages: u64,
    /// Bytes of these frames.
    pub received_frame_bytes: u64,
    /// As `sent_bytes`.
    pub received_bytes: u64,
    /// Real time spent in decoding, in the core and in encoding.
    pub processor: Duration,
}

/// See the module's text.
#[derive(Debug, Default)]
pub struct Meter {
    on: bool,
    usage: Vec<Usage>,
}

impl Meter {
    /// For so many processes; off at first.
    pub fn new(processes: usize) -> Self {
        Self { on: false, usage: vec![Usage::default(); processes] }
    }

    /// Counts from now on.
    pub fn start(&mut self) {
        self.on = true;
    }

    /// Counts no more.
    pub fn stop(&mut self) {
        self.on = false;
    }

    /// What each process has used.
    pub fn usage(&self) -> &[Usage] {
        &self.usage
    }

    /// A process sends a frame.
    pub fn sent(&mut self, process: usize, frame_bytes: usize, wire: OnWire) {
        if self.on {
            let usage = &mut self.usage[process];
            usage.sent_messages += 1;
            usage.sent_frame_bytes += frame_bytes as u64;
            usage.sent_bytes += wire.bytes;
            usage.received_bytes += wire.acknowledgements;
        }
    }

    /// A process receives a frame.
    pub fn received(&mut self, process: usize, frame_bytes: usize, wire: OnWire) {
        if self.on {
            let usage = &mut self.usage[process];
            usage.received_messages += 1;
            usage.received_frame_bytes += frame_bytes as u64;
            usage.received_bytes += wire.bytes;
            usage.sent_bytes += wire.acknowledgements;
        }
    }

    /// A child has made a connection.
    pub fn handshake(&mut self, child: usize, parent: usize) {
        if self.on {
            self.usage[child].sent_bytes += HANDSHAKE_UP;
            self.usage[parent].received_bytes += HANDSHAKE_UP;
            self.usage[child].received_bytes += HANDSHAKE_DOWN;
            self.usage[parent].sent_bytes += HANDSHAKE_DOWN;
        }
    }

    /// A process computes.
    pub fn time<T>(&mut self, process: usize, work: impl FnOnce() -> T) -> T {
        if !self.on {
            return work();
        }
        let began = Instant::now();
        let done = work();
        self.usage[process].processor += began.elapsed();
        done
    }
}
