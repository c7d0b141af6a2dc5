//! Housekeeping, some tens of times a second.

use super::*;

impl Controller {
    pub(super) fn on_tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: TICK_INTERVAL, token: 0 });
        if self.list_due.is_some_and(|due| now >= due) {
            self.list_due = None;
            out.push(Action::Subscribe);
        }
        if self.tell_due.is_some_and(|due| now >= due) {
            self.tell_due = Some(now + GROUP_MESSAGE_INTERVAL);
            self.tell_groups(out);
        }
        let silence = UNRESPONSIVE_SHARE * self.mean_aim;
        let hangs = |o: &ExchangeState| {
            o.unresponsive(now, self.woke, silence) && !o.explained_by_loss(o.pending.len())
        };
        for o in self.offices.iter_mut().filter(|o| hangs(o)) {
            o.trip(now, 0);
        }
        self.call_off_lost(now, out);
        self.ways.retain(|_, w| w.blocked_until > now || now - w.last_open < PATH_OPEN_TIME);
        self.numbers.retain(|_, until| *until > now);
        self.serve_held(now, None, true, out);
    }
}
