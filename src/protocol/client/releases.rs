//! Releases of established calls, which are resent until confirmed, and the removal of calls.

use super::*;

impl ClientConnections {
    /// Releases an established call towards its caller: on the connection of its set-up if possible, and on other
    /// connections until the caller confirms it.
    pub fn release(&mut self, now: Micros, call: CallId, cut: bool) {
        let Some(client_call) = self.remove_call(call) else { return };
        if fault_injected(InjectedFault::ReleaseLost) {
            return;
        }
        let code = if cut { cause::TEMPORARY_FAILURE } else { cause::NORMAL };
        self.add_release(now, client_call.set_up.sid, code, Some(client_call.set_up.conn));
    }

    /// Releases a call of the previous run towards its caller.
    pub fn release_previous_run(&mut self, now: Micros, sid: Sid, code: u16) {
        if !self.call_by_sid.contains_key(&sid) && self.previous_run.may_contain(now, sid) {
            self.add_release(now, sid, code, None);
        }
    }

    /// Sends a release and schedules its retransmission.
    pub(super) fn add_release(&mut self, now: Micros, sid: Sid, code: u16, own: Option<ConnId>) {
        let release = Release {
            message: Message::close(sid, code),
            until: now + RELEASE_RETRY_PERIOD,
            sent: Vec::new(),
        };
        self.releases.insert(sid, release);
        self.send_release(now, sid, own);
        self.outputs
            .push(ClientOutput::SetTimer(now + RELEASE_CONFIRM_TIMEOUT, ClientTimer::ResendRelease(sid)));
    }

    /// Sends a release on the connection `own` if possible, otherwise on one on which it has not been sent yet;
    /// preferably one on which calls were established, since another may belong to a client that does not know the
    /// call.
    pub(super) fn send_release(&mut self, now: Micros, sid: Sid, own: Option<ConnId>) {
        let Some(release) = self.releases.get_mut(&sid).filter(|r| now < r.until) else { return };
        let usable = |id: &ConnId, c: &ClientConnection| c.is_in_service() && !release.sent.contains(id);
        let candidates = self.connections.iter().filter(|(id, c)| usable(id, c));
        let own = own.filter(|c| self.connections.get(c).is_some_and(ClientConnection::is_in_service));
        let best = candidates
            .max_by_key(|(&id, c)| (Some(id) == own, c.ever_established, c.last_activity))
            .map(|(&id, _)| id);
        if let Some(conn) = best {
            self.counts.release_resent += u64::from(!release.sent.is_empty());
            release.sent.push(conn);
            self.outputs.push(ClientOutput::Send(conn, release.message.clone()));
        }
    }

    /// Removes a call that its caller cancelled or released, or whose connection closed before the answer. A set-up
    /// without an answer is remembered as abandoned.
    pub(super) fn call_cleared(&mut self, now: Micros, call: CallId) {
        if let Some(client_call) = self.remove_call(call).filter(|call| !call.answered) {
            let ReceivedSetUp { sid, content, .. } = client_call.set_up;
            self.abandoned.record(now, sid, content);
            self.sid_released(now, sid);
        }
    }

    /// Removes a call and updates the counts of its connection. The only place that does so.
    pub(super) fn remove_call(&mut self, call: CallId) -> Option<ClientCall> {
        let client_call = self.calls.remove(&call)?;
        self.call_by_sid.remove(&client_call.set_up.sid);
        if let Some(c) = self.connections.get_mut(&client_call.set_up.conn) {
            let count = if client_call.answered { &mut c.established } else { &mut c.open_set_ups };
            *count = count.saturating_sub(1);
        }
        Some(client_call)
    }
}
