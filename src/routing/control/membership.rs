//! Updates of the list of exchanges.

use super::*;

/// Delay before the list is requested again after a failure (on request only; µs).
const LIST_RETRY_DELAY: Micros = 1_000_000;

impl Controller {
    pub(super) fn on_list(&mut self, now: Micros, update: ListUpdate) {
        let (entries, complete) = match update {
            ListUpdate::Failed => {
                self.subscribe_at = Some(now + LIST_RETRY_DELAY);
                return;
            }
            ListUpdate::Changes(entries) => (entries, false),
            ListUpdate::Complete(entries) | ListUpdate::Cached(entries) => (entries, true),
        };
        for entry in entries.iter() {
            self.on_entry(now, entry);
        }
        if complete {
            let listed: BTreeSet<ExchangeId> = entries.iter().map(|e| e.exchange_id).collect();
            for exchange in &mut self.exchanges {
                if !listed.contains(&exchange.exchange_id) {
                    exchange.state = ListState::Gone;
                }
            }
        }
        self.list_received = true;
        self.ready_exchanges = self.exchanges.iter().filter(|e| e.state == ListState::Ready).count();
        self.index_by_number.clear();
        for (i, exchange) in self.exchanges.iter().enumerate() {
            let ready = |&j: &usize| self.exchanges[j].state == ListState::Ready;
            if !self.index_by_number.get(&exchange.exchange_number).is_some_and(ready) {
                self.index_by_number.insert(exchange.exchange_number, i);
            }
        }
    }

    pub(super) fn on_entry(&mut self, now: Micros, entry: &ListEntry) {
        let initial_debt = self.random();
        let known = self.index_by_id.get(&entry.exchange_id).copied();
        let index = known.unwrap_or_else(|| {
            // Reuses the slot of a removed machine; otherwise replaced machines would accumulate without bound.
            let unused =
                self.exchanges.iter().position(|e| e.state == ListState::Gone && e.pending.is_empty());
            let index = unused.unwrap_or(self.exchanges.len());
            let mut exchange = ExchangeState::new(entry, now);
            // A machine that appears after the first list may have just started.
            exchange.started = entry.last_start.or(self.list_received.then_some(now));
            exchange.cold_start_debt.1 = initial_debt;
            if unused.is_some() {
                self.index_by_id.remove(&self.exchanges[index].exchange_id);
                self.tandem_paths.retain(|path, _| path.1 != index);
                self.exchanges[index] = exchange;
            } else {
                self.exchanges.push(exchange);
            }
            self.index_by_id.insert(entry.exchange_id, index);
            index
        });
        let exchange = &mut self.exchanges[index];
        exchange.state = entry.state;
        exchange.exchange_number = entry.exchange;
        exchange.kind = entry.kind;
        if entry.last_start.is_some() && entry.last_start != exchange.started {
            // The processor restarted: its previous load and limits no longer apply.
            exchange.started = entry.last_start;
            exchange.cold_start_debt = (now, initial_debt);
            exchange.concurrency = ConcurrencyLimit { limit: 1.0, ..ConcurrencyLimit::INITIAL };
            exchange.overloaded_until = now;
        }
    }
}
