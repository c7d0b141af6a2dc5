//! Calls from their arrival to a set-up or a refusal, and the order of those that wait.

use super::*;

impl Controller {
    pub(super) fn aim(&self, ask: &NewCall) -> Micros {
        self.settings.classes.get(ask.class).map_or(self.shortest_aim, |c| c.latency_objective)
    }

    pub(super) fn on_call(&mut self, now: Micros, mut ask: NewCall, out: &mut Vec<Action>) {
        let id = ask.call;
        let cap = self.settings.max_open_calls as usize;
        // Danger: a flood to one number with few lines takes circuits and work from all other calls.
        let crowded = ask.number.and_then(|n| self.numbers.get(&n)).is_some_and(|&until| now < until);
        if crowded || (cap > 0 && self.calls.len() + 1 >= cap) {
            return out.push(Action::Refuse { call: id, retry_after: 0 });
        }
        let mut arrived = now;
        if !ask.transit && !ask.redialled {
            // Danger: on waking, calls that waited past their aim drown the new ones. The patience that is
            // left tells for how long; past its aim a call earns no more than a redial.
            let fullest = self.patience.entry(ask.class).or_insert(0);
            *fullest = ask.remaining_time.max(*fullest);
            if now == self.woke {
                arrived = now - (*fullest - ask.remaining_time).min(self.stood_still);
                ask.redialled = now - arrived > self.aim(&ask);
            }
        }
        let deadline = now.saturating_add(ask.remaining_time.max(0));
        let until =
            (arrived + (QUEUE_TIME_SHARE * self.aim(&ask) as f64) as Micros).min(deadline - ANSWER_MARGIN);
        let from = now.max(ask.earliest_attempt);
        let stage = Stage::Held { from, until };
        if let Some(&i) = ask.via.filter(|_| !ask.transit).and_then(|t| self.by_exchange.get(&t)) {
            self.note_open(now, ask.destination, i);
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
            || (call.may_have_run && self.guarded(&call))
            || now >= call.deadline - self.settings.min_batch_interval
        {
            Route::Closed
        } else {
            self.route(now, &call)
        };
        match route {
            Route::Via(office) => self.send(now, id, office, out),
            // Danger: a call that waits for its release has one chance, at its end; the nearer that is
            // the less time seems left.
            Route::Blocked
                if now < from && self.own_delay(now) <= TARGET_DELAY_SHARE * self.mean_aim
                    || now + (self.own_delay(now) as Micros) < until && !call.request.transit =>
            {
                self.held.insert(self.held_key(&call));
            }
            Route::Blocked | Route::Closed => self.refuse(now, id, out),
        }
    }

    pub(super) fn guarded(&self, call: &Call) -> bool {
        self.settings
            .classes
            .get(call.request.class)
            .is_some_and(|c| c.retry_policy == RetryPolicy::AtMostOnce)
    }

    /// Dearest first by what the call can still earn, then oldest. Danger: redials, past the aim of their
    /// first try, take each freed circuit before first tries, which then come late too.
    pub(super) fn held_key(&self, call: &Call) -> (i64, Micros, CallId) {
        let earns = |c: &Class| if call.request.redialled { c.value * c.late_value } else { c.value };
        let worth = self.settings.classes.get(call.request.class).map_or(1.0, earns);
        (-((worth * 1000.0) as i64), call.arrived, call.request.call)
    }

    pub(super) fn send(&mut self, now: Micros, id: CallId, office: usize, out: &mut Vec<Action>) {
        let Some(key) = self.calls.get(&id).map(|c| self.held_key(c)) else { return };
        self.held.remove(&key);
        // What was earned beyond this one is kept, up to one more.
        let spare = self.cold_credit(now, &self.offices[office]).unwrap_or(0.0).clamp(0.0, 1.0);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let o = &mut self.offices[office];
        // Danger: a set-up lost to a dead office keeps the one place that a narrow gate has.
        let timeout = o.concurrency.on_probation().then_some(self.shortest_aim);
        if o.exchange != call.request.destination {
            call.tandems_tried.push(office);
        }
        call.attempts += 1;
        call.stage = Stage::Out { office, since: now };
        if let Some(g) = &mut o.group {
            g.0 -= f64::from(call.request.circuits);
        }
        o.pending.insert((now, id));
        self.busy.insert(office);
        o.cold_start_debt = (now, 1.0 - spare);
        self.sent.push_back(now);
        while self.sent.front().is_some_and(|&t| now - t >= RATE_WINDOW) {
            self.sent.pop_front();
        }
        out.push(Action::SetUp { call: id, exchange_id: o.exchange_id, timeout });
    }

    /// Ends a call that this controller still owes an answer.
    pub(super) fn refuse(&mut self, now: Micros, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.forget(id) else { return };
        let late = now >= call.deadline - self.settings.min_batch_interval;
        let fail = late || (call.may_have_run && self.guarded(&call));
        out.push(if fail {
            Action::Fail(id)
        } else {
            Action::Refuse { call: id, retry_after: self.settings.max_retry_after }
        });
    }

    /// Drops all that is kept of a call.
    pub(super) fn forget(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.held.remove(&self.held_key(&call));
        if let Stage::Out { office, since } = call.stage {
            self.back_in(office, since, id);
        }
        Some(call)
    }

    /// A set-up is out no more.
    pub(super) fn back_in(&mut self, office: usize, since: Micros, id: CallId) {
        let out = &mut self.offices[office].pending;
        out.remove(&(since, id));
        if out.is_empty() {
            self.busy.remove(&office);
        }
    }
}
