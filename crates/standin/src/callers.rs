//! Stand-in callers: offer calls at an even rate, and write down when each was answered and how.

use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::fmt;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What is offered.
#[derive(Clone, Debug)]
pub struct Load {
    /// Calls a second.
    pub rate: f64,
    /// For how long.
    pub duration: Duration,
    /// Exchanges that calls go to, in turn.
    pub destinations: Vec<u16>,
    /// The class, by its name.
    pub class: String,
    /// How long a caller waits.
    pub client_timeout: Duration,
    /// A call that stands later than this is late.
    pub latency_objective: Duration,
    /// Connections that the calls are spread over.
    pub connections: usize,
    /// For the calls' names.
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Calls offered.
    pub offered: u64,
    /// Calls that stood.
    pub established: u64,
    /// Those of them that stood later than the aim.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Not answered before the caller gave up.
    pub unanswered: u64,
    /// Second final answers to one call.
    pub duplicate_answers: u64,
    /// How long answers took (µs).
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

struct Open {
    since: Instant,
    /// The connection that it was sent on.
    pen: usize,
    line: String,
    /// A set-up that crosses the end of its connection is sent again, once.
    again: bool,
}

struct Books {
    table: LoadReport,
    /// Calls that wait for their answer.
    open: HashMap<String, Open>,
    standing: u64,
    over: bool,
}

type Pens = Arc<Vec<Mutex<TcpStream>>>;

/// Callers at work.
pub struct Callers {
    books: Arc<Mutex<Books>>,
    pens: Pens,
    pace: JoinHandle<()>,
    patience: Duration,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    // What a thread that panicked has written is counts still.
    of.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Callers {
    /// Starts to offer calls.
    ///
    /// # Errors
    /// If the controller can't be reached.
    pub fn start(to: SocketAddr, load: Load) -> io::Result<Callers> {
        let answer_times = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        let table = LoadReport {
            offered: 0,
            established: 0,
            late: 0,
            refused: 0,
            failed: 0,
            unanswered: 0,
            duplicate_answers: 0,
            answer_times,
        };
        let books = Books { table, open: HashMap::new(), standing: 0, over: false };
        let (books, mut streams) = (Arc::new(Mutex::new(books)), Vec::new());
        for _ in 0..load.connections.max(1) {
            streams.push(Mutex::new(connect(to)?));
        }
        let pens: Pens = Arc::new(streams);
        for n in 0..pens.len() {
            let (pens, books, aim) = (pens.clone(), books.clone(), load.latency_objective);
            std::thread::spawn(move || keep(to, &pens[n], n, &books, aim));
        }
        let (mine, shared, patience) = (pens.clone(), books.clone(), load.client_timeout);
        let pace = std::thread::spawn(move || offer(&mine, &shared, &load));
        Ok(Callers { books, pens, pace, patience })
    }

    /// What came of it so far.
    pub fn report(&self) -> LoadReport {
        lock(&self.books).table.clone()
    }

    /// Calls that stand.
    pub fn established_calls(&self) -> u64 {
        lock(&self.books).standing
    }

    /// Waits until all calls are offered and answered, or given up.
    pub fn finish(self) -> LoadReport {
        drop(self.pace.join());
        let end = Instant::now() + self.patience;
        while Instant::now() < end && !lock(&self.books).open.is_empty() {
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut books = lock(&self.books);
        books.table.unanswered += books.open.len() as u64;
        books.open.clear();
        books.over = true;
        let table = books.table.clone();
        drop(books);
        self.pens.iter().for_each(|p| drop(lock(p).shutdown(Shutdown::Both)));
        table
    }
}

fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(to)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Listens on one connection, and on the next one when it has ended.
fn keep(
    to: SocketAddr,
    pen: &Mutex<TcpStream>,
    n: usize,
    books: &Mutex<Books>,
    aim: Duration,
) -> io::Result<()> {
    loop {
        let (reader, writer) = {
            let stream = lock(pen);
            (stream.try_clone()?, stream.try_clone()?)
        };
        listen(reader, writer, books, aim);
        let mut stream = lock(pen);
        let mut b = lock(books);
        if b.over {
            return Ok(());
        }
        *stream = connect(to)?;
        for open in b.open.values_mut().filter(|o| o.pen == n && !o.again) {
            open.again = true;
            drop(stream.write_all(open.line.as_bytes()));
        }
    }
}

fn offer(pens: &[Mutex<TcpStream>], books: &Mutex<Books>, load: &Load) {
    let mut rng = fastrand::Rng::with_seed(load.seed);
    let (start, calls) = (Instant::now(), (load.rate * load.duration.as_secs_f64()) as u64);
    for n in 0..calls {
        let due = start + Duration::from_secs_f64(n as f64 / load.rate);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let sid = format!("{:016x}", rng.u64(1..));
        let to = load.destinations[n as usize % load.destinations.len()];
        let attrs = json!({"class": load.class, "left": load.client_timeout.as_millis().to_string(),
            "extras": format!("dest:{to};width:1;via:-1")});
        let text = format!("{sid}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n");
        let line = format!("{}\n", json!({"msg": "open", "sid": sid, "attrs": attrs, "text": text}));
        let pen = n as usize % pens.len();
        let mut stream = lock(&pens[pen]);
        let mut b = lock(books);
        b.table.offered += 1;
        b.open.insert(sid, Open { since: Instant::now(), pen, line: line.clone(), again: false });
        drop(b);
        // One that does not leave goes out on the next connection.
        drop(stream.write_all(line.as_bytes()));
    }
}

fn listen(reader: TcpStream, mut writer: TcpStream, books: &Mutex<Books>, aim: Duration) {
    for line in BufReader::new(reader).lines().map_while(Result::ok) {
        let Ok(m) = serde_json::from_str::<Value>(&line) else { continue };
        let sid = m["sid"].as_str().unwrap_or_default().to_owned();
        let ready = m["msg"] == "ready";
        if !ready && m["msg"] != "close" {
            continue;
        }
        let mut guard = lock(books);
        let b = &mut *guard;
        match b.open.remove(&sid) {
            Some(open) => {
                let took = open.since.elapsed();
                b.table.answer_times.saturating_record(took.as_micros() as u64);
                match m["code"].as_u64() {
                    _ if ready => {
                        b.table.established += 1;
                        b.table.late += u64::from(took > aim);
                        b.standing += 1;
                    }
                    Some(34 | 42 | 102) => b.table.refused += 1,
                    _ => b.table.failed += 1,
                }
            }
            None if ready => b.table.duplicate_answers += 1,
            None => {
                b.standing = b.standing.saturating_sub(1);
                drop(guard);
                let heard = format!("{}\n", json!({"msg": "closed", "sid": sid, "attrs": {}}));
                drop(writer.write_all(heard.as_bytes()));
            }
        }
    }
}
