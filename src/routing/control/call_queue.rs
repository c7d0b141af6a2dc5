//! Handling of calls from their arrival to a set-up or a refusal, and the order of queued calls.

use super::*;

impl Controller {
    pub(super) fn latency_objective(&self, request: &NewCall) -> Micros {
        self.settings.classes.get(request.class).map_or(self.shortest_objective, |c| c.latency_objective)
    }

    pub(super) fn on_call(&mut self, now: Micros, mut request: NewCall, out: &mut Vec<Action>) {
        let id = request.call;
        let max_open = self.settings.max_open_calls as usize;
        // Without this, a flood of calls to one number with few lines takes circuits and processing from all others.
        let congested =
            request.number.and_then(|n| self.congested_numbers.get(&n)).is_some_and(|&until| now < until);
        if congested || (max_open > 0 && self.calls.len() + 1 >= max_open) {
            return out.push(Action::Refuse { call: id, retry_after: 0 });
        }
        let mut arrived = now;
        if !request.transit && !request.redialled {
            // After a stall, calls that waited past their latency objective would crowd out new ones. How long a call
            // has waited follows from its remaining time; past the objective it earns no more than a redial.
            let longest = self.max_remaining_time.entry(request.class).or_insert(0);
            *longest = request.remaining_time.max(*longest);
            if now == self.resumed_at {
                arrived = now - (*longest - request.remaining_time).min(self.stall);
                request.redialled = now - arrived > self.latency_objective(&request);
            }
        }
        let deadline = now.saturating_add(request.remaining_time.max(0));
        let latest = (arrived + (QUEUE_TIME_SHARE * self.latency_objective(&request) as f64) as Micros)
            .min(deadline - ANSWER_MARGIN);
        let earliest = now.max(request.earliest_attempt);
        let stage = Stage::Queued { earliest, latest };
        if let Some(&tandem) =
            request.via.filter(|_| !request.transit).and_then(|t| self.index_by_number.get(&t))
        {
            self.record_open_path(now, request.destination, tandem);
        }
        let may_have_run = earliest > now;
        let call =
            Call { request, arrived, deadline, stage, attempts: 0, tandems_tried: Vec::new(), may_have_run };
        self.calls.insert(id, call);
        self.try_call(now, id, out);
    }

    /// Sends the set-up of a queued call if there is a route; otherwise leaves it in the queue or ends it.
    pub(super) fn try_call(&mut self, now: Micros, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id).cloned() else { return };
        let Stage::Queued { earliest, latest } = call.stage else { return };
        let no_attempts_left = self.settings.max_attempts > 0 && call.attempts >= self.settings.max_attempts;
        let route = if now < earliest && earliest >= latest {
            Route::Closed
        } else if now < earliest {
            Route::Blocked
        } else if no_attempts_left
            || (call.may_have_run && self.at_most_once(&call))
            || now >= call.deadline - self.settings.min_batch_interval
        {
            Route::Closed
        } else {
            self.route(now, &call)
        };
        match route {
            Route::Via(index) => self.send_setup(now, id, index, out),
            // A call in its quiet period has a single chance, at the end of it, so the remaining time is not compared
            // with the own delay: near that end it would always look too short.
            Route::Blocked
                if now < earliest && self.own_delay(now) <= TARGET_DELAY_SHARE * self.mean_objective
                    || now + (self.own_delay(now) as Micros) < latest && !call.request.transit =>
            {
                self.queue.insert(self.priority_key(&call));
            }
            Route::Blocked | Route::Closed => self.refuse(now, id, out),
        }
    }

    /// Whether the class of a call forbids another attempt once one may have run.
    pub(super) fn at_most_once(&self, call: &Call) -> bool {
        self.settings
            .classes
            .get(call.request.class)
            .is_some_and(|c| c.retry_policy == RetryPolicy::AtMostOnce)
    }

    /// Sort key of queued calls: highest remaining value first, then oldest first. If redials, which are past the
    /// objective of their first try, took each freed circuit before first tries, those would be late as well.
    pub(super) fn priority_key(&self, call: &Call) -> (i64, Micros, CallId) {
        let remaining_value =
            |c: &Class| if call.request.redialled { c.value * c.late_value } else { c.value };
        let value = self.settings.classes.get(call.request.class).map_or(1.0, remaining_value);
        (-((value * 1000.0) as i64), call.arrived, call.request.call)
    }

    pub(super) fn send_setup(&mut self, now: Micros, id: CallId, index: usize, out: &mut Vec<Action>) {
        let Some(key) = self.calls.get(&id).map(|c| self.priority_key(c)) else { return };
        self.queue.remove(&key);
        // Credit beyond this set-up is kept, up to one more set-up.
        let spare_credit = self.cold_start_credit(now, &self.exchanges[index]).unwrap_or(0.0).clamp(0.0, 1.0);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let exchange = &mut self.exchanges[index];
        // Without a time-out, a set-up lost at a dead exchange would occupy the single place of a limit on probation.
        let timeout = exchange.concurrency.on_probation().then_some(self.shortest_objective);
        if exchange.exchange_number != call.request.destination {
            call.tandems_tried.push(index);
        }
        call.attempts += 1;
        call.stage = Stage::Pending { index, since: now };
        if let Some(group) = &mut exchange.group {
            group.0 -= f64::from(call.request.circuits);
        }
        exchange.pending.insert((now, id));
        self.pending_exchanges.insert(index);
        exchange.cold_start_debt = (now, 1.0 - spare_credit);
        self.recent_setups.push_back(now);
        while self.recent_setups.front().is_some_and(|&t| now - t >= RATE_WINDOW) {
            self.recent_setups.pop_front();
        }
        out.push(Action::SetUp { call: id, exchange_id: exchange.exchange_id, timeout });
    }

    /// Ends a call that has no final answer yet: refuses it, or fails it where a retry by the caller would be too
    /// late or not allowed.
    pub(super) fn refuse(&mut self, now: Micros, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.remove_call(id) else { return };
        let late = now >= call.deadline - self.settings.min_batch_interval;
        let fail = late || (call.may_have_run && self.at_most_once(&call));
        out.push(if fail {
            Action::Fail(id)
        } else {
            Action::Refuse { call: id, retry_after: self.settings.max_retry_after }
        });
    }

    /// Removes all state of a call.
    pub(super) fn remove_call(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.queue.remove(&self.priority_key(&call));
        if let Stage::Pending { index, since } = call.stage {
            self.remove_pending(index, since, id);
        }
        Some(call)
    }

    /// Removes a set-up from the pending set-ups of its exchange.
    pub(super) fn remove_pending(&mut self, index: usize, since: Micros, id: CallId) {
        let pending = &mut self.exchanges[index].pending;
        pending.remove(&(since, id));
        if pending.is_empty() {
            self.pending_exchanges.remove(&index);
        }
    }
}
