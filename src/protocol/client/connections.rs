//! Opening and closing of client connections, and their timers.

use super::*;

impl ClientConnections {
    /// A client has connected. At the connection limit the least needed connection is closed, or the new one if all
    /// are needed, so that file descriptors do not run out.
    pub fn opened(&mut self, now: Micros, conn: ConnId) {
        let at_limit = self.connections.len() >= self.max_connections;
        let replaceable = at_limit.then(|| self.least_needed(now)).flatten();
        let connection = ClientConnection {
            open_set_ups: 0,
            established: 0,
            opened_at: now,
            last_activity: now,
            ever_established: false,
            refused: 0,
            partial_since: None,
            received_set_up: false,
            recorded_sids: 0,
            previous_run_releases: TokenBucket::new(now, previous_run_release_limit()),
            closing: false,
            peer_closed: false,
            reading_stopped: false,
        };
        self.connections.insert(conn, connection);
        self.outputs.push(ClientOutput::SetTimer(now + IDLE_TIMEOUT_UNUSED, ClientTimer::Idle(conn)));
        if at_limit {
            self.counts.over_limit += 1;
            self.begin_close(now, replaceable.unwrap_or(conn), CloseReason::ConnectionLimit);
        }
    }

    /// The connection to close at the limit: one without open set-ups, preferably one on which no call was ever
    /// established, then one without established calls, then one whose first set-up can't be in transit any more, and
    /// of these the one that has been idle longest.
    pub(super) fn least_needed(&self, now: Micros) -> Option<ConnId> {
        let candidates = self.connections.iter().filter(|(_, c)| c.open_set_ups == 0 && !c.closing);
        candidates
            .min_by_key(|(_, c)| {
                (
                    c.ever_established,
                    c.established > 0,
                    now - c.opened_at < FIRST_SET_UP_WAIT,
                    c.last_activity,
                )
            })
            .map(|(&id, _)| id)
    }

    /// The client has closed a connection from which messages may still be unread. Returns the calls that were still
    /// unanswered on it, which are abandoned. Set-ups that follow on it are ignored: their client does not wait for them,
    /// and may have sent them again on another connection.
    pub fn peer_closed(&mut self, now: Micros, conn: ConnId) -> Vec<CallId> {
        if let Some(c) = self.connections.get_mut(&conn) {
            c.peer_closed = true;
        }
        self.repeated.retain(|_, r| r.set_up.conn != conn);
        self.answer_repeated_of(now, conn);
        let lost = self.open_calls_on(conn);
        for &call in &lost {
            self.call_cleared(now, call);
        }
        lost
    }

    /// A connection has ended. Returns the calls that were still unanswered on it, which are abandoned. Established
    /// calls are kept, and releases that may have been lost with the connection are sent on another one.
    pub fn closed(&mut self, now: Micros, conn: ConnId) -> Vec<CallId> {
        self.connections.remove(&conn);
        let maybe_lost = |r: &Release| r.sent.last() == Some(&conn);
        let resend: Vec<Sid> = self.releases.iter().filter(|(_, r)| maybe_lost(r)).map(|(&s, _)| s).collect();
        for sid in resend {
            // A caller that sent its set-up again on another connection has no answer yet, and the release is one.
            let repeated_on = self.remove_repeated(sid).map(|repeated| repeated.set_up.conn);
            self.send_release(now, sid, repeated_on);
        }
        let lost = self.peer_closed(now, conn);
        self.close_drained(now);
        lost
    }

    /// Number of connections, including those that are being closed.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Whether a release is neither confirmed nor past its retry period.
    pub fn has_pending_releases(&self) -> bool {
        !self.releases.is_empty()
    }

    /// From now on, closes each connection once it has no open set-up, no established call and no unconfirmed release.
    pub fn drain(&mut self, now: Micros) {
        self.draining = true;
        self.close_drained(now);
    }

    /// Closes every connection.
    pub fn close_all(&mut self, now: Micros) {
        let all: Vec<ConnId> = self.connections.keys().copied().collect();
        all.into_iter().for_each(|conn| self.begin_close(now, conn, CloseReason::Shutdown));
    }

    /// While draining, closes the connections on which nothing is left.
    pub(super) fn close_drained(&mut self, now: Micros) {
        if !self.draining {
            return;
        }
        let unconfirmed: Vec<ConnId> =
            self.releases.values().filter_map(|r| r.sent.last().copied()).collect();
        // The first set-up of a new connection may be in transit.
        let settled = |c: &ClientConnection| c.received_set_up || now - c.opened_at >= IDLE_TIMEOUT_UNUSED;
        let empty =
            |c: &ClientConnection| c.open_set_ups == 0 && c.established == 0 && c.partial_since.is_none();
        let is_drained = |id: &ConnId, c: &ClientConnection| {
            !c.closing && settled(c) && empty(c) && !unconfirmed.contains(id)
        };
        let drained: Vec<ConnId> =
            self.connections.iter().filter(|(id, c)| is_drained(id, c)).map(|(&id, _)| id).collect();
        drained.into_iter().for_each(|conn| self.begin_close(now, conn, CloseReason::Drained));
    }

    /// Closes a connection on which unreadable data arrived.
    pub fn protocol_error(&mut self, now: Micros, conn: ConnId) {
        self.counts.malformed += 1;
        // Nothing that follows on the connection can be trusted.
        match self.connections.get_mut(&conn) {
            Some(c) if !c.closing => {
                c.reading_stopped = true;
                self.begin_close(now, conn, CloseReason::Unreadable);
            }
            _ => self.reading_stopped(conn),
        }
    }

    /// A connection holds the beginning of a message, or the message is now complete.
    pub fn partial_message(&mut self, now: Micros, conn: ConnId, partial: bool) {
        let Some(c) = self.connections.get_mut(&conn) else { return };
        c.partial_since = partial.then_some(now);
        if partial {
            self.outputs.push(ClientOutput::SetTimer(
                now + PARTIAL_MESSAGE_TIMEOUT,
                ClientTimer::PartialMessage(conn, now),
            ));
        }
    }

    /// Reading from a connection that is being closed has stopped, and everything read from it has been handled.
    pub fn reading_stopped(&mut self, conn: ConnId) {
        let Some(c) = self.connections.get_mut(&conn) else { return };
        if !std::mem::replace(&mut c.reading_stopped, true) {
            self.close_if_answered(conn);
        }
    }

    /// Begins to close a connection: fails its open set-ups, requests that reading stops, and closes it once everything
    /// read by then is answered. A set-up that arrives during the close is thus either not read at all or answered.
    pub(super) fn begin_close(&mut self, now: Micros, conn: ConnId, reason: CloseReason) {
        let Some(c) = self.connections.get_mut(&conn).filter(|c| !c.closing) else { return };
        c.closing = true;
        self.outputs.push(ClientOutput::Closing(conn, reason));
        self.outputs.push(ClientOutput::SetTimer(now + CLOSE_TIMEOUT, ClientTimer::Close(conn)));
        let awaiting_first_set_up = !c.received_set_up && now - c.opened_at < FIRST_SET_UP_WAIT;
        if !c.reading_stopped && awaiting_first_set_up {
            // A client that has just connected is about to send a set-up, which is answered rather than left unread.
            self.outputs.push(ClientOutput::SetTimer(
                c.opened_at + FIRST_SET_UP_WAIT,
                ClientTimer::StopReading(conn),
            ));
        } else if !c.reading_stopped {
            self.outputs.push(ClientOutput::StopReading(conn));
        }
        self.fail_repeated_on(conn);
        let open = self.open_calls_on(conn);
        self.outputs.extend(open.into_iter().map(ClientOutput::Fail));
        self.close_if_answered(conn);
    }

    /// The unanswered calls of a connection, in the order of their ids.
    pub(super) fn open_calls_on(&self, conn: ConnId) -> Vec<CallId> {
        let is_open = |call: &ClientCall| call.set_up.conn == conn && !call.answered;
        let mut open: Vec<CallId> =
            self.calls.iter().filter(|(_, call)| is_open(call)).map(|(&id, _)| id).collect();
        open.sort_unstable();
        open
    }

    /// A timer expired. A timer whose subject has changed since is ignored.
    pub fn timer_expired(&mut self, now: Micros, timer: ClientTimer) {
        self.handle_timer(now, timer);
        self.close_drained(now);
    }

    pub(super) fn handle_timer(&mut self, now: Micros, timer: ClientTimer) {
        match timer {
            ClientTimer::Idle(conn) => {
                let Some(c) = self.connections.get(&conn).filter(|c| !c.closing) else { return };
                let limit = if c.ever_established { IDLE_TIMEOUT } else { IDLE_TIMEOUT_UNUSED };
                let needed = c.open_set_ups > 0 || c.established > 0;
                if !needed && now - c.last_activity >= limit {
                    self.counts.idle += 1;
                    return self.begin_close(now, conn, CloseReason::Idle);
                }
                let at = if needed { now } else { c.last_activity };
                self.outputs.push(ClientOutput::SetTimer(at + limit, timer));
            }
            ClientTimer::PartialMessage(conn, since) => {
                if self.connections.get(&conn).is_some_and(|c| c.partial_since == Some(since)) {
                    self.protocol_error(now, conn);
                }
            }
            ClientTimer::Close(conn) => {
                if self.connections.contains_key(&conn) {
                    self.outputs.push(ClientOutput::Abort(conn));
                }
            }
            ClientTimer::StopReading(conn) => {
                if self.connections.get(&conn).is_some_and(|c| !c.reading_stopped) {
                    self.outputs.push(ClientOutput::StopReading(conn));
                }
            }
            ClientTimer::RepeatedSetUp(sid) => self.repeated_set_up_timeout(now, sid),
            ClientTimer::ResendRelease(sid) => match self.releases.get(&sid) {
                Some(r) if now >= r.until => drop(self.releases.remove(&sid)),
                Some(_) => {
                    self.send_release(now, sid, None);
                    self.outputs.push(ClientOutput::SetTimer(now + RELEASE_CONFIRM_TIMEOUT, timer));
                }
                None => {}
            },
        }
    }
}

/// The limit of [`PREVIOUS_RUN_RELEASE_RATE`]; it counts messages and no bytes.
fn previous_run_release_limit() -> RateLimit {
    RateLimit { bytes: 0, datagrams: PREVIOUS_RUN_RELEASE_RATE }
}
