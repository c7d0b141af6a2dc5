//! Metrics and spans that the event loop passes to the exporter.

use super::{EventLoop, TimerKey, TransportCommand, MAX_BUFFERED_SPANS};
use crate::program::telemetry::ExportCounters;
use crate::protocol::otlp::{CallSpan, MetricsSnapshot};
use crate::routing::interface::{CallId, ExchangeNumber, Micros};
use crate::routing::ledger::Answer;
use std::rc::Rc;

impl EventLoop {
    /// The counters of the exporter, shared with its task.
    pub fn export_counts(&self) -> Rc<ExportCounters> {
        self.export_counts.clone()
    }

    /// Buffers the span of an answered call if spans are exported.
    pub(super) fn record_span(
        &mut self,
        call: CallId,
        answer: &Answer,
        (from, to): (Micros, Micros),
        destination: ExchangeNumber,
    ) {
        if !self.config.telemetry.as_ref().is_some_and(|t| t.spans) {
            return;
        }
        if self.spans.len() >= MAX_BUFFERED_SPANS {
            self.counts.spans_dropped += 1;
            return;
        }
        let answer = match answer {
            Answer::Established(_) => "stands",
            Answer::Refused { .. } => "refused",
            Answer::Failed => "failed",
        };
        self.spans.push(CallSpan { call: call.0, start: from, end: to, destination: destination.0, answer });
    }

    /// Passes the current metrics and the buffered spans to the exporter, and sets the timer for the next export.
    pub(super) fn export(&mut self, now: Micros) {
        let Some(interval) = self.config.telemetry.as_ref().map(|t| t.interval) else { return };
        self.timers.add(now + interval, TimerKey::Export);
        let gauges = self.gauges().map(|(name, value)| (name.to_owned(), value)).to_vec();
        let calls = std::mem::take(&mut self.spans);
        self.commands.push(TransportCommand::Export(MetricsSnapshot {
            at: now,
            counters: self.counters(),
            gauges,
            calls,
        }));
    }

    fn gauges(&self) -> [(&'static str, u64); 4] {
        let count = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
        [
            ("calls.open", count(self.ledger.open_calls())),
            ("calls.standing", count(self.ledger.established_calls())),
            ("connections", count(self.outboxes.len())),
            ("deadlines", count(self.timers.len())),
        ]
    }
}
