//! A donor's plan: whom to serve, how fast, and when others are to come back. Its clients go first.

use std::collections::BTreeMap;

use crate::{InstanceId, Micros, mix};

/// Sent at a time; what one newcomer more may delay a client by is the time to write so much.
pub const CHUNK: usize = 16 * 1024;
/// Saved up at most, in chunks.
const BURST: f64 = 2.0;
/// While clients have requests waiting, a chunk is put off for so long, so many times; then it goes: a donor
/// that is always busy must still end what it began.
const PUT_OFF: Micros = 5_000;
const PUT_OFF_MOST: u32 = 20;
/// Shortest advice.
const SHORTEST: Micros = 50_000;

/// A donor's transfers.
#[derive(Clone, Debug)]
pub struct Giving {
    /// Bytes a microsecond.
    rate: f64,
    most: usize,
    /// Bytes that transfers have left.
    out: BTreeMap<u64, Transfer>,
    next: u64,
    tokens: f64,
    at: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Transfer {
    left: usize,
    put_off: u32,
}

impl Giving {
    /// Gives so many bytes a second, to so many newcomers at a time.
    pub fn new(rate: u64, most: usize) -> Self {
        let rate = rate.max(1) as f64 / 1e6;
        Self { rate, most, out: BTreeMap::new(), next: 0, tokens: BURST * CHUNK as f64, at: 0 }
    }

    /// Other bounds from now on; transfers that run go on.
    pub fn set(&mut self, rate: u64, most: usize) {
        (self.rate, self.most) = (rate.max(1) as f64 / 1e6, most);
    }

    /// Whether another newcomer is served now; else after how long it may come back, spread so that those told
    /// don't come together.
    pub fn admit(&self, who: InstanceId, now: Micros) -> Result<(), Micros> {
        if self.out.len() < self.most {
            return Ok(());
        }
        let left: usize = self.out.values().map(|t| t.left).sum();
        let span = ((left as f64 / self.rate) as Micros).max(SHORTEST);
        Err(span + mix(who.0 ^ now) % span)
    }

    /// A transfer of so many bytes begins; its number.
    pub fn begin(&mut self, bytes: usize) -> u64 {
        self.next += 1;
        self.out.insert(self.next, Transfer { left: bytes, put_off: 0 });
        self.next
    }

    /// Whether so many bytes of a transfer may be written now; else after how long to ask again. `busy`: clients
    /// have requests waiting.
    pub fn may_write(&mut self, transfer: u64, bytes: usize, busy: bool, now: Micros) -> Result<(), Micros> {
        let earned = now.saturating_sub(self.at) as f64 * self.rate;
        self.tokens = (self.tokens + earned).min(BURST * CHUNK as f64);
        self.at = now;
        let Some(t) = self.out.get_mut(&transfer) else { return Ok(()) };
        if busy && t.put_off < PUT_OFF_MOST {
            t.put_off += 1;
            return Err(PUT_OFF);
        }
        // More than can be saved up is owed afterwards, else it could never go.
        let needed = (bytes as f64).min(BURST * CHUNK as f64);
        if self.tokens < needed {
            return Err(((needed - self.tokens) / self.rate).ceil() as Micros);
        }
        self.tokens -= bytes as f64;
        t.left = t.left.saturating_sub(bytes);
        t.put_off = 0;
        Ok(())
    }

    /// A transfer ended, whole or not.
    pub fn end(&mut self, transfer: u64) {
        self.out.remove(&transfer);
    }
}
