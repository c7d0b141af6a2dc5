//! Set-ups and releases, and the one place where each attempt is given back.

use super::*;

impl UpstreamConnections {
    /// Sends a set-up, or keeps it until there is a connection.
    pub fn set_up(
        &mut self,
        now: Micros,
        (call, attempt): (CallId, AttemptNumber),
        office: ExchangeId,
        message: Message,
    ) {
        let Some(sid) = message.sid else { return };
        let line = self.links.get(&office).map(|l| l.connection);
        let leg = Attempt { call, attempt, office, stage: Stage::Waiting, began: now, message: None };
        self.sids.insert(call, sid);
        self.previous_run.record(now, sid);
        match line {
            Some(ConnectionState::Up(conn)) => {
                self.legs.insert(sid, Attempt { stage: Stage::Sent(conn), ..leg });
                self.out.push(UpstreamOutput::Send { conn, message, set_up: Some(call) });
            }
            Some(ConnectionState::Connecting(_) | ConnectionState::Down) => {
                self.legs.insert(sid, Attempt { message: Some(message), ..leg });
                let until = now + self.connect_timeout;
                self.out.push(UpstreamOutput::SetTimer(until, UpstreamTimer::Waiting(call, attempt)));
                self.connect(now, office);
            }
            None => {
                self.legs.insert(sid, leg);
                self.end_leg(call, (Ending::Unreachable, Cause::None), LoadReport::default());
            }
        }
    }

    /// Gives a set-up up, or releases a call that stands.
    pub fn clear(&mut self, now: Micros, call: CallId, attempt: AttemptNumber) {
        if self.leg_of(call).is_none_or(|l| l.attempt != attempt) {
            return;
        }
        let Some((sid, leg)) = self.remove_leg(call) else { return };
        if fault_injected(InjectedFault::LeakedCall) {
            return;
        }
        match leg.stage {
            Stage::Waiting => {}
            Stage::Sent(conn) => {
                let message = Message::close(sid, cause::NORMAL);
                self.out.push(UpstreamOutput::CancelSetUp { conn, call, message });
            }
            Stage::Standing(_) => self.release_at(now, leg.office, sid),
        }
    }

    /// Releases a call at its exchange, now or on the next connection.
    pub(super) fn release_at(&mut self, now: Micros, office: ExchangeId, sid: Sid) {
        let Some(link) = self.links.get_mut(&office) else { return };
        if let ConnectionState::Up(conn) = link.connection {
            let message = Message::close(sid, cause::NORMAL);
            return self.out.push(UpstreamOutput::Send { conn, message, set_up: None });
        }
        link.owed.retain(|o| now < o.0);
        link.owed.push((now + OWED_FOR, sid));
    }

    /// Releases a call of an earlier life: the exchange that has it is not known, and the others know no such call.
    pub fn release_previous_run(&mut self, sid: Sid) {
        for link in self.links.values() {
            if let ConnectionState::Up(conn) = link.connection {
                let message = Message::close(sid, cause::NORMAL);
                self.out.push(UpstreamOutput::Send { conn, message, set_up: None });
            }
        }
    }

    pub(super) fn leg_of(&self, call: CallId) -> Option<&Attempt> {
        self.legs.get(self.sids.get(&call)?)
    }

    /// The one place where a leg is given back.
    pub(super) fn remove_leg(&mut self, call: CallId) -> Option<(Sid, Attempt)> {
        let sid = self.sids.remove(&call)?;
        Some((sid, self.legs.remove(&sid)?))
    }

    pub(super) fn end_leg(&mut self, call: CallId, how: (Ending, Cause), load: LoadReport) {
        if let Some((_, leg)) = self.remove_leg(call) {
            self.out.push(UpstreamOutput::Ended(call, leg.attempt, how, load));
        }
    }

    pub(super) fn end_legs(
        &mut self,
        office: ExchangeId,
        how: Ending,
        which: impl Fn(&Attempt) -> bool,
    ) -> usize {
        let of = |l: &&Attempt| l.office == office && which(l);
        let mut calls: Vec<CallId> = self.legs.values().filter(of).map(|l| l.call).collect();
        calls.sort_unstable();
        calls.iter().for_each(|&c| self.end_leg(c, (how, Cause::None), LoadReport::default()));
        calls.len()
    }

    pub(super) fn fail_waiting(&mut self, office: ExchangeId) {
        self.end_legs(office, Ending::Unreachable, |l| l.stage == Stage::Waiting);
    }

    pub(super) fn end_sent(&mut self, now: Micros, office: ExchangeId, how: Ending) {
        let sent = |l: &Attempt| l.office == office && matches!(l.stage, Stage::Sent(_));
        let mut sids: Vec<Sid> = self.legs.iter().filter(|(_, l)| sent(l)).map(|(&s, _)| s).collect();
        sids.sort_unstable();
        self.end_legs(office, how, |l| matches!(l.stage, Stage::Sent(_)));
        if let Some(link) = self.links.get_mut(&office) {
            link.owed.retain(|o| now < o.0);
            link.owed.extend(sids.into_iter().map(|sid| (now + RELEASE_RESET, sid)));
        }
    }

    pub(super) fn cut_standing(&mut self, office: ExchangeId, which: impl Fn(&Attempt) -> bool) {
        let standing = |l: &Attempt| matches!(l.stage, Stage::Standing(_));
        let cut = self.end_legs(office, Ending::Reset, |l| standing(l) && which(l));
        self.counts.cut_after_failure += cut as u64;
    }
}
