//! The telemetry exporter: a task that sends snapshots from a bounded queue to the OTLP collector. The event loop
//! never waits for it.

use crate::protocol::otlp::{interpret_response, CallSpan, Encoder, ExportResult, MetricsSnapshot, Signal};
use crate::routing::interface::Micros;
use crate::transport::http;
use async_channel::Receiver;
use async_io::Timer;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of buffered spans while the collector is unavailable; the oldest are dropped first.
const MAX_BUFFERED_SPANS: usize = 2048;
/// Maximum number of spans in one request.
const MAX_SPANS_PER_REQUEST: usize = 512;
/// Initial and maximum retry delay if the collector sends no Retry-After (µs); it doubles with each retry.
const RETRY_DELAY: (Micros, Micros) = (1_000_000, 60_000_000);

/// Counters of the exporter, shared with the event loop.
#[derive(Debug, Default)]
pub struct ExportCounters {
    /// Requests that the collector accepted.
    pub accepted: Cell<u64>,
    /// Items that the collector rejected.
    pub rejected: Cell<u64>,
    /// Requests that are retried.
    pub retried: Cell<u64>,
    /// Spans and requests that were dropped.
    pub dropped: Cell<u64>,
}

fn add(cell: &Cell<u64>, n: u64) {
    cell.set(cell.get() + n);
}

impl ExportCounters {
    /// The counters under their names.
    pub fn values(&self) -> Vec<(String, u64)> {
        let rows = [
            ("otlp.taken", &self.accepted),
            ("otlp.rejected", &self.rejected),
            ("otlp.again", &self.retried),
            ("otlp.dropped", &self.dropped),
        ];
        rows.map(|(name, cell)| (name.to_owned(), cell.get())).to_vec()
    }
}

/// Exports snapshots until the queue is closed. Metrics are cumulative, so only the newest snapshot is kept while the
/// collector is unavailable; up to `MAX_BUFFERED_SPANS` spans are kept.
pub async fn export(
    collector: SocketAddr,
    encoder: Encoder,
    queue: Receiver<MetricsSnapshot>,
    counters: Rc<ExportCounters>,
) {
    let mut spans: Vec<CallSpan> = Vec::new();
    let mut retry_delay = RETRY_DELAY.0;
    let mut newest: Option<MetricsSnapshot> = None;
    loop {
        if newest.is_none() && spans.is_empty() {
            match queue.recv().await {
                Ok(s) => buffer(s, &mut newest, &mut spans, &counters),
                Err(_) => return,
            }
        }
        while let Ok(s) = queue.try_recv() {
            buffer(s, &mut newest, &mut spans, &counters);
        }
        let (signal, body, span_count) = match &newest {
            Some(s) => (Signal::Metrics, encoder.metrics(s), 0),
            None => {
                let span_count = spans.len().min(MAX_SPANS_PER_REQUEST);
                (Signal::Spans, encoder.spans(&spans[..span_count]), span_count)
            }
        };
        let result = match http::post(collector, signal.path(), &body).await {
            Ok(r) => interpret_response(signal, r.status, r.retry_after.as_deref(), &r.body),
            Err(_) => ExportResult::Retry(None),
        };
        match result {
            ExportResult::Accepted { rejected } => {
                add(&counters.accepted, 1);
                add(&counters.rejected, rejected);
            }
            ExportResult::Failed => add(&counters.dropped, 1),
            ExportResult::Retry(after) => {
                add(&counters.retried, 1);
                Timer::after(Duration::from_micros(after.unwrap_or(retry_delay).max(0) as u64)).await;
                retry_delay = (retry_delay * 2).min(RETRY_DELAY.1);
                continue;
            }
        }
        retry_delay = RETRY_DELAY.0;
        match signal {
            Signal::Metrics => newest = None,
            Signal::Spans => drop(spans.drain(..span_count)),
        }
    }
}

fn buffer(
    mut snapshot: MetricsSnapshot,
    newest: &mut Option<MetricsSnapshot>,
    spans: &mut Vec<CallSpan>,
    counters: &ExportCounters,
) {
    spans.append(&mut snapshot.calls);
    let excess = spans.len().saturating_sub(MAX_BUFFERED_SPANS);
    spans.drain(..excess);
    add(&counters.dropped, excess as u64);
    *newest = Some(snapshot);
}
