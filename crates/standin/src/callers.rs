//! Load generator: offers calls at a constant rate and counts the answers and their times.

use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::fmt;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The load that [`Callers`] offer.
#[derive(Clone, Debug)]
pub struct Load {
    /// Call rate (calls per second).
    pub rate: f64,
    /// How long calls are offered.
    pub duration: Duration,
    /// Destination exchanges, used in round-robin order.
    pub destinations: Vec<u16>,
    /// Name of the calls' class.
    pub class: String,
    /// How long a caller waits for an answer.
    pub client_timeout: Duration,
    /// A call that is established later than this after its request counts as late.
    pub latency_objective: Duration,
    /// Number of connections, which the calls use in round-robin order.
    pub connections: usize,
    /// Seed of the call identifiers.
    pub seed: u64,
}

/// Counts and answer times of the calls offered so far.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Calls offered.
    pub offered: u64,
    /// Calls established.
    pub established: u64,
    /// Established calls that missed the latency objective.
    pub late: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls failed.
    pub failed: u64,
    /// Calls without an answer when their client timeout had passed.
    pub unanswered: u64,
    /// Further final answers to calls that were already answered.
    pub duplicate_answers: u64,
    /// Time from request to final answer (µs).
    pub answer_times: Histogram<u64>,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |q| self.answer_times.value_at_quantile(q) as f64 / 1000.0;
        writeln!(f, "offered stood refused failed late unanswered doubled p50_ms p99_ms p99.9_ms")?;
        write!(
            f,
            "{:7} {:5} {:7} {:6} {:4} {:10} {:7} {:6.1} {:6.1} {:8.1}",
            self.offered,
            self.established,
            self.refused,
            self.failed,
            self.late,
            self.unanswered,
            self.duplicate_answers,
            ms(0.5),
            ms(0.99),
            ms(0.999)
        )
    }
}

struct PendingCall {
    sent: Instant,
    /// Index of the connection that carries the request.
    stream_index: usize,
    line: String,
    /// A request that is unanswered when its connection ends is sent again, once.
    resent: bool,
}

struct State {
    report: LoadReport,
    /// Calls without a final answer, by call identifier.
    pending: HashMap<String, PendingCall>,
    established: u64,
    finished: bool,
}

type Streams = Arc<Vec<Mutex<TcpStream>>>;

/// A running load generator.
pub struct Callers {
    state: Arc<Mutex<State>>,
    streams: Streams,
    offering: JoinHandle<()>,
    client_timeout: Duration,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Counters and pending calls stay valid when another thread panics while it holds the lock.
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Callers {
    /// Connects to the controller and starts to offer calls.
    ///
    /// # Errors
    /// If a connection to the controller fails.
    pub fn start(controller: SocketAddr, load: Load) -> io::Result<Callers> {
        let answer_times = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        let report = LoadReport {
            offered: 0,
            established: 0,
            late: 0,
            refused: 0,
            failed: 0,
            unanswered: 0,
            duplicate_answers: 0,
            answer_times,
        };
        let state = State { report, pending: HashMap::new(), established: 0, finished: false };
        let (state, mut streams) = (Arc::new(Mutex::new(state)), Vec::new());
        for _ in 0..load.connections.max(1) {
            streams.push(Mutex::new(connect(controller)?));
        }
        let streams: Streams = Arc::new(streams);
        for index in 0..streams.len() {
            let (streams, state, latency_objective) =
                (streams.clone(), state.clone(), load.latency_objective);
            std::thread::spawn(move || {
                keep_connected(controller, &streams[index], index, &state, latency_objective)
            });
        }
        let (offer_streams, offer_state, client_timeout) =
            (streams.clone(), state.clone(), load.client_timeout);
        let offering = std::thread::spawn(move || offer_calls(&offer_streams, &offer_state, &load));
        Ok(Callers { state, streams, offering, client_timeout })
    }

    /// Returns the counts and answer times so far.
    pub fn report(&self) -> LoadReport {
        lock(&self.state).report.clone()
    }

    /// Returns the number of calls that are established at present.
    pub fn established_calls(&self) -> u64 {
        lock(&self.state).established
    }

    /// Waits until all calls are offered and answered or timed out, closes the connections and returns the report.
    pub fn finish(self) -> LoadReport {
        drop(self.offering.join());
        let end = Instant::now() + self.client_timeout;
        while Instant::now() < end && !lock(&self.state).pending.is_empty() {
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut state = lock(&self.state);
        state.report.unanswered += state.pending.len() as u64;
        state.pending.clear();
        state.finished = true;
        let report = state.report.clone();
        drop(state);
        self.streams.iter().for_each(|p| drop(lock(p).shutdown(Shutdown::Both)));
        report
    }
}

fn connect(controller: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(controller)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads answers from a connection, and replaces the connection each time it ends.
fn keep_connected(
    controller: SocketAddr,
    shared_stream: &Mutex<TcpStream>,
    index: usize,
    state: &Mutex<State>,
    latency_objective: Duration,
) -> io::Result<()> {
    loop {
        let (reader, writer) = {
            let stream = lock(shared_stream);
            (stream.try_clone()?, stream.try_clone()?)
        };
        read_answers(reader, writer, state, latency_objective);
        let mut stream = lock(shared_stream);
        let mut state = lock(state);
        if state.finished {
            return Ok(());
        }
        *stream = connect(controller)?;
        for call in state.pending.values_mut().filter(|c| c.stream_index == index && !c.resent) {
            call.resent = true;
            drop(stream.write_all(call.line.as_bytes()));
        }
    }
}

fn offer_calls(streams: &[Mutex<TcpStream>], state: &Mutex<State>, load: &Load) {
    let mut rng = fastrand::Rng::with_seed(load.seed);
    let (start, calls) = (Instant::now(), (load.rate * load.duration.as_secs_f64()) as u64);
    for n in 0..calls {
        let due = start + Duration::from_secs_f64(n as f64 / load.rate);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let sid = format!("{:016x}", rng.u64(1..));
        let destination = load.destinations[n as usize % load.destinations.len()];
        let attrs = json!({"class": load.class, "left": load.client_timeout.as_millis().to_string(),
            "extras": format!("dest:{destination};width:1;via:-1")});
        let text = format!("{sid}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n");
        let line = format!("{}\n", json!({"msg": "open", "sid": sid, "attrs": attrs, "text": text}));
        let stream_index = n as usize % streams.len();
        let mut stream = lock(&streams[stream_index]);
        let mut state = lock(state);
        state.report.offered += 1;
        state.pending.insert(
            sid,
            PendingCall { sent: Instant::now(), stream_index, line: line.clone(), resent: false },
        );
        drop(state);
        // If this write fails, `keep_connected` sends the request on the next connection.
        drop(stream.write_all(line.as_bytes()));
    }
}

fn read_answers(reader: TcpStream, mut writer: TcpStream, state: &Mutex<State>, latency_objective: Duration) {
    for line in BufReader::new(reader).lines().map_while(Result::ok) {
        let Ok(message) = serde_json::from_str::<Value>(&line) else { continue };
        let sid = message["sid"].as_str().unwrap_or_default().to_owned();
        let ready = message["msg"] == "ready";
        if !ready && message["msg"] != "close" {
            continue;
        }
        let mut guard = lock(state);
        let state = &mut *guard;
        match state.pending.remove(&sid) {
            Some(call) => {
                let answer_time = call.sent.elapsed();
                state.report.answer_times.saturating_record(answer_time.as_micros() as u64);
                match message["code"].as_u64() {
                    _ if ready => {
                        state.report.established += 1;
                        state.report.late += u64::from(answer_time > latency_objective);
                        state.established += 1;
                    }
                    Some(34 | 42 | 102) => state.report.refused += 1,
                    _ => state.report.failed += 1,
                }
            }
            None if ready => state.report.duplicate_answers += 1,
            None => {
                state.established = state.established.saturating_sub(1);
                drop(guard);
                let reply = format!("{}\n", json!({"msg": "closed", "sid": sid, "attrs": {}}));
                drop(writer.write_all(reply.as_bytes()));
            }
        }
    }
}
