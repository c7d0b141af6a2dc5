//! Final answers, on the connection of their set-up.

use super::*;

impl ClientConnections {
    /// The final answer to a call, on the connection of its set-up.
    pub fn answer(&mut self, now: Micros, call: CallId, answer: Answer) {
        let Some(held) = self.calls.get_mut(&call) else { return };
        let (sid, conn) = (held.sid, held.conn);
        if !self.conns.contains_key(&conn) {
            self.counts.undeliverable += 1;
        }
        match answer {
            Answer::Established(text) => {
                held.answered = true;
                if let Some(c) = self.conns.get_mut(&conn) {
                    c.open = c.open.saturating_sub(1);
                    c.standing += 1;
                    c.proven = true;
                }
                if fault_injected(InjectedFault::AnswerTwice) {
                    self.tell(conn, Message { text: text.clone(), ..Message::new(Kind::Ready, Some(sid)) });
                }
                self.tell(conn, Message { text, ..Message::new(Kind::Ready, Some(sid)) });
                self.end_if_answered(conn);
            }
            Answer::Refused { retry_after: pause } => {
                let refusal = Message::close(sid, cause::NO_CIRCUIT);
                let refusal = match (pause + 999) / 1000 {
                    0 => refusal,
                    ms => refusal.with("wait", ms.to_string()),
                };
                self.give_back(now, call, conn, refusal);
            }
            Answer::Failed => {
                self.give_back(now, call, conn, Message::close(sid, cause::TEMPORARY_FAILURE));
            }
        }
        self.end_drained(now);
    }

    pub(super) fn give_back(&mut self, now: Micros, call: CallId, conn: ConnId, message: Message) {
        self.remove(call);
        self.turn_away(now, conn, message);
    }

    pub(super) fn tell(&mut self, conn: ConnId, message: Message) {
        if self.conns.contains_key(&conn) {
            self.out.push(ClientOutput::Send(conn, message));
        }
    }

    /// Answers a set-up with other than an answer that stands.
    pub(super) fn turn_away(&mut self, now: Micros, conn: ConnId, message: Message) {
        self.tell(conn, message);
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.turned_away = c.turned_away.saturating_add(1);
        if c.ending {
            self.end_if_answered(conn);
        } else if !c.proven && c.turned_away >= TURNED_AWAY && c.open == 0 {
            self.counts.idle += 1;
            self.end(now, conn, CloseReason::TooManyRefused);
        }
    }

    pub(super) fn end_if_answered(&mut self, conn: ConnId) {
        if self.conns.get(&conn).is_some_and(|c| c.ending && c.reading_stopped && c.open == 0) {
            self.out.push(ClientOutput::Close(conn));
        }
    }
}
