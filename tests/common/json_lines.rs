//! JSON-lines connections, exchanges and a coordinator whose messages the test sends one by one.
#![allow(dead_code)]

use super::{config, temp_file, wait_until, Program, TEST_TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Session description with non-ASCII, control and escaped characters, which must be forwarded unchanged.
pub const SESSION_DESCRIPTION: &str =
    "v=0\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\na=x:\u{e9}\u{1}\"\\/\r\n";

/// One end of a JSON-lines connection.
pub struct JsonConnection {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
    /// Periodic status reports on this connection stop when this is dropped.
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
    /// Returns the next message for this call and discards the messages for others.
    pub fn receive_for(&mut self, sid: &str) -> Value {
        loop {
            let message = self.receive();
            if message["sid"] == sid {
                return message;
            }
        }
    }
    /// Asserts that no message arrives within `duration`.
    pub fn assert_silent_for(&mut self, duration: Duration) {
        self.stream.set_read_timeout(Some(duration)).unwrap();
        let mut byte = [0];
        let result = self.reader.read(&mut byte);
        assert!(result.is_err(), "expected no message, got {result:?} {byte:?}");
        self.stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    }
    /// Whether the peer closes or resets the connection without sending anything more.
    pub fn closes_silently(&mut self) -> bool {
        let mut rest = Vec::new();
        let result = self.reader.read_to_end(&mut rest);
        let closed = result.is_ok() || result.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset);
        closed && rest.is_empty()
    }
}

/// Set-up of a call to an exchange, with the client's remaining time (ms).
pub fn open_message(sid: &str, destination: u16, remaining_ms: u32) -> Value {
    let extras = format!("dest:{destination};width:1;via:-1");
    json!({"msg": "open", "sid": sid, "text": SESSION_DESCRIPTION, "attrs": {"class": "status-report",
        "left": remaining_ms.to_string(), "key": "7f3a9c21e0b4d655", "extras": extras}})
}

/// Release or refusal of a call.
pub fn close_message(sid: &str, code: u16) -> Value {
    json!({"msg": "close", "sid": sid, "attrs": {}, "code": code})
}

/// The identifier of call `number` on the wire.
pub fn sid(number: u32) -> String {
    format!("{number:016x}")
}

/// An exchange in the coordinator's list.
pub fn member(id: &str, address: SocketAddr, cell: u16, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "dakar-plateau", "flavor": "single-core",
        "cell": cell, "phase": phase, "size": 1, "up_since_ms": 0})
}

/// An update of the coordinator's list: the whole list if `complete`, else its changes.
pub fn list_update(index: u64, complete: bool, members: &[Value]) -> Value {
    json!({"index": index, "endpoints": {"revision": index, "complete": complete, "members": members}})
}

/// A listener on a free loopback port.
pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// An exchange's status report: 20 of 20 circuits are free.
pub const STATUS_MESSAGE: &str =
    "{\"msg\":\"status\",\"sid\":\"\",\"attrs\":{\"load\":\"x0:20;x1:20;latency_ms:-1;qps:-1\"}}\n";

/// An exchange's status report: 2,000 of 2,000 circuits are free.
pub const MANY_CIRCUITS_STATUS_MESSAGE: &str =
    "{\"msg\":\"status\",\"sid\":\"\",\"attrs\":{\"load\":\"x0:2000;x1:2000;latency_ms:-1;qps:-1\"}}\n";

/// Accepts a connection as an exchange that sends the initial status report and no other.
pub fn accept_reporting_once(listener: &TcpListener) -> JsonConnection {
    let mut connection = JsonConnection::new(listener.accept().unwrap().0);
    connection.send_bytes(STATUS_MESSAGE.as_bytes());
    connection
}

/// Accepts a connection as an exchange that sends status reports periodically, as exchanges with calls do.
pub fn accept_reporting(listener: &TcpListener) -> JsonConnection {
    let connection = accept_reporting_once(listener);
    report_periodically(&connection);
    connection
}

/// Sends status reports on the connection until it fails or its `reporting` is dropped.
pub fn report_periodically(connection: &JsonConnection) {
    let (reporting, mut stream) =
        (Arc::downgrade(&connection.reporting), connection.stream.try_clone().unwrap());
    std::thread::spawn(move || {
        while reporting.strong_count() > 0 && stream.write_all(STATUS_MESSAGE.as_bytes()).is_ok() {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
}

/// Starts the program with these exchanges in its list, numbered from 1, and waits until each has reported.
/// Returns the program, its address for callers and the exchanges' ends of the connections.
pub fn start_program(
    exchanges: &[&TcpListener],
    overrides: Value,
) -> (Program, SocketAddr, Vec<JsonConnection>) {
    start_program_with(accept_reporting, exchanges, overrides)
}

/// Like [`start_program`], but accepts each exchange's connection with `accept`.
pub fn start_program_with(
    accept: fn(&TcpListener) -> JsonConnection,
    exchanges: &[&TcpListener],
    overrides: Value,
) -> (Program, SocketAddr, Vec<JsonConnection>) {
    let members: Vec<Value> = (1..)
        .zip(exchanges)
        .map(|(i, listener)| member(&format!("s-{i}"), listener.local_addr().unwrap(), i, "up"))
        .collect();
    let mut config = config(json!({"known": {"index": 3, "updates": [list_update(3, true, &members)]}}));
    overrides.as_object().unwrap().iter().for_each(|(key, value)| config[key] = value.clone());
    let program = Program::start(&[("--config", &temp_file("config.json", &config.to_string()))], &[]);
    let callers = program.listen_address("callers");
    let connections = exchanges.iter().copied().map(accept).collect();
    let mut prober = JsonConnection::connect(callers);
    // A probe succeeds once every exchange has reported.
    wait_until("a probe succeeds", || {
        prober.send(json!({"msg": "probe", "sid": sid(1), "attrs": {}, "code": 0}));
        (prober.receive_for(&sid(1))["code"] == 1).then_some(())
    });
    (program, callers, connections)
}

/// The coordinator's end of an event stream connection.
pub struct CoordinatorStream {
    pub stream: TcpStream,
    pub last_event_id: String,
}

impl CoordinatorStream {
    /// Accepts a request for the event stream and starts the response.
    pub fn accept(listener: &TcpListener) -> CoordinatorStream {
        let mut stream = CoordinatorStream::accept_unanswered(listener);
        stream.send_response_head();
        stream
    }

    /// Accepts a request for the event stream and sends no response yet.
    pub fn accept_unanswered(listener: &TcpListener) -> CoordinatorStream {
        let stream = listener.accept().unwrap().0;
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

    /// Sends the response head and an event; fails if the program has closed the connection.
    pub fn try_send_response(&mut self, update: &Value) -> std::io::Result<()> {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        write!(self.stream, "{head}id: {}\ndata: {update}\n\n", update["index"])
    }

    pub fn send_event(&mut self, update: &Value) {
        self.send_raw_event(update["index"].as_u64().unwrap(), &update.to_string());
    }

    pub fn send_raw_event(&mut self, index: u64, data: &str) {
        write!(self.stream, "id: {index}\ndata: {data}\n\n").unwrap();
    }
}
