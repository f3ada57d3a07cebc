//! Lengths that lie cost no memory; the only test of its process, which it measures.

use persimmongate_wire::frame::FRAME_MAX_BYTES;
use persimmongate_wire::{frame, log, trace};

/// First bytes of a byte string, a text, an array and a map with a length of eight bytes.
const LONG: [u8; 4] = [0x5b, 0x7b, 0x9b, 0xbb];
/// First byte of an array with one item.
const NESTED: u8 = 0x81;

/// Gets the most address space that the process has had, in bytes.
fn peak() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmPeak:"))
        .unwrap();
    let kibibytes: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kibibytes * 1024
}

fn decode_all(bytes: &[u8]) -> bool {
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
fn verify_lying_lengths_cost_no_memory() {
    let before = peak();
    for lead in LONG {
        for length in [1_u64 << 32, 1 << 40, 1 << 60, u64::MAX] {
            let mut long = vec![lead];
            long.extend(length.to_be_bytes());
            assert!(!decode_all(&long));
            // The same behind the name of a variant and of its field.
            let mut inside = b"\xa1\x68Snapshot\xa2\x64next\x00\x65state".to_vec();
            inside.extend(&long);
            assert!(!decode_all(&inside));
            let mut batch = b"\xa1\x67records".to_vec();
            batch.extend(&long);
            assert!(!decode_all(&batch));
        }
    }
    assert!(!decode_all(&vec![NESTED; FRAME_MAX_BYTES / 64]));
    assert!(peak() - before < FRAME_MAX_BYTES, "{before} {}", peak());
}
