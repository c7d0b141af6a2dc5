//! The log: structured events (tracing) behind a bounded queue with a thread of its own, so that a log that nobody
//! reads costs calls nothing. What does not fit in the queue is lost, and how much is counted and said.

use super::appliance_file::LogFormat;
use crate::protocol::json_lines::Sid;
use crate::routing::ledger::{Answer, Output};
use std::fmt;
use std::io;
use tracing::{Event, Level, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{reload, EnvFilter, Layer, Registry};

/// Lines that may wait to be written.
const LINES: usize = 1024;
/// What is logged where nobody says.
const USUAL: &str = "info";
/// Target of the events of calls.
pub const CALLS: &str = "walnuthatch::calls";
/// Target of the events of connections.
pub const CONNECTIONS: &str = "walnuthatch::connections";
/// The environment's variable for the filter.
pub const VARIABLE: &str = "WALNUTHATCH_LOG";

/// `walnuthatch: ` and the message, with the level before it where it is not the usual one, and the fields after it.
struct Plain;

impl<S, N> FormatEvent<S, N> for Plain
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        ctx: &FmtContext<'_, S, N>,
        mut out: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        out.write_str("walnuthatch: ")?;
        match *event.metadata().level() {
            Level::INFO => {}
            Level::WARN => out.write_str("warning: ")?,
            Level::ERROR => out.write_str("error: ")?,
            other => write!(out, "{}: ", other.as_str().to_ascii_lowercase())?,
        }
        ctx.format_fields(out.by_ref(), event)?;
        writeln!(out)
    }
}

/// The running log.
pub struct Log {
    filter: reload::Handle<EnvFilter, Registry>,
    lost: ErrorCounter,
    /// Writes what waits when it is dropped.
    _writer: WorkerGuard,
}

/// A filter that can't be read.
#[derive(Debug, thiserror::Error)]
#[error("log filter: found {found:?}, expected one as info,walnuthatch::drains=debug: {why}")]
pub struct BadFilter {
    found: String,
    why: String,
}

fn parse(filter: &str) -> Result<EnvFilter, BadFilter> {
    EnvFilter::try_new(filter).map_err(|e| BadFilter { found: filter.to_owned(), why: e.to_string() })
}

impl Log {
    /// Starts it.
    ///
    /// # Errors
    /// If the filter can't be read.
    pub fn start(filter: Option<&str>, format: LogFormat) -> Result<Log, BadFilter> {
        Log::onto(filter, format, io::stderr())
    }

    fn onto(
        filter: Option<&str>,
        format: LogFormat,
        out: impl io::Write + Send + 'static,
    ) -> Result<Log, BadFilter> {
        let (filter, handle) = reload::Layer::new(parse(filter.unwrap_or(USUAL))?);
        let queue = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES);
        let (writer, guard): (NonBlocking, WorkerGuard) = queue.finish(out);
        let lost = writer.error_counter();
        let layer = tracing_subscriber::fmt::layer().with_writer(writer).with_ansi(false);
        let layer: Box<dyn Layer<_> + Send + Sync> = match format {
            LogFormat::Plain => Box::new(layer.event_format(Plain)),
            LogFormat::Text => Box::new(layer),
            LogFormat::Json => Box::new(layer.json()),
        };
        // One that is there already, as in tests, goes on.
        let _ = tracing_subscriber::registry().with(filter).with(layer).try_init();
        Ok(Log { filter: handle, lost, _writer: guard })
    }

    /// What is logged from now on.
    ///
    /// # Errors
    /// If the filter can't be read; then the old one stays.
    pub fn set(&self, filter: &str) -> Result<(), BadFilter> {
        let new = parse(filter)?;
        self.filter.reload(new).map_err(|e| BadFilter { found: filter.to_owned(), why: e.to_string() })
    }

    /// What is logged.
    pub fn filter(&self) -> String {
        self.filter.with_current(ToString::to_string).unwrap_or_default()
    }

    /// Lines that were lost.
    pub fn lost(&self) -> u64 {
        self.lost.dropped_lines() as u64
    }
}

/// What becomes of calls, as events at the level debug. `sid` is the caller's name of the call, if it has one.
pub fn call(output: &Output, sid: Option<Sid>) {
    let sid = sid.map(tracing::field::display);
    match output {
        Output::Answer { call, answer, reason, destination, last_attempt: last, .. } => {
            let answer = match answer {
                Answer::Established(_) => "stands",
                Answer::Refused { .. } => "refused",
                Answer::Failed => "failed",
            };
            let exchange = destination.0;
            let last = last.and_then(|l| l.failure);
            tracing::debug!(target: CALLS, sid, call = call.0, exchange, ?reason, ?last, "{answer}");
        }
        Output::SetUp { call, attempt, timeout: wait, exchange_id } => {
            let (attempt, office) = (attempt.0, u32::from_be_bytes(exchange_id.addr));
            tracing::debug!(target: CALLS, sid, call = call.0, attempt, office, wait, "set-up sent");
        }
        Output::Clear { call, attempt, .. } => {
            tracing::debug!(target: CALLS, sid, call = call.0, attempt = attempt.0, "given up or released");
        }
        Output::AttemptEnded { call, exchange: leg, ending, cause } => {
            let exchange = leg.map(|e| e.0);
            tracing::debug!(target: CALLS, sid, call = call.0, exchange, ?cause, "set-up ended: {ending:?}");
        }
        Output::Release { call, cut, .. } => {
            tracing::debug!(target: CALLS, sid, call = call.0, cut, "over");
        }
        _ => {}
    }
}
