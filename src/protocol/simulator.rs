//! The simulator's frames and settings text, to and from [`crate::routing::interface`]. Pure translation: total on
//! any bytes, and no decision is made here.

use crate::routing::interface::*;
use bytes::{Buf, BufMut};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Bytes of a batch header.
pub const HEADER_BYTES: usize = 16;
const LIST_ENTRY_BYTES: usize = 24;
const MAX_LISTS: u16 = 16;

/// Why a frame could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The frame ends inside a field.
    #[error("record {code} is cut short")]
    Truncated {
        /// Code of the record.
        code: u16,
    },
    /// A code that no event has.
    #[error("unknown record code {0}")]
    UnknownCode(u16),
    /// A field holds what it cannot.
    #[error("record {code}: impossible {what}")]
    InvalidField {
        /// Code of the record.
        code: u16,
        /// The field.
        what: &'static str,
    },
    /// A record names a list that was never defined.
    #[error("list {0} was never defined")]
    UndefinedList(u16),
}

/// Why settings could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("setting {key}: cannot read {value:?}")]
pub struct SettingsError {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: String,
}

/// A batch header.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Header {
    /// Bytes that follow.
    pub length: u32,
    /// The clock.
    pub now: Micros,
    /// The batch number.
    pub batch: u32,
}

/// What a record says.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// The events after it belong to this instance.
    Instance(u16),
    /// An instance starts.
    Start {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings, as text.
        settings: String,
    },
    /// An instance was killed.
    Kill,
    /// An event of the present instance.
    Event(Event),
}

/// The numbered lists of offices, shared by the process.
#[derive(Debug, Default)]
pub struct DefinedLists(BTreeMap<u16, Rc<[ListEntry]>>);

/// Reads a batch header.
pub fn parse_header(bytes: &[u8; HEADER_BYTES]) -> Result<Header, WireError> {
    let mut b = &bytes[..];
    let length = b.get_u32();
    let now = micros(b.get_f64());
    Ok(Header { length, now, batch: b.get_u32() })
}

/// Reads the records of a batch one by one.
pub struct Reader<'a> {
    rest: &'a [u8],
}

struct Fields<'a> {
    code: u16,
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    fn cut(&self) -> WireError {
        WireError::Truncated { code: self.code }
    }
    fn bad<T>(&self, what: &'static str) -> Result<T, WireError> {
        Err(WireError::InvalidField { code: self.code, what })
    }
    fn u8(&mut self) -> Result<u8, WireError> {
        self.rest.try_get_u8().map_err(|_| self.cut())
    }
    fn u16(&mut self) -> Result<u16, WireError> {
        self.rest.try_get_u16().map_err(|_| self.cut())
    }
    fn u32(&mut self) -> Result<u32, WireError> {
        self.rest.try_get_u32().map_err(|_| self.cut())
    }
    fn u64(&mut self) -> Result<u64, WireError> {
        self.rest.try_get_u64().map_err(|_| self.cut())
    }
    fn f32(&mut self) -> Result<f64, WireError> {
        self.rest.try_get_f32().map(f64::from).map_err(|_| self.cut())
    }
    fn time(&mut self) -> Result<Micros, WireError> {
        self.rest.try_get_f64().map(micros).map_err(|_| self.cut())
    }
    fn take(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        if n > self.rest.len() {
            return Err(self.cut());
        }
        let (head, tail) = self.rest.split_at(n);
        self.rest = tail;
        Ok(head)
    }
    fn office(&mut self) -> Result<ExchangeId, WireError> {
        let a = self.take(4)?;
        Ok(ExchangeId { addr: [a[0], a[1], a[2], a[3]], port: self.u16()? })
    }
    fn report(&mut self, names: &[ReportField]) -> Result<LoadReport, WireError> {
        let n = self.u8()?;
        let mut out = LoadReport::default();
        for i in 0..usize::from(n) {
            let v = self.f32()?;
            let told = (v.is_finite() && v >= 0.0).then_some(v);
            match names.get(i).copied().unwrap_or(ReportField::Unknown) {
                ReportField::Free => out.free = told,
                ReportField::Size => out.size = told,
                ReportField::Active => out.active = told,
                ReportField::Waiting => out.waiting = told,
                ReportField::Busy => out.busy = told,
                ReportField::WaitMs => out.wait = told.map(micros),
                ReportField::AllowedRate => out.allowed_rate = told,
                ReportField::Reduction => out.reduction = told,
                ReportField::Unknown => {}
            }
        }
        Ok(out)
    }
}

impl<'a> Reader<'a> {
    /// A reader of the records in `body`.
    pub fn new(body: &'a [u8]) -> Self {
        Reader { rest: body }
    }

    /// The next record, or `None` at the end; `names` are the report fields of the present instance.
    pub fn next(
        &mut self,
        lists: &mut DefinedLists,
        names: &[ReportField],
    ) -> Option<Result<Record, WireError>> {
        while !self.rest.is_empty() {
            match self.record(lists, names) {
                Ok(None) => continue,
                Ok(Some(r)) => return Some(Ok(r)),
                Err(e) => {
                    self.rest = &[];
                    return Some(Err(e));
                }
            }
        }
        None
    }

    fn record(
        &mut self,
        lists: &mut DefinedLists,
        names: &[ReportField],
    ) -> Result<Option<Record>, WireError> {
        let mut f = Fields { code: 0, rest: self.rest };
        f.code = f.u16()?;
        let event = match f.code {
            1010 => {
                let instance = f.u16()?;
                self.rest = f.rest;
                return Ok(Some(Record::Instance(instance)));
            }
            1000 => {
                let seed = f.u64()?;
                let n = f.u32()? as usize;
                let settings = String::from_utf8_lossy(f.take(n)?).into_owned();
                self.rest = f.rest;
                return Ok(Some(Record::Start { seed, settings }));
            }
            1070 => {
                self.rest = f.rest;
                return Ok(Some(Record::Kill));
            }
            1040 => {
                define_list(&mut f, lists)?;
                self.rest = f.rest;
                return Ok(None);
            }
            1110 => {
                let buffer = f.u16()?;
                let kind = f.u8()?;
                let _version = f.u32()?;
                let held = || lists.0.get(&buffer).cloned().ok_or(WireError::UndefinedList(buffer));
                Event::List(match kind {
                    0 => ListUpdate::Changes(held()?),
                    1 => ListUpdate::Complete(held()?),
                    2 => ListUpdate::Cached(held()?),
                    3 => ListUpdate::Failed,
                    _ => return f.bad("kind of list"),
                })
            }
            1020 => Event::Call(new_call(&mut f)?),
            1030 => Event::Ended(outcome(&mut f, names)?),
            1100 => {
                let verdict = f.u8()?;
                let office = f.office()?;
                let _took = f.time()?;
                let report = f.report(names)?;
                match verdict {
                    0 => Event::GroupReport { exchange_id: office, report },
                    _ => Event::ProbeFailed(office),
                }
            }
            1060 => Event::CallAbandoned(CallId(f.u32()?)),
            1090 => Event::Established {
                call: CallId(f.u32()?),
                attempt: AttemptNumber(f.u8()?),
                exchange_id: f.office()?,
                setup_time: f.time()?,
            },
            1050 => {
                let from = PeerNumber(f.u32()?);
                let n = usize::from(f.u16()?);
                Event::PeerMessage { from, body: f.take(n)?.to_vec() }
            }
            1080 => Event::Timer(f.u64()?),
            other => return Err(WireError::UnknownCode(other)),
        };
        self.rest = f.rest;
        Ok(Some(Record::Event(event)))
    }
}

fn outcome(f: &mut Fields<'_>, names: &[ReportField]) -> Result<Outcome, WireError> {
    let call = CallId(f.u32()?);
    let attempt = AttemptNumber(f.u8()?);
    let office = f.office()?;
    let ending = match f.u8()? {
        0 => Ending::Completed,
        13 => Ending::Fault,
        8 => Ending::Full,
        4 => Ending::TimedOut,
        14 => Ending::Unreachable,
        10 => Ending::Reset,
        1 => Ending::Cancelled,
        9 => Ending::NotSent,
        _ => return f.bad("outcome"),
    };
    let took = f.time()?;
    let over = f.u8()? != 0;
    let note = f.u32()?;
    let cause = match note {
        0 => Cause::None,
        2 => Cause::TurnedBack,
        18 => Cause::FarProcessorFull,
        n if n & 15 == 1 => Cause::NoCircuit,
        n if n & 15 == 3 => {
            Cause::ProcessorFull((n >= 16).then(|| Micros::from(n >> 4).saturating_mul(1000)))
        }
        n if n & 15 == 4 => Cause::LinesBusy,
        n if n & 15 == 2 => Cause::TurnedBack,
        _ => Cause::None,
    };
    let report = f.report(names)?;
    Ok(Outcome { call, attempt, exchange_id: office, ending, cause, elapsed: took, call_ended: over, report })
}

fn define_list(f: &mut Fields<'_>, lists: &mut DefinedLists) -> Result<(), WireError> {
    let number = f.u16()?;
    if number >= MAX_LISTS {
        return f.bad("list number");
    }
    let n = f.u32()? as usize;
    let bytes = f.take(n.checked_mul(LIST_ENTRY_BYTES).ok_or_else(|| f.cut())?)?;
    let mut entries = Vec::with_capacity(n);
    for chunk in bytes.chunks_exact(LIST_ENTRY_BYTES) {
        let mut e = Fields { code: f.code, rest: chunk };
        let exchange = ExchangeNumber(e.u16()?);
        let zone = e.u8()?;
        let state = match e.u8()? {
            0 => ListState::Ready,
            1 => ListState::Draining,
            2 => ListState::Gone,
            _ => return f.bad("office state"),
        };
        let office = e.office()?;
        let (_capacity_hint, _machine) = (e.f32()?, e.u16()?);
        let start = e.time()?;
        let last_start = (start != 0).then_some(start);
        entries.push(ListEntry { exchange, zone, state, exchange_id: office, last_start });
    }
    lists.0.insert(number, entries.into());
    Ok(())
}

fn new_call(f: &mut Fields<'_>) -> Result<NewCall, WireError> {
    let call = CallId(f.u32()?);
    let _customer = f.u16()?;
    let destination = f.f32()?;
    let marks = f.u8()?;
    let number = f.u64()?;
    let width = f.f32()?;
    let patience = f.time()?;
    let class = usize::from(f.u8()?);
    let _predicted = f.time()?;
    let via = f.f32()?;
    let Some(destination) = exchange(destination) else { return f.bad("destination") };
    if !(0.0..=1e6).contains(&width) {
        return f.bad("width");
    }
    Ok(NewCall {
        call,
        destination,
        transit: marks & 8 != 0,
        redialled: marks & 2 != 0,
        cut_before: marks & 16 != 0,
        number: (number != 0).then_some(number),
        circuits: (width.ceil() as u32).max(1),
        remaining_time: patience,
        class,
        via: exchange(via),
        earliest_attempt: 0,
    })
}

fn exchange(v: f64) -> Option<ExchangeNumber> {
    (0.0..=65535.0).contains(&v).then_some(ExchangeNumber(v as u16))
}

/// Milliseconds to microseconds; what is no number becomes 0, what is too large the largest value.
fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().clamp(-9e15, 9e15) as Micros
}

fn millis(us: Micros) -> f64 {
    us as f64 / 1000.0
}

/// The reply to one batch.
#[derive(Debug, Default)]
pub struct Reply {
    body: Vec<u8>,
    by: Option<u16>,
}

impl Reply {
    fn begin(&mut self, instance: u16, code: u16) {
        if self.by != Some(instance) {
            self.by = Some(instance);
            self.body.put_u16(1050);
            self.body.put_u16(instance);
        }
        self.body.put_u16(code);
    }

    fn text(&mut self, text: &str) {
        let mut end = text.len().min(usize::from(u16::MAX));
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        self.body.put_u16(end as u16);
        self.body.put_slice(&text.as_bytes()[..end]);
    }

    fn office(&mut self, office: ExchangeId) {
        self.body.put_slice(&office.addr);
        self.body.put_u16(office.port);
    }

    /// Adds an action of an instance.
    pub fn add_action(&mut self, instance: u16, action: &Action) {
        match action {
            Action::SetUp { call, exchange_id: office, timeout } => {
                self.begin(instance, 1070);
                self.body.put_u32(call.0);
                self.body.put_f64(timeout.map_or(0.0, millis));
                self.office(*office);
            }
            Action::SetTimer { after, token } => {
                self.begin(instance, 1020);
                self.body.put_f64(millis(*after));
                self.body.put_u64(*token);
            }
            Action::Refuse { call, retry_after: pause } => {
                self.begin(instance, 1090);
                self.body.put_u32(call.0);
                self.body.put_f64(millis(*pause));
            }
            Action::Fail(call) => {
                self.begin(instance, 1120);
                self.body.put_u32(call.0);
            }
            Action::Cancel { call, attempt } => {
                self.begin(instance, 1060);
                self.body.put_u32(call.0);
                self.body.put_u8(attempt.0);
            }
            Action::Probe(office) => {
                self.begin(instance, 1110);
                self.office(*office);
            }
            Action::SendToPeer { to, body } => {
                self.begin(instance, 1100);
                self.body.put_u32(to.map_or(u32::MAX, |p| p.0));
                let n = body.len().min(256);
                self.body.put_u16(n as u16);
                self.body.put_slice(&body[..n]);
            }
            Action::FetchList => self.begin(instance, 1010),
            Action::Subscribe => {
                self.begin(instance, 1080);
                self.body.put_u8(1);
            }
            Action::Log(line) => {
                self.begin(instance, 1040);
                self.text(line);
            }
        }
    }

    /// Reports that the decision code of an instance has failed.
    pub fn report_failure(&mut self, instance: u16, text: &str) {
        self.begin(instance, 1000);
        self.text(text);
    }

    /// The whole frame.
    pub fn into_frame(self, batch: u32) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.body.len() + 8);
        out.put_u32(self.body.len() as u32);
        out.put_u32(batch);
        out.extend_from_slice(&self.body);
        out
    }
}

struct Text<'a>(BTreeMap<&'a str, &'a str>);

impl Text<'_> {
    fn read<T>(&self, key: &str, absent: T, parse: impl Fn(&str) -> Option<T>) -> Result<T, SettingsError> {
        match self.0.get(key) {
            None => Ok(absent),
            Some(v) => parse(v).ok_or_else(|| SettingsError { key: key.to_owned(), value: (*v).to_owned() }),
        }
    }
    fn number(&self, key: &str, absent: f64) -> Result<f64, SettingsError> {
        self.read(key, absent, number)
    }
    fn time(&self, key: &str) -> Result<Micros, SettingsError> {
        Ok(micros(self.number(key, 0.0)?))
    }
    fn count(&self, key: &str) -> Result<u32, SettingsError> {
        Ok(self.number(key, 0.0)?.clamp(0.0, 4e9) as u32)
    }
    fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        self.read(key, false, |v| match v {
            "true" | "1" => Some(true),
            "false" | "0" | "" => Some(false),
            _ => None,
        })
    }
}

fn number(v: &str) -> Option<f64> {
    v.trim().parse::<f64>().ok().filter(|n| n.is_finite())
}

/// Reads the settings text. Unknown keys are passed over, missing ones mean what their absence means.
pub fn parse_settings(text: &str) -> Result<Settings, SettingsError> {
    let t = Text(text.lines().filter_map(|l| l.split_once('=')).map(|(k, v)| (k.trim(), v.trim())).collect());
    let list = |key: &str| -> Vec<&str> {
        t.0.get(key).map_or(Vec::new(), |v| v.split(',').filter(|s| !s.is_empty()).collect())
    };
    let bad = |key: &str, value: &str| SettingsError { key: key.to_owned(), value: value.to_owned() };
    let mut holds = Vec::new();
    for v in list("extra.classHold") {
        holds.push(micros(number(v).ok_or_else(|| bad("extra.classHold", v))?));
    }
    let count = t.count("classes.count")?;
    if count > 256 {
        return Err(bad("classes.count", &count.to_string()));
    }
    let mut classes = Vec::new();
    for i in 0..count as usize {
        let key = |name: &str| format!("classes.{i}.{name}");
        let give_up = key("giveUp");
        if !t.0.contains_key(give_up.as_str()) {
            return Err(bad(&give_up, ""));
        }
        let give_up = t.time(&give_up)?;
        let aim = key("aim");
        classes.push(Class {
            latency_objective: if t.0.contains_key(aim.as_str()) { t.time(&aim)? } else { give_up },
            client_timeout: give_up,
            late_value: t.number(&key("lateWorth"), 0.0)?,
            value: t.number(&key("worth"), 1.0)?,
            retry_policy: t.read(&key("effect"), RetryPolicy::Retryable, |v| match v {
                "retryable" => Some(RetryPolicy::Retryable),
                "dedup" | "fragile" => Some(RetryPolicy::AtMostOnce),
                _ => None,
            })?,
            mean_hold_time: holds.get(i).or(holds.first()).copied().unwrap_or(0),
            allowed_pools: pools(&t, &list("extra.allowedPools"), i),
        });
    }
    let own = t.number("extra.ownExchange", -1.0)?;
    Ok(Settings {
        classes,
        topology: t.read("extra.shape", Topology::Mesh, |v| match v {
            "meshed" => Some(Topology::Mesh),
            "groups" => Some(Topology::Pools),
            _ => None,
        })?,
        own_exchange: exchange(own),
        zone: t.count("zone")?.min(255) as u8,
        controller_count: t.count("siblings")?.max(1),
        own_peer: PeerNumber(t.count("rank")?),
        membership_mode: t.read("membershipMode", MembershipMode::Pushed, |v| match v {
            "pushed" => Some(MembershipMode::Pushed),
            "on_request" => Some(MembershipMode::OnRequest),
            _ => None,
        })?,
        report_fields: list("report.fields").into_iter().map(report_field).collect(),
        quiet_period: t.time("extra.release")?,
        may_cancel: t.flag("limits.mayCancel")?,
        may_probe: t.flag("limits.mayProbe")?,
        may_message_peers: t.flag("limits.peers")?,
        max_retry_after: t.time("limits.maxRetryAfter")?,
        max_attempts: t.count("limits.tryLimit")?,
        max_open_calls: t.count("limits.openCap")?,
        max_list_age: t.time("rules.mustAskIn")?,
        drain_grace: t.time("rules.stopSendingWithin")?,
        cold_start_capacity: t.number("rules.coldFrom", 0.0)?,
        cold_start_period: t.time("rules.cold")?,
        overload_factor: t.number("rules.overloadFactor", 0.0)?,
        overload_window: t.time("rules.fall")?,
        min_batch_interval: t.time("tick")?,
    })
}

fn report_field(name: &str) -> ReportField {
    match name {
        "spare" => ReportField::Free,
        "total" => ReportField::Size,
        "active" => ReportField::Active,
        "waiting" => ReportField::Waiting,
        "cpu" => ReportField::Busy,
        "avg_ms" => ReportField::WaitMs,
        "allowed" => ReportField::AllowedRate,
        "cut_by" => ReportField::Reduction,
        _ => ReportField::Unknown,
    }
}

/// The pools of class `i`: written as a list of lists, or as one list for all classes.
fn pools(t: &Text<'_>, flat: &[&str], i: usize) -> Vec<ExchangeNumber> {
    let own = t.0.get(format!("extra.allowedPools.{i}").as_str());
    let words: Vec<&str> = own.map_or_else(|| flat.to_vec(), |v| v.split(',').collect());
    words.into_iter().filter_map(number).filter_map(exchange).collect()
}
