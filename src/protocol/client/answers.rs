//! Final answers to set-ups.

use super::*;

impl ClientConnections {
    /// Sends the final answer to a call on the connection of its set-up.
    pub fn answer(&mut self, now: Micros, call: CallId, answer: Answer) {
        let Some(client_call) = self.calls.get_mut(&call) else { return };
        let (sid, conn) = (client_call.set_up.sid, client_call.set_up.conn);
        if !self.connections.contains_key(&conn) {
            self.counts.undeliverable += 1;
        }
        match answer {
            Answer::Established(text) => {
                client_call.answered = true;
                if let Some(c) = self.connections.get_mut(&conn) {
                    c.open_set_ups = c.open_set_ups.saturating_sub(1);
                    c.established += 1;
                    c.ever_established = true;
                }
                if fault_injected(InjectedFault::AnswerTwice) {
                    self.send(conn, Message { text: text.clone(), ..Message::new(Kind::Ready, Some(sid)) });
                }
                self.recent_answers.record(now, sid, text.clone());
                self.send(conn, Message { text, ..Message::new(Kind::Ready, Some(sid)) });
                self.close_if_answered(conn);
            }
            Answer::Refused { retry_after } => {
                let refusal = Message::close(sid, cause::NO_CIRCUIT);
                let refusal = match (retry_after + 999) / 1000 {
                    0 => refusal,
                    ms => refusal.with("wait", ms.to_string()),
                };
                self.finish_call(now, call, conn, refusal);
            }
            Answer::Failed => {
                self.finish_call(now, call, conn, Message::close(sid, cause::TEMPORARY_FAILURE));
            }
        }
        self.close_drained(now);
    }

    /// Removes a call that was not established and sends its answer.
    pub(super) fn finish_call(&mut self, now: Micros, call: CallId, conn: ConnId, message: Message) {
        let removed = self.remove_call(call);
        self.refuse_set_up(now, conn, message);
        if let Some(client_call) = removed {
            self.sid_released(now, client_call.set_up.sid);
        }
    }

    /// Sends a message, if the connection still exists.
    pub(super) fn send(&mut self, conn: ConnId, message: Message) {
        if self.connections.contains_key(&conn) {
            self.outputs.push(ClientOutput::Send(conn, message));
        }
    }

    /// Refuses or fails a set-up with `message`. A connection on which no call was ever established is closed after too
    /// many of them.
    pub(super) fn refuse_set_up(&mut self, now: Micros, conn: ConnId, message: Message) {
        self.send(conn, message);
        let Some(c) = self.connections.get_mut(&conn) else { return };
        c.refused = c.refused.saturating_add(1);
        if c.closing {
            self.close_if_answered(conn);
        } else if !c.ever_established && c.refused >= MAX_REFUSED_UNUSED && c.open_set_ups == 0 {
            self.counts.idle += 1;
            self.begin_close(now, conn, CloseReason::TooManyRefused);
        }
    }

    /// Closes a connection that is being closed once all set-ups read from it are answered.
    pub(super) fn close_if_answered(&mut self, conn: ConnId) {
        if self.connections.get(&conn).is_some_and(|c| c.closing && c.reading_stopped && c.open_set_ups == 0)
        {
            self.outputs.push(ClientOutput::Close(conn));
        }
    }
}
