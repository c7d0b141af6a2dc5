//! Connections from their making to their end, and the deadlines of all of them.

use super::*;

impl UpstreamConnections {
    pub(super) fn connect(&mut self, now: Micros, office: ExchangeId) {
        let Some(link) = self.links.get_mut(&office) else { return };
        if link.connection != ConnectionState::Down {
            return;
        }
        let conn = ConnId(self.next_conn);
        self.next_conn += 1;
        link.connection = ConnectionState::Connecting(conn);
        (link.retry_due, link.heard, link.tested, link.half) = (None, None, None, None);
        self.conns.insert(conn, office);
        self.counts.connects += 1;
        self.out.push(UpstreamOutput::Connect(conn, link.place.clone()));
        self.out.push(UpstreamOutput::SetTimer(now + self.connect_timeout, UpstreamTimer::Connect(conn)));
    }

    /// A connection is up.
    pub fn connected(&mut self, now: Micros, conn: ConnId) {
        let Some(&office) = self.conns.get(&conn) else { return };
        let Some(link) = self.links.get_mut(&office) else { return };
        link.connection = ConnectionState::Up(conn);
        link.came_up = Some(now);
        link.suspected = false;
        self.out.push(UpstreamOutput::SetTimer(now + LOOK, UpstreamTimer::Look(conn, now + LOOK)));
        for (until, sid) in std::mem::take(&mut link.owed) {
            if now < until {
                let message = Message::close(sid, cause::NORMAL);
                self.out.push(UpstreamOutput::Send { conn, message, set_up: None });
            }
        }
        for leg in self.legs.values_mut().filter(|l| l.office == office && l.stage == Stage::Waiting) {
            if let Some(message) = leg.message.take() {
                leg.stage = Stage::Sent(conn);
                self.out.push(UpstreamOutput::Send { conn, message, set_up: Some(leg.call) });
            }
        }
    }

    /// A connection is no more.
    pub fn closed(&mut self, now: Micros, conn: ConnId, how: CloseReason) {
        let Some(office) = self.conns.remove(&conn) else { return };
        let Some(link) = self.links.get_mut(&office) else { return };
        let was_up = matches!(link.connection, ConnectionState::Up(_));
        link.connection = ConnectionState::Down;
        link.settled = true;
        let early = link.heard.is_none() || link.came_up.is_some_and(|at| now - at < SETTLING);
        match (was_up, early) {
            (true, true) => link.leases.lost_early(now),
            (true, false) => link.leases.lost(),
            (false, _) => {}
        }
        match how {
            CloseReason::Refused => {
                self.counts.refused += 1;
                // Nobody listens: the process that had the calls is dead, and with a connection of its own
                // lost it can tell no more.
                let dead = std::mem::take(&mut link.suspected);
                self.fail_waiting(office);
                if dead {
                    self.cut_standing(office, |_| true);
                }
            }
            CloseReason::ConnectFailed => self.fail_waiting(office),
            CloseReason::ClosedByPeer | CloseReason::ClosedLocally => {
                self.end_sent(now, office, Ending::Reset)
            }
            CloseReason::Broken => {
                self.counts.broken += 1;
                link.suspected = true;
                self.end_sent(now, office, Ending::Reset);
            }
        }
        let Some(link) = self.links.get_mut(&office) else { return };
        if link.state == ListState::Gone {
            return self.drop_link(now, office);
        }
        // An end in order with calls standing may be a process that stops.
        link.suspected |= was_up && how == CloseReason::ClosedByPeer;
        // Guards this task and the peer against one that ends each connection as soon as it is made.
        if was_up && !early {
            self.connect(now, office);
        } else {
            let standing = |l: &Attempt| l.office == office && matches!(l.stage, Stage::Standing(_));
            let longest = if self.legs.values().any(standing) { RETRY_WITH_CALLS } else { RETRY.1 };
            let due = now + link.retry.min(longest);
            link.retry_due = Some(due);
            link.retry = (link.retry * 2).min(RETRY.1);
            self.out.push(UpstreamOutput::SetTimer(due, UpstreamTimer::Retry(office)));
        }
    }

    /// A deadline has come.
    pub fn timer_expired(&mut self, now: Micros, due: UpstreamTimer) {
        match due {
            UpstreamTimer::Connect(conn) => {
                let office = self.conns.get(&conn).copied();
                let link = office.and_then(|o| self.links.get(&o));
                if link.is_some_and(|l| l.connection == ConnectionState::Connecting(conn)) {
                    self.out.push(UpstreamOutput::Disconnect(conn, DisconnectReason::ConnectTimeout));
                    self.closed(now, conn, CloseReason::ConnectFailed);
                }
            }
            UpstreamTimer::Retry(office) => {
                if self.links.get(&office).is_some_and(|l| l.retry_due.is_some_and(|at| at <= now)) {
                    self.connect(now, office);
                }
            }
            UpstreamTimer::Waiting(call, attempt) => {
                let waits = |l: &Attempt| l.attempt == attempt && l.stage == Stage::Waiting;
                if self.leg_of(call).is_some_and(waits) {
                    self.end_leg(call, (Ending::Unreachable, Cause::None), LoadReport::default());
                }
            }
            UpstreamTimer::Gone(office) => {
                if self.links.get(&office).is_some_and(|l| l.state == ListState::Gone) {
                    self.drop_link(now, office);
                }
            }
            UpstreamTimer::Half(conn, since) => {
                let link = self.conns.get(&conn).and_then(|o| self.links.get(o));
                if link.is_some_and(|l| l.half == Some(since)) {
                    self.protocol_error(now, conn);
                }
            }
            UpstreamTimer::Look(conn, meant) => self.look(now, conn, meant),
            UpstreamTimer::Lease(office, meant) => self.look_at_leases(now, office, meant),
            UpstreamTimer::Probe(sid) => {
                if let Some(office) = self.probes.remove(&sid) {
                    self.out.push(UpstreamOutput::ProbeFailed(office));
                }
            }
        }
    }
}
