//! What operators took out of service, laid over what the coordinator and the exchanges tell.
//!
//! The decision module hears of it in the words that it knows: an exchange that is withdrawn is on its list as
//! draining, a group that is withdrawn has no free circuit. What comes back does so by the rules that the module
//! has for a cold processor, and a group's circuits come back little by little, so that nothing gets its full share
//! at once. While nothing was ever withdrawn, all passes through unchanged.

use super::interface::{
    ExchangeNo, ListEntry, ListNews, ListState, LoadReport, Micros, OfficeId, OutOfService,
};
use std::collections::BTreeMap;

/// What follows for the module when something is withdrawn or comes back.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// Offices whose state on the list is another now.
    pub entries: Vec<ListEntry>,
    /// Figures of groups as they count now.
    pub groups: Vec<(OfficeId, LoadReport)>,
}

/// The list and the groups as they were told, and what is out of service.
#[derive(Debug)]
pub struct AdministrativeState {
    /// Time in which something that came back is taken up again (µs).
    ramp_period: Micros,
    listed: BTreeMap<OfficeId, ListEntry>,
    /// Free circuits and size of the group toward each office, and when they were told.
    circuits: BTreeMap<OfficeId, (f64, f64, Micros)>,
    out_of_service: OutOfService,
    /// Groups that are withdrawn, and since when.
    groups_out_since: BTreeMap<ExchangeNo, Micros>,
    /// Exchanges that came back, and when.
    restored_exchanges: BTreeMap<ExchangeNo, Micros>,
    /// Groups that came back, and when.
    restored_groups: BTreeMap<ExchangeNo, Micros>,
}

impl AdministrativeState {
    /// Nothing is withdrawn. `warm`: the time that a cold processor takes to be warm.
    pub fn new(ramp_period: Micros) -> Self {
        AdministrativeState {
            ramp_period: ramp_period.max(1),
            listed: BTreeMap::new(),
            circuits: BTreeMap::new(),
            out_of_service: OutOfService::default(),
            groups_out_since: BTreeMap::new(),
            restored_exchanges: BTreeMap::new(),
            restored_groups: BTreeMap::new(),
        }
    }

    /// An office as it counts: the worse of what the list says and what operators want.
    fn effective(&self, base: &ListEntry) -> ListEntry {
        let mut e = base.clone();
        if self.out_of_service.exchanges.contains(&e.exchange) && e.state == ListState::Ready {
            e.state = ListState::Draining;
        }
        if let Some(&back) = self.restored_exchanges.get(&e.exchange) {
            // A machine that started after that is colder still.
            e.last_start = Some(e.last_start.map_or(back, |s| s.max(back)));
        }
        e
    }

    /// Takes news of the list and gives what the module is to hear.
    pub fn apply_list(&mut self, news: ListNews) -> ListNews {
        let complete = matches!(news, ListNews::Complete(_) | ListNews::Cached(_));
        let (ListNews::Changes(entries) | ListNews::Complete(entries) | ListNews::Cached(entries)) = &news
        else {
            return news;
        };
        if complete {
            self.listed.clear();
        }
        for e in entries.iter() {
            match e.state {
                ListState::Gone => drop(self.listed.remove(&e.office)),
                _ => drop(self.listed.insert(e.office, e.clone())),
            }
        }
        let listed = &self.listed;
        self.circuits.retain(|office, _| listed.contains_key(office));
        if self.out_of_service.exchanges.is_empty() && self.restored_exchanges.is_empty() {
            return news;
        }
        let effective = entries.iter().map(|e| self.effective(e)).collect();
        match news {
            ListNews::Changes(_) => ListNews::Changes(effective),
            ListNews::Complete(_) => ListNews::Complete(effective),
            _ => ListNews::Cached(effective),
        }
    }

    /// Takes the figures of a group and gives them as they count.
    pub fn apply_report(&mut self, now: Micros, office: OfficeId, mut report: LoadReport) -> LoadReport {
        if let (Some(free), Some(size)) = (report.free, report.size) {
            self.circuits.insert(office, (free, size, now));
            report.free = Some(self.free_circuits(now, office, (free, size)));
        }
        report
    }

    fn free_circuits(&self, now: Micros, office: OfficeId, (free, size): (f64, f64)) -> f64 {
        let Some(exchange) = self.listed.get(&office).map(|e| e.exchange) else { return free };
        if self.out_of_service.groups.contains(&exchange) {
            return 0.0;
        }
        match self.restored_groups.get(&exchange) {
            // As many circuits are taken up as a cold processor gains: in step with the time since.
            Some(&since) if now - since < self.ramp_period => {
                free.min((size * (now - since) as f64 / self.ramp_period as f64).floor())
            }
            _ => free,
        }
    }

    /// Sets what is withdrawn from now on, and tells what changes by it.
    pub fn set_out_of_service(&mut self, now: Micros, new: OutOfService) -> Changes {
        let old = std::mem::replace(&mut self.out_of_service, new);
        let ramp_period = self.ramp_period;
        self.restored_exchanges.retain(|e, _| self.listed.values().any(|l| l.exchange == *e));
        self.restored_groups.retain(|_, t| now - *t < ramp_period);
        for &e in old.exchanges.difference(&self.out_of_service.exchanges) {
            self.restored_exchanges.insert(e, now);
        }
        for &e in &self.out_of_service.exchanges {
            self.restored_exchanges.remove(&e);
        }
        for &e in old.groups.difference(&self.out_of_service.groups) {
            self.restored_groups.insert(e, now);
        }
        let groups = &self.out_of_service.groups;
        self.groups_out_since.retain(|e, _| groups.contains(e));
        for &e in groups {
            self.restored_groups.remove(&e);
            self.groups_out_since.entry(e).or_insert(now);
        }
        let exchange_changed = |e: &&ListEntry| {
            old.exchanges.contains(&e.exchange) != self.out_of_service.exchanges.contains(&e.exchange)
        };
        let entries = self.listed.values().filter(exchange_changed).map(|e| self.effective(e)).collect();
        let group_changed = |office: &OfficeId| {
            self.listed.get(office).is_some_and(|e| {
                old.groups.contains(&e.exchange) != self.out_of_service.groups.contains(&e.exchange)
            })
        };
        let changed_groups = self.circuits.iter().filter(|f| group_changed(f.0));
        let groups =
            changed_groups.map(|(&office, &f)| (office, self.group_report(now, office, f))).collect();
        Changes { entries, groups }
    }

    fn group_report(&self, now: Micros, office: OfficeId, f: (f64, f64, Micros)) -> LoadReport {
        LoadReport {
            free: Some(self.free_circuits(now, office, (f.0, f.1))),
            size: Some(f.1),
            ..LoadReport::default()
        }
    }

    /// Groups that come back little by little: their figures as they count now. To be told on about every tenth of
    /// the time that they take.
    pub fn ramping_groups(&mut self, now: Micros) -> Vec<(OfficeId, LoadReport)> {
        if self.restored_groups.is_empty() {
            return Vec::new();
        }
        let report_of = |(&office, &f): (&OfficeId, &(f64, f64, Micros))| {
            let exchange = self.listed.get(&office)?.exchange;
            self.restored_groups.contains_key(&exchange).then(|| (office, self.group_report(now, office, f)))
        };
        let reports = self.circuits.iter().filter_map(report_of).collect();
        let ramp_period = self.ramp_period;
        self.restored_groups.retain(|_, since| now - *since < ramp_period);
        reports
    }

    /// Since when the group toward an office is withdrawn.
    pub fn group_out_since(&self, office: OfficeId) -> Option<Micros> {
        self.groups_out_since.get(&self.listed.get(&office)?.exchange).copied()
    }

    /// What is withdrawn.
    pub fn out_of_service(&self) -> &OutOfService {
        &self.out_of_service
    }

    /// The exchange that an office serves, while it is on the list.
    pub fn exchange_of(&self, office: OfficeId) -> Option<ExchangeNo> {
        self.listed.get(&office).map(|e| e.exchange)
    }

    /// Each office on the list as the coordinator has it, with free circuits and size of its group.
    pub fn offices(&self) -> impl Iterator<Item = (&ListEntry, Option<(f64, f64)>)> {
        self.listed.values().map(|e| (e, self.circuits.get(&e.office).map(|f| (f.0, f.1))))
    }

    /// Free circuits and size of each group as they were told, and when.
    pub fn group_circuits(&self) -> impl Iterator<Item = (OfficeId, (f64, f64, Micros))> + '_ {
        self.circuits.iter().map(|(&office, &f)| (office, f))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RAMP_PERIOD: Micros = 15_000_000;

    fn entry(n: u16, state: ListState) -> ListEntry {
        let office = OfficeId { addr: [0, 0, 0, n as u8], port: 0 };
        ListEntry { exchange: ExchangeNo(n), zone: 0, state, office, last_start: None }
    }

    fn out(exchanges: &[u16], groups: &[u16]) -> OutOfService {
        let set = |l: &[u16]| l.iter().map(|&n| ExchangeNo(n)).collect();
        OutOfService { exchanges: set(exchanges), groups: set(groups), all: false }
    }

    fn figures(free: f64) -> LoadReport {
        LoadReport { free: Some(free), size: Some(20.0), ..LoadReport::default() }
    }

    #[test]
    fn nothing_changes_while_nothing_was_withdrawn() {
        let mut w = AdministrativeState::new(RAMP_PERIOD);
        let news = ListNews::Complete([entry(1, ListState::Ready), entry(2, ListState::Draining)].into());
        assert_eq!(w.apply_list(news.clone()), news);
        assert_eq!(w.apply_report(5, entry(1, ListState::Ready).office, figures(7.0)), figures(7.0));
        assert!(
            w.set_out_of_service(9, OutOfService::default()).entries.is_empty()
                && w.ramping_groups(9).is_empty()
        );
    }

    #[test]
    fn whichever_drain_ends_first_the_other_holds() {
        let mut w = AdministrativeState::new(RAMP_PERIOD);
        w.apply_list(ListNews::Complete([entry(1, ListState::Ready)].into()));
        assert_eq!(w.set_out_of_service(10, out(&[1], &[])).entries[0].state, ListState::Draining);
        // The coordinator drains it too, and ends its drain first.
        for state in [ListState::Draining, ListState::Ready] {
            let ListNews::Changes(told) = w.apply_list(ListNews::Changes([entry(1, state)].into())) else {
                panic!()
            };
            assert_eq!(told[0].state, ListState::Draining);
        }
        // A replacement under a new name serves the same exchange: it is withdrawn as well.
        let new = ListEntry { office: OfficeId { addr: [9; 4], port: 0 }, ..entry(1, ListState::Ready) };
        let ListNews::Changes(told) = w.apply_list(ListNews::Changes([new].into())) else { panic!() };
        assert_eq!(told[0].state, ListState::Draining);
        // The operator's ends first.
        w.apply_list(ListNews::Changes([entry(1, ListState::Draining)].into()));
        let back = w.set_out_of_service(20, out(&[], &[])).entries;
        let state = |office| back.iter().find(|e| e.office == office).unwrap();
        assert_eq!(state(entry(1, ListState::Ready).office).state, ListState::Draining);
        let ready = state(OfficeId { addr: [9; 4], port: 0 });
        assert_eq!(
            (ready.state, ready.last_start),
            (ListState::Ready, Some(20)),
            "it comes back as a cold one"
        );
    }

    #[test]
    fn a_group_is_shut_at_once_and_comes_back_little_by_little() {
        let mut w = AdministrativeState::new(RAMP_PERIOD);
        let office = entry(1, ListState::Ready).office;
        w.apply_list(ListNews::Complete([entry(1, ListState::Ready)].into()));
        w.apply_report(0, office, figures(18.0));
        assert_eq!(w.set_out_of_service(10, out(&[], &[1])).groups[0].1.free, Some(0.0));
        assert_eq!(
            (w.apply_report(11, office, figures(20.0)).free, w.group_out_since(office)),
            (Some(0.0), Some(10))
        );
        assert_eq!(w.set_out_of_service(100, OutOfService::default()).groups[0].1.free, Some(0.0));
        assert_eq!(w.ramping_groups(100 + RAMP_PERIOD / 2)[0].1.free, Some(10.0));
        assert_eq!(w.ramping_groups(100 + RAMP_PERIOD)[0].1.free, Some(20.0));
        assert!(w.ramping_groups(101 + RAMP_PERIOD).is_empty() && w.group_out_since(office).is_none());
    }
}
