//! The bounds that follow from the memory of a process leave room for the process itself.

use millford_bounded_io::MemoryLimit;
use quickcheck::QuickCheck;

/// Fixed buffers of one exchange, in bytes.
const EXCHANGE_BYTES: usize = 80 * 1024;

#[test]
fn all_bounds_of_a_proxy_together_stay_within_the_memory() {
    fn fit(megabytes: u16) -> bool {
        let limit = MemoryLimit::of_megabytes(u64::from(megabytes.max(32)));
        let connections = limit.max_connections() * EXCHANGE_BYTES;
        let held = limit.caller_body_bytes() + limit.buffer_bytes();
        let memory = usize::from(megabytes.max(32)) << 20;
        connections + held <= memory / 16 * 13
    }
    QuickCheck::new().quickcheck(fit as fn(u16) -> bool);
}

#[test]
fn a_frame_takes_at_most_half_of_the_room_for_frames() {
    let limit = MemoryLimit::of_megabytes(256);
    assert_eq!(limit.frame_bytes(), 64 << 20);
    assert_eq!(limit.max_frame_bytes(), 32 << 20);
}
