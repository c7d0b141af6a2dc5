//! Connections from their coming up to their end.

use super::*;

impl ClientConnections {
    /// A connection came up. Guards the descriptors: where there are too many, the least needed one makes room,
    /// and if all are needed the new one does.
    pub fn opened(&mut self, now: Micros, conn: ConnId) {
        let over = self.conns.len() >= self.most;
        let spare = over.then(|| self.least_needed(now)).flatten();
        let fresh = Conn {
            open: 0,
            standing: 0,
            born: now,
            used: now,
            proven: false,
            turned_away: 0,
            half: None,
            used_for_calls: false,
            ending: false,
            reading_stopped: false,
        };
        self.conns.insert(conn, fresh);
        self.out.push(ClientOutput::SetTimer(now + IDLE_NEW, ClientTimer::Idle(conn)));
        if over {
            self.counts.over_limit += 1;
            self.end(now, spare.unwrap_or(conn), CloseReason::ConnectionLimit);
        }
    }

    /// One with no open set-up: rather one that never had a call stand, then one on which none stands now, then
    /// one whose first set-up can't be on its way, and of these the one that has been idle longest.
    pub(super) fn least_needed(&self, now: Micros) -> Option<ConnId> {
        let spare = self.conns.iter().filter(|(_, c)| c.open == 0 && !c.ending);
        spare.min_by_key(|(_, c)| (c.proven, c.standing > 0, now - c.born < YOUNG, c.used)).map(|(&id, _)| id)
    }

    /// A connection is gone: its unanswered set-ups are given up. No call that stands goes with it, and a release
    /// that may have crossed its end goes out on another.
    pub fn closed(&mut self, now: Micros, conn: ConnId) -> Vec<CallId> {
        self.conns.remove(&conn);
        let crossed = |r: &Release| r.sent.last() == Some(&conn);
        let again: Vec<Sid> = self.releases.iter().filter(|(_, r)| crossed(r)).map(|(&s, _)| s).collect();
        again.into_iter().for_each(|sid| self.send_release(now, sid, None));
        let lost = self.open_on(conn);
        for &call in &lost {
            self.give_up(now, call);
        }
        self.end_drained(now);
        lost
    }

    /// Connections that there are, those that end included.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// Whether a release of a call that stood has not been heard, nor given up.
    pub fn has_pending_releases(&self) -> bool {
        !self.releases.is_empty()
    }

    /// From now on a connection is ended once nothing is left on it: no open set-up, no call that stands, and no
    /// release that has not been heard.
    pub fn drain(&mut self, now: Micros) {
        self.draining = true;
        self.end_drained(now);
    }

    /// Ends every connection.
    pub fn close_all(&mut self, now: Micros) {
        let all: Vec<ConnId> = self.conns.keys().copied().collect();
        all.into_iter().for_each(|conn| self.end(now, conn, CloseReason::Shutdown));
    }

    pub(super) fn end_drained(&mut self, now: Micros) {
        if !self.draining {
            return;
        }
        let owing: Vec<ConnId> = self.releases.values().filter_map(|r| r.sent.last().copied()).collect();
        // One that is new may have its first set-up on the way.
        let settled = |c: &Conn| c.used_for_calls || now - c.born >= IDLE_NEW;
        let empty = |c: &Conn| c.open == 0 && c.standing == 0 && c.half.is_none();
        let drained = |id: &ConnId, c: &Conn| !c.ending && settled(c) && empty(c) && !owing.contains(id);
        let over: Vec<ConnId> =
            self.conns.iter().filter(|(id, c)| drained(id, c)).map(|(&id, _)| id).collect();
        over.into_iter().for_each(|conn| self.end(now, conn, CloseReason::Drained));
    }

    /// What came on a connection can't be read, so that nothing after it can be either.
    pub fn protocol_error(&mut self, now: Micros, conn: ConnId) {
        self.counts.malformed += 1;
        // Nothing that follows on it can be trusted.
        match self.conns.get_mut(&conn) {
            Some(c) if !c.ending => {
                c.reading_stopped = true;
                self.end(now, conn, CloseReason::Unreadable);
            }
            _ => self.reading_stopped(conn),
        }
    }

    /// A message has begun on a connection, or what had begun is whole.
    pub fn partial_message(&mut self, now: Micros, conn: ConnId, half: bool) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.half = half.then_some(now);
        if half {
            self.out.push(ClientOutput::SetTimer(now + HALF, ClientTimer::PartialMessage(conn, now)));
        }
    }

    /// Nothing more is read from a connection that ends: all that was read from it has been taken in.
    pub fn reading_stopped(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if !std::mem::replace(&mut c.reading_stopped, true) {
            self.end_if_answered(conn);
        }
    }

    /// Ends a connection: fails what is open on it, has reading stopped, and closes it once all that was read by then
    /// is answered. Guards a set-up that crosses the end: either it has not been read, or it is answered.
    pub(super) fn end(&mut self, now: Micros, conn: ConnId, reason: CloseReason) {
        let Some(c) = self.conns.get_mut(&conn).filter(|c| !c.ending) else { return };
        c.ending = true;
        self.out.push(ClientOutput::Closing(conn, reason));
        self.out.push(ClientOutput::SetTimer(now + ENDING, ClientTimer::Close(conn)));
        let first_may_come = !c.used_for_calls && now - c.born < YOUNG;
        if !c.reading_stopped && first_may_come {
            // It came up, so that its caller sends: what it sends is answered rather than left unread.
            self.out.push(ClientOutput::SetTimer(c.born + YOUNG, ClientTimer::StopReading(conn)));
        } else if !c.reading_stopped {
            self.out.push(ClientOutput::StopReading(conn));
        }
        let open = self.open_on(conn);
        self.out.extend(open.into_iter().map(ClientOutput::Fail));
        self.end_if_answered(conn);
    }

    /// The set-ups that wait for their answer on a connection.
    pub(super) fn open_on(&self, conn: ConnId) -> Vec<CallId> {
        let on = |h: &ClientCall| h.conn == conn && !h.answered;
        let mut open: Vec<CallId> = self.calls.iter().filter(|(_, h)| on(h)).map(|(&c, _)| c).collect();
        open.sort_unstable();
        open
    }

    /// A deadline has come.
    pub fn timer_expired(&mut self, now: Micros, due: ClientTimer) {
        self.deadline(now, due);
        self.end_drained(now);
    }

    pub(super) fn deadline(&mut self, now: Micros, due: ClientTimer) {
        match due {
            ClientTimer::Idle(conn) => {
                let Some(c) = self.conns.get(&conn).filter(|c| !c.ending) else { return };
                let limit = if c.proven { IDLE } else { IDLE_NEW };
                let needed = c.open > 0 || c.standing > 0;
                if !needed && now - c.used >= limit {
                    self.counts.idle += 1;
                    return self.end(now, conn, CloseReason::Idle);
                }
                let at = if needed { now } else { c.used };
                self.out.push(ClientOutput::SetTimer(at + limit, due));
            }
            ClientTimer::PartialMessage(conn, since) => {
                if self.conns.get(&conn).is_some_and(|c| c.half == Some(since)) {
                    self.protocol_error(now, conn);
                }
            }
            ClientTimer::Close(conn) => {
                if self.conns.contains_key(&conn) {
                    self.out.push(ClientOutput::Abort(conn));
                }
            }
            ClientTimer::StopReading(conn) => {
                if self.conns.get(&conn).is_some_and(|c| !c.reading_stopped) {
                    self.out.push(ClientOutput::StopReading(conn));
                }
            }
            ClientTimer::ResendRelease(sid) => match self.releases.get(&sid) {
                Some(r) if now >= r.until => drop(self.releases.remove(&sid)),
                Some(_) => {
                    self.send_release(now, sid, None);
                    self.out.push(ClientOutput::SetTimer(now + UNHEARD, due));
                }
                None => {}
            },
        }
    }
}
