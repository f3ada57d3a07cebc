//! HTTP/1.1 server and client for the stand-ins, a thread for each connection.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            body: body.into(),
        }
    }
}

pub type Handler = Arc<dyn Fn(&Request) -> Response + Send + Sync>;

/// `Server` is a listener that can go down with all of its connections and come up again at its address.
pub struct Server {
    pub address: SocketAddr,
    is_up: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    handler: Handler,
}

impl Server {
    pub fn start(handler: Handler) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            is_up: Arc::new(AtomicBool::new(true)),
            connections: Arc::default(),
            handler,
        };
        server.accept(listener);
        server
    }

    fn accept(&self, listener: TcpListener) {
        let (is_up, connections) = (self.is_up.clone(), self.connections.clone());
        let handler = self.handler.clone();
        listener.set_nonblocking(true).expect("a socket option");
        thread::spawn(move || {
            while is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(clone) = stream.try_clone() {
                            connections.lock().unwrap().push(clone);
                        }
                        let (handler, is_up) = (handler.clone(), is_up.clone());
                        let _ = thread::Builder::new()
                            .stack_size(512 * 1024)
                            .spawn(move || serve(stream, &handler, &is_up));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Closes the listener and all connections, as the end of the process would.
    pub fn take_down(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    pub fn bring_up(&self) {
        for _ in 0..200 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                self.is_up.store(true, Ordering::SeqCst);
                self.accept(listener);
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("cannot bind {} again", self.address);
    }
}

fn serve(stream: TcpStream, handler: &Handler, is_up: &AtomicBool) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let response = handler(&request);
        if !is_up.load(Ordering::SeqCst) {
            return;
        }
        let mut out = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        )
        .into_bytes();
        out.extend(response.body);
        if writer.write_all(&out).is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &HashMap<String, String>) -> Option<Vec<u8>> {
    let length = headers.get("content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), unescape(value)));
    let query = query.collect();
    let body = read_body(reader, &headers)?;
    Some(Request {
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                out.push(byte);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes a call on a connection of its own. Returns the status and the body, or `None` without an answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\nX-Deadline-Ms: {}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
