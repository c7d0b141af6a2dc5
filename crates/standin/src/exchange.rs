//! A stand-in exchange with a limited number of circuits: answers set-ups after a delay and releases calls after a
//! holding time.

use serde_json::{json, Value};
use std::collections::{BTreeMap, HashSet};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Configuration of an [`Exchange`].
#[derive(Clone, Copy, Debug)]
pub struct ExchangeConfig {
    /// Number of circuits in the trunk group to the controller.
    pub circuits: u32,
    /// Mean time from a set-up to its answer; each delay is drawn between half and one and a half times this.
    pub delay: Duration,
    /// Mean holding time of a call, drawn in the same way.
    pub hold: Duration,
    /// Seed of the delays and holding times.
    pub seed: u64,
}

#[derive(Debug)]
struct Shared {
    config: ExchangeConfig,
    busy: AtomicU64,
    set_ups: AtomicU64,
    /// Set-ups are accepted but not answered.
    hanging: AtomicBool,
    stopped: AtomicBool,
    last_set_up: Mutex<Option<Instant>>,
    streams: Mutex<Vec<TcpStream>>,
}

/// A running exchange, stopped on drop.
#[derive(Debug)]
pub struct Exchange {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Exchange {
    /// Starts an exchange at `address`, or at a free loopback port if that is `None`.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn start(address: Option<SocketAddr>, config: ExchangeConfig) -> io::Result<Exchange> {
        let listener = TcpListener::bind(address.unwrap_or_else(|| ([127, 0, 0, 1], 0).into()))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            config,
            busy: AtomicU64::new(0),
            set_ups: AtomicU64::new(0),
            hanging: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            last_set_up: Mutex::default(),
            streams: Mutex::default(),
        });
        let accept_shared = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if accept_shared.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let shared = accept_shared.clone();
                std::thread::spawn(move || drop(serve(stream, &shared)));
            }
        });
        Ok(Exchange { address, shared })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of set-ups received.
    pub fn set_ups(&self) -> u64 {
        self.shared.set_ups.load(Ordering::SeqCst)
    }

    /// Returns the time of the last set-up received.
    pub fn last_set_up(&self) -> Option<Instant> {
        self.shared.last_set_up.lock().ok().and_then(|l| *l)
    }

    /// Returns the number of circuits in use by established calls and pending set-ups.
    pub fn busy(&self) -> u64 {
        self.shared.busy.load(Ordering::SeqCst)
    }

    /// While `on`, set-ups are accepted but never answered.
    pub fn hang(&self, on: bool) {
        self.shared.hanging.store(on, Ordering::SeqCst);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.address));
        if let Ok(streams) = self.shared.streams.lock() {
            streams.iter().for_each(|s| drop(s.shutdown(Shutdown::Both)));
        }
    }
}

/// A scheduled event of a session.
enum Event {
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
    let mut session = Session {
        stream,
        shared,
        calls: HashSet::new(),
        events: BTreeMap::new(),
        next_id: 0,
        last_reported: u64::MAX,
    };
    let result = session.run(&inbox);
    shared.busy.fetch_sub(session.calls.len() as u64, Ordering::SeqCst);
    result
}

struct Session<'a> {
    stream: TcpStream,
    shared: &'a Shared,
    calls: HashSet<String>,
    events: BTreeMap<(Instant, u64), Event>,
    next_id: u64,
    last_reported: u64,
}

impl Session<'_> {
    fn run(&mut self, inbox: &Receiver<String>) -> io::Result<()> {
        let mut rng = fastrand::Rng::with_seed(self.shared.config.seed);
        let mut next_report = Instant::now();
        loop {
            if Instant::now() >= next_report {
                self.report_group()?;
                next_report = Instant::now() + Duration::from_millis(100);
            }
            let next = self.events.keys().next().map_or(next_report, |k| k.0.min(next_report));
            match inbox.recv_timeout(next.saturating_duration_since(Instant::now())) {
                Ok(text) => self.handle_message(&text, &mut rng)?,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            while let Some(event) = self.events.first_entry().filter(|e| e.key().0 <= Instant::now()) {
                match event.remove() {
                    Event::Answer(sid, text) if self.calls.contains(&sid) => {
                        self.send(&json!({"msg": "ready", "sid": sid, "attrs": {}, "text": text}))?;
                        let hold = self.shared.config.hold.mul_f64(0.5 + rng.f64());
                        self.schedule(hold, Event::End(sid));
                    }
                    Event::End(sid) if self.calls.contains(&sid) => {
                        self.end_call(&sid);
                        self.send(&json!({"msg": "close", "sid": sid, "attrs": {}, "code": 16}))?;
                    }
                    _ => {}
                }
            }
        }
    }

    fn handle_message(&mut self, text: &str, rng: &mut fastrand::Rng) -> io::Result<()> {
        let Ok(message) = serde_json::from_str::<Value>(text) else { return Ok(()) };
        let sid = message["sid"].as_str().unwrap_or_default().to_owned();
        match message["msg"].as_str() {
            Some("open") => {
                self.shared.set_ups.fetch_add(1, Ordering::SeqCst);
                if let Ok(mut last_set_up) = self.shared.last_set_up.lock() {
                    *last_set_up = Some(Instant::now());
                }
                if self.shared.busy.load(Ordering::SeqCst) >= self.shared.config.circuits.into() {
                    let attrs = json!({"note": "no_path", "load": self.load()});
                    return self.send(&json!({"msg": "close", "sid": sid, "attrs": attrs, "code": 34}));
                }
                self.shared.busy.fetch_add(1, Ordering::SeqCst);
                self.calls.insert(sid.clone());
                if !self.shared.hanging.load(Ordering::SeqCst) {
                    let delay = self.shared.config.delay.mul_f64(0.5 + rng.f64());
                    let text = message["text"].as_str().unwrap_or_default().to_owned();
                    self.schedule(delay, Event::Answer(sid, text));
                }
            }
            Some("close") => {
                self.end_call(&sid);
                self.send(&json!({"msg": "closed", "sid": sid, "attrs": {}}))?;
            }
            Some("probe") => {
                let attrs = json!({"load": self.load()});
                self.send(&json!({"msg": "probed", "sid": sid, "attrs": attrs, "code": 1}))?;
            }
            _ => {}
        }
        Ok(())
    }

    fn end_call(&mut self, sid: &str) {
        if self.calls.remove(sid) {
            self.shared.busy.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next_id += 1;
        self.events.insert((Instant::now() + after, self.next_id), event);
    }

    fn load(&self) -> String {
        let (circuits, busy) =
            (u64::from(self.shared.config.circuits), self.shared.busy.load(Ordering::SeqCst));
        format!("x0:{};x1:{circuits};latency_ms:5;qps:-1", circuits.saturating_sub(busy))
    }

    /// Reports the state of the trunk group. Sends nothing while the group was idle at the last report and still is.
    fn report_group(&mut self) -> io::Result<()> {
        let busy = self.shared.busy.load(Ordering::SeqCst);
        if std::mem::replace(&mut self.last_reported, busy) == busy && busy == 0 {
            return Ok(());
        }
        let attrs = json!({"load": self.load()});
        self.send(&json!({"msg": "status", "sid": "", "attrs": attrs}))
    }

    fn send(&mut self, message: &Value) -> io::Result<()> {
        self.stream.write_all(format!("{message}\n").as_bytes())
    }
}
