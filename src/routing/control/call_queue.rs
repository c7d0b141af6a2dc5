//! Calls from their arrival to a set-up or a refusal, and the order of those that wait.

use super::*;

impl Controller {
    pub(super) fn latency_objective(&self, ask: &NewCall) -> Micros {
        self.settings.classes.get(ask.class).map_or(self.shortest_objective, |c| c.latency_objective)
    }

    pub(super) fn on_call(&mut self, now: Micros, mut ask: NewCall, out: &mut Vec<Action>) {
        let id = ask.call;
        let cap = self.settings.max_open_calls as usize;
        // Danger: a flood to one number with few lines takes circuits and work from all other calls.
        let crowded =
            ask.number.and_then(|n| self.congested_numbers.get(&n)).is_some_and(|&until| now < until);
        if crowded || (cap > 0 && self.calls.len() + 1 >= cap) {
            return out.push(Action::Refuse { call: id, retry_after: 0 });
        }
        let mut arrived = now;
        if !ask.transit && !ask.redialled {
            // Danger: on waking, calls that waited past their aim drown the new ones. The patience that is
            // left tells for how long; past its aim a call earns no more than a redial.
            let fullest = self.max_remaining_time.entry(ask.class).or_insert(0);
            *fullest = ask.remaining_time.max(*fullest);
            if now == self.resumed_at {
                arrived = now - (*fullest - ask.remaining_time).min(self.stall);
                ask.redialled = now - arrived > self.latency_objective(&ask);
            }
        }
        let deadline = now.saturating_add(ask.remaining_time.max(0));
        let until = (arrived + (QUEUE_TIME_SHARE * self.latency_objective(&ask) as f64) as Micros)
            .min(deadline - ANSWER_MARGIN);
        let from = now.max(ask.earliest_attempt);
        let stage = Stage::Held { from, until };
        if let Some(&i) = ask.via.filter(|_| !ask.transit).and_then(|t| self.index_by_number.get(&t)) {
            self.record_open_path(now, ask.destination, i);
        }
        let ran = from > now;
        let call = Call {
            request: ask,
            arrived,
            deadline,
            stage,
            attempts: 0,
            tandems_tried: Vec::new(),
            may_have_run: ran,
        };
        self.calls.insert(id, call);
        self.try_call(now, id, out);
    }

    /// Sends a held call on if there is a route; else leaves it held, or ends it.
    pub(super) fn try_call(&mut self, now: Micros, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id).cloned() else { return };
        let Stage::Held { from, until } = call.stage else { return };
        let spent = self.settings.max_attempts > 0 && call.attempts >= self.settings.max_attempts;
        let route = if now < from && from >= until {
            Route::Closed
        } else if now < from {
            Route::Blocked
        } else if spent
            || (call.may_have_run && self.at_most_once(&call))
            || now >= call.deadline - self.settings.min_batch_interval
        {
            Route::Closed
        } else {
            self.route(now, &call)
        };
        match route {
            Route::Via(office) => self.send_setup(now, id, office, out),
            // Danger: a call that waits for its release has one chance, at its end; the nearer that is
            // the less time seems left.
            Route::Blocked
                if now < from && self.own_delay(now) <= TARGET_DELAY_SHARE * self.mean_objective
                    || now + (self.own_delay(now) as Micros) < until && !call.request.transit =>
            {
                self.queue.insert(self.priority_key(&call));
            }
            Route::Blocked | Route::Closed => self.refuse(now, id, out),
        }
    }

    pub(super) fn at_most_once(&self, call: &Call) -> bool {
        self.settings
            .classes
            .get(call.request.class)
            .is_some_and(|c| c.retry_policy == RetryPolicy::AtMostOnce)
    }

    /// Dearest first by what the call can still earn, then oldest. Danger: redials, past the aim of their
    /// first try, take each freed circuit before first tries, which then come late too.
    pub(super) fn priority_key(&self, call: &Call) -> (i64, Micros, CallId) {
        let earns = |c: &Class| if call.request.redialled { c.value * c.late_value } else { c.value };
        let worth = self.settings.classes.get(call.request.class).map_or(1.0, earns);
        (-((worth * 1000.0) as i64), call.arrived, call.request.call)
    }

    pub(super) fn send_setup(&mut self, now: Micros, id: CallId, office: usize, out: &mut Vec<Action>) {
        let Some(key) = self.calls.get(&id).map(|c| self.priority_key(c)) else { return };
        self.queue.remove(&key);
        // What was earned beyond this one is kept, up to one more.
        let spare = self.cold_start_credit(now, &self.exchanges[office]).unwrap_or(0.0).clamp(0.0, 1.0);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let o = &mut self.exchanges[office];
        // Danger: a set-up lost to a dead office keeps the one place that a narrow gate has.
        let timeout = o.concurrency.on_probation().then_some(self.shortest_objective);
        if o.exchange != call.request.destination {
            call.tandems_tried.push(office);
        }
        call.attempts += 1;
        call.stage = Stage::Out { office, since: now };
        if let Some(g) = &mut o.group {
            g.0 -= f64::from(call.request.circuits);
        }
        o.pending.insert((now, id));
        self.pending_exchanges.insert(office);
        o.cold_start_debt = (now, 1.0 - spare);
        self.recent_setups.push_back(now);
        while self.recent_setups.front().is_some_and(|&t| now - t >= RATE_WINDOW) {
            self.recent_setups.pop_front();
        }
        out.push(Action::SetUp { call: id, exchange_id: o.exchange_id, timeout });
    }

    /// Ends a call that this controller still owes an answer.
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

    /// Drops all that is kept of a call.
    pub(super) fn remove_call(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.queue.remove(&self.priority_key(&call));
        if let Stage::Out { office, since } = call.stage {
            self.remove_pending(office, since, id);
        }
        Some(call)
    }

    /// A set-up is out no more.
    pub(super) fn remove_pending(&mut self, office: usize, since: Micros, id: CallId) {
        let out = &mut self.exchanges[office].pending;
        out.remove(&(since, id));
        if out.is_empty() {
            self.pending_exchanges.remove(&office);
        }
    }
}
