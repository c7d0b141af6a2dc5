//! Administrative state: exchanges and trunk groups that operators took out of service, applied to the exchange list
//! and the load reports before the decision module sees them.
//!
//! An exchange that is out of service appears on the list as draining, and a trunk group that is out of service has
//! no free circuit. An exchange put back into service is treated as freshly started, so that the rules for a cold
//! processor apply, and the circuits of a group return gradually: neither gets its full share of calls at once. Until
//! something is first taken out of service, lists and reports pass through unchanged.

use super::interface::{
    ExchangeId, ExchangeKind, ExchangeNumber, ListEntry, ListState, ListUpdate, LoadReport, Micros,
    OutOfService,
};
use std::collections::BTreeMap;

/// Updates for the decision module after a change of the administrative state.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// List entries of the exchanges whose administrative state changed.
    pub entries: Vec<ListEntry>,
    /// Load reports of the groups whose administrative state changed.
    pub groups: Vec<(ExchangeId, LoadReport)>,
}

/// The exchange list and circuit counts as received, and what operators took out of service.
#[derive(Debug)]
pub struct AdministrativeState {
    /// Time over which a group put back into service regains its circuits (µs).
    ramp_period: Micros,
    listed: BTreeMap<ExchangeId, ListEntry>,
    /// Free circuits and size of the group to each exchange, and when they were reported.
    circuits: BTreeMap<ExchangeId, (f64, f64, Micros)>,
    out_of_service: OutOfService,
    /// When each group that is out of service was taken out.
    groups_out_since: BTreeMap<ExchangeNumber, Micros>,
    /// When exchanges were put back into service.
    restored_exchanges: BTreeMap<ExchangeNumber, Micros>,
    /// When groups were put back into service, until they have regained all circuits.
    restored_groups: BTreeMap<ExchangeNumber, Micros>,
}

impl AdministrativeState {
    /// Creates a state with everything in service. `ramp_period` is the cold-start period of a processor.
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

    /// The entry that the decision module sees: the worse of the listed and the administrative state.
    fn effective(&self, listed: &ListEntry) -> ListEntry {
        let mut e = listed.clone();
        if self.out_of_service.exchanges.contains(&e.exchange) && e.state == ListState::Ready {
            e.state = ListState::Draining;
        }
        if let Some(&restored_at) = self.restored_exchanges.get(&e.exchange) {
            // A machine that started after the exchange was put back counts from its own, later start.
            e.last_start = Some(e.last_start.map_or(restored_at, |s| s.max(restored_at)));
        }
        e
    }

    /// Records a list update and returns it with the administrative state applied.
    pub fn apply_list(&mut self, update: ListUpdate) -> ListUpdate {
        let is_complete = matches!(update, ListUpdate::Complete(_) | ListUpdate::Cached(_));
        let (ListUpdate::Changes(entries) | ListUpdate::Complete(entries) | ListUpdate::Cached(entries)) =
            &update
        else {
            return update;
        };
        if is_complete {
            self.listed.clear();
        }
        for e in entries.iter() {
            match e.state {
                ListState::Gone => drop(self.listed.remove(&e.exchange_id)),
                _ => drop(self.listed.insert(e.exchange_id, e.clone())),
            }
        }
        let listed = &self.listed;
        self.circuits.retain(|exchange_id, _| listed.contains_key(exchange_id));
        if self.out_of_service.exchanges.is_empty() && self.restored_exchanges.is_empty() {
            return update;
        }
        let effective = entries.iter().map(|e| self.effective(e)).collect();
        match update {
            ListUpdate::Changes(_) => ListUpdate::Changes(effective),
            ListUpdate::Complete(_) => ListUpdate::Complete(effective),
            _ => ListUpdate::Cached(effective),
        }
    }

    /// Records a load report and returns it with the administrative state applied.
    pub fn apply_report(
        &mut self,
        now: Micros,
        exchange_id: ExchangeId,
        mut report: LoadReport,
    ) -> LoadReport {
        if let (Some(free), Some(size)) = (report.free, report.size) {
            self.circuits.insert(exchange_id, (free, size, now));
            report.free = Some(self.free_circuits(now, exchange_id, (free, size)));
        }
        report
    }

    fn free_circuits(&self, now: Micros, exchange_id: ExchangeId, (free, size): (f64, f64)) -> f64 {
        let Some(exchange) = self.listed.get(&exchange_id).map(|e| e.exchange) else { return free };
        if self.out_of_service.groups.contains(&exchange) {
            return 0.0;
        }
        match self.restored_groups.get(&exchange) {
            // The circuits return linearly over the period, at the rate at which a cold processor gains capacity.
            Some(&since) if now - since < self.ramp_period => {
                free.min((size * (now - since) as f64 / self.ramp_period as f64).floor())
            }
            _ => free,
        }
    }

    /// Replaces the administrative state and returns the resulting updates.
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
        let group_changed = |exchange_id: &ExchangeId| {
            self.listed.get(exchange_id).is_some_and(|e| {
                old.groups.contains(&e.exchange) != self.out_of_service.groups.contains(&e.exchange)
            })
        };
        let changed_groups = self.circuits.iter().filter(|entry| group_changed(entry.0));
        let groups = changed_groups
            .map(|(&exchange_id, &circuits)| (exchange_id, self.group_report(now, exchange_id, circuits)))
            .collect();
        Changes { entries, groups }
    }

    fn group_report(
        &self,
        now: Micros,
        exchange_id: ExchangeId,
        (free, size, _): (f64, f64, Micros),
    ) -> LoadReport {
        LoadReport {
            free: Some(self.free_circuits(now, exchange_id, (free, size))),
            size: Some(size),
            ..LoadReport::default()
        }
    }

    /// Load reports of the groups that are regaining their circuits. To be passed to the decision module about every
    /// tenth of the ramp period.
    pub fn ramping_groups(&mut self, now: Micros) -> Vec<(ExchangeId, LoadReport)> {
        if self.restored_groups.is_empty() {
            return Vec::new();
        }
        let report_of = |(&exchange_id, &circuits): (&ExchangeId, &(f64, f64, Micros))| {
            let exchange = self.listed.get(&exchange_id)?.exchange;
            self.restored_groups
                .contains_key(&exchange)
                .then(|| (exchange_id, self.group_report(now, exchange_id, circuits)))
        };
        let reports = self.circuits.iter().filter_map(report_of).collect();
        let ramp_period = self.ramp_period;
        self.restored_groups.retain(|_, since| now - *since < ramp_period);
        reports
    }

    /// When the group to an exchange was taken out of service; `None` if it is in service.
    pub fn group_out_since(&self, exchange_id: ExchangeId) -> Option<Micros> {
        self.groups_out_since.get(&self.listed.get(&exchange_id)?.exchange).copied()
    }

    /// What is out of service.
    pub fn out_of_service(&self) -> &OutOfService {
        &self.out_of_service
    }

    /// The exchange number of a machine, while it is on the list.
    pub fn exchange_of(&self, exchange_id: ExchangeId) -> Option<ExchangeNumber> {
        self.listed.get(&exchange_id).map(|e| e.exchange)
    }

    /// Whether calls to a destination may be set up at a machine: a gateway is no tandem, and is reached only directly.
    pub fn may_carry(&self, exchange_id: ExchangeId, destination: ExchangeNumber) -> bool {
        self.listed.get(&exchange_id).is_none_or(|e| {
            e.exchange == destination || e.kind == ExchangeKind::Exchange && !self.is_gateway(destination)
        })
    }

    /// Whether calls to this number end at a gateway.
    pub fn is_gateway(&self, exchange: ExchangeNumber) -> bool {
        self.listed.values().any(|e| e.exchange == exchange && e.kind == ExchangeKind::Gateway)
    }

    /// The list as received from the coordinator, with free circuits and size of each group.
    pub fn exchanges(&self) -> impl Iterator<Item = (&ListEntry, Option<(f64, f64)>)> {
        self.listed.values().map(|e| (e, self.circuits.get(&e.exchange_id).map(|f| (f.0, f.1))))
    }

    /// Free circuits and size of each group as reported, and when.
    pub fn group_circuits(&self) -> impl Iterator<Item = (ExchangeId, (f64, f64, Micros))> + '_ {
        self.circuits.iter().map(|(&exchange_id, &circuits)| (exchange_id, circuits))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RAMP_PERIOD: Micros = 15_000_000;

    fn entry(n: u16, state: ListState) -> ListEntry {
        let exchange_id = ExchangeId { addr: [0, 0, 0, n as u8], port: 0 };
        let kind = ExchangeKind::Exchange;
        ListEntry { exchange: ExchangeNumber(n), kind, zone: 0, state, exchange_id, last_start: None }
    }

    fn out_of_service(exchanges: &[u16], groups: &[u16]) -> OutOfService {
        let set = |numbers: &[u16]| numbers.iter().map(|&n| ExchangeNumber(n)).collect();
        OutOfService { exchanges: set(exchanges), groups: set(groups), controller: false }
    }

    fn report(free: f64) -> LoadReport {
        LoadReport { free: Some(free), size: Some(20.0), ..LoadReport::default() }
    }

    #[test]
    fn lists_and_reports_are_unchanged_while_everything_is_in_service() {
        let mut administration = AdministrativeState::new(RAMP_PERIOD);
        let update = ListUpdate::Complete([entry(1, ListState::Ready), entry(2, ListState::Draining)].into());
        assert_eq!(administration.apply_list(update.clone()), update);
        assert_eq!(
            administration.apply_report(5, entry(1, ListState::Ready).exchange_id, report(7.0)),
            report(7.0)
        );
        assert!(
            administration.set_out_of_service(9, OutOfService::default()).entries.is_empty()
                && administration.ramping_groups(9).is_empty()
        );
    }

    #[test]
    fn coordinator_and_operator_drains_are_independent() {
        let mut administration = AdministrativeState::new(RAMP_PERIOD);
        administration.apply_list(ListUpdate::Complete([entry(1, ListState::Ready)].into()));
        assert_eq!(
            administration.set_out_of_service(10, out_of_service(&[1], &[])).entries[0].state,
            ListState::Draining
        );
        // The coordinator drains the exchange as well and ends its drain first.
        for state in [ListState::Draining, ListState::Ready] {
            let ListUpdate::Changes(effective) =
                administration.apply_list(ListUpdate::Changes([entry(1, state)].into()))
            else {
                panic!()
            };
            assert_eq!(effective[0].state, ListState::Draining);
        }
        // A replacement machine that serves the same exchange is out of service as well.
        let replacement =
            ListEntry { exchange_id: ExchangeId { addr: [9; 4], port: 0 }, ..entry(1, ListState::Ready) };
        let ListUpdate::Changes(effective) =
            administration.apply_list(ListUpdate::Changes([replacement].into()))
        else {
            panic!()
        };
        assert_eq!(effective[0].state, ListState::Draining);
        // The operator ends the drain before the coordinator does.
        administration.apply_list(ListUpdate::Changes([entry(1, ListState::Draining)].into()));
        let restored = administration.set_out_of_service(20, out_of_service(&[], &[])).entries;
        let state = |exchange_id| restored.iter().find(|e| e.exchange_id == exchange_id).unwrap();
        assert_eq!(state(entry(1, ListState::Ready).exchange_id).state, ListState::Draining);
        let ready = state(ExchangeId { addr: [9; 4], port: 0 });
        assert_eq!(
            (ready.state, ready.last_start),
            (ListState::Ready, Some(20)),
            "it is treated as freshly started"
        );
    }

    #[test]
    fn a_group_loses_its_circuits_at_once_and_regains_them_gradually() {
        let mut administration = AdministrativeState::new(RAMP_PERIOD);
        let exchange_id = entry(1, ListState::Ready).exchange_id;
        administration.apply_list(ListUpdate::Complete([entry(1, ListState::Ready)].into()));
        administration.apply_report(0, exchange_id, report(18.0));
        assert_eq!(
            administration.set_out_of_service(10, out_of_service(&[], &[1])).groups[0].1.free,
            Some(0.0)
        );
        assert_eq!(
            (
                administration.apply_report(11, exchange_id, report(20.0)).free,
                administration.group_out_since(exchange_id)
            ),
            (Some(0.0), Some(10))
        );
        assert_eq!(
            administration.set_out_of_service(100, OutOfService::default()).groups[0].1.free,
            Some(0.0)
        );
        assert_eq!(administration.ramping_groups(100 + RAMP_PERIOD / 2)[0].1.free, Some(10.0));
        assert_eq!(administration.ramping_groups(100 + RAMP_PERIOD)[0].1.free, Some(20.0));
        assert!(
            administration.ramping_groups(101 + RAMP_PERIOD).is_empty()
                && administration.group_out_since(exchange_id).is_none()
        );
    }
}
