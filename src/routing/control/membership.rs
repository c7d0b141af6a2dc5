//! The list of exchanges.

use super::*;

/// The list is asked for again this long after a failure (on request; µs).
const LIST_RETRY_DELAY: Micros = 1_000_000;

impl Controller {
    pub(super) fn on_list(&mut self, now: Micros, news: ListUpdate) {
        let (entries, complete) = match news {
            ListUpdate::Failed => {
                self.subscribe_at = Some(now + LIST_RETRY_DELAY);
                return;
            }
            ListUpdate::Changes(e) => (e, false),
            ListUpdate::Complete(e) | ListUpdate::Cached(e) => (e, true),
        };
        for e in entries.iter() {
            self.on_entry(now, e);
        }
        if complete {
            let named: BTreeSet<ExchangeId> = entries.iter().map(|e| e.exchange_id).collect();
            for o in &mut self.exchanges {
                if !named.contains(&o.exchange_id) {
                    o.state = ListState::Gone;
                }
            }
        }
        self.list_received = true;
        self.ready_exchanges = self.exchanges.iter().filter(|o| o.state == ListState::Ready).count();
        self.index_by_number.clear();
        for (i, o) in self.exchanges.iter().enumerate() {
            let better = |&j: &usize| self.exchanges[j].state == ListState::Ready;
            if !self.index_by_number.get(&o.exchange).is_some_and(better) {
                self.index_by_number.insert(o.exchange, i);
            }
        }
    }

    pub(super) fn on_entry(&mut self, now: Micros, e: &ListEntry) {
        let part = self.random();
        let known = self.index_by_id.get(&e.exchange_id).copied();
        let i = known.unwrap_or_else(|| {
            // Danger: replaced machines would fill the table for good; one that is gone gives up its place.
            let gone = self.exchanges.iter().position(|o| o.state == ListState::Gone && o.pending.is_empty());
            let i = gone.unwrap_or(self.exchanges.len());
            let mut office = ExchangeState::new(e, now);
            // One that was not there before may be fresh from start.
            office.started = e.last_start.or(self.list_received.then_some(now));
            office.cold_start_debt.1 = part;
            if gone.is_some() {
                self.index_by_id.remove(&self.exchanges[i].exchange_id);
                self.tandem_paths.retain(|way, _| way.1 != i);
                self.exchanges[i] = office;
            } else {
                self.exchanges.push(office);
            }
            self.index_by_id.insert(e.exchange_id, i);
            i
        });
        let o = &mut self.exchanges[i];
        o.state = e.state;
        o.exchange = e.exchange;
        if e.last_start.is_some() && e.last_start != o.started {
            // Restarted: what was known of the old processor is void.
            o.started = e.last_start;
            o.cold_start_debt = (now, part);
            o.concurrency = ConcurrencyLimit { limit: 1.0, ..ConcurrencyLimit::INITIAL };
            o.overloaded_until = now;
        }
    }
}
