//! A fake fleet instance that answers each call with the next prepared reply.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use serde_json::Value;

/// `Reply` is the reaction of the instance to one call.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Reads the call and closes the connection without an answer.
    Close,
    /// Answers with a status and a body.
    Json(u16, Value),
    /// Answers with a status and a body that may be no JSON.
    Raw(u16, Vec<u8>),
}

/// `Fake` is a running fake instance.
pub(crate) struct Fake {
    pub(crate) address: SocketAddr,
    received: Receiver<String>,
}

impl Fake {
    pub(crate) fn start(replies: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let (sender, received) = channel();
        thread::spawn(move || {
            for reply in replies {
                let (stream, _) = listener.accept().expect("accept");
                serve(stream, &reply, &sender);
            }
        });
        Self { address, received }
    }

    /// Returns the calls received since the previous use, as method and target.
    pub(crate) fn calls(&self) -> Vec<String> {
        self.received.try_iter().collect()
    }
}

fn serve(stream: TcpStream, reply: &Reply, calls: &Sender<String>) {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    let mut request_line = String::new();
    reader.read_line(&mut request_line).expect("request line");
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
    let call = request_line.rsplit_once(' ').map_or("", |(call, _)| call);
    calls.send(call.to_owned()).expect("call");
    let (status, body) = match reply {
        Reply::Close => return,
        Reply::Json(status, value) => (status, value.to_string().into_bytes()),
        Reply::Raw(status, body) => (status, body.clone()),
    };
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    let mut stream = reader.into_inner();
    stream.write_all(head.as_bytes()).expect("answer");
    stream.write_all(&body).expect("answer");
}
