//! JSON-lines connections, exchanges and a coordinator that a test drives by hand.
#![allow(dead_code)]

use super::{config, temp_file, wait_until, Program, TEST_TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub const SESSION_DESCRIPTION: &str =
    "v=0\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\na=x:\u{e9}\u{1}\"\\/\r\n";

/// One end of a JSON-lines connection.
pub struct JsonConnection {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
    /// While this is there, whoever reports of itself on the stream goes on.
    pub reporting: Arc<()>,
}

impl JsonConnection {
    pub fn new(stream: TcpStream) -> JsonConnection {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        JsonConnection {
            reader: BufReader::new(stream.try_clone().unwrap()),
            stream,
            reporting: Arc::new(()),
        }
    }
    pub fn connect(address: SocketAddr) -> JsonConnection {
        JsonConnection::new(TcpStream::connect(address).unwrap())
    }
    pub fn send(&mut self, message: Value) {
        self.send_bytes(format!("{message}\n").as_bytes());
    }
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }
    pub fn receive(&mut self) -> Value {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line:?}: {e}"))
    }
    /// The next message about this call.
    pub fn receive_for(&mut self, sid: &str) -> Value {
        loop {
            let got = self.receive();
            if got["sid"] == sid {
                return got;
            }
        }
    }
    pub fn assert_silent_for(&mut self, span: Duration) {
        self.stream.set_read_timeout(Some(span)).unwrap();
        let mut byte = [0];
        let got = self.reader.read(&mut byte);
        assert!(got.is_err(), "{got:?} {byte:?} where nothing was due");
        self.stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    }
    /// Waits for the connection's end, with nothing more said before it.
    pub fn closes_silently(&mut self) -> bool {
        let mut rest = Vec::new();
        let end = self.reader.read_to_end(&mut rest);
        let over = end.is_ok() || end.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset);
        over && rest.is_empty()
    }
}

pub fn open_message(sid: &str, to: u16, left: u32) -> Value {
    let extras = format!("dest:{to};width:1;via:-1");
    json!({"msg": "open", "sid": sid, "text": SESSION_DESCRIPTION, "attrs": {"class": "status-report",
        "left": left.to_string(), "key": "7f3a9c21e0b4d655", "extras": extras}})
}

pub fn close_message(sid: &str, code: u16) -> Value {
    json!({"msg": "close", "sid": sid, "attrs": {}, "code": code})
}

pub fn sid(n: u32) -> String {
    format!("{n:016x}")
}

pub fn member(id: &str, at: SocketAddr, cell: u16, phase: &str) -> Value {
    json!({"id": id, "host_port": at.to_string(), "locality": "dakar-plateau", "flavor": "single-core",
        "cell": cell, "phase": phase, "size": 1, "up_since_ms": 0})
}

pub fn list_update(index: u64, complete: bool, members: &[Value]) -> Value {
    json!({"index": index, "endpoints": {"revision": index, "complete": complete, "members": members}})
}

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

pub const STATUS_MESSAGE: &str =
    "{\"msg\":\"status\",\"sid\":\"\",\"attrs\":{\"load\":\"x0:20;x1:20;latency_ms:-1;qps:-1\"}}\n";

/// An exchange that takes one connection and tells of its group, as exchanges do first of all, and no more.
pub fn accept_reporting_once(listener: &TcpListener) -> JsonConnection {
    let mut line = JsonConnection::new(listener.accept().unwrap().0);
    line.send_bytes(STATUS_MESSAGE.as_bytes());
    line
}

/// One that goes on to tell of its group, as exchanges with calls do.
pub fn accept_reporting(listener: &TcpListener) -> JsonConnection {
    let line = accept_reporting_once(listener);
    report_periodically(&line);
    line
}

/// Tells of the group on this connection for as long as it is there.
pub fn report_periodically(line: &JsonConnection) {
    let (here, mut stream) = (Arc::downgrade(&line.reporting), line.stream.try_clone().unwrap());
    std::thread::spawn(move || {
        while here.strong_count() > 0 && stream.write_all(STATUS_MESSAGE.as_bytes()).is_ok() {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
}

/// The program with these exchanges known, each connected.
pub fn start_program(exchanges: &[&TcpListener], more: Value) -> (Program, SocketAddr, Vec<JsonConnection>) {
    start_program_with(accept_reporting, exchanges, more)
}

pub fn start_program_with(
    accept: fn(&TcpListener) -> JsonConnection,
    exchanges: &[&TcpListener],
    more: Value,
) -> (Program, SocketAddr, Vec<JsonConnection>) {
    let members: Vec<Value> = (1..)
        .zip(exchanges)
        .map(|(i, l)| member(&format!("s-{i}"), l.local_addr().unwrap(), i, "up"))
        .collect();
    let mut all = config(json!({"known": {"index": 3, "updates": [list_update(3, true, &members)]}}));
    more.as_object().unwrap().iter().for_each(|(k, v)| all[k] = v.clone());
    let program = Program::start(&[("--config", &temp_file("config.json", &all.to_string()))], &[]);
    let callers = program.listen_address("callers");
    let lines = exchanges.iter().copied().map(accept).collect();
    let mut test = JsonConnection::connect(callers);
    // The test passes once every exchange has been heard of.
    wait_until("the test passes", || {
        test.send(json!({"msg": "probe", "sid": sid(1), "attrs": {}, "code": 0}));
        (test.receive_for(&sid(1))["code"] == 1).then_some(())
    });
    (program, callers, lines)
}

/// One connection of the coordinator's stream.
pub struct CoordinatorStream {
    pub stream: TcpStream,
    pub last_event_id: String,
}

impl CoordinatorStream {
    pub fn accept(feed: &TcpListener) -> CoordinatorStream {
        let mut asked = CoordinatorStream::accept_unanswered(feed);
        asked.send_response_head();
        asked
    }

    /// One that was asked for the stream and has not answered.
    pub fn accept_unanswered(feed: &TcpListener) -> CoordinatorStream {
        let stream = feed.accept().unwrap().0;
        let mut lines = BufReader::new(stream.try_clone().unwrap()).lines().map_while(Result::ok);
        assert_eq!(lines.next().unwrap(), "GET /v2/stream HTTP/1.1");
        let head: Vec<String> = lines.take_while(|l| !l.is_empty()).collect();
        let last_event_id = head.iter().find_map(|l| l.strip_prefix("Last-Event-ID: ")).unwrap().to_owned();
        CoordinatorStream { stream, last_event_id }
    }

    pub fn send_response_head(&mut self) {
        let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n";
        self.stream.write_all(head).unwrap();
    }

    pub fn send_event(&mut self, update: &Value) {
        self.send_raw_event(update["index"].as_u64().unwrap(), &update.to_string());
    }

    pub fn send_raw_event(&mut self, index: u64, data: &str) {
        write!(self.stream, "id: {index}\ndata: {data}\n\n").unwrap();
    }
}
