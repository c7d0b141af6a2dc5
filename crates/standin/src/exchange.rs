//! A stand-in exchange: takes set-ups, answers after a delay, holds calls for a while and ends them, on as many
//! circuits as it has.

use serde_json::{json, Value};
use std::collections::{BTreeMap, HashSet};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What kind of exchange it is.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeConfig {
    /// Circuits of the group toward the controller.
    pub circuits: u32,
    /// How long a set-up takes.
    pub delay: Duration,
    /// How long a call stands, on average.
    pub hold: Duration,
    /// For delays and holds.
    pub seed: u64,
}

#[derive(Debug)]
struct Shared {
    traits: ExchangeConfig,
    busy: AtomicU64,
    set_ups: AtomicU64,
    /// Takes set-ups and answers none.
    hangs: AtomicBool,
    gone: AtomicBool,
    last: Mutex<Option<Instant>>,
    streams: Mutex<Vec<TcpStream>>,
}

/// A running one; it ends when this is dropped.
#[derive(Debug)]
pub struct Exchange {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Exchange {
    /// Starts one at a free port of loopback, or at `address`.
    ///
    /// # Errors
    /// If the address can't be had.
    pub fn start(address: Option<SocketAddr>, traits: ExchangeConfig) -> io::Result<Exchange> {
        let listener = TcpListener::bind(address.unwrap_or_else(|| ([127, 0, 0, 1], 0).into()))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            traits,
            busy: AtomicU64::new(0),
            set_ups: AtomicU64::new(0),
            hangs: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            last: Mutex::default(),
            streams: Mutex::default(),
        });
        let here = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if here.gone.load(Ordering::SeqCst) {
                    return;
                }
                let shared = here.clone();
                std::thread::spawn(move || drop(serve(stream, &shared)));
            }
        });
        Ok(Exchange { address, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Set-ups that came.
    pub fn set_ups(&self) -> u64 {
        self.shared.set_ups.load(Ordering::SeqCst)
    }

    /// When the last one came.
    pub fn last_set_up(&self) -> Option<Instant> {
        self.shared.last.lock().ok().and_then(|l| *l)
    }

    /// Calls that stand or are being set up.
    pub fn busy(&self) -> u64 {
        self.shared.busy.load(Ordering::SeqCst)
    }

    /// From now on it takes set-ups and answers none, or no longer.
    pub fn hang(&self, on: bool) {
        self.shared.hangs.store(on, Ordering::SeqCst);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.shared.gone.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.address));
        if let Ok(streams) = self.shared.streams.lock() {
            streams.iter().for_each(|s| drop(s.shutdown(Shutdown::Both)));
        }
    }
}

/// What falls due on a connection.
enum Due {
    Answer(String, String),
    End(String),
}

fn serve(stream: TcpStream, shared: &Shared) -> io::Result<()> {
    stream.set_nodelay(true)?;
    if let Ok(mut streams) = shared.streams.lock() {
        streams.push(stream.try_clone()?);
    }
    let (lines, inbox): (Sender<String>, Receiver<String>) = channel();
    let reader = BufReader::new(stream.try_clone()?);
    std::thread::spawn(move || {
        reader.lines().map_while(Result::ok).for_each(|l| drop(lines.send(l)));
    });
    let mut line =
        Line { stream, shared, calls: HashSet::new(), dues: BTreeMap::new(), next: 0, told: u64::MAX };
    let ran = line.run(&inbox);
    shared.busy.fetch_sub(line.calls.len() as u64, Ordering::SeqCst);
    ran
}

struct Line<'a> {
    stream: TcpStream,
    shared: &'a Shared,
    calls: HashSet<String>,
    dues: BTreeMap<(Instant, u64), Due>,
    next: u64,
    told: u64,
}

impl Line<'_> {
    fn run(&mut self, inbox: &Receiver<String>) -> io::Result<()> {
        let mut rng = fastrand::Rng::with_seed(self.shared.traits.seed);
        let mut status = Instant::now();
        loop {
            if Instant::now() >= status {
                self.tell_group()?;
                status = Instant::now() + Duration::from_millis(100);
            }
            let next = self.dues.keys().next().map_or(status, |k| k.0.min(status));
            match inbox.recv_timeout(next.saturating_duration_since(Instant::now())) {
                Ok(text) => self.heard(&text, &mut rng)?,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            while let Some(due) = self.dues.first_entry().filter(|e| e.key().0 <= Instant::now()) {
                match due.remove() {
                    Due::Answer(sid, text) if self.calls.contains(&sid) => {
                        self.say(&json!({"msg": "ready", "sid": sid, "attrs": {}, "text": text}))?;
                        let hold = self.shared.traits.hold.mul_f64(0.5 + rng.f64());
                        self.later(hold, Due::End(sid));
                    }
                    Due::End(sid) if self.calls.contains(&sid) => {
                        self.end(&sid);
                        self.say(&json!({"msg": "close", "sid": sid, "attrs": {}, "code": 16}))?;
                    }
                    _ => {}
                }
            }
        }
    }

    fn heard(&mut self, text: &str, rng: &mut fastrand::Rng) -> io::Result<()> {
        let Ok(m) = serde_json::from_str::<Value>(text) else { return Ok(()) };
        let sid = m["sid"].as_str().unwrap_or_default().to_owned();
        match m["msg"].as_str() {
            Some("open") => {
                self.shared.set_ups.fetch_add(1, Ordering::SeqCst);
                if let Ok(mut last) = self.shared.last.lock() {
                    *last = Some(Instant::now());
                }
                if self.shared.busy.load(Ordering::SeqCst) >= self.shared.traits.circuits.into() {
                    let attrs = json!({"note": "no_path", "load": self.load()});
                    return self.say(&json!({"msg": "close", "sid": sid, "attrs": attrs, "code": 34}));
                }
                self.shared.busy.fetch_add(1, Ordering::SeqCst);
                self.calls.insert(sid.clone());
                if !self.shared.hangs.load(Ordering::SeqCst) {
                    let delay = self.shared.traits.delay.mul_f64(0.5 + rng.f64());
                    let text = m["text"].as_str().unwrap_or_default().to_owned();
                    self.later(delay, Due::Answer(sid, text));
                }
            }
            Some("close") => {
                self.end(&sid);
                self.say(&json!({"msg": "closed", "sid": sid, "attrs": {}}))?;
            }
            Some("probe") => {
                let attrs = json!({"load": self.load()});
                self.say(&json!({"msg": "probed", "sid": sid, "attrs": attrs, "code": 1}))?;
            }
            _ => {}
        }
        Ok(())
    }

    fn end(&mut self, sid: &str) {
        if self.calls.remove(sid) {
            self.shared.busy.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn later(&mut self, after: Duration, due: Due) {
        self.next += 1;
        self.dues.insert((Instant::now() + after, self.next), due);
    }

    fn load(&self) -> String {
        let (all, busy) = (u64::from(self.shared.traits.circuits), self.shared.busy.load(Ordering::SeqCst));
        format!("x0:{};x1:{all};latency_ms:5;qps:-1", all.saturating_sub(busy))
    }

    /// Tells of the group: first of all, and ten times a second while it changes.
    fn tell_group(&mut self) -> io::Result<()> {
        let busy = self.shared.busy.load(Ordering::SeqCst);
        if std::mem::replace(&mut self.told, busy) == busy && busy == 0 {
            return Ok(());
        }
        let attrs = json!({"load": self.load()});
        self.say(&json!({"msg": "status", "sid": "", "attrs": attrs}))
    }

    fn say(&mut self, message: &Value) -> io::Result<()> {
        self.stream.write_all(format!("{message}\n").as_bytes())
    }
}
