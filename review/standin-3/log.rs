//! Stand-in of the platform's store: a log with keyed topics, as PROTOCOL.md describes it.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response};
use crate::json::quote;

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Appends of a producer whose repeat gets the first response again.
const REMEMBERED: usize = 5;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    recent: Vec<(u64, String)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    /// Offset of the newest record of each key.
    newest: BTreeMap<String, usize>,
    producers: HashMap<String, Producer>,
}

impl Partition {
    fn push(&mut self, record: Vec<u8>) {
        if let Some((key, value)) = split_key(&record) {
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, self.records.len());
            }
        }
        self.records.push(record);
    }
}

fn split_key(record: &[u8]) -> Option<(String, &[u8])> {
    let size = usize::from(*record.first()?);
    let key = record.get(1..=size)?;
    Some((String::from_utf8_lossy(key).into_owned(), &record[1 + size..]))
}

#[derive(Default)]
pub struct Log {
    partitions: Mutex<HashMap<(String, u64), Partition>>,
    changed: Condvar,
    /// Whether all calls are answered with 503.
    pub is_busy: std::sync::atomic::AtomicBool,
}

impl Log {
    /// Writes a keyed record in the name of the operator or a worker. An empty value deletes the key.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend(key.bytes());
        record.extend(value.bytes());
        let mut partitions = self.partitions.lock().unwrap();
        partitions
            .entry((topic.to_owned(), 0))
            .or_default()
            .push(record);
        self.changed.notify_all();
    }

    pub fn handle(self: &Arc<Self>, request: &Request) -> Response {
        thread::sleep(ANSWER_TIME);
        if self.is_busy.load(std::sync::atomic::Ordering::SeqCst) {
            return Response::new(503, "");
        }
        let topic = request.query.get("Topic").cloned().unwrap_or_default();
        let key = (topic, request.number("part").unwrap_or(0));
        match request.path.as_str() {
            "/log-append" => self.append(key, request),
            "/log-read" => self.read(&key, request),
            "/log-newest" => self.newest(&key, request),
            _ => Response::new(404, ""),
        }
    }

    fn append(&self, key: (String, u64), request: &Request) -> Response {
        if key.0 == "keyed.op" || key.0 == "keyed.servers" {
            return Response::new(403, "");
        }
        let (mut records, mut rest) = (Vec::new(), &request.body[..]);
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some(record) = after.get(..length) else {
                return Response::new(400, "");
            };
            records.push(record.to_vec());
            rest = &after[length..];
        }
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry(key).or_default();
        let (producer, epoch) = (request.query.get("Producer"), request.number("epoch"));
        let sequence = request.number("Sequence").unwrap_or(0);
        if let Some(name) = producer {
            let known = partition.producers.entry(name.clone()).or_default();
            let epoch = epoch.unwrap_or(0);
            if epoch < known.epoch {
                return Response::new(409, "{\"Reason\":\"fenced\"}");
            }
            if epoch == known.epoch {
                if let Some((_, first)) = known.recent.iter().find(|(n, _)| *n == sequence) {
                    return Response::new(200, first.clone());
                }
                let expected = known.last.map_or(sequence, |last| last + 1);
                if sequence != expected {
                    let body = format!("{{\"Reason\":\"seq\",\"Sequence\":{expected}}}");
                    return Response::new(409, body);
                }
            }
        }
        let offset = partition.records.len();
        if request.number("At").is_some_and(|at| at != offset as u64) {
            return Response::new(412, format!("{{\"End\":{offset}}}"));
        }
        for record in records {
            partition.push(record);
        }
        let body = format!(
            "{{\"Offset\":{offset},\"End\":{}}}",
            partition.records.len()
        );
        if let Some(name) = producer {
            let known = partition.producers.entry(name.clone()).or_default();
            let epoch = epoch.unwrap_or(0);
            if epoch > known.epoch {
                *known = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            known.last = Some(sequence);
            known.recent.push((sequence, body.clone()));
            if known.recent.len() > REMEMBERED {
                known.recent.remove(0);
            }
        }
        self.changed.notify_all();
        Response::new(200, body)
    }

    fn read(&self, key: &(String, u64), request: &Request) -> Response {
        let from = usize::try_from(request.number("From").unwrap_or(0)).unwrap_or(0);
        let wait = Duration::from_millis(request.number("WaitMs").unwrap_or(0));
        let max = usize::try_from(request.number("MaxKb").unwrap_or(1_024) * 1_024).unwrap_or(0);
        let until = Instant::now() + wait;
        let mut partitions = self.partitions.lock().unwrap();
        loop {
            let end = partitions.get(key).map_or(0, |p| p.records.len());
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                let records = partitions.get(key).map(|p| &p.records[from.min(end)..]);
                for record in records.into_iter().flatten() {
                    if body.len() + record.len() > max {
                        break;
                    }
                    let length = u32::try_from(record.len()).expect("a short record");
                    body.extend(length.to_be_bytes());
                    body.extend(record);
                }
                return Response::new(200, body);
            }
            partitions = self.changed.wait_timeout(partitions, left).unwrap().0;
        }
    }

    fn newest(&self, key: &(String, u64), request: &Request) -> Response {
        let after = request.query.get("After");
        let partitions = self.partitions.lock().unwrap();
        let empty = Partition::default();
        let partition = partitions.get(key).unwrap_or(&empty);
        let (mut items, mut size, mut has_more) = (Vec::new(), 0, false);
        for (name, offset) in &partition.newest {
            if after.is_some_and(|after| name <= after) {
                continue;
            }
            if items.len() == PAGE_ITEMS || size > PAGE_BYTES {
                has_more = true;
                break;
            }
            let (_, value) = split_key(&partition.records[*offset]).expect("a keyed record");
            let item = format!(
                "{{\"Key\":{},\"Value\":\"{}\",\"Offset\":{offset}}}",
                quote(name),
                base64(value)
            );
            size += item.len();
            items.push(item);
        }
        let body = format!(
            "{{\"items\":[{}],\"HasMore\":{has_more},\"End\":{}}}",
            items.join(","),
            partition.records.len()
        );
        Response::new(200, body)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            out.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
