//! A length field larger than the message must not cause an allocation of that length.
//!
//! The test measures the address space of its process, so it must be the only test in this binary.

use persimmongate_wire::frame::FRAME_MAX_BYTES;
use persimmongate_wire::{frame, log, trace};

/// First bytes of a CBOR byte string, text, array and map whose length field has eight bytes.
const LENGTH_PREFIXES: [u8; 4] = [0x5b, 0x7b, 0x9b, 0xbb];
/// First byte of a CBOR array with one item.
const NESTED_ARRAY: u8 = 0x81;

/// Returns the largest address space that the process has had, in bytes.
fn peak_address_space_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmPeak:"))
        .unwrap();
    let kibibytes: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kibibytes * 1024
}

/// Returns whether any decoder accepts the bytes.
fn is_accepted(bytes: &[u8]) -> bool {
    let decoded = [
        frame::decode(bytes).is_ok(),
        log::decode_batch(bytes).is_ok(),
        log::decode_page(bytes).is_ok(),
        log::decode_record(bytes).is_ok(),
        log::decode_state(bytes).is_ok(),
        trace::decode(bytes).is_ok(),
    ];
    decoded.contains(&true)
}

#[test]
fn verify_excessive_lengths_allocate_no_memory() {
    let before = peak_address_space_bytes();
    for prefix in LENGTH_PREFIXES {
        for length in [1_u64 << 32, 1 << 40, 1 << 60, u64::MAX] {
            let mut oversized = vec![prefix];
            oversized.extend(length.to_be_bytes());
            assert!(!is_accepted(&oversized));
            // The same length inside a field of a `Snapshot` frame.
            let mut snapshot = b"\xa1\x68Snapshot\xa2\x64next\x00\x65state".to_vec();
            snapshot.extend(&oversized);
            assert!(!is_accepted(&snapshot));
            let mut batch = b"\xa1\x67records".to_vec();
            batch.extend(&oversized);
            assert!(!is_accepted(&batch));
        }
    }
    assert!(!is_accepted(&vec![NESTED_ARRAY; FRAME_MAX_BYTES / 64]));
    assert!(
        peak_address_space_bytes() - before < FRAME_MAX_BYTES,
        "{before} {}",
        peak_address_space_bytes()
    );
}
