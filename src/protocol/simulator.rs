//! Parser and encoder for the simulator's frames and its settings text, which are translated to and from
//! [`crate::routing::interface`]. Any input gives a result or an error, and no routing decision is made here.

use crate::routing::interface::*;
use bytes::{Buf, BufMut};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Size of a batch header (bytes).
pub const HEADER_BYTES: usize = 16;
const LIST_ENTRY_BYTES: usize = 24;
const MAX_LISTS: u16 = 16;

/// Why a frame could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The frame ends inside a field.
    #[error("record {code} is truncated")]
    Truncated {
        /// Code of the record.
        code: u16,
    },
    /// The record code is unknown.
    #[error("unknown record code {0}")]
    UnknownCode(u16),
    /// A field has an invalid value.
    #[error("record {code}: invalid {what}")]
    InvalidField {
        /// Code of the record.
        code: u16,
        /// Name of the field.
        what: &'static str,
    },
    /// A record refers to a list that was not defined.
    #[error("list {0} is not defined")]
    UndefinedList(u16),
}

/// A setting with an invalid value.
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
    /// Number of bytes that follow.
    pub length: u32,
    /// The simulated time.
    pub now: Micros,
    /// The batch number.
    pub batch: u32,
}

/// A record of a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// The following records belong to this instance.
    Instance(u16),
    /// An instance starts.
    Start {
        /// Seed of its random number generator.
        seed: u64,
        /// Its settings, as text.
        settings: String,
    },
    /// An instance was killed.
    Kill,
    /// An event for the current instance.
    Event(Event),
}

/// The numbered exchange lists, shared by all instances of the process.
#[derive(Debug, Default)]
pub struct DefinedLists(BTreeMap<u16, Rc<[ListEntry]>>);

/// Parses a batch header.
pub fn parse_header(bytes: &[u8; HEADER_BYTES]) -> Result<Header, WireError> {
    let mut b = &bytes[..];
    let length = b.get_u32();
    let now = micros(b.get_f64());
    Ok(Header { length, now, batch: b.get_u32() })
}

/// Parses the records of a batch one by one.
pub struct Reader<'a> {
    rest: &'a [u8],
}

struct Fields<'a> {
    code: u16,
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    fn truncated(&self) -> WireError {
        WireError::Truncated { code: self.code }
    }
    fn invalid<T>(&self, what: &'static str) -> Result<T, WireError> {
        Err(WireError::InvalidField { code: self.code, what })
    }
    fn u8(&mut self) -> Result<u8, WireError> {
        self.rest.try_get_u8().map_err(|_| self.truncated())
    }
    fn u16(&mut self) -> Result<u16, WireError> {
        self.rest.try_get_u16().map_err(|_| self.truncated())
    }
    fn u32(&mut self) -> Result<u32, WireError> {
        self.rest.try_get_u32().map_err(|_| self.truncated())
    }
    fn u64(&mut self) -> Result<u64, WireError> {
        self.rest.try_get_u64().map_err(|_| self.truncated())
    }
    fn f32(&mut self) -> Result<f64, WireError> {
        self.rest.try_get_f32().map(f64::from).map_err(|_| self.truncated())
    }
    fn time(&mut self) -> Result<Micros, WireError> {
        self.rest.try_get_f64().map(micros).map_err(|_| self.truncated())
    }
    fn take(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        if n > self.rest.len() {
            return Err(self.truncated());
        }
        let (head, tail) = self.rest.split_at(n);
        self.rest = tail;
        Ok(head)
    }
    fn exchange_id(&mut self) -> Result<ExchangeId, WireError> {
        let a = self.take(4)?;
        Ok(ExchangeId { addr: [a[0], a[1], a[2], a[3]], port: self.u16()? })
    }
    fn report(&mut self, names: &[ReportField]) -> Result<LoadReport, WireError> {
        let n = self.u8()?;
        let mut out = LoadReport::default();
        for i in 0..usize::from(n) {
            let v = self.f32()?;
            let value = (v.is_finite() && v >= 0.0).then_some(v);
            match names.get(i).copied().unwrap_or(ReportField::Unknown) {
                ReportField::Free => out.free = value,
                ReportField::Size => out.size = value,
                ReportField::Active => out.active = value,
                ReportField::Waiting => out.waiting = value,
                ReportField::Busy => out.busy = value,
                ReportField::WaitMs => out.wait = value.map(micros),
                ReportField::AllowedRate => out.allowed_rate = value,
                ReportField::Reduction => out.reduction = value,
                ReportField::Unknown => {}
            }
        }
        Ok(out)
    }
}

impl<'a> Reader<'a> {
    /// Creates a reader of the records in `body`.
    pub fn new(body: &'a [u8]) -> Self {
        Reader { rest: body }
    }

    /// Returns the next record, or `None` at the end. `names` are the report fields of the current instance.
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
                let entries = || lists.0.get(&buffer).cloned().ok_or(WireError::UndefinedList(buffer));
                Event::List(match kind {
                    0 => ListUpdate::Changes(entries()?),
                    1 => ListUpdate::Complete(entries()?),
                    2 => ListUpdate::Cached(entries()?),
                    3 => ListUpdate::Failed,
                    _ => return f.invalid("kind of list"),
                })
            }
            1020 => Event::Call(new_call(&mut f)?),
            1030 => Event::Ended(outcome(&mut f, names)?),
            1100 => {
                let result = f.u8()?;
                let exchange_id = f.exchange_id()?;
                let _elapsed = f.time()?;
                let report = f.report(names)?;
                match result {
                    0 => Event::GroupReport { exchange_id, report },
                    _ => Event::ProbeFailed(exchange_id),
                }
            }
            1060 => Event::CallAbandoned(CallId(f.u32()?)),
            1090 => Event::Established {
                call: CallId(f.u32()?),
                attempt: AttemptNumber(f.u8()?),
                exchange_id: f.exchange_id()?,
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
    let exchange_id = f.exchange_id()?;
    let ending = match f.u8()? {
        0 => Ending::Completed,
        13 => Ending::Fault,
        8 => Ending::Full,
        4 => Ending::TimedOut,
        14 => Ending::Unreachable,
        10 => Ending::Reset,
        1 => Ending::Cancelled,
        9 => Ending::NotSent,
        _ => return f.invalid("outcome"),
    };
    let elapsed = f.time()?;
    let call_ended = f.u8()? != 0;
    let cause_code = f.u32()?;
    let cause = match cause_code {
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
    Ok(Outcome { call, attempt, exchange_id, ending, cause, elapsed, call_ended, report })
}

fn define_list(f: &mut Fields<'_>, lists: &mut DefinedLists) -> Result<(), WireError> {
    let number = f.u16()?;
    if number >= MAX_LISTS {
        return f.invalid("list number");
    }
    let n = f.u32()? as usize;
    let bytes = f.take(n.checked_mul(LIST_ENTRY_BYTES).ok_or_else(|| f.truncated())?)?;
    let mut entries = Vec::with_capacity(n);
    for chunk in bytes.chunks_exact(LIST_ENTRY_BYTES) {
        let mut e = Fields { code: f.code, rest: chunk };
        let exchange = ExchangeNumber(e.u16()?);
        let zone = e.u8()?;
        let state = match e.u8()? {
            0 => ListState::Ready,
            1 => ListState::Draining,
            2 => ListState::Gone,
            _ => return f.invalid("exchange state"),
        };
        let exchange_id = e.exchange_id()?;
        let (_capacity_hint, _machine) = (e.f32()?, e.u16()?);
        let start = e.time()?;
        let last_start = (start != 0).then_some(start);
        let kind = ExchangeKind::Exchange;
        entries.push(ListEntry { exchange, kind, zone, state, exchange_id, last_start });
    }
    lists.0.insert(number, entries.into());
    Ok(())
}

fn new_call(f: &mut Fields<'_>) -> Result<NewCall, WireError> {
    let call = CallId(f.u32()?);
    let _customer = f.u16()?;
    let destination = f.f32()?;
    let flags = f.u8()?;
    let number = f.u64()?;
    let circuits = f.f32()?;
    let remaining_time = f.time()?;
    let class = usize::from(f.u8()?);
    let _predicted = f.time()?;
    let via = f.f32()?;
    let Some(destination) = exchange(destination) else { return f.invalid("destination") };
    if !(0.0..=1e6).contains(&circuits) {
        return f.invalid("width");
    }
    Ok(NewCall {
        call,
        destination,
        transit: flags & 8 != 0,
        redialled: flags & 2 != 0,
        cut_before: flags & 16 != 0,
        number: (number != 0).then_some(number),
        circuits: (circuits.ceil() as u32).max(1),
        remaining_time,
        class,
        via: exchange(via),
        earliest_attempt: 0,
    })
}

fn exchange(v: f64) -> Option<ExchangeNumber> {
    (0.0..=65535.0).contains(&v).then_some(ExchangeNumber(v as u16))
}

/// Converts milliseconds to microseconds. NaN becomes 0; values that are too large are clamped.
fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().clamp(-9e15, 9e15) as Micros
}

fn millis(us: Micros) -> f64 {
    us as f64 / 1000.0
}

/// The reply to a batch.
#[derive(Debug, Default)]
pub struct Reply {
    body: Vec<u8>,
    instance: Option<u16>,
}

impl Reply {
    fn begin_action(&mut self, instance: u16, code: u16) {
        if self.instance != Some(instance) {
            self.instance = Some(instance);
            self.body.put_u16(1050);
            self.body.put_u16(instance);
        }
        self.body.put_u16(code);
    }

    fn put_text(&mut self, text: &str) {
        let mut end = text.len().min(usize::from(u16::MAX));
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        self.body.put_u16(end as u16);
        self.body.put_slice(&text.as_bytes()[..end]);
    }

    fn put_exchange_id(&mut self, exchange_id: ExchangeId) {
        self.body.put_slice(&exchange_id.addr);
        self.body.put_u16(exchange_id.port);
    }

    /// Appends an action of an instance.
    pub fn add_action(&mut self, instance: u16, action: &Action) {
        match action {
            Action::SetUp { call, exchange_id, timeout } => {
                self.begin_action(instance, 1070);
                self.body.put_u32(call.0);
                self.body.put_f64(timeout.map_or(0.0, millis));
                self.put_exchange_id(*exchange_id);
            }
            Action::SetTimer { after, token } => {
                self.begin_action(instance, 1020);
                self.body.put_f64(millis(*after));
                self.body.put_u64(*token);
            }
            Action::Refuse { call, retry_after } => {
                self.begin_action(instance, 1090);
                self.body.put_u32(call.0);
                self.body.put_f64(millis(*retry_after));
            }
            Action::Fail(call) => {
                self.begin_action(instance, 1120);
                self.body.put_u32(call.0);
            }
            Action::Cancel { call, attempt } => {
                self.begin_action(instance, 1060);
                self.body.put_u32(call.0);
                self.body.put_u8(attempt.0);
            }
            Action::Probe(exchange_id) => {
                self.begin_action(instance, 1110);
                self.put_exchange_id(*exchange_id);
            }
            Action::SendToPeer { to, body } => {
                self.begin_action(instance, 1100);
                self.body.put_u32(to.map_or(u32::MAX, |p| p.0));
                let n = body.len().min(256);
                self.body.put_u16(n as u16);
                self.body.put_slice(&body[..n]);
            }
            Action::FetchList => self.begin_action(instance, 1010),
            Action::Subscribe => {
                self.begin_action(instance, 1080);
                self.body.put_u8(1);
            }
            Action::Log(line) => {
                self.begin_action(instance, 1040);
                self.put_text(line);
            }
        }
    }

    /// Appends a report that the decision module of an instance has failed.
    pub fn report_failure(&mut self, instance: u16, text: &str) {
        self.begin_action(instance, 1000);
        self.put_text(text);
    }

    /// Returns the complete frame.
    pub fn into_frame(self, batch: u32) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.body.len() + 8);
        out.put_u32(self.body.len() as u32);
        out.put_u32(batch);
        out.extend_from_slice(&self.body);
        out
    }
}

struct SettingsText<'a>(BTreeMap<&'a str, &'a str>);

impl SettingsText<'_> {
    fn read<T>(&self, key: &str, default: T, parse: impl Fn(&str) -> Option<T>) -> Result<T, SettingsError> {
        match self.0.get(key) {
            None => Ok(default),
            Some(v) => parse(v).ok_or_else(|| SettingsError { key: key.to_owned(), value: (*v).to_owned() }),
        }
    }
    fn number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        self.read(key, default, number)
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

/// Parses the settings text. Unknown keys are skipped; missing keys get their default.
pub fn parse_settings(text: &str) -> Result<Settings, SettingsError> {
    let t = SettingsText(
        text.lines().filter_map(|l| l.split_once('=')).map(|(k, v)| (k.trim(), v.trim())).collect(),
    );
    let list = |key: &str| -> Vec<&str> {
        t.0.get(key).map_or(Vec::new(), |v| v.split(',').filter(|s| !s.is_empty()).collect())
    };
    let invalid = |key: &str, value: &str| SettingsError { key: key.to_owned(), value: value.to_owned() };
    let mut hold_times = Vec::new();
    for v in list("extra.classHold") {
        hold_times.push(micros(number(v).ok_or_else(|| invalid("extra.classHold", v))?));
    }
    let count = t.count("classes.count")?;
    if count > 256 {
        return Err(invalid("classes.count", &count.to_string()));
    }
    let mut classes = Vec::new();
    for i in 0..count as usize {
        let key = |name: &str| format!("classes.{i}.{name}");
        let client_timeout_key = key("giveUp");
        if !t.0.contains_key(client_timeout_key.as_str()) {
            return Err(invalid(&client_timeout_key, ""));
        }
        let client_timeout = t.time(&client_timeout_key)?;
        let latency_objective_key = key("aim");
        classes.push(Class {
            latency_objective: if t.0.contains_key(latency_objective_key.as_str()) {
                t.time(&latency_objective_key)?
            } else {
                client_timeout
            },
            client_timeout,
            late_value: t.number(&key("lateWorth"), 0.0)?,
            value: t.number(&key("worth"), 1.0)?,
            retry_policy: t.read(&key("effect"), RetryPolicy::Retryable, |v| match v {
                "retryable" => Some(RetryPolicy::Retryable),
                "dedup" | "fragile" => Some(RetryPolicy::AtMostOnce),
                _ => None,
            })?,
            mean_hold_time: hold_times.get(i).or(hold_times.first()).copied().unwrap_or(0),
            allowed_pools: pools(&t, &list("extra.allowedPools"), i),
        });
    }
    let own_exchange = t.number("extra.ownExchange", -1.0)?;
    Ok(Settings {
        classes,
        topology: t.read("extra.shape", Topology::Mesh, |v| match v {
            "meshed" => Some(Topology::Mesh),
            "groups" => Some(Topology::Pools),
            _ => None,
        })?,
        own_exchange: exchange(own_exchange),
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

/// The pools of class `i`, written as a list of lists or as one list for all classes.
fn pools(t: &SettingsText<'_>, flat: &[&str], i: usize) -> Vec<ExchangeNumber> {
    let own = t.0.get(format!("extra.allowedPools.{i}").as_str());
    let words: Vec<&str> = own.map_or_else(|| flat.to_vec(), |v| v.split(',').collect());
    words.into_iter().filter_map(number).filter_map(exchange).collect()
}
