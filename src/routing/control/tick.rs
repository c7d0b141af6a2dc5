//! Housekeeping, some tens of times a second.

use super::*;

impl Controller {
    pub(super) fn on_tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: TICK_INTERVAL, token: 0 });
        if self.subscribe_at.is_some_and(|due| now >= due) {
            self.subscribe_at = None;
            out.push(Action::Subscribe);
        }
        if self.next_group_message.is_some_and(|due| now >= due) {
            self.next_group_message = Some(now + GROUP_MESSAGE_INTERVAL);
            self.send_groups(out);
        }
        let silence = UNRESPONSIVE_SHARE * self.mean_objective;
        let hangs = |o: &ExchangeState| {
            o.unresponsive(now, self.resumed_at, silence) && !o.explained_by_loss(o.pending.len())
        };
        for o in self.exchanges.iter_mut().filter(|o| hangs(o)) {
            o.trip(now, 0);
        }
        self.cancel_lost(now, out);
        self.tandem_paths.retain(|_, w| w.blocked_until > now || now - w.last_open < PATH_OPEN_TIME);
        self.congested_numbers.retain(|_, until| *until > now);
        self.retry_queued(now, None, true, out);
    }
}
