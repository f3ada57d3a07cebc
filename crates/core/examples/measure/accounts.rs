//! Cost of a configuration's client accounts: their directory, and finding the account of a key.

use std::hint::black_box;
use std::time::Instant;

use bytes::Bytes;
use persimmongate_core::account::{Account, Directory, Key, Limit};

use crate::table::Table;

/// Numbers of accounts that are measured.
const SIZES: [usize; 3] = [20, 120, 1_200];
/// Number of keys of an account.
const KEYS: usize = 2;
/// Number of look-ups of each kind.
const LOOKUPS: u32 = 200_000;

/// Prints the times for some numbers of accounts.
pub(crate) fn run() -> bool {
    let columns = [
        "accounts",
        "directory ms",
        "known key ns",
        "unknown key ns",
        "known but its last byte ns",
    ];
    let mut table = Table::new(&columns);
    for size in SIZES {
        let accounts: Vec<Account> = (0..size).map(account).collect();
        let started_at = Instant::now();
        let directory = Directory::new(accounts);
        let build = started_at.elapsed();
        let keys = ["k", "x"].map(|start| key(start, size / 2, 0));
        let near = key_of(format!("{}z", &text("k", size / 2, 0)[..19]));
        let [known, unknown] = keys;
        let keys = [known, unknown, near].into_iter().flatten();
        let times = keys.map(|key| lookup_ns(&directory, &key));
        let mut row = vec![
            size.to_string(),
            format!("{:.2}", build.as_secs_f64() * 1e3),
        ];
        row.extend(times.map(|time| format!("{time:.0}")));
        table.add(row);
    }
    table.print();
    true
}

fn account(number: usize) -> Account {
    Account {
        name: format!("account-{number}").into(),
        keys: (0..KEYS)
            .filter_map(|index| key("k", number, index))
            .collect(),
        weight: 1.0,
        limit: Limit::default(),
    }
}

/// Returns the text of a key, of 20 bytes.
fn text(start: &str, account: usize, index: usize) -> String {
    format!("{start}{account:015}-{index:03}")
}

fn key(start: &str, account: usize, index: usize) -> Option<Key> {
    key_of(text(start, account, index))
}

fn key_of(text: String) -> Option<Key> {
    Key::try_from(Bytes::from(text)).ok()
}

/// Returns the mean time of a look-up, in nanoseconds.
fn lookup_ns(directory: &Directory, key: &Key) -> f64 {
    let started_at = Instant::now();
    for _ in 0..LOOKUPS {
        black_box(directory.authenticate(black_box(key)));
    }
    started_at.elapsed().as_secs_f64() * 1e9 / f64::from(LOOKUPS)
}
