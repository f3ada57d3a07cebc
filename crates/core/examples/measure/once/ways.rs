//! Three ways to run a key at most once, as small models over the same filings.

use std::time::Duration;

use persimmongate_core::map::Map;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::sim::percent;
use crate::table::Table;

/// Entry hosts.
const ENTRIES: usize = 9;
/// Filings in a second over all entry hosts, as of kuiseb at half its slots.
const RATE: f64 = 560.0;
/// Length of a run: an hour with the log up and an hour with it down.
const HOUR_S: f64 = 3600.0;
/// One way between entry hosts, in seconds.
const BETWEEN_S: f64 = 0.001;
/// One way to callers, in seconds.
const CALLER_S: f64 = 0.003;
/// Shortest and longest append, in seconds.
const APPEND_S: (f64, f64) = (0.005, 0.015);
/// Time between two losses of an entry host, in seconds.
const LOSS_S: f64 = 600.0;
/// Time for which a lost entry host is away, in seconds.
const AWAY_S: f64 = 10.0;
/// Share of the callers that send a key again.
const RESENDS: f64 = 0.01;
/// Longest time until then, in seconds.
const RESEND_S: f64 = 30.0;
/// Furthest that a caller's clock is ahead, in seconds.
const SKEW_S: f64 = 2.0;

/// `Way` tells who decides whether a key may run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Log,
    Ticket,
    Owner,
}

/// `Sum` adds up what a way did.
#[derive(Debug, Default)]
struct Sum {
    filings: [u64; 2],
    refused: [u64; 2],
    unknown: u64,
    second: u64,
    appends: u64,
    added: f64,
    added_max: f64,
}

/// Prints a line for each way.
pub(super) fn print(seed: u64) {
    let mut table = Table::new(&[
        "way",
        "added ms, mean",
        "added ms, most",
        "appends/s",
        "refused, log up",
        "refused, log down 1 h",
        "unknown",
        "second runs",
    ]);
    for (name, way) in [
        ("claim in the log, in batches", Way::Log),
        ("ticket of its issuer", Way::Ticket),
        ("owner by rendezvous and epoch", Way::Owner),
    ] {
        let sum = Model::new(way, seed).run();
        let filings = sum.filings[0] + sum.filings[1];
        #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
        let (mean, appends) = (
            sum.added * 1000.0 / sum.filings[0].max(1) as f64,
            sum.appends as f64 / HOUR_S,
        );
        table.add(vec![
            name.to_owned(),
            format!("{mean:.1}"),
            format!("{:.1}", sum.added_max * 1000.0),
            format!("{appends:.1}"),
            percent(sum.refused[0], sum.filings[0]),
            percent(sum.refused[1], sum.filings[1]),
            percent(sum.unknown, filings),
            sum.second.to_string(),
        ]);
    }
    table.print();
}

/// `Model` is a run of one way.
struct Model {
    way: Way,
    rng: ChaCha8Rng,
    sum: Sum,
    /// End of the append under way and of the next one, by entry host.
    appends: [(f64, f64); ENTRIES],
    /// Start of the latest run of each entry host, and when it is back.
    starts: [(f64, f64); ENTRIES],
    /// Time stamp and first run of keys that are sent again.
    ran: Map<u64, (f64, f64)>,
}

impl Model {
    fn new(way: Way, seed: u64) -> Self {
        Self {
            way,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sum: Sum::default(),
            appends: [(0.0, 0.0); ENTRIES],
            starts: [(0.0, 0.0); ENTRIES],
            ran: Map::default(),
        }
    }

    fn run(mut self) -> Sum {
        let mut now = 0.0;
        let mut loss = LOSS_S;
        let mut again: Vec<(f64, u64)> = Vec::new();
        let mut key = 0;
        while now < 2.0 * HOUR_S {
            now += -(1.0 - self.rng.random::<f64>()).ln() / RATE;
            if now > loss {
                let entry = self.rng.random_range(0..ENTRIES);
                self.starts[entry] = (now, now + AWAY_S);
                // The others append the change of the epoch.
                self.sum.appends += u64::from(self.way == Way::Owner && now < HOUR_S);
                loss += LOSS_S;
            }
            key += 1;
            let resent = self.rng.random::<f64>() < RESENDS;
            let made = now + self.rng.random_range(0.0..SKEW_S);
            let ran = self.file(now, key, made, None);
            if resent {
                if ran {
                    self.ran.insert(key, (made, now));
                }
                again.push((now + self.rng.random_range(0.0..RESEND_S), key));
            }
            let due = again.extract_if(.., |(at, _)| *at <= now);
            let due: Vec<(f64, u64)> = due.collect();
            for (_, key) in due {
                if let Some((made, first)) = self.ran.get(&key).copied() {
                    self.file(now, key, made, Some(first));
                }
            }
        }
        self.sum
    }

    /// Files a key once; returns whether it ran.
    fn file(&mut self, now: f64, key: u64, made: f64, first: Option<f64>) -> bool {
        let again = first.is_some();
        let down = now > HOUR_S;
        let entry = self.rng.random_range(0..ENTRIES);
        let decider = usize::try_from(key).unwrap_or(0) % ENTRIES;
        let (started, back) = self.starts[decider];
        self.sum.filings[usize::from(down)] += 1;
        let forward = if entry == decider {
            0.0
        } else {
            2.0 * BETWEEN_S
        };
        match self.way {
            Way::Log if down => self.refuse(down),
            // A ticket lives and dies with its issuer; what it decided is lost then.
            Way::Log | Way::Ticket if again => self.doubt(),
            Way::Log => {
                let added = self.append(now, entry);
                self.note(down, added)
            }
            Way::Ticket => self.note(down, 2.0 * CALLER_S + forward),
            // Without the log nobody may take over the keys of a lost owner.
            Way::Owner if now < back => self.refuse(down),
            Way::Owner if made < started => self.doubt(),
            // A new run of the owner takes a key that claims to be made after its start for new.
            Way::Owner if first.is_some_and(|first| first < started) => {
                self.sum.second += 1;
                true
            }
            Way::Owner if again => self.doubt(),
            Way::Owner => self.note(down, forward),
        }
    }

    fn refuse(&mut self, down: bool) -> bool {
        self.sum.refused[usize::from(down)] += 1;
        false
    }

    fn doubt(&mut self) -> bool {
        self.sum.unknown += 1;
        false
    }

    fn note(&mut self, down: bool, added: f64) -> bool {
        if !down {
            self.sum.added += added;
            self.sum.added_max = self.sum.added_max.max(added);
        }
        true
    }

    /// Puts a key into the next append of an entry host and returns the time until its verdict.
    fn append(&mut self, now: f64, entry: usize) -> f64 {
        let took = self.rng.random_range(APPEND_S.0..APPEND_S.1);
        let (under_way, next) = self.appends[entry];
        let end = if now >= next {
            // Nothing is under way.
            self.sum.appends += 1;
            self.appends[entry] = (now + took, now + took);
            now + took
        } else if next > under_way {
            // The next append waits already and takes this key too.
            next
        } else {
            self.sum.appends += 1;
            self.appends[entry] = (under_way, under_way + took);
            under_way + took
        };
        let own = self.appends[entry];
        if now >= own.0 && own.1 > own.0 {
            self.appends[entry] = (own.1, own.1);
        }
        end - now + Duration::from_millis(1).as_secs_f64()
    }
}
