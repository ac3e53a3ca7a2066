//! Whitening of log bytes, so that written bytes can be told from a lost sector.
//!
//! A lost sector reads as zeros, and recovery treats zeros in the last batch as a torn write. For
//! that to be safe, bytes that were written must not read as zeros. Log bytes are therefore
//! combined (XOR) with a fixed pseudo-random stream that depends on their offset: a word of eight
//! zero bytes is written only by chance, with a probability of 2^-64.

/// Bytes per word of the stream. Records are padded to a multiple of it.
pub(crate) const WORD_BYTES: usize = 8;

/// Increment of the splitmix64 generator (Steele, Lea and Flood, 2014).
const SPLITMIX64_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Whitens `bytes`, which are stored at `offset` of their segment, or reverses the whitening.
///
/// `offset` must be a multiple of [`WORD_BYTES`].
pub(crate) fn apply(offset: usize, bytes: &mut [u8]) {
    debug_assert!(offset.is_multiple_of(WORD_BYTES));
    let first_word = (offset / WORD_BYTES) as u64;
    for (word, chunk) in (first_word..).zip(bytes.chunks_mut(WORD_BYTES)) {
        let mask = word_mask(word).to_le_bytes();
        for (byte, mask_byte) in chunk.iter_mut().zip(mask) {
            *byte ^= mask_byte;
        }
    }
}

fn word_mask(word: u64) -> u64 {
    let mut value = word.wrapping_add(1).wrapping_mul(SPLITMIX64_INCREMENT);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
