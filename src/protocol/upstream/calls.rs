//! Set-ups and releases, and the removal of attempts that have ended.

use super::*;

impl UpstreamConnections {
    /// Sends a set-up, or queues it until the exchange is connected.
    pub fn set_up(
        &mut self,
        now: Micros,
        (call, attempt): (CallId, AttemptNumber),
        exchange_id: ExchangeId,
        message: Message,
    ) {
        let Some(sid) = message.sid else { return };
        let connection = self.upstreams.get(&exchange_id).map(|u| u.connection);
        let entry =
            Attempt { call, attempt, exchange_id, stage: Stage::Waiting, started_at: now, message: None };
        self.sid_by_call.insert(call, sid);
        self.previous_run.record(now, sid);
        match connection {
            Some(ConnectionState::Up(conn)) => {
                self.attempts.insert(sid, Attempt { stage: Stage::Sent(conn), ..entry });
                self.outputs.push(UpstreamOutput::Send { conn, message, set_up: Some(call) });
            }
            Some(ConnectionState::Connecting(_) | ConnectionState::Down) => {
                self.attempts.insert(sid, Attempt { message: Some(message), ..entry });
                let until = now + self.connect_timeout;
                self.outputs
                    .push(UpstreamOutput::SetTimer(until, UpstreamTimer::SetUpWaiting(call, attempt)));
                self.connect(now, exchange_id);
            }
            None => {
                self.attempts.insert(sid, entry);
                self.end_attempt(call, (Ending::Unreachable, Cause::None), LoadReport::default());
            }
        }
    }

    /// Cancels a set-up in progress, or releases an established call.
    pub fn clear(&mut self, now: Micros, call: CallId, attempt: AttemptNumber) {
        if self.attempt_of(call).is_none_or(|a| a.attempt != attempt) {
            return;
        }
        let Some((sid, entry)) = self.remove_attempt(call) else { return };
        if fault_injected(InjectedFault::LeakedCall) {
            return;
        }
        match entry.stage {
            Stage::Waiting => {}
            Stage::Sent(conn) => {
                let message = Message::close(sid, cause::NORMAL);
                self.outputs.push(UpstreamOutput::CancelSetUp { conn, call, message });
            }
            Stage::Established(_) => self.release_at(now, entry.exchange_id, sid),
        }
    }

    /// A set-up was not sent, because its exchange does not read as fast as set-ups come.
    pub fn set_up_not_sent(&mut self, call: CallId) {
        if self.attempt_of(call).is_some_and(|a| matches!(a.stage, Stage::Sent(_))) {
            self.end_attempt(call, (Ending::NotSent, Cause::None), LoadReport::default());
        }
    }

    /// Releases a call at its exchange, at once or on the next connection.
    pub(super) fn release_at(&mut self, now: Micros, exchange_id: ExchangeId, sid: Sid) {
        let Some(upstream) = self.upstreams.get_mut(&exchange_id) else { return };
        if let ConnectionState::Up(conn) = upstream.connection {
            let message = Message::close(sid, cause::NORMAL);
            return self.outputs.push(UpstreamOutput::Send { conn, message, set_up: None });
        }
        upstream.pending_releases.retain(|o| now < o.0);
        upstream.pending_releases.push((now + RELEASE_RETENTION, sid));
    }

    /// Releases a call of the previous run. The exchange that has it is not known, so the release goes to every
    /// connected exchange; those that don't know the call ignore it.
    pub fn release_previous_run(&mut self, sid: Sid) {
        for upstream in self.upstreams.values() {
            if let ConnectionState::Up(conn) = upstream.connection {
                let message = Message::close(sid, cause::NORMAL);
                self.outputs.push(UpstreamOutput::Send { conn, message, set_up: None });
            }
        }
    }

    pub(super) fn attempt_of(&self, call: CallId) -> Option<&Attempt> {
        self.attempts.get(self.sid_by_call.get(&call)?)
    }

    /// Removes an attempt from both maps. The only place that does so.
    pub(super) fn remove_attempt(&mut self, call: CallId) -> Option<(Sid, Attempt)> {
        let sid = self.sid_by_call.remove(&call)?;
        Some((sid, self.attempts.remove(&sid)?))
    }

    pub(super) fn end_attempt(&mut self, call: CallId, result: (Ending, Cause), load: LoadReport) {
        if let Some((_, entry)) = self.remove_attempt(call) {
            self.outputs.push(UpstreamOutput::Ended(call, entry.attempt, result, load));
        }
    }

    /// Ends the selected attempts at an exchange, in the order of their calls, and returns their number.
    pub(super) fn end_attempts(
        &mut self,
        exchange_id: ExchangeId,
        ending: Ending,
        which: impl Fn(&Attempt) -> bool,
    ) -> usize {
        let selected = |a: &&Attempt| a.exchange_id == exchange_id && which(a);
        let mut calls: Vec<CallId> = self.attempts.values().filter(selected).map(|a| a.call).collect();
        calls.sort_unstable();
        calls.iter().for_each(|&c| self.end_attempt(c, (ending, Cause::None), LoadReport::default()));
        calls.len()
    }

    /// Fails the set-ups to an exchange that wait for a connection.
    pub(super) fn fail_waiting(&mut self, exchange_id: ExchangeId) {
        self.end_attempts(exchange_id, Ending::Unreachable, |a| a.stage == Stage::Waiting);
    }

    /// Ends the set-ups in progress at an exchange, and releases them on its next connection: the exchange may have
    /// answered them, and their circuits would stay occupied.
    pub(super) fn fail_sent(&mut self, now: Micros, exchange_id: ExchangeId, ending: Ending) {
        let sent = |a: &Attempt| a.exchange_id == exchange_id && matches!(a.stage, Stage::Sent(_));
        let mut sids: Vec<Sid> = self.attempts.iter().filter(|(_, a)| sent(a)).map(|(&s, _)| s).collect();
        sids.sort_unstable();
        self.end_attempts(exchange_id, ending, |a| matches!(a.stage, Stage::Sent(_)));
        if let Some(upstream) = self.upstreams.get_mut(&exchange_id) {
            upstream.pending_releases.retain(|o| now < o.0);
            upstream
                .pending_releases
                .extend(sids.into_iter().map(|sid| (now + RESET_RELEASE_RETENTION, sid)));
        }
    }

    /// Ends the selected established calls at an exchange as cut.
    pub(super) fn cut_established(&mut self, exchange_id: ExchangeId, which: impl Fn(&Attempt) -> bool) {
        let established = |a: &Attempt| matches!(a.stage, Stage::Established(_));
        let cut_calls = self.end_attempts(exchange_id, Ending::Reset, |a| established(a) && which(a));
        self.counts.cut_after_failure += cut_calls as u64;
    }
}
