//! Shared parts of the cases: the record, the controller's process, and stand-ins for exchanges and callers.
//! Only the standard library is used. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption is played. `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// What was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Opens the file that the environment variable RECORD names.
    pub fn open() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| could_not_run("RECORD is not set"));
        let file = File::create(&path).unwrap_or_else(|e| could_not_run(&format!("{path}: {e}")));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
    pub fn line(&self, text: &str) {
        let line =
            format!("{:6} ms  {}\n", self.now(), text.trim_end().replace('\r', "").replace('\n', " | "));
        drop(self.file.lock().unwrap().write_all(line.as_bytes()));
    }
    /// Writes the verdict and returns the exit status.
    pub fn verdict(&self, broken: &[String], summary: &str) -> i32 {
        self.line(&format!("summary: {summary}"));
        drop(writeln!(std::io::stdout(), "{summary}"));
        for text in broken {
            self.line(&format!("rule broken: {text}"));
            drop(writeln!(std::io::stdout(), "rule broken: {text}"));
        }
        let status = if broken.is_empty() { HELD } else { BROKEN };
        self.line(&format!("exit {status}"));
        status
    }
}

pub fn could_not_run(why: &str) -> ! {
    drop(writeln!(std::io::stdout(), "could not run: {why}"));
    std::process::exit(COULD_NOT_RUN)
}

// ---- The controller ----

/// The root of the repository, the folder for this run's files, and the command of the deploy file.
pub struct Site {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub run: String,
    pub record: Record,
}

impl Site {
    pub fn open(record: &Record) -> Site {
        let var = |name: &str| {
            std::env::var(name)
                .map(PathBuf::from)
                .unwrap_or_else(|_| could_not_run(&format!("{name} is not set")))
        };
        let (root, folder) = (var("ROOT"), var("FOLDER"));
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_default();
        let run =
            deploy.lines().find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"').map(str::to_owned));
        let run = run.unwrap_or_else(|| could_not_run("deploy/balancer.toml has no run"));
        Site { root, folder, run, record: record.clone() }
    }
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap_or_else(|e| could_not_run(&format!("{name}: {e}")));
        path
    }
}

/// A free loopback address. Nothing listens there when this returns.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .unwrap_or_else(|e| could_not_run(&e.to_string()))
}

/// An exchange in the coordinator's list.
pub fn member(id: &str, address: SocketAddr, cell: u16, phase: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"dakar-plateau\",\"flavor\":\"single-core\",\
         \"cell\":{cell},\"phase\":\"{phase}\",\"size\":1,\"up_since_ms\":0}}"
    )
}

/// The configuration of one controller at exchange 0 of a small site like dakar-lighting.
pub fn config(listen: SocketAddr, members: &[String]) -> String {
    let classes = "[{\"name\":\"status-report\",\"aim\":1200.0,\"giveUp\":9000.0,\"effect\":\"retryable\",\
        \"dedupScope\":\"all\",\"repeatWindow\":5000.0,\"lateWorth\":0.25,\"stream\":true,\"worth\":1.0}]";
    let settings = format!(
        "{{\"classes\":{classes},\"siblings\":{n},\"rank\":0,\"tick\":5.0,\"failureDomains\":[\"dakar-plateau\"],\
         \"membershipMode\":\"pushed\",\
         \"extra\":{{\"ownExchange\":0,\"release\":500.0,\"shape\":\"meshed\",\"classHold\":[11000.0],\
         \"classWidth\":[1],\"farReports\":\"answers\",\"resend\":800.0,\"retryHint\":false,\"routeAdvice\":true}},\
         \"limits\":{{\"tryLimit\":4,\"mayCancel\":true,\"mayProbe\":true,\"peers\":false,\"maxRetryAfter\":2000.0,\
         \"connectTimeout\":500.0,\"connIdle\":600000.0,\"openCap\":20000,\"secondCopies\":false,\
         \"streamsPerConn\":1048576}},\
         \"report\":{{\"fields\":[\"spare\",\"total\",\"avg_ms\",\"allowed\"],\"how\":\"answers\"}},\
         \"rules\":{{\"answerSlack\":20.0,\"stopSendingWithin\":250.0,\"cold\":15000.0,\"coldFrom\":0.35,\
         \"fall\":2000.0,\"overloadFactor\":2.5}}}}",
        n = members.len() + 1
    );
    let known = format!(
        "{{\"index\":1,\"updates\":[{{\"index\":1,\"endpoints\":{{\"revision\":1,\"complete\":true,\"members\":[{}]}}}}]}}",
        members.join(",")
    );
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"known\":{known},\"settings\":{settings}}}"
    )
}

/// A controller, started by the command of the deploy file and killed on drop.
pub struct Controller {
    child: Child,
    record: Record,
}

impl Controller {
    /// Starts the controller; `options` are appended to the command.
    pub fn start(site: &Site, config: &Path, options: &str) -> Controller {
        let log = |name: &str| {
            let path = site.folder.join(name);
            File::options().create(true).append(true).open(&path).map_or(Stdio::null(), Stdio::from)
        };
        let command = format!("{} {options}", site.run);
        site.record.line(&format!("start: {}", site.run));
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(command)
            .current_dir(&site.root)
            .env("ROUTER_CONFIG", config)
            .env("TMPDIR", &site.folder)
            .stdin(Stdio::null())
            .stdout(log("controller.out"))
            .stderr(log("controller.err"))
            .spawn()
            .unwrap_or_else(|e| could_not_run(&format!("the controller: {e}")));
        // The script ends these processes if this one ends early.
        let pids = File::options().create(true).append(true).open(site.folder.join("pids"));
        drop(pids.and_then(|mut f| writeln!(f, "{}", child.id())));
        Controller { child, record: site.record.clone() }
    }
    /// Waits until a test at this address passes.
    pub fn wait_ready(&mut self, address: SocketAddr) {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                could_not_run(&format!("the controller ended: {status}"));
            }
            if probe(address) {
                self.record.line("the controller passes its test");
                return;
            }
            sleep(ms(50));
        }
        could_not_run("the controller does not pass its test");
    }
    /// Sends KILL or TERM to the process.
    pub fn signal(&self, name: &str) {
        self.record.line(&format!("SIG{name} to the controller"));
        let number = if name == "KILL" { 9 } else { 15 };
        unsafe { kill(self.child.id() as i32, number) };
    }
    pub fn wait_exit(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record.line(&format!("the controller ended: {status}"));
                return true;
            }
            sleep(ms(5));
        }
        false
    }
    pub fn running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

fn probe(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    drop(stream.set_read_timeout(Some(ms(500))));
    if stream
        .write_all(b"{\"msg\":\"probe\",\"sid\":\"00000000000000aa\",\"attrs\":{},\"code\":0}\n")
        .is_err()
    {
        return false;
    }
    let mut line = String::new();
    let read = BufReader::new(&stream).read_line(&mut line);
    read.is_ok() && field(&line, "msg") == "probed" && number(&line, "code") == Some(1)
}

// ---- JSON lines ----

/// A string in a line, by its key. The lines hold no escaped quotes.
pub fn field(line: &str, key: &str) -> String {
    let pattern = format!("\"{key}\":\"");
    line.find(&pattern)
        .map(|at| line[at + pattern.len()..].chars().take_while(|&c| c != '"').collect())
        .unwrap_or_default()
}

/// A number in a line, by its key.
pub fn number(line: &str, key: &str) -> Option<u64> {
    let pattern = format!("\"{key}\":");
    let at = line.find(&pattern)? + pattern.len();
    line[at..].chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}

pub fn close(sid: &str, code: u16) -> String {
    format!("{{\"msg\":\"close\",\"sid\":\"{sid}\",\"attrs\":{{}},\"code\":{code}}}\n")
}

pub fn send(stream: &Mutex<TcpStream>, text: &str) -> bool {
    stream.lock().unwrap().write_all(text.as_bytes()).is_ok()
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

/// Lets the close of a connection be a reset.
pub fn reset(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    // SOL_SOCKET and SO_LINGER of Linux. The reset is sent when the last handle of the socket is dropped.
    unsafe {
        setsockopt(stream.as_raw_fd(), 1, 13, &linger, std::mem::size_of::<Linger>() as u32);
    }
}

// ---- Exchanges ----

#[derive(Default)]
pub struct ExchangeState {
    /// Standing calls with the time at which each ends.
    pub standing: BTreeMap<String, Instant>,
    /// Calls that ended here: when (ms of the record) and why.
    pub ended: BTreeMap<String, (u64, &'static str)>,
    /// Set-ups received.
    pub opens: u64,
    /// Releases to send on the next connection.
    owed: Vec<(String, u16)>,
}

pub struct ExchangeShared {
    pub name: String,
    pub record: Record,
    pub hold: Duration,
    pub state: Mutex<ExchangeState>,
    /// The processor hangs: what arrives waits until it goes on.
    pub hanging: AtomicBool,
    /// New connections are refused.
    pub refusing: AtomicBool,
    /// The number of further connections that are reset soon after they were opened.
    pub reset_new: AtomicU64,
    /// The time from a set-up to its answer (ms).
    pub answer_delay_ms: AtomicU64,
    /// Set-ups from this number on lead to calls that stand for 1.5 s only; 0: none.
    pub short_from: AtomicU64,
    /// Of so many answers one arrives spoilt; 0: none.
    pub spoil_one_in: AtomicU64,
    /// A release that arrives is lost, and its connection is reset.
    pub lose_release: AtomicBool,
    pub streams: Mutex<Vec<Option<TcpStream>>>,
}

/// A stand-in exchange: answers set-ups at once, holds each call for a fixed time and releases it with cause 16, sends
/// its state first on each new connection, and answers tests.
#[derive(Clone)]
pub struct Exchange {
    pub address: SocketAddr,
    pub shared: Arc<ExchangeShared>,
}

const CIRCUITS: u64 = 100;

impl ExchangeShared {
    fn load(&self) -> String {
        let busy = self.state.lock().unwrap().standing.len() as u64;
        format!("x0:{};x1:{CIRCUITS};latency_ms:5;qps:100", CIRCUITS - busy.min(CIRCUITS))
    }
    fn status(&self) -> String {
        format!("{{\"msg\":\"status\",\"sid\":\"\",\"attrs\":{{\"load\":\"{}\"}}}}\n", self.load())
    }
    /// Resets all connections; what they carried unread is lost with them.
    pub fn reset_all(&self) {
        for (index, slot) in self.streams.lock().unwrap().iter_mut().enumerate() {
            if let Some(stream) = slot.take() {
                self.record.line(&format!("{}: resets its connection {index}", self.name));
                reset(&stream);
            }
        }
    }
    /// Closes all connections in an orderly way.
    pub fn close_all(&self) {
        for (index, slot) in self.streams.lock().unwrap().iter_mut().enumerate() {
            if slot.take().is_some() {
                self.record.line(&format!("{}: closes its connection {index}", self.name));
            }
        }
    }
    pub fn standing(&self) -> Vec<String> {
        self.state.lock().unwrap().standing.keys().cloned().collect()
    }
}
impl Exchange {
    pub fn start(name: &str, record: &Record, hold: Duration) -> Exchange {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| could_not_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(ExchangeShared {
            name: name.to_owned(),
            record: record.clone(),
            hold,
            state: Mutex::default(),
            hanging: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            reset_new: AtomicU64::new(0),
            answer_delay_ms: AtomicU64::new(0),
            short_from: AtomicU64::new(0),
            spoil_one_in: AtomicU64::new(0),
            lose_release: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let (accepting, ending) = (shared.clone(), shared.clone());
        std::thread::spawn(move || accept_loop(listener, address, &accepting));
        std::thread::spawn(move || end_loop(&ending));
        Exchange { address, shared }
    }
}

fn accept_loop(listener: TcpListener, address: SocketAddr, shared: &Arc<ExchangeShared>) {
    let mut listener = Some(listener);
    loop {
        if shared.refusing.load(Ordering::SeqCst) {
            if listener.take().is_some() {
                shared.record.line(&format!("{}: refuses new connections", shared.name));
            }
        } else if listener.is_none() {
            listener = TcpListener::bind(address).ok();
            if listener.is_some() {
                shared.record.line(&format!("{}: accepts connections again", shared.name));
            }
        }
        let Some(l) = &listener else {
            sleep(ms(2));
            continue;
        };
        drop(l.set_nonblocking(true));
        match l.accept() {
            Ok((stream, _)) => {
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
            Err(_) => sleep(ms(2)),
        }
    }
}

/// Ends the calls whose time has come, unless the processor hangs.
fn end_loop(shared: &ExchangeShared) {
    loop {
        sleep(ms(10));
        if shared.hanging.load(Ordering::SeqCst) {
            continue;
        }
        let over: Vec<String> = {
            let mut state = shared.state.lock().unwrap();
            let now = Instant::now();
            let over: Vec<String> =
                state.standing.iter().filter(|c| *c.1 <= now).map(|c| c.0.clone()).collect();
            for sid in &over {
                state.standing.remove(sid);
                state.ended.insert(sid.clone(), (shared.record.now(), "came to its end"));
            }
            over
        };
        for sid in over {
            shared.record.line(&format!("{}: call {sid} comes to its end, release 16", shared.name));
            let mut sent = false;
            for stream in shared.streams.lock().unwrap().iter_mut().flatten().rev() {
                if stream.write_all(close(&sid, 16).as_bytes()).is_ok() {
                    sent = true;
                    break;
                }
            }
            if !sent {
                shared.state.lock().unwrap().owed.push((sid, 16));
            }
        }
    }
}

fn serve(mut stream: TcpStream, shared: &ExchangeShared) {
    drop(stream.set_nonblocking(false));
    drop(stream.set_nodelay(true));
    drop(stream.set_read_timeout(Some(ms(5))));
    let index = {
        let mut streams = shared.streams.lock().unwrap();
        // The state of the group comes before anything else, then what is owed.
        let mut first = shared.status();
        for (sid, code) in std::mem::take(&mut shared.state.lock().unwrap().owed) {
            first += &close(&sid, code);
        }
        drop(stream.write_all(first.as_bytes()));
        streams.push(stream.try_clone().ok());
        streams.len() - 1
    };
    shared.record.line(&format!("{}: connection {index} opened, state sent", shared.name));
    let reset_after = shared
        .reset_new
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
        .is_ok()
        .then(|| Instant::now() + ms(40));
    let mut buffer: Vec<u8> = Vec::new();
    let mut chunk = [0; 16384];
    loop {
        if shared.streams.lock().unwrap()[index].is_none() {
            // The slot was emptied by `reset_all`, which has set how the connection ends, or by `close_all`.
            return;
        }
        if reset_after.is_some_and(|at| Instant::now() >= at) {
            shared.record.line(&format!("{}: resets its connection {index}, which is new", shared.name));
            shared.streams.lock().unwrap()[index] = None;
            reset(&stream);
            return;
        }
        if shared.hanging.load(Ordering::SeqCst) {
            sleep(ms(5));
            continue;
        }
        match std::io::Read::read(&mut stream, &mut chunk) {
            Ok(0) => {
                shared.record.line(&format!("{}: connection {index} closed by the controller", shared.name));
                shared.streams.lock().unwrap()[index] = None;
                return;
            }
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(e) => {
                shared.record.line(&format!("{}: connection {index} broke: {e}", shared.name));
                shared.streams.lock().unwrap()[index] = None;
                return;
            }
        }
        while let Some(end) = buffer.iter().position(|&b| b == b'\n') {
            let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..=end);
            let reply = handle(&line, shared);
            if reply.as_deref() == Some("lost") {
                shared.streams.lock().unwrap()[index] = None;
                reset(&stream);
                return;
            }
            if let Some(reply) = reply {
                drop(stream.write_all(reply.as_bytes()));
            }
        }
    }
}

/// Handles a line and returns what is sent for it.
fn handle(line: &str, shared: &ExchangeShared) -> Option<String> {
    let (kind, sid) = (field(line, "msg"), field(line, "sid"));
    match kind.as_str() {
        "open" => {
            {
                let mut state = shared.state.lock().unwrap();
                state.opens += 1;
                let short_from = shared.short_from.load(Ordering::SeqCst);
                let short = short_from > 0 && state.opens >= short_from;
                let hold = if short { ms(1_500) } else { shared.hold };
                state.standing.insert(sid.clone(), Instant::now() + hold);
            }
            let one_in = shared.spoil_one_in.load(Ordering::SeqCst);
            let opens = shared.state.lock().unwrap().opens;
            // A fixed sequence without a rhythm (splitmix64).
            if one_in > 0 && mix(opens) % one_in == 0 {
                shared
                    .record
                    .line(&format!("{}: set-up {sid}, answers with a line that can't be read", shared.name));
                return Some("{\"msg\":\"ready\",\"sid\":\"#\u{1}\n".to_owned());
            }
            sleep(ms(shared.answer_delay_ms.load(Ordering::SeqCst)));
            shared.record.line(&format!("{}: set-up {sid}, answers: the call stands", shared.name));
            let ready = format!(
                "{{\"msg\":\"ready\",\"sid\":\"{sid}\",\"attrs\":{{}},\"text\":\"{sid} answered by {}\"}}\n",
                shared.name
            );
            Some(ready + &shared.status())
        }
        "close" => {
            if shared.lose_release.swap(false, Ordering::SeqCst) {
                shared.record.line(&format!(
                    "{}: the connection is reset, and the release of {sid} on it is not read",
                    shared.name
                ));
                return Some("lost".to_owned());
            }
            let mut state = shared.state.lock().unwrap();
            let stood = state.standing.remove(&sid).is_some();
            if stood {
                state.ended.insert(sid.clone(), (shared.record.now(), "was released by the controller"));
            }
            drop(state);
            shared.record.line(&format!(
                "{}: release of {sid}, cause {:?}{}",
                shared.name,
                number(line, "code"),
                if stood { ", which stood" } else { "" }
            ));
            Some(format!("{{\"msg\":\"closed\",\"sid\":\"{sid}\",\"attrs\":{{}}}}\n"))
        }
        "probe" => Some(format!(
            "{{\"msg\":\"probed\",\"sid\":\"{sid}\",\"attrs\":{{\"load\":\"{}\"}},\"code\":1}}\n",
            shared.load()
        )),
        _ => None,
    }
}

// ---- Callers ----

/// What a caller saw of one call.
#[derive(Clone, Default, Debug)]
pub struct Seen {
    pub sent: u64,
    pub ready: Vec<u64>,
    /// Releases or refusals: when, and the cause.
    pub closes: Vec<(u64, u64)>,
}

/// A caller's connection that reads what it is sent and confirms releases.
#[derive(Clone)]
pub struct Caller {
    record: Record,
    stream: Arc<Mutex<TcpStream>>,
    pub seen: Arc<Mutex<BTreeMap<String, Seen>>>,
    pub ended: Arc<AtomicBool>,
}

impl Caller {
    pub fn connect(address: SocketAddr, record: &Record) -> Option<Caller> {
        Caller::connect_with(address, record, Arc::default())
    }
    /// Connects; what is seen is added to `seen`.
    pub fn connect_with(
        address: SocketAddr,
        record: &Record,
        seen: Arc<Mutex<BTreeMap<String, Seen>>>,
    ) -> Option<Caller> {
        let stream = TcpStream::connect(address).ok()?;
        drop(stream.set_nodelay(true));
        let reader = BufReader::new(stream.try_clone().ok()?);
        let (stream, ended) = (Arc::new(Mutex::new(stream)), Arc::default());
        let caller = Caller { record: record.clone(), stream, seen, ended };
        let copy = caller.clone();
        std::thread::spawn(move || copy.read(reader));
        Some(caller)
    }
    fn read(&self, reader: BufReader<TcpStream>) {
        for line in reader.lines().map_while(Result::ok) {
            let (kind, sid, at) = (field(&line, "msg"), field(&line, "sid"), self.record.now());
            match kind.as_str() {
                "ready" => {
                    self.record.line(&format!("caller: {sid} is answered"));
                    self.seen.lock().unwrap().entry(sid).or_default().ready.push(at);
                }
                "close" => {
                    let code = number(&line, "code").unwrap_or(0);
                    self.record.line(&format!("caller: close of {sid}, cause {code}"));
                    self.seen.lock().unwrap().entry(sid.clone()).or_default().closes.push((at, code));
                    send(&self.stream, &format!("{{\"msg\":\"closed\",\"sid\":\"{sid}\",\"attrs\":{{}}}}\n"));
                }
                _ => {}
            }
        }
        self.ended.store(true, Ordering::SeqCst);
        self.record.line("caller: the connection has ended");
    }
    pub fn open(&self, sid: &str, destination: u16, left: u64) {
        self.open_with(sid, destination, left, &format!("{sid} of the caller"));
    }
    pub fn open_with(&self, sid: &str, destination: u16, left: u64, text: &str) {
        self.record.line(&format!("caller: set-up {sid} to exchange {destination}"));
        self.seen.lock().unwrap().entry(sid.to_owned()).or_default().sent = self.record.now();
        let extras = format!("dest:{destination};width:1;via:-1");
        send(
            &self.stream,
            &format!(
                "{{\"msg\":\"open\",\"sid\":\"{sid}\",\"attrs\":{{\"class\":\"status-report\",\"left\":\"{left}\",\
                 \"key\":\"7f3a9c21e0b4d655\",\"extras\":\"{extras}\"}},\"text\":\"{text}\"}}\n"
            ),
        );
    }
    pub fn close(&self, sid: &str, code: u16) {
        self.record.line(&format!("caller: releases {sid}, cause {code}"));
        send(&self.stream, &close(sid, code));
    }
    /// The caller closes the connection.
    pub fn disconnect(&self) {
        self.record.line("caller: closes its connection");
        drop(self.stream.lock().unwrap().shutdown(std::net::Shutdown::Both));
    }
    pub fn of(&self, sid: &str) -> Seen {
        self.seen.lock().unwrap().get(sid).cloned().unwrap_or_default()
    }
}

/// Waits until a condition holds; false if it does not in time.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        sleep(ms(5));
    }
    false
}

pub fn sid(n: u64) -> String {
    format!("{:016x}", 0x9b1f_03aa_5c7e_0000 + n)
}

/// The n-th number of a fixed pseudo-random sequence.
pub fn mix(n: u64) -> u64 {
    let mut z = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
