//! Logging: structured events (tracing) are written by a separate thread from a bounded queue, so that a blocked log
//! reader never delays calls. Lines that do not fit in the queue are dropped and counted.

use super::appliance_file::LogFormat;
use crate::protocol::json_lines::Sid;
use crate::routing::ledger::{Answer, Ledger, Output};
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

/// Maximum number of lines in the queue.
const MAX_QUEUED_LINES: usize = 1024;
/// Log filter if none is configured.
const DEFAULT_FILTER: &str = "info";
/// Log target of call events.
pub const CALLS_TARGET: &str = "walnuthatch::calls";
/// Log target of connection events.
pub const CONNECTIONS_TARGET: &str = "walnuthatch::connections";
/// Environment variable that sets the log filter.
pub const FILTER_VARIABLE: &str = "WALNUTHATCH_LOG";

/// Formats an event as `walnuthatch: `, the level unless it is INFO, the message and the fields.
struct PlainFormat;

impl<S, N> FormatEvent<S, N> for PlainFormat
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

/// The log of the process.
pub struct Log {
    filter: reload::Handle<EnvFilter, Registry>,
    lost: ErrorCounter,
    /// Writes the queued lines when dropped.
    _writer: WorkerGuard,
}

/// A log filter that cannot be parsed.
#[derive(Debug, thiserror::Error)]
#[error(
    "log filter: found {found:?}, expected a filter, for example info,walnuthatch::drains=debug: {reason}"
)]
pub struct InvalidFilter {
    found: String,
    reason: String,
}

fn parse(filter: &str) -> Result<EnvFilter, InvalidFilter> {
    EnvFilter::try_new(filter).map_err(|e| InvalidFilter { found: filter.to_owned(), reason: e.to_string() })
}

impl Log {
    /// Starts logging to standard error.
    ///
    /// # Errors
    /// If the filter cannot be parsed.
    pub fn start(filter: Option<&str>, format: LogFormat) -> Result<Log, InvalidFilter> {
        Log::with_writer(filter, format, io::stderr())
    }

    fn with_writer(
        filter: Option<&str>,
        format: LogFormat,
        out: impl io::Write + Send + 'static,
    ) -> Result<Log, InvalidFilter> {
        let (filter, handle) = reload::Layer::new(parse(filter.unwrap_or(DEFAULT_FILTER))?);
        let queue = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
        let (writer, guard): (NonBlocking, WorkerGuard) = queue.finish(out);
        let lost = writer.error_counter();
        let layer = tracing_subscriber::fmt::layer().with_writer(writer).with_ansi(false);
        let layer: Box<dyn Layer<_> + Send + Sync> = match format {
            LogFormat::Plain => Box::new(layer.event_format(PlainFormat)),
            LogFormat::Text => Box::new(layer),
            LogFormat::Json => Box::new(layer.json()),
        };
        // A subscriber that is already installed, as in tests, stays in use.
        let _ = tracing_subscriber::registry().with(filter).with(layer).try_init();
        Ok(Log { filter: handle, lost, _writer: guard })
    }

    /// Replaces the log filter.
    ///
    /// # Errors
    /// If the filter cannot be parsed; the current one then stays in use.
    pub fn set_filter(&self, filter: &str) -> Result<(), InvalidFilter> {
        let parsed = parse(filter)?;
        self.filter
            .reload(parsed)
            .map_err(|e| InvalidFilter { found: filter.to_owned(), reason: e.to_string() })
    }

    /// The current log filter.
    pub fn filter(&self) -> String {
        self.filter.with_current(ToString::to_string).unwrap_or_default()
    }

    /// Number of lines that were dropped because the queue was full.
    pub fn lost_lines(&self) -> u64 {
        self.lost.dropped_lines() as u64
    }
}

/// Logs the progress of a call at level DEBUG. `sid` is the caller's name of the call, if it has one.
pub fn log_call_output(output: &Output, sid: Option<Sid>, ledger: &Ledger) {
    let sid = sid.map(tracing::field::display);
    match output {
        Output::Answer { call, answer, reason, destination, last_attempt, .. } => {
            let answer = match answer {
                Answer::Established(_) => "stands",
                Answer::Refused { .. } => "refused",
                Answer::Failed => "failed",
            };
            let exchange = destination.0;
            let failure = last_attempt.and_then(|a| a.failure);
            tracing::debug!(target: CALLS_TARGET, sid, call = call.0, exchange, ?reason, last = ?failure, "{answer}");
        }
        Output::SetUp { call, attempt, timeout, exchange_id } => {
            let (attempt, address) = (attempt.0, u32::from_be_bytes(exchange_id.addr));
            // Looked up within the macro, which evaluates its fields only if the line is logged.
            tracing::debug!(
                target: CALLS_TARGET, sid, call = call.0, attempt, office = address,
                exchange = ledger.administrative_state().exchange_of(*exchange_id).map(|e| e.0),
                destination = ledger.offered_call(*call).map(|o| o.new_call.destination.0),
                wait = timeout, "set-up sent"
            );
        }
        Output::Clear { call, attempt, .. } => {
            let attempt = attempt.0;
            tracing::debug!(target: CALLS_TARGET, sid, call = call.0, attempt, "cancelled or released");
        }
        Output::AttemptEnded { call, exchange, ending, cause } => {
            let exchange = exchange.map(|e| e.0);
            tracing::debug!(target: CALLS_TARGET, sid, call = call.0, exchange, ?cause, "set-up ended: {ending:?}");
        }
        Output::Release { call, cut, .. } => {
            tracing::debug!(target: CALLS_TARGET, sid, call = call.0, cut, "released");
        }
        _ => {}
    }
}
