//! Periodic work, done on each tick.

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
        let min_age = UNRESPONSIVE_SHARE * self.mean_objective;
        let failed = |e: &ExchangeState| {
            e.unresponsive(now, self.resumed_at, min_age) && !e.explained_by_loss(e.pending.len())
        };
        for exchange in self.exchanges.iter_mut().filter(|e| failed(e)) {
            exchange.trip(now, 0);
        }
        self.cancel_lost(now, out);
        self.tandem_paths.retain(|_, path| path.blocked_until > now || now - path.last_open < PATH_OPEN_TIME);
        self.congested_numbers.retain(|_, until| *until > now);
        self.retry_queued(now, None, true, out);
    }
}
