//! What the task that owns routing hands to the exporter.

use super::{Due, Switchboard, Task, SPANS};
use crate::program::telemetry::ExportCounts;
use crate::protocol::otlp::{CallSpan, MetricsSnapshot};
use crate::routing::interface::{CallId, ExchangeNumber, Micros};
use crate::routing::ledger::Answer;
use std::rc::Rc;

impl Switchboard {
    /// The exporter's counts, shared with its task.
    pub fn exported(&self) -> Rc<ExportCounts> {
        self.exported.clone()
    }

    pub(super) fn span(
        &mut self,
        call: CallId,
        answer: &Answer,
        (from, to): (Micros, Micros),
        destination: ExchangeNumber,
    ) {
        if !self.config.telemetry.as_ref().is_some_and(|t| t.spans) {
            return;
        }
        if self.spans.len() >= SPANS {
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

    pub(super) fn export(&mut self, now: Micros) {
        let Some(interval) = self.config.telemetry.as_ref().map(|t| t.interval) else { return };
        self.deadlines.add(now + interval, Due::Export);
        let gauges = self.gauges().map(|(name, v)| (name.to_owned(), v)).to_vec();
        let calls = std::mem::take(&mut self.spans);
        self.tasks.push(Task::Export(MetricsSnapshot { at: now, counters: self.counters(), gauges, calls }));
    }

    fn gauges(&self) -> [(&'static str, u64); 4] {
        let of = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
        [
            ("calls.open", of(self.ledger.open_calls())),
            ("calls.standing", of(self.ledger.established_calls())),
            ("connections", of(self.outboxes.len())),
            ("deadlines", of(self.deadlines.len())),
        ]
    }
}
