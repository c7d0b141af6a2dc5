//! Retries after a set-up has ended, and cancellation of set-ups presumed lost.

use super::*;
use crate::fault_injection::{fault_injected, InjectedFault};

/// From this overdue loss rate on, a set-up is also presumed lost when a later one to another exchange overtook it.
const MIN_OVERDUE_LOSS_RATE: f64 = 0.6;

impl Controller {
    pub(super) fn on_ended(&mut self, now: Micros, outcome: Outcome, out: &mut Vec<Action>) {
        if let Some(&index) = self.index_by_id.get(&outcome.exchange_id) {
            self.record_report(now, index, outcome.report);
        }
        let id = outcome.call;
        let current = self.calls.get(&id).filter(|c| c.attempts == u32::from(outcome.attempt.0) + 1);
        let Some(Stage::Pending { index, since }) = current.map(|c| c.stage) else { return };
        self.remove_pending(index, since, id);
        self.record_outcome(now, index, &outcome);
        if outcome.call_ended {
            return drop(self.remove_call(id));
        }
        let result_unknown = matches!(outcome.ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled);
        let quiet_period = if result_unknown && !fault_injected(InjectedFault::RetryInQuietPeriod) {
            self.settings.quiet_period + self.settings.min_batch_interval
        } else {
            0
        };
        let objective =
            self.calls.get(&id).map_or(self.shortest_objective, |c| self.latency_objective(&c.request));
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.may_have_run |= !matches!(outcome.ending, Ending::Full | Ending::Unreachable | Ending::NotSent);
        let direct = self.exchanges[index].exchange_number == call.request.destination;
        let fault_rate = self.exchanges[index].fault_rate;
        if outcome.ending == Ending::Fault {
            // A fault says nothing about the path: the same tandem may be tried again.
            call.tandems_tried.retain(|&t| t != index);
        }
        let retry = match (outcome.ending, outcome.cause) {
            (Ending::Full, Cause::FarProcessorFull) | (_, Cause::LinesBusy) => false,
            (Ending::NotSent, Cause::NoCircuit) => true,
            (Ending::Full, _) => !direct || self.settings.topology == Topology::Pools,
            // Without a retry, every set-up that an exchange with a partial fault fails would be refused, and its
            // caller would redial only after a delay.
            (Ending::Fault, _) => (RETRY_FAULT_RATE_MIN..RETRY_FAULT_RATE_MAX).contains(&fault_rate),
            _ => result_unknown,
        };
        let queue_limit = call.arrived + (QUEUE_TIME_SHARE * objective as f64) as Micros;
        let latest = queue_limit.max(now + quiet_period + 1).min(call.deadline - ANSWER_MARGIN);
        if retry && now + quiet_period < latest.max(now + 1) && !(call.request.transit && quiet_period > 0) {
            call.stage = Stage::Queued { earliest: now + quiet_period, latest };
            if outcome.ending == Ending::NotSent {
                if let Some(group) = &mut self.exchanges[index].group {
                    group.0 = group.0.min(0.0);
                }
            }
            self.try_call(now, id, out);
        } else {
            self.refuse(now, id, out);
        }
    }

    /// Cancels set-ups presumed lost, so that their calls are retried after the quiet period. A set-up whose answer
    /// was lost would otherwise keep its call waiting to the end. It is presumed lost when later set-ups to the same
    /// exchange have long overtaken it; or later ones to any exchange, if the last set-up to this one was quick and
    /// most recent overdue set-ups were lost rather than slow.
    pub(super) fn cancel_lost(&self, now: Micros, out: &mut Vec<Action>) {
        let max_age = (OVERTAKEN_SHARE * self.mean_objective) as Micros;
        let exchanges = self.pending_exchanges.iter().map(|&i| &self.exchanges[i]);
        for e in exchanges.filter(|_| self.settings.may_cancel && now - self.resumed_at > max_age) {
            let any_exchange =
                e.last_setup_time < max_age / 2 && self.overdue_loss_rate >= MIN_OVERDUE_LOSS_RATE;
            let newest = if any_exchange { self.last_established_sent } else { e.last_established_sent };
            let lost = |p: &&(Micros, CallId)| now - p.0 > max_age && newest - p.0 > max_age / 2;
            for call in e.pending.iter().take_while(lost).filter_map(|p| self.calls.get(&p.1)) {
                if !call.request.transit && !self.at_most_once(call) {
                    let attempt = AttemptNumber((call.attempts - 1) as u8);
                    out.push(Action::Cancel { call: call.request.call, attempt });
                }
            }
        }
    }
}
