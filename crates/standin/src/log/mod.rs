//! The platform's log service: append-only streams with limited retention and fault injection.

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

/// Maximum number of records in one page.
const PAGE_MAX_RECORDS: usize = 1024;

/// Maximum size of the records in one page. A single larger record gets a page of its own.
const PAGE_MAX_RECORD_BYTES: usize = 16 * 1024 * 1024;

/// `Store` is the in-memory storage of the log's streams.
#[derive(Debug)]
pub struct Store {
    main: Records,
    snapshots: Records,
    /// Maximum number of records retained in each stream.
    retention: usize,
    fault: faults::Log,
    /// Dropped on each append and each change of the fault, which ends the waiting reads.
    waiters: Vec<oneshot::Sender<()>>,
}

/// `Records` is the retained part of one stream.
#[derive(Debug, Default)]
struct Records {
    earliest_offset: ids::Offset,
    entries: VecDeque<Entry>,
}

impl Records {
    fn trim(&mut self, retention: usize) {
        while self.entries.len() > retention {
            self.entries.pop_front();
            self.earliest_offset += 1;
        }
    }

    fn end_offset(&self) -> ids::Offset {
        self.earliest_offset + self.entries.len() as u64
    }

    fn page_from(&self, start_offset: ids::Offset) -> Page {
        let skipped = start_offset.saturating_sub(self.earliest_offset);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let mut page_bytes = 0;
        let fits_page = |entry: &&Entry| {
            let is_first = page_bytes == 0;
            page_bytes += entry.record.len();
            is_first || page_bytes <= PAGE_MAX_RECORD_BYTES
        };
        let entries = self
            .entries
            .iter()
            .skip(skipped)
            .take(PAGE_MAX_RECORDS)
            .take_while(fits_page);
        Page {
            earliest_offset: self.earliest_offset,
            end_offset: self.end_offset(),
            entries: entries.cloned().collect(),
        }
    }
}

impl Store {
    /// Creates an empty log that retains at most `retention` records per stream.
    #[must_use]
    pub fn new(retention: usize) -> Self {
        Self {
            main: Records::default(),
            snapshots: Records::default(),
            retention,
            fault: faults::Log::Up,
            waiters: Vec::new(),
        }
    }

    fn records_mut(&mut self, stream: Stream) -> &mut Records {
        match stream {
            Stream::Main => &mut self.main,
            Stream::Snapshots => &mut self.snapshots,
        }
    }
}

impl Actor for Store {
    type Context = Context<Self>;
}

/// `Append` is a command to append a batch; the result is the offset of its first record.
#[derive(Debug, Message)]
#[rtype(result = "ids::Offset")]
pub struct Append(pub Stream, pub Batch);

impl Handler<Append> for Store {
    type Result = MessageResult<Append>;

    fn handle(&mut self, Append(stream, batch): Append, _: &mut Self::Context) -> Self::Result {
        // The platform stamps records with its wall clock. No decision of the system depends on it.
        let since_epoch = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let unix_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        let retention = self.retention;
        let records = self.records_mut(stream);
        let first_offset = records.end_offset();
        for (offset, record) in (first_offset..).zip(batch.records) {
            records.entries.push_back(Entry {
                offset,
                unix_ms,
                record,
            });
        }
        records.trim(retention);
        self.waiters.clear();
        MessageResult(first_offset)
    }
}

/// `Read` is a query for a page. If there is nothing to read, the result is a receiver that
/// resolves at the next append or when the fault changes.
#[derive(Debug, Message)]
#[rtype(result = "Result<Page, oneshot::Receiver<()>>")]
pub struct Read {
    /// Stream to read.
    pub stream: Stream,
    /// Offset of the first record to return.
    pub start_offset: ids::Offset,
    /// Whether an empty page is returned, rather than a receiver, when there is nothing to read.
    pub accepts_empty: bool,
}

impl Handler<Read> for Store {
    type Result = MessageResult<Read>;

    fn handle(&mut self, read: Read, _: &mut Self::Context) -> Self::Result {
        let records = self.records_mut(read.stream);
        if read.start_offset >= records.end_offset() && !read.accepts_empty {
            let (sender, receiver) = oneshot::channel();
            self.waiters.push(sender);
            return MessageResult(Err(receiver));
        }
        MessageResult(Ok(records.page_from(read.start_offset)))
    }
}

/// `SetFault` is a command to set how the log behaves.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct SetFault(pub faults::Log);

impl Handler<SetFault> for Store {
    type Result = ();

    fn handle(&mut self, SetFault(fault): SetFault, _: &mut Self::Context) {
        self.fault = fault;
        self.waiters.clear();
    }
}

/// `SetRetention` is a command to set the maximum number of records retained in each stream.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct SetRetention(pub usize);

impl Handler<SetRetention> for Store {
    type Result = ();

    fn handle(&mut self, SetRetention(retention): SetRetention, _: &mut Self::Context) {
        self.retention = retention;
        self.main.trim(retention);
        self.snapshots.trim(retention);
    }
}

/// `GetFault` is a query for how the log behaves.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "faults::Log")]
pub struct GetFault;

impl Handler<GetFault> for Store {
    type Result = MessageResult<GetFault>;

    fn handle(&mut self, _: GetFault, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.fault)
    }
}

/// Registers the routes of the log.
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
    let fault = store.send(GetFault).await.unwrap_or_default();
    if fault == faults::Log::Down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    actix_rt::time::sleep(fault.delay()).await;
    match store.send(Append(*stream, batch)).await {
        Ok(_) if fault == faults::Log::Unanswered => HttpResponse::GatewayTimeout().finish(),
        Ok(first_offset) => HttpResponse::Ok().json(Appended { first_offset }),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// `ReadParameters` is the query string of a read.
#[derive(Clone, Copy, Debug, Deserialize)]
struct ReadParameters {
    #[serde(rename = "from")]
    start_offset: ids::Offset,
    #[serde(default, rename = "wait_ms")]
    max_wait_ms: u64,
}

async fn read(
    store: Data<Addr<Store>>,
    stream: Path<Stream>,
    parameters: Query<ReadParameters>,
) -> impl Responder {
    let fault = store.send(GetFault).await.unwrap_or_default();
    actix_rt::time::sleep(fault.delay()).await;
    let mut accepts_empty = false;
    loop {
        let result = store
            .send(Read {
                stream: *stream,
                start_offset: parameters.start_offset,
                accepts_empty,
            })
            .await;
        // The fault is checked after each wait, so that an outage also fails the waiting reads.
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
            Ok(Err(wakeup)) => {
                let wakeup =
                    actix_rt::time::timeout(Duration::from_millis(parameters.max_wait_ms), wakeup);
                // Reads again both after a time-out and after a wake-up.
                let _ = wakeup.await;
                accepts_empty = true;
            }
            Err(_) => return HttpResponse::ServiceUnavailable().finish(),
        }
    }
}
