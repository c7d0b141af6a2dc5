//! Updates of the exchange state from the outcomes of set-ups and from load reports.

use super::*;

/// Smoothing weight of one set-up in an exchange's fault rate.
const FAULT_RATE_SMOOTHING: f64 = 0.1;
/// Smoothing weight of one set-up in an exchange's loss rate.
const LOSS_RATE_SMOOTHING: f64 = 0.05;
/// Minimum of the own concurrency limit. A single pending set-up would leave the processor idle while its answer
/// travels, and the loss of that one would block every call.
const MIN_OWN_LIMIT: f64 = 2.0;
/// How long calls to a congested number are refused after it was found busy (µs).
const CONGESTED_NUMBER_TIME: Micros = 3_000_000;
/// Maximum number of congested numbers remembered.
const MAX_CONGESTED_NUMBERS: usize = 64;

impl Controller {
    pub(super) fn on_established(
        &mut self,
        now: Micros,
        id: CallId,
        exchange_id: ExchangeId,
        setup_time: Micros,
    ) {
        let (target, max_limit) = (TARGET_DELAY_SHARE * self.mean_objective, self.max_limit(now));
        let setup_time = if now == self.resumed_at { (setup_time - self.stall).max(0) } else { setup_time };
        let quick = setup_time as f64 <= ACCEPT_LOAD * FULL_LOAD_WAIT * self.shortest_objective as f64;
        if let Some(&index) = self.index_by_id.get(&exchange_id) {
            let exchange = &mut self.exchanges[index];
            exchange.last_heard = now;
            self.last_heard = now;
            self.recent_setup_times.push_back((now, setup_time));
            self.recent_setup_times.drain(..self.recent_setup_times.len().saturating_sub(RECENT_SETUP_TIMES));
            exchange.last_established_sent = exchange.last_established_sent.max(now - setup_time);
            exchange.last_setup_time = setup_time;
            exchange.fault_rate -= FAULT_RATE_SMOOTHING * exchange.fault_rate;
            exchange.loss_rate -= LOSS_RATE_SMOOTHING * exchange.loss_rate;
            self.last_established_sent = self.last_established_sent.max(now - setup_time);
            // A call established quickly on a retry had lost its earlier set-up; one established late was only slow.
            let late = setup_time as f64 > OVERTAKEN_SHARE * self.mean_objective;
            if late || self.calls.get(&id).is_some_and(|c| c.may_have_run) {
                self.overdue_loss_rate +=
                    RATE_SMOOTHING * (f64::from(u8::from(!late)) - self.overdue_loss_rate);
            }
            exchange.concurrency.on_established(now, setup_time, setup_time as f64, target, (1.0, max_limit));
            self.own_concurrency.on_established(
                now,
                setup_time,
                self.own_delay(now),
                target,
                (MIN_OWN_LIMIT, max_limit),
            );
            let destination = self.calls.get(&id).map(|c| c.request.destination);
            let onward_destination = destination.filter(|&d| d != self.exchanges[index].exchange_number);
            if quick || onward_destination.is_none() {
                self.exchanges[index].note_overload(now, !quick);
            }
            if let Some(destination) = onward_destination {
                self.record_tandem_result(now, destination, index, true);
            }
        }
        self.remove_call(id);
    }

    /// Updates the state of an exchange from the outcome of a set-up sent to it.
    pub(super) fn record_outcome(&mut self, now: Micros, index: usize, outcome: &Outcome) {
        let destination = self.calls.get(&outcome.call).map(|c| c.request.destination);
        let exchange = &mut self.exchanges[index];
        if !matches!(
            outcome.ending,
            Ending::TimedOut | Ending::Unreachable | Ending::NotSent | Ending::Cancelled
        ) {
            exchange.last_heard = now;
            self.last_heard = now;
        }
        // Callers that wait for less than a set-up takes must not trip the breaker of one exchange after another.
        let waited = outcome.elapsed as f64 > UNRESPONSIVE_SHARE * self.mean_objective;
        if outcome.ending == Ending::TimedOut && waited {
            self.overdue_loss_rate += RATE_SMOOTHING * (1.0 - self.overdue_loss_rate);
        }
        let overtaken = exchange.last_established_sent > now - outcome.elapsed;
        if overtaken && (outcome.ending == Ending::Cancelled || outcome.ending == Ending::TimedOut && waited)
        {
            exchange.loss_rate += LOSS_RATE_SMOOTHING * (1.0 - exchange.loss_rate);
        }
        match (outcome.ending, outcome.cause) {
            (Ending::Full, Cause::TurnedBack) => {
                // A call turned back because of its destination's faults says nothing about the path.
                let fault_rate = |d: &ExchangeNumber| {
                    self.index_by_number.get(d).map_or(0.0, |&far| self.exchanges[far].fault_rate)
                };
                if let Some(destination) = destination.filter(|d| fault_rate(d) < RETRY_FAULT_RATE_MIN) {
                    self.record_tandem_result(now, destination, index, false);
                }
            }
            (Ending::Full, Cause::FarProcessorFull) => {
                if let Some(&far) = destination.and_then(|d| self.index_by_number.get(&d)) {
                    self.exchanges[far].trip(now, 0);
                }
            }
            (Ending::Full, Cause::ProcessorFull(wait)) => {
                exchange.trip(now, wait.unwrap_or(0).min(MAX_OPEN_TIME));
            }
            (Ending::Cancelled, _) => exchange.last_setup_time = outcome.elapsed,
            // Not a failure of the exchange: the caller waited too short a time, or only the answer was lost, since
            // later set-ups established their calls or the usual loss rate explains it.
            (Ending::TimedOut, _)
                if !waited || overtaken || exchange.explained_by_loss(exchange.pending.len() + 1) => {}
            (Ending::Unreachable | Ending::TimedOut, _) => exchange.trip(now, 0),
            (Ending::Fault, Cause::None) => {
                exchange.fault_rate += FAULT_RATE_SMOOTHING * (1.0 - exchange.fault_rate)
            }
            (_, Cause::LinesBusy) => {
                let number = self.calls.get(&outcome.call).and_then(|c| c.request.number);
                if let Some(n) = number.filter(|_| self.congested_numbers.len() < MAX_CONGESTED_NUMBERS) {
                    self.congested_numbers.insert(n, now + CONGESTED_NUMBER_TIME);
                }
            }
            _ => {}
        }
    }

    /// Updates the group and the overload state of an exchange from a load report.
    pub(super) fn record_report(&mut self, now: Micros, index: usize, report: LoadReport) {
        let full_load_wait = FULL_LOAD_WAIT * self.shortest_objective as f64;
        let exchange = &mut self.exchanges[index];
        if let (Some(free), Some(size)) = (report.free, report.size) {
            exchange.group = Some((free, size));
        }
        if report.wait.is_some() || report.busy.is_some() || report.reduction.is_some() {
            let load = report.wait.map_or(0.0, |w| w as f64 / full_load_wait).max(report.busy.unwrap_or(0.0));
            exchange
                .note_overload(now, load >= ACCEPT_LOAD || report.reduction.is_some_and(|share| share > 0.0));
        }
    }

    /// Retries queued calls if `changed`: those to the exchange with index `toward`, or all of them.
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
        let destination = toward.map(|index| self.exchanges[index].exchange_number);
        let matches = |c: &Call| destination.is_none_or(|d| c.request.destination == d);
        let queued = self.queue.iter().map(|key| key.2).filter(|id| self.calls.get(id).is_some_and(matches));
        for id in queued.collect::<Vec<_>>() {
            self.try_call(now, id, out);
        }
    }
}
