//! The exporter: takes snapshots from a bounded queue and brings them to the collector, in a task of its own.
//! Nothing here is ever waited for by the task that owns routing.

use crate::protocol::otlp::{interpret_response, CallSpan, Encoder, ExportResult, MetricsSnapshot, Signal};
use crate::routing::interface::Micros;
use crate::transport::http;
use async_channel::Receiver;
use async_io::Timer;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Spans kept for a collector that does not take them; more are dropped, the oldest first.
const SPANS_KEPT: usize = 2048;
/// Spans in one request.
const SPANS_AT_ONCE: usize = 512;
/// First and longest wait before a batch is sent again, where the collector says nothing (µs).
const WAIT: (Micros, Micros) = (1_000_000, 60_000_000);

/// What the exporter has counted; shared with the task that prints counters.
#[derive(Debug, Default)]
pub struct ExportCounts {
    /// Requests that were taken.
    pub taken: Cell<u64>,
    /// Items that a collector rejected.
    pub rejected: Cell<u64>,
    /// Requests that have to be sent again.
    pub again: Cell<u64>,
    /// Spans and requests that were dropped.
    pub dropped: Cell<u64>,
}

fn add(cell: &Cell<u64>, n: u64) {
    cell.set(cell.get() + n);
}

impl ExportCounts {
    /// As names and values.
    pub fn table(&self) -> Vec<(String, u64)> {
        let rows = [
            ("otlp.taken", &self.taken),
            ("otlp.rejected", &self.rejected),
            ("otlp.again", &self.again),
            ("otlp.dropped", &self.dropped),
        ];
        rows.map(|(name, cell)| (name.to_owned(), cell.get())).to_vec()
    }
}

/// Exports until the queue is closed. Metrics are running totals, so that only the newest snapshot is kept while
/// a collector is away; spans are kept up to a bound.
pub async fn export(
    collector: SocketAddr,
    encoder: Encoder,
    queue: Receiver<MetricsSnapshot>,
    counts: Rc<ExportCounts>,
) {
    let mut spans: Vec<CallSpan> = Vec::new();
    let mut wait = WAIT.0;
    let mut newest: Option<MetricsSnapshot> = None;
    loop {
        if newest.is_none() && spans.is_empty() {
            match queue.recv().await {
                Ok(s) => keep(s, &mut newest, &mut spans, &counts),
                Err(_) => return,
            }
        }
        while let Ok(s) = queue.try_recv() {
            keep(s, &mut newest, &mut spans, &counts);
        }
        let (signal, body, n) = match &newest {
            Some(s) => (Signal::Metrics, encoder.metrics(s), 0),
            None => {
                let n = spans.len().min(SPANS_AT_ONCE);
                (Signal::Spans, encoder.spans(&spans[..n]), n)
            }
        };
        let verdict = match http::post(collector, signal.path(), &body).await {
            Ok(r) => interpret_response(signal, r.status, r.retry_after.as_deref(), &r.body),
            Err(_) => ExportResult::Retry(None),
        };
        match verdict {
            ExportResult::Accepted { rejected } => {
                add(&counts.taken, 1);
                add(&counts.rejected, rejected);
            }
            ExportResult::Failed => add(&counts.dropped, 1),
            ExportResult::Retry(after) => {
                add(&counts.again, 1);
                Timer::after(Duration::from_micros(after.unwrap_or(wait).max(0) as u64)).await;
                wait = (wait * 2).min(WAIT.1);
                continue;
            }
        }
        wait = WAIT.0;
        match signal {
            Signal::Metrics => newest = None,
            Signal::Spans => drop(spans.drain(..n)),
        }
    }
}

fn keep(
    mut s: MetricsSnapshot,
    newest: &mut Option<MetricsSnapshot>,
    spans: &mut Vec<CallSpan>,
    counts: &ExportCounts,
) {
    spans.append(&mut s.calls);
    let over = spans.len().saturating_sub(SPANS_KEPT);
    spans.drain(..over);
    add(&counts.dropped, over as u64);
    *newest = Some(s);
}
