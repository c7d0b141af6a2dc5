//! Shared parts of the cases: the record, the controller process, a caller, an exchange and an MGCP gateway.

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Whether the case runs with its disruption; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

// ---- The record ----

/// Everything that was sent, answered and run, with the time since the start of the case in milliseconds.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        Record { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path).expect("record"))) }
    }

    pub fn add(&self, text: &str) {
        let at = self.start.elapsed().as_micros() as f64 / 1000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>10.1} {}", text.trim_end().replace("\r\n", " | "));
    }
}

/// Ends the case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn finish(record: &Record, controller: Option<Controller>, result: Result<Vec<String>, String>) -> ! {
    drop(controller);
    let code = match result {
        Ok(violations) if violations.is_empty() => {
            record.add("RESULT: the rule held");
            println!("the rule held");
            0
        }
        Ok(violations) => {
            for v in &violations {
                record.add(&format!("VIOLATION: {v}"));
                println!("violation: {v}");
            }
            record.add(&format!("RESULT: the rule was broken {} times", violations.len()));
            1
        }
        Err(reason) => {
            record.add(&format!("RESULT: the case could not run: {reason}"));
            println!("could not run: {reason}");
            2
        }
    };
    std::process::exit(code);
}

// ---- The controller ----

/// A private folder, removed when the case ends.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let name = format!("walnuthatch-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("temporary folder");
        Folder(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("file");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A controller process, started by the command `run` of the deploy file from the root of the repository.
pub struct Controller {
    child: Child,
    record: Record,
}

impl Controller {
    /// `arguments` are appended to the command; `config` becomes ROUTER_CONFIG.
    pub fn start(record: &Record, folder: &Folder, arguments: &str, config: Option<&PathBuf>) -> Controller {
        let run = std::env::var("RUN_COMMAND").expect("RUN_COMMAND");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{run} {arguments}"));
        command.current_dir(std::env::var("ROOT").expect("ROOT"));
        command.env("TMPDIR", &folder.0).env_remove("ROUTER_CONFIG").env_remove("WALNUTHATCH_LOG");
        if let Some(config) = config {
            command.env("ROUTER_CONFIG", config);
        }
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("controller");
        record.add(&format!("controller: started, process {}", child.id()));
        if let Ok(path) = std::env::var("PIDS") {
            let file = fs::OpenOptions::new().append(true).open(path);
            let _ = file.and_then(|mut f| writeln!(f, "{}", child.id()));
        }
        let streams: [Box<dyn std::io::Read + Send>; 2] =
            [Box::new(child.stdout.take().unwrap()), Box::new(child.stderr.take().unwrap())];
        for stream in streams {
            let record = record.clone();
            std::thread::spawn(move || {
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    record.add(&format!("controller log: {line}"));
                }
            });
        }
        Controller { child, record: record.clone() }
    }

    pub fn signal(&mut self, name: &str) {
        self.record.add(&format!("controller: SIG{name} to process {}", self.child.id()));
        let _ = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
    }

    /// Waits for the end of the process; false if it still runs after this time.
    pub fn wait_for_exit(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record.add(&format!("controller: process {} ended, {status}", self.child.id()));
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn kill(&mut self) {
        self.record.add(&format!("controller: SIGKILL to process {}", self.child.id()));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A loopback address that nobody uses now.
pub fn free_tcp_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn free_udp_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

// ---- JSON lines ----

/// The string at a key of a message, unescaped; the messages of the protocol are flat enough for this.
pub fn field(line: &str, key: &str) -> Option<String> {
    let at = line.find(&format!("\"{key}\":\""))? + key.len() + 4;
    let mut out = String::new();
    let mut chars = line[at..].chars();
    loop {
        match chars.next()? {
            '"' => return Some(out),
            '\\' => match chars.next()? {
                'n' => out.push('\n'),
                'r' => out.push('\r'),
                't' => out.push('\t'),
                'u' => {
                    let code: String = chars.by_ref().take(4).collect();
                    out.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?)?);
                }
                c => out.push(c),
            },
            c => out.push(c),
        }
    }
}

pub fn code(line: &str) -> Option<u16> {
    let at = line.find("\"code\":")? + 7;
    let digits: String = line[at..].trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                out.push('\\');
                out.push(c);
            }
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            c => out.push(c),
        }
    }
    out + "\""
}

pub fn description(owner: &str, port: u32) -> String {
    format!("v=0\r\no=- {owner} 1 IN IP4 127.0.0.1\r\nc=IN IP4 127.0.0.1\r\nm=audio {port} RTP/AVP 0 8\r\n")
}

// ---- Callers ----

/// What a caller's side has heard, by sid: every message for it with its time.
#[derive(Default)]
pub struct Heard {
    pub by_sid: BTreeMap<String, Vec<(Instant, String)>>,
    pub probes_passed: u32,
}

/// A client of the controller: one connection at a time, opened again when it has been closed.
pub struct Caller {
    address: SocketAddr,
    record: Record,
    stream: Option<TcpStream>,
    open: Arc<AtomicBool>,
    pub heard: Arc<Mutex<Heard>>,
    next: u64,
}

impl Caller {
    pub fn new(record: &Record, address: SocketAddr) -> Caller {
        let open = Arc::new(AtomicBool::new(false));
        let next = u64::from(std::process::id()) << 32 | 0x9b00_0000_0000_0000;
        Caller { address, record: record.clone(), stream: None, open, heard: Arc::default(), next }
    }

    /// Connects unless a connection is open; false if nobody listens.
    pub fn connect(&mut self) -> bool {
        if self.stream.is_some() && self.open.load(Ordering::SeqCst) {
            return true;
        }
        let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(300)) else {
            return false;
        };
        let _ = stream.set_nodelay(true);
        let open = Arc::new(AtomicBool::new(true));
        self.open = open.clone();
        let (reader, heard, record) = (stream.try_clone().unwrap(), self.heard.clone(), self.record.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(reader).lines().map_while(Result::ok) {
                let mut heard = heard.lock().unwrap();
                if line.contains("\"msg\":\"probed\"") {
                    heard.probes_passed += u32::from(code(&line) == Some(1));
                    continue;
                }
                record.add(&format!("caller heard: {line}"));
                let sid = field(&line, "sid").unwrap_or_default();
                heard.by_sid.entry(sid).or_default().push((Instant::now(), line));
            }
            open.store(false, Ordering::SeqCst);
        });
        self.stream = Some(stream);
        true
    }

    pub fn send(&mut self, line: &str) -> bool {
        if !self.connect() {
            return false;
        }
        let sent = self.stream.as_mut().is_some_and(|s| s.write_all(format!("{line}\n").as_bytes()).is_ok());
        if !sent {
            self.stream = None;
        }
        sent
    }

    /// Waits until a test of the controller has passed.
    pub fn wait_until_ready(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let before = self.heard.lock().unwrap().probes_passed;
        while Instant::now() < until {
            self.send("{\"msg\":\"probe\",\"sid\":\"00000000000000aa\",\"attrs\":{},\"code\":0}");
            std::thread::sleep(Duration::from_millis(50));
            if self.heard.lock().unwrap().probes_passed > before {
                return true;
            }
        }
        false
    }

    /// Sends a set-up for an exchange and returns its sid and description.
    pub fn set_up(&mut self, class: &str, left_ms: u32, destination: u16) -> (String, String) {
        self.next += 1;
        let sid = format!("{:016x}", self.next);
        let text = description(&sid, 30_000);
        let line = format!(
            "{{\"msg\":\"open\",\"sid\":\"{sid}\",\"attrs\":{{\"class\":\"{class}\",\"left\":\"{left_ms}\",\
             \"key\":\"7f3a9c21e0b4d655\",\"extras\":\"dest:{destination};width:1;via:-1\"}},\"text\":{}}}",
            quote(&text)
        );
        self.record.add(&format!("caller sends: set-up {sid} for exchange {destination}, left {left_ms} ms"));
        self.send(&line);
        (sid, text)
    }

    pub fn release(&mut self, sid: &str) {
        self.record.add(&format!("caller sends: release of {sid}"));
        self.send(&format!("{{\"msg\":\"close\",\"sid\":\"{sid}\",\"attrs\":{{}},\"code\":16}}"));
    }

    pub fn confirm(&mut self, sid: &str) {
        self.send(&format!("{{\"msg\":\"closed\",\"sid\":\"{sid}\",\"attrs\":{{}}}}"));
    }

    /// The messages heard for a sid so far.
    pub fn messages(&self, sid: &str) -> Vec<(Instant, String)> {
        self.heard.lock().unwrap().by_sid.get(sid).cloned().unwrap_or_default()
    }

    /// The first message for a sid, the final answer.
    pub fn wait_for_answer(&self, sid: &str, limit: Duration) -> Option<String> {
        let until = Instant::now() + limit;
        loop {
            if let Some(first) = self.messages(sid).first() {
                return Some(first.1.clone());
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

// ---- An exchange ----

#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeCall {
    Open,
    Stands,
}

pub struct ExchangeState {
    pub total: u32,
    pub calls: HashMap<String, ExchangeCall>,
    pub set_ups: Vec<(Instant, String)>,
}

/// An exchange with a number of circuits that answers each set-up after a short time and holds each call until it is
/// released. It reports its group first on each connection, and whenever it changes.
pub struct Exchange {
    pub address: SocketAddr,
    pub state: Arc<Mutex<ExchangeState>>,
}

impl Exchange {
    pub fn start(record: &Record, name: &'static str, total: u32, delay: Duration) -> Exchange {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = ExchangeState { total, calls: HashMap::new(), set_ups: Vec::new() };
        let state = Arc::new(Mutex::new(state));
        let (record, shared) = (record.clone(), state.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (record, shared) = (record.clone(), shared.clone());
                std::thread::spawn(move || serve_exchange(stream, name, &record, &shared, delay));
            }
        });
        Exchange { address, state }
    }

    pub fn standing(&self) -> usize {
        self.state.lock().unwrap().calls.values().filter(|c| **c == ExchangeCall::Stands).count()
    }
}

fn load(state: &ExchangeState) -> String {
    let free = state.total.saturating_sub(state.calls.len() as u32);
    format!("x0:{free};x1:{};latency_ms:5;qps:200", state.total)
}

fn serve_exchange(
    stream: TcpStream,
    name: &'static str,
    record: &Record,
    shared: &Arc<Mutex<ExchangeState>>,
    delay: Duration,
) {
    let _ = stream.set_nodelay(true);
    let out = Arc::new(Mutex::new(stream.try_clone().unwrap()));
    let send = move |line: String| {
        let _ = out.lock().unwrap().write_all(format!("{line}\n").as_bytes());
    };
    let status = |state: &ExchangeState| {
        format!("{{\"msg\":\"status\",\"sid\":\"\",\"attrs\":{{\"load\":\"{}\"}}}}", load(state))
    };
    send(status(&shared.lock().unwrap()));
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let sid = field(&line, "sid").unwrap_or_default();
        match field(&line, "msg").as_deref() {
            Some("open") => {
                record.add(&format!("{name} got: set-up {sid}"));
                let mut state = shared.lock().unwrap();
                state.set_ups.push((Instant::now(), sid.clone()));
                if state.calls.len() as u32 >= state.total {
                    let load = load(&state);
                    record.add(&format!("{name} sends: refusal of {sid}, no circuit"));
                    send(format!(
                        "{{\"msg\":\"close\",\"sid\":\"{sid}\",\"attrs\":{{\"note\":\"no_path\",\"load\":\"{load}\"}},\"code\":34}}"
                    ));
                    continue;
                }
                state.calls.insert(sid.clone(), ExchangeCall::Open);
                send(status(&state));
                drop(state);
                let (shared, send, record) = (shared.clone(), send.clone(), record.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    let mut state = shared.lock().unwrap();
                    let Some(call) = state.calls.get_mut(&sid) else { return };
                    *call = ExchangeCall::Stands;
                    let text = description(name, 40_000);
                    record.add(&format!("{name} sends: answer to {sid}"));
                    send(format!(
                        "{{\"msg\":\"ready\",\"sid\":\"{sid}\",\"attrs\":{{}},\"text\":{}}}",
                        quote(&text)
                    ));
                });
            }
            Some("close") => {
                record.add(&format!("{name} got: release of {sid}"));
                let mut state = shared.lock().unwrap();
                state.calls.remove(&sid);
                send(format!("{{\"msg\":\"closed\",\"sid\":\"{sid}\",\"attrs\":{{}}}}"));
                send(status(&state));
            }
            Some("probe") => {
                let load = load(&shared.lock().unwrap());
                send(format!(
                    "{{\"msg\":\"probed\",\"sid\":\"{sid}\",\"attrs\":{{\"load\":\"{load}\"}},\"code\":1}}"
                ));
            }
            _ => {}
        }
    }
}

// ---- A gateway ----

/// A connection at an endpoint.
#[derive(Clone, Debug)]
pub struct Connection {
    pub call_id: String,
    pub id: String,
    /// The session description that came with CRCX.
    pub remote: String,
    /// The session description that the gateway gave.
    pub local: String,
}

#[derive(Default)]
pub struct GatewayState {
    pub connections: BTreeMap<String, Vec<Connection>>,
    /// Every CRCX that was executed.
    pub created: Vec<(Instant, String, Connection)>,
    /// Every connection that was deleted.
    pub deleted: Vec<(Instant, String, Connection)>,
    /// Commands answered from the history, by their text.
    pub repeated: Vec<(Instant, String)>,
    /// Responses by transaction, kept for 30 s (T-HIST of RFC 3435).
    history: HashMap<(SocketAddr, u32), (Instant, String)>,
    request_ids: BTreeMap<String, String>,
}

/// A gateway after RFC 3435 for devices without a hook: the response to CRCX answers the call. A command whose
/// transaction identifier it has answered within the last 30 s is not executed, and gets the same response again
/// (section 3.5.1).
pub struct Gateway {
    pub address: SocketAddr,
    pub name: &'static str,
    pub state: Arc<Mutex<GatewayState>>,
    socket: UdpSocket,
    agent: Arc<Mutex<Option<SocketAddr>>>,
    answered: Arc<Mutex<Vec<u32>>>,
    next: AtomicU32,
    record: Record,
}

impl Gateway {
    pub fn start(record: &Record, name: &'static str) -> Gateway {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let state: Arc<Mutex<GatewayState>> = Arc::default();
        let agent: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        let answered: Arc<Mutex<Vec<u32>>> = Arc::default();
        let (s, a, d, r) = (state.clone(), agent.clone(), answered.clone(), record.clone());
        let reader = socket.try_clone().unwrap();
        std::thread::spawn(move || {
            let mut buffer = [0; 16_384];
            while let Ok((n, from)) = reader.recv_from(&mut buffer) {
                let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
                *a.lock().unwrap() = Some(from);
                if text.starts_with(|c: char| c.is_ascii_digit()) {
                    let id: Option<u32> = text.split_whitespace().nth(1).and_then(|w| w.parse().ok());
                    d.lock().unwrap().extend(id);
                } else if let Some(response) = execute(&r, name, &s, from, &text) {
                    let _ = reader.send_to(response.as_bytes(), from);
                }
            }
        });
        let next = AtomicU32::new(1000 + std::process::id() % 1000);
        Gateway { address, name, state, socket, agent, answered, next, record: record.clone() }
    }

    /// Sends a command until it is answered, at most five times.
    pub fn command(&self, verb: &str, endpoint: &str, params: &str) -> bool {
        let Some(agent) = *self.agent.lock().unwrap() else { return false };
        let id = self.next.fetch_add(1, Ordering::SeqCst);
        let text = format!("{verb} {id} {endpoint}@{} MGCP 1.0\r\n{params}", self.name);
        self.record.add(&format!("{} sends: {text}", self.name));
        for _ in 0..5 {
            let _ = self.socket.send_to(text.as_bytes(), agent);
            for _ in 0..20 {
                std::thread::sleep(Duration::from_millis(10));
                if self.answered.lock().unwrap().contains(&id) {
                    return true;
                }
            }
        }
        false
    }
}

static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

fn execute(
    record: &Record,
    name: &str,
    state: &Arc<Mutex<GatewayState>>,
    from: SocketAddr,
    text: &str,
) -> Option<String> {
    let mut state = state.lock().unwrap();
    let mut words = text.lines().next()?.split_whitespace();
    let verb = words.next()?.to_owned();
    let id: u32 = words.next()?.parse().ok()?;
    let endpoint = words.next()?.split('@').next()?.to_owned();
    let head = text.split("\r\n\r\n").next().unwrap_or("");
    let param = |key: &str| head.lines().find_map(|l| l.strip_prefix(&format!("{key}: "))).map(str::to_owned);
    let remote = text.split_once("\r\n\r\n").map_or(String::new(), |t| t.1.to_owned());
    let now = Instant::now();
    state.history.retain(|_, h| now - h.0 < Duration::from_secs(30));
    if let Some((_, response)) = state.history.get(&(from, id)) {
        let response = response.clone();
        record.add(&format!("{name} got: {text}"));
        record.add(&format!("{name} knows this transaction and repeats: {response}"));
        state.repeated.push((now, text.to_owned()));
        return Some(response);
    }
    record.add(&format!("{name} got: {text}"));
    let response = match verb.as_str() {
        "CRCX" => {
            let n = NEXT_CONNECTION.fetch_add(1, Ordering::SeqCst);
            let connection = Connection {
                call_id: param("C").unwrap_or_default(),
                id: format!("{n:x}"),
                remote,
                local: description(&format!("{name}-{n}"), 50_000 + n as u32),
            };
            let response = format!("200 {id} OK\r\nI: {}\r\n\r\n{}", connection.id, connection.local);
            state.connections.entry(endpoint.clone()).or_default().push(connection.clone());
            state.created.push((now, endpoint, connection));
            response
        }
        "DLCX" => {
            let (call_id, wanted) = (param("C"), param("I"));
            let matches = |c: &Connection| {
                call_id.as_ref().is_none_or(|x| x.eq_ignore_ascii_case(&c.call_id))
                    && wanted.as_ref().is_none_or(|x| x.eq_ignore_ascii_case(&c.id))
            };
            let at = state.connections.entry(endpoint.clone()).or_default();
            let (gone, kept): (Vec<_>, Vec<_>) = at.drain(..).partition(matches);
            *at = kept;
            let found = !gone.is_empty() || call_id.is_none();
            state.deleted.extend(gone.into_iter().map(|c| (now, endpoint.clone(), c)));
            if found {
                format!("250 {id} OK\r\n")
            } else {
                format!("516 {id} Unknown call-id\r\n")
            }
        }
        "RQNT" => {
            state.request_ids.insert(endpoint, param("X").unwrap_or_default());
            format!("200 {id} OK\r\n")
        }
        _ => format!("200 {id} OK\r\n"),
    };
    record.add(&format!("{name} sends: {response}"));
    state.history.insert((from, id), (now, response.clone()));
    Some(response)
}

// ---- Configuration ----

/// Settings like those of a small deployment; all figures are those of the users' pages.
pub fn settings(class_hold_ms: u32) -> String {
    format!(
        "{{\"classes\":[{{\"name\":\"status-report\",\"aim\":1200.0,\"giveUp\":9000.0,\"effect\":\"retryable\",\
         \"lateWorth\":0.25,\"worth\":1.0,\"stream\":true}}],\
         \"extra\":{{\"ownExchange\":0,\"release\":500.0,\"shape\":\"meshed\",\"routeAdvice\":false,\
         \"classHold\":[{class_hold_ms}.0],\"classWidth\":[1],\"farReports\":\"answers\",\"resend\":800.0}},\
         \"limits\":{{\"tryLimit\":4,\"mayCancel\":true,\"mayProbe\":true,\"maxRetryAfter\":2000.0,\
         \"connectTimeout\":500.0,\"connIdle\":600000.0,\"openCap\":20000,\"peers\":false}},\
         \"report\":{{\"how\":\"answers\",\"fields\":[\"spare\",\"total\",\"avg_ms\",\"allowed\"]}},\
         \"rules\":{{\"stopSendingWithin\":250.0,\"cold\":15000.0,\"coldFrom\":0.35,\"fall\":2000.0,\
         \"overloadFactor\":2.5,\"answerSlack\":20.0,\"mustAskIn\":10000.0}},\
         \"failureDomains\":[\"dakar-plateau\"],\"membershipMode\":\"pushed\",\"siblings\":1,\"rank\":0,\
         \"tick\":5.0}}"
    )
}

/// The list entry of an exchange.
pub fn member(id: &str, address: SocketAddr, cell: u16) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"dakar-plateau\",\"flavor\":\"single-core\",\
         \"cell\":{cell},\"phase\":\"up\",\"size\":1,\"up_since_ms\":0}}"
    )
}

/// The file that ROUTER_CONFIG names.
pub fn router_config(listen: SocketAddr, seed: &str, members: &[String], class_hold_ms: u32) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",{seed}\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"known\":{{\"index\":1,\"updates\":[{{\"index\":1,\"endpoints\":{{\"revision\":1,\"complete\":true,\
         \"members\":[{}]}}}}]}},\"settings\":{}}}",
        members.join(","),
        settings(class_hold_ms)
    )
}

/// The operators' gateway file.
pub fn mgcp_file(listen: SocketAddr, gateway: &Gateway, exchange: u16, endpoints: u32) -> String {
    let names: Vec<String> = (1..=endpoints).map(|n| format!("\"lamp/{n}\"")).collect();
    format!(
        "enabled = true\nlisten = \"{listen}\"\nclass = \"status-report\"\npatience_ms = 3000\ndigits = 4\n\
         [[gateway]]\nname = \"{}\"\naddress = \"{}\"\nexchange = {exchange}\nprefix = \"1\"\nendpoints = [{}]\n\
         answered_by = \"connection\"\n",
        gateway.name,
        gateway.address,
        names.join(", ")
    )
}

// ---- The coordinator ----

pub struct CoordinatorState {
    /// The events so far, by number from 1.
    pub events: Vec<(Instant, String)>,
}

/// The coordinator: a stream of server-sent events that begins after the event that the client names, with a comment
/// every second. The head of each response comes after `delay`.
pub struct Coordinator {
    pub address: SocketAddr,
    pub state: Arc<Mutex<CoordinatorState>>,
}

impl Coordinator {
    pub fn start(record: &Record, first: String, delay: Duration) -> Coordinator {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(CoordinatorState { events: vec![(Instant::now(), first)] }));
        let (shared, record) = (state.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (shared, record) = (shared.clone(), record.clone());
                std::thread::spawn(move || serve_events(stream, &shared, &record, delay));
            }
        });
        Coordinator { address, state }
    }

    pub fn add(&self, record: &Record, event: String) -> Instant {
        record.add(&format!("coordinator has: {event}"));
        let now = Instant::now();
        self.state.lock().unwrap().events.push((now, event));
        now
    }
}

fn serve_events(
    mut stream: TcpStream,
    shared: &Arc<Mutex<CoordinatorState>>,
    record: &Record,
    delay: Duration,
) {
    let mut last = 0;
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|n| n > 0) && !line.trim().is_empty() {
        if let Some(id) = line.to_ascii_lowercase().strip_prefix("last-event-id:") {
            last = id.trim().parse().unwrap_or(0);
        }
        line.clear();
    }
    record.add(&format!("coordinator got: a request for the events after {last}"));
    std::thread::sleep(delay);
    let head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\r\n: hello\n\n";
    if stream.write_all(head.as_bytes()).is_err() {
        return record.add("coordinator: the client had left before it was answered");
    }
    let mut commented = Instant::now();
    loop {
        let events = shared.lock().unwrap().events.clone();
        for (at, (_, event)) in events.iter().enumerate().skip(last) {
            last = at + 1;
            if stream.write_all(format!("id: {last}\ndata: {event}\n\n").as_bytes()).is_err() {
                return record.add("coordinator: the client has left");
            }
            record.add(&format!("coordinator told: event {last}"));
        }
        if commented.elapsed() >= Duration::from_secs(1) {
            commented = Instant::now();
            if stream.write_all(b": alive\n\n").is_err() {
                return record.add("coordinator: the client has left");
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}
