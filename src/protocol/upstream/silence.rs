//! Connections that fall silent, or bring what can't be read.

use super::*;

impl UpstreamConnections {
    /// What came on a connection can't be read. Guards the other set-ups on it: nothing that follows can be trusted,
    /// so that it is given up at once and all that was out on it counts as run and lost.
    pub fn protocol_error(&mut self, now: Micros, conn: ConnId) {
        let link = self.conns.get(&conn).and_then(|o| self.links.get(o));
        if let Some(link) = link {
            self.counts.malformed += 1;
            self.out.push(UpstreamOutput::ConnectionDropped(
                link.place.member.clone(),
                DisconnectReason::Unreadable,
            ));
            self.out.push(UpstreamOutput::Disconnect(conn, DisconnectReason::Unreadable));
            self.closed(now, conn, CloseReason::ClosedLocally);
        }
    }

    /// Guards calls against a connection that stays open and dead: answers and releases would be waited for on it
    /// for ever. The exchange tells its releases again on the next one.
    pub(super) fn look(&mut self, now: Micros, conn: ConnId, meant: Micros) {
        let Some(&office) = self.conns.get(&conn) else { return };
        let Some(link) = self.links.get_mut(&office) else { return };
        let late = now - meant > STOOD_STILL;
        let usual = ((SILENT.0 * link.mean_interarrival) as Micros).clamp(SILENT.1, SILENT.2);
        let silent = link.heard.is_none_or(|at| now - at >= usual);
        let patience = usual.max(UNTESTED.0 * link.last_set_up_time).clamp(UNTESTED.1, UNTESTED.2);
        let patience = (patience << link.consecutive_timeouts.min(8)).min(HANGS);
        match link.tested {
            Some(at) if now - at >= patience && !late => {
                // The module takes a reset for a sign of life, and no answer in time for none. Guards it against
                // shutting out an exchange that has lost a connection, and against trusting one that hangs.
                let how = if link.consecutive_timeouts == 0 { Ending::Reset } else { Ending::TimedOut };
                link.consecutive_timeouts += 1;
                self.counts.unresponsive += 1;
                self.out.push(UpstreamOutput::ConnectionDropped(
                    link.place.member.clone(),
                    DisconnectReason::Unresponsive,
                ));
                self.out.push(UpstreamOutput::Disconnect(conn, DisconnectReason::Unresponsive));
                self.end_sent(now, office, how);
                return self.closed(now, conn, CloseReason::ClosedLocally);
            }
            Some(_) if !late => {}
            _ if silent && self.legs.values().any(|l| l.office == office) => {
                link.tested = Some(now);
                self.probe(now, office);
            }
            _ => link.tested = None,
        }
        self.out.push(UpstreamOutput::SetTimer(now + LOOK, UpstreamTimer::Look(conn, now + LOOK)));
    }

    /// A message has begun on a connection, or what had begun is whole.
    pub fn partial_message(&mut self, now: Micros, conn: ConnId, half: bool) {
        let office = self.conns.get(&conn);
        let Some(link) = office.and_then(|o| self.links.get_mut(o)) else { return };
        link.half = half.then_some(now);
        if half {
            self.out.push(UpstreamOutput::SetTimer(now + HALF, UpstreamTimer::Half(conn, now)));
        }
    }
}
