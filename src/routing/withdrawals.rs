//! What operators took out of service, laid over what the coordinator and the exchanges tell.
//!
//! The decision module hears of it in the words that it knows: an exchange that is withdrawn is on its list as
//! draining, a group that is withdrawn has no free circuit. What comes back does so by the rules that the module
//! has for a cold processor, and a group's circuits come back little by little, so that nothing gets its full share
//! at once. While nothing was ever withdrawn, all passes through unchanged.

use super::interface::{
    ExchangeId, ExchangeNumber, ListEntry, ListState, ListUpdate, LoadReport, Micros, OutOfService,
};
use std::collections::BTreeMap;

/// What follows for the module when something is withdrawn or comes back.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// Offices whose state on the list is another now.
    pub entries: Vec<ListEntry>,
    /// Figures of groups as they count now.
    pub groups: Vec<(ExchangeId, LoadReport)>,
}

/// The list and the groups as they were told, and what is out of service.
#[derive(Debug)]
pub struct Withdrawals {
    /// Time in which something that came back is taken up again (µs).
    warm: Micros,
    listed: BTreeMap<ExchangeId, ListEntry>,
    /// Free circuits and size of the group toward each office, and when they were told.
    figures: BTreeMap<ExchangeId, (f64, f64, Micros)>,
    withdrawn: OutOfService,
    /// Groups that are withdrawn, and since when.
    shut: BTreeMap<ExchangeNumber, Micros>,
    /// Exchanges that came back, and when.
    returned: BTreeMap<ExchangeNumber, Micros>,
    /// Groups that came back, and when.
    reopened: BTreeMap<ExchangeNumber, Micros>,
}

impl Withdrawals {
    /// Nothing is withdrawn. `warm`: the time that a cold processor takes to be warm.
    pub fn new(warm: Micros) -> Self {
        Withdrawals {
            warm: warm.max(1),
            listed: BTreeMap::new(),
            figures: BTreeMap::new(),
            withdrawn: OutOfService::default(),
            shut: BTreeMap::new(),
            returned: BTreeMap::new(),
            reopened: BTreeMap::new(),
        }
    }

    /// An office as it counts: the worse of what the list says and what operators want.
    fn effective(&self, base: &ListEntry) -> ListEntry {
        let mut e = base.clone();
        if self.withdrawn.exchanges.contains(&e.exchange) && e.state == ListState::Ready {
            e.state = ListState::Draining;
        }
        if let Some(&back) = self.returned.get(&e.exchange) {
            // A machine that started after that is colder still.
            e.last_start = Some(e.last_start.map_or(back, |s| s.max(back)));
        }
        e
    }

    /// Takes news of the list and gives what the module is to hear.
    pub fn list(&mut self, news: ListUpdate) -> ListUpdate {
        let complete = matches!(news, ListUpdate::Complete(_) | ListUpdate::Cached(_));
        let (ListUpdate::Changes(entries) | ListUpdate::Complete(entries) | ListUpdate::Cached(entries)) =
            &news
        else {
            return news;
        };
        if complete {
            self.listed.clear();
        }
        for e in entries.iter() {
            match e.state {
                ListState::Gone => drop(self.listed.remove(&e.exchange_id)),
                _ => drop(self.listed.insert(e.exchange_id, e.clone())),
            }
        }
        let listed = &self.listed;
        self.figures.retain(|office, _| listed.contains_key(office));
        if self.withdrawn.exchanges.is_empty() && self.returned.is_empty() {
            return news;
        }
        let effective = entries.iter().map(|e| self.effective(e)).collect();
        match news {
            ListUpdate::Changes(_) => ListUpdate::Changes(effective),
            ListUpdate::Complete(_) => ListUpdate::Complete(effective),
            _ => ListUpdate::Cached(effective),
        }
    }

    /// Takes the figures of a group and gives them as they count.
    pub fn report(&mut self, now: Micros, office: ExchangeId, mut report: LoadReport) -> LoadReport {
        if let (Some(free), Some(size)) = (report.free, report.size) {
            self.figures.insert(office, (free, size, now));
            report.free = Some(self.free(now, office, (free, size)));
        }
        report
    }

    fn free(&self, now: Micros, office: ExchangeId, (free, size): (f64, f64)) -> f64 {
        let Some(exchange) = self.listed.get(&office).map(|e| e.exchange) else { return free };
        if self.withdrawn.groups.contains(&exchange) {
            return 0.0;
        }
        match self.reopened.get(&exchange) {
            // As many circuits are taken up as a cold processor gains: in step with the time since.
            Some(&since) if now - since < self.warm => {
                free.min((size * (now - since) as f64 / self.warm as f64).floor())
            }
            _ => free,
        }
    }

    /// Sets what is withdrawn from now on, and tells what changes by it.
    pub fn set(&mut self, now: Micros, new: OutOfService) -> Changes {
        let old = std::mem::replace(&mut self.withdrawn, new);
        let warm = self.warm;
        self.returned.retain(|e, _| self.listed.values().any(|l| l.exchange == *e));
        self.reopened.retain(|_, t| now - *t < warm);
        for &e in old.exchanges.difference(&self.withdrawn.exchanges) {
            self.returned.insert(e, now);
        }
        for &e in &self.withdrawn.exchanges {
            self.returned.remove(&e);
        }
        for &e in old.groups.difference(&self.withdrawn.groups) {
            self.reopened.insert(e, now);
        }
        let groups = &self.withdrawn.groups;
        self.shut.retain(|e, _| groups.contains(e));
        for &e in groups {
            self.reopened.remove(&e);
            self.shut.entry(e).or_insert(now);
        }
        let exchange = |e: &&ListEntry| {
            old.exchanges.contains(&e.exchange) != self.withdrawn.exchanges.contains(&e.exchange)
        };
        let entries = self.listed.values().filter(exchange).map(|e| self.effective(e)).collect();
        let changed = |office: &ExchangeId| {
            self.listed.get(office).is_some_and(|e| {
                old.groups.contains(&e.exchange) != self.withdrawn.groups.contains(&e.exchange)
            })
        };
        let figures = self.figures.iter().filter(|f| changed(f.0));
        let groups = figures.map(|(&office, &f)| (office, self.group(now, office, f))).collect();
        Changes { entries, groups }
    }

    fn group(&self, now: Micros, office: ExchangeId, f: (f64, f64, Micros)) -> LoadReport {
        LoadReport {
            free: Some(self.free(now, office, (f.0, f.1))),
            size: Some(f.1),
            ..LoadReport::default()
        }
    }

    /// Groups that come back little by little: their figures as they count now. To be told on about every tenth of
    /// the time that they take.
    pub fn reopening(&mut self, now: Micros) -> Vec<(ExchangeId, LoadReport)> {
        if self.reopened.is_empty() {
            return Vec::new();
        }
        let of = |(&office, &f): (&ExchangeId, &(f64, f64, Micros))| {
            let exchange = self.listed.get(&office)?.exchange;
            self.reopened.contains_key(&exchange).then(|| (office, self.group(now, office, f)))
        };
        let told = self.figures.iter().filter_map(of).collect();
        let warm = self.warm;
        self.reopened.retain(|_, since| now - *since < warm);
        told
    }

    /// Since when the group toward an office is withdrawn.
    pub fn shut_since(&self, office: ExchangeId) -> Option<Micros> {
        self.shut.get(&self.listed.get(&office)?.exchange).copied()
    }

    /// What is withdrawn.
    pub fn withdrawn(&self) -> &OutOfService {
        &self.withdrawn
    }

    /// The exchange that an office serves, while it is on the list.
    pub fn exchange_of(&self, office: ExchangeId) -> Option<ExchangeNumber> {
        self.listed.get(&office).map(|e| e.exchange)
    }

    /// Each office on the list as the coordinator has it, with free circuits and size of its group.
    pub fn offices(&self) -> impl Iterator<Item = (&ListEntry, Option<(f64, f64)>)> {
        self.listed.values().map(|e| (e, self.figures.get(&e.exchange_id).map(|f| (f.0, f.1))))
    }

    /// Free circuits and size of each group as they were told, and when.
    pub fn figures(&self) -> impl Iterator<Item = (ExchangeId, (f64, f64, Micros))> + '_ {
        self.figures.iter().map(|(&office, &f)| (office, f))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WARM: Micros = 15_000_000;

    fn entry(n: u16, state: ListState) -> ListEntry {
        let office = ExchangeId { addr: [0, 0, 0, n as u8], port: 0 };
        ListEntry { exchange: ExchangeNumber(n), zone: 0, state, exchange_id: office, last_start: None }
    }

    fn out(exchanges: &[u16], groups: &[u16]) -> OutOfService {
        let set = |l: &[u16]| l.iter().map(|&n| ExchangeNumber(n)).collect();
        OutOfService { exchanges: set(exchanges), groups: set(groups), controller: false }
    }

    fn figures(free: f64) -> LoadReport {
        LoadReport { free: Some(free), size: Some(20.0), ..LoadReport::default() }
    }

    #[test]
    fn nothing_changes_while_nothing_was_withdrawn() {
        let mut w = Withdrawals::new(WARM);
        let news = ListUpdate::Complete([entry(1, ListState::Ready), entry(2, ListState::Draining)].into());
        assert_eq!(w.list(news.clone()), news);
        assert_eq!(w.report(5, entry(1, ListState::Ready).exchange_id, figures(7.0)), figures(7.0));
        assert!(w.set(9, OutOfService::default()).entries.is_empty() && w.reopening(9).is_empty());
    }

    #[test]
    fn whichever_drain_ends_first_the_other_holds() {
        let mut w = Withdrawals::new(WARM);
        w.list(ListUpdate::Complete([entry(1, ListState::Ready)].into()));
        assert_eq!(w.set(10, out(&[1], &[])).entries[0].state, ListState::Draining);
        // The coordinator drains it too, and ends its drain first.
        for state in [ListState::Draining, ListState::Ready] {
            let ListUpdate::Changes(told) = w.list(ListUpdate::Changes([entry(1, state)].into())) else {
                panic!()
            };
            assert_eq!(told[0].state, ListState::Draining);
        }
        // A replacement under a new name serves the same exchange: it is withdrawn as well.
        let new =
            ListEntry { exchange_id: ExchangeId { addr: [9; 4], port: 0 }, ..entry(1, ListState::Ready) };
        let ListUpdate::Changes(told) = w.list(ListUpdate::Changes([new].into())) else { panic!() };
        assert_eq!(told[0].state, ListState::Draining);
        // The operator's ends first.
        w.list(ListUpdate::Changes([entry(1, ListState::Draining)].into()));
        let back = w.set(20, out(&[], &[])).entries;
        let state = |office| back.iter().find(|e| e.exchange_id == office).unwrap();
        assert_eq!(state(entry(1, ListState::Ready).exchange_id).state, ListState::Draining);
        let ready = state(ExchangeId { addr: [9; 4], port: 0 });
        assert_eq!(
            (ready.state, ready.last_start),
            (ListState::Ready, Some(20)),
            "it comes back as a cold one"
        );
    }

    #[test]
    fn a_group_is_shut_at_once_and_comes_back_little_by_little() {
        let mut w = Withdrawals::new(WARM);
        let office = entry(1, ListState::Ready).exchange_id;
        w.list(ListUpdate::Complete([entry(1, ListState::Ready)].into()));
        w.report(0, office, figures(18.0));
        assert_eq!(w.set(10, out(&[], &[1])).groups[0].1.free, Some(0.0));
        assert_eq!((w.report(11, office, figures(20.0)).free, w.shut_since(office)), (Some(0.0), Some(10)));
        assert_eq!(w.set(100, OutOfService::default()).groups[0].1.free, Some(0.0));
        assert_eq!(w.reopening(100 + WARM / 2)[0].1.free, Some(10.0));
        assert_eq!(w.reopening(100 + WARM)[0].1.free, Some(20.0));
        assert!(w.reopening(101 + WARM).is_empty() && w.shut_since(office).is_none());
    }
}
