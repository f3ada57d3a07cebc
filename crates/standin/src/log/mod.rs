//! The platform's log: an append-only list with offsets, limited retention and faults.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use actix::{Actor, Addr, Context, Handler, Message, MessageResult};
use actix_web::web::{self, Bytes, Data, Path, PayloadConfig, Query, ServiceConfig};
use actix_web::{HttpResponse, Responder};
use persimmongate_core::ids;
use persimmongate_wire::log::{
    Batch, Entry, PAGE_MAX_BYTES, Page, Stream, decode_batch, encode_page,
};
use persimmongate_wire::platform::Appended;
use serde::Deserialize;
use tokio::sync::oneshot;

use crate::faults;

/// Records in one page, at most.
const PAGE_ITEMS: usize = 1024;

/// Bytes of the records in one page, at most, unless one record alone is longer.
const PAGE_BYTES: usize = 16 * 1024 * 1024;

/// `Store` holds the streams.
#[derive(Debug)]
pub struct Store {
    main: Records,
    snapshots: Records,
    /// Records kept in each stream, at most.
    retention: usize,
    faults: faults::Log,
    waiters: Vec<oneshot::Sender<()>>,
}

/// `Records` holds the records of one stream.
#[derive(Debug, Default)]
struct Records {
    earliest: ids::Offset,
    items: VecDeque<Entry>,
}

impl Records {
    fn trim(&mut self, retention: usize) {
        while self.items.len() > retention {
            self.items.pop_front();
            self.earliest += 1;
        }
    }

    fn end(&self) -> ids::Offset {
        self.earliest + self.items.len() as u64
    }

    fn page(&self, from: ids::Offset) -> Page {
        let skip = from.saturating_sub(self.earliest);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let fits = |item: &&Entry| {
            let first = bytes == 0;
            bytes += item.record.len();
            first || bytes <= PAGE_BYTES
        };
        let items = self
            .items
            .iter()
            .skip(skip)
            .take(PAGE_ITEMS)
            .take_while(fits);
        Page {
            earliest_offset: self.earliest,
            end_offset: self.end(),
            entries: items.cloned().collect(),
        }
    }
}

impl Store {
    /// Makes an empty log that keeps a number of records.
    #[must_use]
    pub fn new(retention: usize) -> Self {
        Self {
            main: Records::default(),
            snapshots: Records::default(),
            retention,
            faults: faults::Log::Up,
            waiters: Vec::new(),
        }
    }

    fn records(&mut self, stream: Stream) -> &mut Records {
        match stream {
            Stream::Main => &mut self.main,
            Stream::Snapshots => &mut self.snapshots,
        }
    }
}

impl Actor for Store {
    type Context = Context<Self>;
}

/// `Append` adds a batch and gets the offset of its first record.
#[derive(Debug, Message)]
#[rtype(result = "ids::Offset")]
pub struct Append(pub Stream, pub Batch);

impl Handler<Append> for Store {
    type Result = MessageResult<Append>;

    fn handle(&mut self, Append(stream, batch): Append, _: &mut Self::Context) -> Self::Result {
        // The platform stamps records with its wall clock; no decision of the system reads one.
        let since = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let at = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        let retention = self.retention;
        let records = self.records(stream);
        let first = records.end();
        for (offset, record) in (first..).zip(batch.records) {
            records.items.push_back(Entry {
                offset,
                unix_ms: at,
                record,
            });
        }
        records.trim(retention);
        self.waiters.clear();
        MessageResult(first)
    }
}

/// `Read` gets a page, or a receiver that ends when there is something to read.
#[derive(Debug, Message)]
#[rtype(result = "Result<Page, oneshot::Receiver<()>>")]
pub struct Read {
    /// Stream to read.
    pub stream: Stream,
    /// Offset of the first record wanted.
    pub start_offset: ids::Offset,
    /// Whether an empty page is wanted rather than a wait.
    pub accepts_empty: bool,
}

impl Handler<Read> for Store {
    type Result = MessageResult<Read>;

    fn handle(&mut self, read: Read, _: &mut Self::Context) -> Self::Result {
        let records = self.records(read.stream);
        if read.start_offset >= records.end() && !read.accepts_empty {
            let (sender, receiver) = oneshot::channel();
            self.waiters.push(sender);
            return MessageResult(Err(receiver));
        }
        MessageResult(Ok(records.page(read.start_offset)))
    }
}

/// `SetFault` sets the faults of the log.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct SetFault(pub faults::Log);

impl Handler<SetFault> for Store {
    type Result = ();

    fn handle(&mut self, SetFault(faults): SetFault, _: &mut Self::Context) {
        self.faults = faults;
        self.waiters.clear();
    }
}

/// `SetRetention` sets the number of records kept.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct SetRetention(pub usize);

impl Handler<SetRetention> for Store {
    type Result = ();

    fn handle(&mut self, SetRetention(records): SetRetention, _: &mut Self::Context) {
        self.retention = records;
        self.main.trim(records);
        self.snapshots.trim(records);
    }
}

/// `GetFault` gets the faults of the log.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "faults::Log")]
pub struct GetFault;

impl Handler<GetFault> for Store {
    type Result = MessageResult<GetFault>;

    fn handle(&mut self, _: GetFault, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.faults)
    }
}

/// Adds the routes of the log.
pub fn configure(config: &mut ServiceConfig) {
    config
        .app_data(PayloadConfig::new(PAGE_MAX_BYTES))
        .route("/log/{stream}/append", web::post().to(append))
        .route("/log/{stream}/read", web::get().to(read));
}

async fn append(store: Data<Addr<Store>>, stream: Path<Stream>, body: Bytes) -> impl Responder {
    let Ok(batch) = decode_batch(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let faults = store.send(GetFault).await.unwrap_or_default();
    if faults == faults::Log::Down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    actix_rt::time::sleep(faults.delay()).await;
    match store.send(Append(*stream, batch)).await {
        Ok(_) if faults == faults::Log::Unanswered => HttpResponse::GatewayTimeout().finish(),
        Ok(first) => HttpResponse::Ok().json(Appended {
            first_offset: first,
        }),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// `Range` is the query of a read.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Range {
    from: ids::Offset,
    #[serde(default)]
    wait_ms: u64,
}

async fn read(
    store: Data<Addr<Store>>,
    stream: Path<Stream>,
    range: Query<Range>,
) -> impl Responder {
    let faults = store.send(GetFault).await.unwrap_or_default();
    actix_rt::time::sleep(faults.delay()).await;
    let mut now = false;
    loop {
        let result = store
            .send(Read {
                stream: *stream,
                start_offset: range.from,
                accepts_empty: now,
            })
            .await;
        // An outage also ends the reads that wait.
        if store.send(GetFault).await.unwrap_or_default() == faults::Log::Down {
            return HttpResponse::ServiceUnavailable().finish();
        }
        match result {
            Ok(Ok(page)) => {
                return match encode_page(&page) {
                    Ok(bytes) => HttpResponse::Ok().body(bytes),
                    Err(_) => HttpResponse::InternalServerError().finish(),
                };
            }
            Ok(Err(wait)) => {
                let wait = actix_rt::time::timeout(Duration::from_millis(range.wait_ms), wait);
                // Both an end of the wait and a new record lead to another look.
                let _ = wait.await;
                now = true;
            }
            Err(_) => return HttpResponse::ServiceUnavailable().finish(),
        }
    }
}
