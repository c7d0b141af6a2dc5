//! What the ends of set-ups and load reports tell of an exchange.

use super::*;

/// Weight of one set-up in that share.
const FAULT_RATE_SMOOTHING: f64 = 0.1;
/// Weight of one set-up in the share that an office leaves unanswered.
const LOSS_RATE_SMOOTHING: f64 = 0.05;
/// The own window never narrows below this: one set-up out at a time leaves the processor idle while the
/// answer travels, and a single lost one stops every call.
const MIN_OWN_LIMIT: f64 = 2.0;
/// A crowded number is left alone for this long after it was busy (µs).
const CONGESTED_NUMBER_TIME: Micros = 3_000_000;
/// Crowded numbers remembered.
const MAX_CONGESTED_NUMBERS: usize = 64;

impl Controller {
    pub(super) fn on_established(&mut self, now: Micros, id: CallId, office: ExchangeId, took: Micros) {
        let (target, widest) = (TARGET_DELAY_SHARE * self.mean_objective, self.max_limit(now));
        let took = if now == self.resumed_at { (took - self.stall).max(0) } else { took };
        let quick = took as f64 <= ACCEPT_LOAD * FULL_LOAD_WAIT * self.shortest_objective as f64;
        if let Some(&i) = self.index_by_id.get(&office) {
            let o = &mut self.exchanges[i];
            o.last_heard = now;
            self.last_heard = now;
            self.recent_setup_times.push_back((now, took));
            self.recent_setup_times.drain(..self.recent_setup_times.len().saturating_sub(RECENT_SETUP_TIMES));
            o.last_established_sent = o.last_established_sent.max(now - took);
            o.last_setup_time = took;
            o.fault_rate -= FAULT_RATE_SMOOTHING * o.fault_rate;
            o.loss_rate -= LOSS_RATE_SMOOTHING * o.loss_rate;
            self.last_established_sent = self.last_established_sent.max(now - took);
            // One that stands at once when sent again was lost before; one that stands late was slow.
            let late = took as f64 > OVERTAKEN_SHARE * self.mean_objective;
            if late || self.calls.get(&id).is_some_and(|c| c.may_have_run) {
                self.overdue_loss_rate +=
                    RATE_SMOOTHING * (f64::from(u8::from(!late)) - self.overdue_loss_rate);
            }
            o.concurrency.on_established(now, took, took as f64, target, (1.0, widest));
            self.own_concurrency.on_established(
                now,
                took,
                self.own_delay(now),
                target,
                (MIN_OWN_LIMIT, widest),
            );
            let to = self.calls.get(&id).map(|c| c.request.destination);
            let beyond = to.filter(|&to| to != self.exchanges[i].exchange);
            if quick || beyond.is_none() {
                self.exchanges[i].note_overload(now, !quick);
            }
            if let Some(to) = beyond {
                self.record_tandem_result(now, to, i, true);
            }
        }
        self.remove_call(id);
    }

    /// What an outcome tells of the office it came from.
    pub(super) fn record_outcome(&mut self, now: Micros, i: usize, o: &Outcome) {
        let destination = self.calls.get(&o.call).map(|c| c.request.destination);
        let office = &mut self.exchanges[i];
        if !matches!(o.ending, Ending::TimedOut | Ending::Unreachable | Ending::NotSent | Ending::Cancelled) {
            office.last_heard = now;
            self.last_heard = now;
        }
        // Danger: callers who wait for less than a set-up takes would have each office shut in turn.
        let waited = o.elapsed as f64 > UNRESPONSIVE_SHARE * self.mean_objective;
        if o.ending == Ending::TimedOut && waited {
            self.overdue_loss_rate += RATE_SMOOTHING * (1.0 - self.overdue_loss_rate);
        }
        let overtaken = office.last_established_sent > now - o.elapsed;
        if overtaken && (o.ending == Ending::Cancelled || o.ending == Ending::TimedOut && waited) {
            office.loss_rate += LOSS_RATE_SMOOTHING * (1.0 - office.loss_rate);
        }
        match (o.ending, o.cause) {
            (Ending::Full, Cause::TurnedBack) => {
                // One turned back for its destination's faults tells nothing of the way.
                let faults = |d: &ExchangeNumber| {
                    self.index_by_number.get(d).map_or(0.0, |&f| self.exchanges[f].fault_rate)
                };
                if let Some(d) = destination.filter(|d| faults(d) < RETRY_FAULT_RATE_MIN) {
                    self.record_tandem_result(now, d, i, false);
                }
            }
            (Ending::Full, Cause::FarProcessorFull) => {
                if let Some(&f) = destination.and_then(|d| self.index_by_number.get(&d)) {
                    self.exchanges[f].trip(now, 0);
                }
            }
            (Ending::Full, Cause::ProcessorFull(wait)) => {
                office.trip(now, wait.unwrap_or(0).min(MAX_OPEN_TIME));
            }
            (Ending::Cancelled, _) => office.last_setup_time = o.elapsed,
            // Danger: an answer was lost, but the office works: it answered what was sent later.
            (Ending::TimedOut, _)
                if !waited || overtaken || office.explained_by_loss(office.pending.len() + 1) => {}
            (Ending::Unreachable | Ending::TimedOut, _) => office.trip(now, 0),
            (Ending::Fault, Cause::None) => {
                office.fault_rate += FAULT_RATE_SMOOTHING * (1.0 - office.fault_rate)
            }
            (_, Cause::LinesBusy) => {
                let number = self.calls.get(&o.call).and_then(|c| c.request.number);
                if let Some(n) = number.filter(|_| self.congested_numbers.len() < MAX_CONGESTED_NUMBERS) {
                    self.congested_numbers.insert(n, now + CONGESTED_NUMBER_TIME);
                }
            }
            _ => {}
        }
    }

    pub(super) fn record_report(&mut self, now: Micros, i: usize, r: LoadReport) {
        let full = FULL_LOAD_WAIT * self.shortest_objective as f64;
        let o = &mut self.exchanges[i];
        if let (Some(free), Some(size)) = (r.free, r.size) {
            o.group = Some((free, size));
        }
        if r.wait.is_some() || r.busy.is_some() || r.reduction.is_some() {
            let load = r.wait.map_or(0.0, |w| w as f64 / full).max(r.busy.unwrap_or(0.0));
            o.note_overload(now, load >= ACCEPT_LOAD || r.reduction.is_some_and(|c| c > 0.0));
        }
    }

    /// Tries held calls again, those toward one office or all, where what they wait for has changed.
    pub(super) fn retry_queued(
        &mut self,
        now: Micros,
        toward: Option<usize>,
        changed: bool,
        out: &mut Vec<Action>,
    ) {
        if !changed {
            return;
        }
        let to = toward.map(|i| self.exchanges[i].exchange);
        let wanted = |c: &Call| to.is_none_or(|to| c.request.destination == to);
        let waiting = self.queue.iter().map(|h| h.2).filter(|id| self.calls.get(id).is_some_and(wanted));
        for id in waiting.collect::<Vec<_>>() {
            self.try_call(now, id, out);
        }
    }
}
