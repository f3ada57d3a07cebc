//! A fake fleet instance that gives one prepared reply after the other.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use serde_json::Value;

/// `Reply` is what the instance does with one call.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Reads the call and closes the connection.
    Close,
    /// Answers with a status and a body.
    Json(u16, Value),
}

pub(crate) struct Fake {
    pub(crate) address: SocketAddr,
    calls: Receiver<String>,
}

impl Fake {
    pub(crate) fn start(replies: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let (sender, calls) = channel();
        thread::spawn(move || {
            for reply in replies {
                let (stream, _) = listener.accept().expect("accept");
                serve(stream, &reply, &sender);
            }
        });
        Self { address, calls }
    }

    /// Gets the calls so far, as method and target.
    pub(crate) fn seen(&self) -> Vec<String> {
        self.calls.try_iter().collect()
    }
}

fn serve(stream: TcpStream, reply: &Reply, calls: &Sender<String>) {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    let mut first = String::new();
    reader.read_line(&mut first).expect("request line");
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("header");
        if line.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().expect("length");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("body");
    let call = first.rsplit_once(' ').map_or("", |(call, _)| call);
    calls.send(call.to_owned()).expect("call");
    if let Reply::Json(status, value) = reply {
        let body = value.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            body.len()
        );
        let mut stream = reader.into_inner();
        stream.write_all((head + &body).as_bytes()).expect("answer");
    }
}
