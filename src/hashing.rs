//! Hash functions that give the same results at every director and after every restart.

/// Mixes the bits of a number (the finaliser of splitmix64).
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Maps a number to a pseudo-random value in the range 0 (inclusive) to 1 (exclusive).
pub fn unit_interval(x: u64) -> f64 {
    (mix(x) >> 11) as f64 / (1u64 << 53) as f64
}

/// Hash of a string: FNV-1a with its bits mixed.
pub fn hash(text: &str) -> u64 {
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)))
}
