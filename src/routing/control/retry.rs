//! What becomes of a call whose set-up ended, and which set-ups are called off.

use super::*;
use crate::planted::{planted, Planted};

/// Set-ups that any later one overtook are called off while this share of those out long is lost, not slow.
const MIN_OVERDUE_LOSS_RATE: f64 = 0.6;

impl Controller {
    pub(super) fn on_ended(&mut self, now: Micros, o: Outcome, out: &mut Vec<Action>) {
        if let Some(&i) = self.index_by_id.get(&o.exchange_id) {
            self.record_report(now, i, o.report);
        }
        let last = self.calls.get(&o.call).filter(|c| c.attempts == u32::from(o.attempt.0) + 1);
        let Some(Stage::Out { office, since }) = last.map(|c| c.stage) else { return };
        self.remove_pending(office, since, o.call);
        self.record_outcome(now, office, &o);
        if o.call_ended {
            return drop(self.remove_call(o.call));
        }
        let unclear = matches!(o.ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled);
        let release = if unclear && !planted(Planted::RetryInQuietPeriod) {
            self.settings.quiet_period + self.settings.min_batch_interval
        } else {
            0
        };
        let aim =
            self.calls.get(&o.call).map_or(self.shortest_objective, |c| self.latency_objective(&c.request));
        let Some(call) = self.calls.get_mut(&o.call) else { return };
        call.may_have_run |= !matches!(o.ending, Ending::Full | Ending::Unreachable | Ending::NotSent);
        let direct = self.exchanges[office].exchange == call.request.destination;
        let faults = self.exchanges[office].fault_rate;
        if o.ending == Ending::Fault {
            // It tells nothing of the way: the same tandem may be asked again.
            call.tandems_tried.retain(|&t| t != office);
        }
        let again = match (o.ending, o.cause) {
            (Ending::Full, Cause::FarProcessorFull) | (_, Cause::LinesBusy) => false,
            (Ending::NotSent, Cause::NoCircuit) => true,
            (Ending::Full, _) => !direct || self.settings.topology == Topology::Pools,
            // Danger: an exchange that fails part of its set-ups at once would have each of them refused, and
            // its caller dial again only after a wait.
            (Ending::Fault, _) => (RETRY_FAULT_RATE_MIN..RETRY_FAULT_RATE_MAX).contains(&faults),
            _ => unclear,
        };
        let hold = call.arrived + (QUEUE_TIME_SHARE * aim as f64) as Micros;
        let until = hold.max(now + release + 1).min(call.deadline - ANSWER_MARGIN);
        if again && now + release < until.max(now + 1) && !(call.request.transit && release > 0) {
            call.stage = Stage::Held { from: now + release, until };
            if o.ending == Ending::NotSent {
                if let Some(g) = &mut self.exchanges[office].group {
                    g.0 = g.0.min(0.0);
                }
            }
            self.try_call(now, o.call, out);
        } else {
            self.refuse(now, o.call, out);
        }
    }

    /// Danger: a set-up whose answer was lost keeps its call waiting to the end. One that later ones have
    /// long overtaken is called off, and goes again after the release: later ones to the same office, or to
    /// any if the last one here was quick, and of late those out so long were lost rather than slow.
    pub(super) fn cancel_lost(&self, now: Micros, out: &mut Vec<Action>) {
        let patience = (OVERTAKEN_SHARE * self.mean_objective) as Micros;
        let busy = self.pending_exchanges.iter().map(|&i| &self.exchanges[i]);
        for o in busy.filter(|_| self.settings.may_cancel && now - self.resumed_at > patience) {
            let any = o.last_setup_time < patience / 2 && self.overdue_loss_rate >= MIN_OVERDUE_LOSS_RATE;
            let newest = if any { self.last_established_sent } else { o.last_established_sent };
            let lost = |s: &&(Micros, CallId)| now - s.0 > patience && newest - s.0 > patience / 2;
            for call in o.pending.iter().take_while(lost).filter_map(|s| self.calls.get(&s.1)) {
                if !call.request.transit && !self.at_most_once(call) {
                    let attempt = AttemptNumber((call.attempts - 1) as u8);
                    out.push(Action::Cancel { call: call.request.call, attempt });
                }
            }
        }
    }
}
