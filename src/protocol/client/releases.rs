//! Releases of calls that stood, until they are heard, and the one place where a call is given back.

use super::*;

impl ClientConnections {
    /// The release of a call that stood: on the connection of its set-up, else on another, until it is heard.
    pub fn release(&mut self, now: Micros, call: CallId, cut: bool) {
        let Some(held) = self.remove(call) else { return };
        if fault_injected(InjectedFault::ReleaseLost) {
            return;
        }
        let code = if cut { cause::TEMPORARY_FAILURE } else { cause::NORMAL };
        self.owe(now, held.sid, code, Some(held.conn));
    }

    /// The release of a call that stood in an earlier life of this program.
    pub fn release_previous_run(&mut self, now: Micros, sid: Sid, code: u16) {
        if !self.by_sid.contains_key(&sid) && self.previous_run.may_contain(now, sid) {
            self.owe(now, sid, code, None);
        }
    }

    pub(super) fn owe(&mut self, now: Micros, sid: Sid, code: u16, own: Option<ConnId>) {
        let release = Release { message: Message::close(sid, code), until: now + OWED_FOR, sent: Vec::new() };
        self.releases.insert(sid, release);
        self.send_release(now, sid, own);
        self.out.push(ClientOutput::SetTimer(now + UNHEARD, ClientTimer::ResendRelease(sid)));
    }

    /// Sends a release on its own connection, else on one that it has not gone out on yet: one that calls have
    /// stood on, since any other may be of somebody who does not know the call.
    pub(super) fn send_release(&mut self, now: Micros, sid: Sid, own: Option<ConnId>) {
        let Some(release) = self.releases.get_mut(&sid).filter(|r| now < r.until) else { return };
        let serves = |id: &ConnId, c: &Conn| !c.ending && !release.sent.contains(id);
        let others = self.conns.iter().filter(|(id, c)| serves(id, c));
        let own = own.filter(|c| self.conns.get(c).is_some_and(|c| !c.ending));
        let best = others.max_by_key(|(&id, c)| (Some(id) == own, c.proven, c.used)).map(|(&id, _)| id);
        if let Some(conn) = best {
            self.counts.release_resent += u64::from(!release.sent.is_empty());
            release.sent.push(conn);
            self.out.push(ClientOutput::Send(conn, release.message.clone()));
        }
    }

    /// Its caller gave a call up, or released it.
    pub(super) fn give_up(&mut self, now: Micros, call: CallId) {
        if let Some(held) = self.remove(call).filter(|h| !h.answered) {
            self.given_up.note(now, held.sid);
        }
    }

    /// The one place where a call is given back.
    pub(super) fn remove(&mut self, call: CallId) -> Option<ClientCall> {
        let held = self.calls.remove(&call)?;
        self.by_sid.remove(&held.sid);
        if let Some(c) = self.conns.get_mut(&held.conn) {
            let count = if held.answered { &mut c.standing } else { &mut c.open };
            *count = count.saturating_sub(1);
        }
        Some(held)
    }
}
