//! Rendezvous hashing: adding or removing one item changes the order of no others,
//! and so moves only what that item gains or loses.

/// Rank of an item for `key`; the same in every process and version.
pub(crate) fn rank(item: &str, key: u64) -> u64 {
    splitmix64(fnv1a(item) ^ key)
}

/// 64-bit FNV-1a hash.
fn fnv1a(text: &str) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in text.bytes() {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash
}

/// The output function of SplitMix64, so that similar inputs get unrelated
/// ranks.
fn splitmix64(input: u64) -> u64 {
    let mut mixed = input.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
