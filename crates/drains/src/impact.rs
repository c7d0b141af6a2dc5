//! The impact of a drain, estimated from the traffic of the last minutes.
//!
//! Traffic is recorded as flows, one for each pair of destination and first hop, in a ring of time buckets. The
//! displaced traffic of a drain is spread evenly over the remaining routes, and the blocking of each group is
//! estimated before and after by the Erlang B formula (A. K. Erlang, 1917): the share of calls lost on `n` circuits
//! offered `a` erlangs.

use crate::target::{Exchange, Load, Site, Target};
use crate::{Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Length of one time bucket (µs).
pub const BUCKET_LENGTH: Micros = 10 * SECOND;
/// Number of buckets kept, which cover five minutes.
pub const MAX_BUCKETS: usize = 30;
/// Maximum number of flows in one bucket. It bounds memory: a site has fewer than 250 exchanges, but calls may name
/// any number.
pub const MAX_FLOWS_PER_BUCKET: usize = 4096;

/// Traffic from this controller to one destination by one first hop.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Flow {
    setups: u32,
    established: u32,
    /// Total time for which established calls held a circuit (µs).
    held_time: Micros,
}

/// Flows by destination and first hop.
type Flows = BTreeMap<(Exchange, Exchange), Flow>;

/// The traffic of the last minutes.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Buckets with their start times, oldest first.
    buckets: VecDeque<(Micros, Flows)>,
    /// Number of records dropped because a bucket was full.
    pub untracked: u64,
    /// Time of the first record.
    since: Option<Micros>,
}

impl Traffic {
    /// The flow of the current bucket for a key; `None` if the bucket is full.
    fn flow(&mut self, now: Micros, key: (Exchange, Exchange)) -> Option<&mut Flow> {
        self.since.get_or_insert(now);
        let start = now.div_euclid(BUCKET_LENGTH) * BUCKET_LENGTH;
        if self.buckets.back().is_none_or(|s| s.0 < start) {
            self.buckets.push_back((start, BTreeMap::new()));
        }
        while self.buckets.front().is_some_and(|s| start - s.0 >= BUCKET_LENGTH * MAX_BUCKETS as Micros) {
            self.buckets.pop_front();
        }
        let bucket = &mut self.buckets.back_mut()?.1;
        if bucket.len() >= MAX_FLOWS_PER_BUCKET && !bucket.contains_key(&key) {
            self.untracked += 1;
            return None;
        }
        Some(bucket.entry(key).or_default())
    }

    /// Records a set-up sent for `destination` over the group to `first_hop`.
    pub fn record_setup(&mut self, now: Micros, destination: Exchange, first_hop: Exchange) {
        if let Some(f) = self.flow(now, (destination, first_hop)) {
            f.setups += 1;
        }
    }

    /// Records that a call to `destination` over `first_hop` was established.
    pub fn record_established(&mut self, now: Micros, destination: Exchange, first_hop: Exchange) {
        if let Some(f) = self.flow(now, (destination, first_hop)) {
            f.established += 1;
        }
    }

    /// Records that `calls` calls were established on this flow for the last `duration` (µs).
    pub fn record_held(
        &mut self,
        now: Micros,
        destination: Exchange,
        first_hop: Exchange,
        calls: u32,
        duration: Micros,
    ) {
        if let Some(f) = self.flow(now, (destination, first_hop)) {
            f.held_time += Micros::from(calls) * duration.max(0);
        }
    }

    /// The time that the recorded traffic covers (µs).
    pub fn covered_time(&self, now: Micros) -> Micros {
        self.since.map_or(0, |s| (now - s).clamp(0, BUCKET_LENGTH * MAX_BUCKETS as Micros))
    }

    /// Sums the flows of all buckets that have not expired.
    fn totals(&self, now: Micros) -> Flows {
        let mut all = Flows::new();
        let recent = self.buckets.iter().filter(|s| now - s.0 < BUCKET_LENGTH * MAX_BUCKETS as Micros);
        for (key, f) in recent.flat_map(|s| s.1.iter()) {
            let sum = all.entry(*key).or_default();
            sum.setups += f.setups;
            sum.established += f.established;
            sum.held_time += f.held_time;
        }
        all
    }
}

/// Calls to one destination that would have to take another route.
#[derive(Clone, Debug, PartialEq)]
pub struct DisplacedCalls {
    /// The destination of the calls.
    pub destination: Exchange,
    /// Calls per minute.
    pub per_minute: f64,
    /// Average number of circuits that the calls occupy.
    pub erlangs: f64,
    /// First hops that remain for the calls.
    pub alternatives: Vec<Exchange>,
}

/// The effect of displaced calls on one group that would carry them.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupImpact {
    /// The exchange at the far end of the group.
    pub group: Exchange,
    /// Total circuits.
    pub size: f64,
    /// Circuits in use now.
    pub busy: f64,
    /// Additional circuits that displaced calls would occupy.
    pub displaced: f64,
    /// Estimated share of calls that the group blocks now.
    pub blocking_before: f64,
    /// Estimated share of calls that the group would block.
    pub blocking_after: f64,
}

/// The estimated impact of a drain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Impact {
    /// Time covered by the recorded traffic (µs). The estimate is poor if it is short.
    pub observed_time: Micros,
    /// Calls per minute to destinations that would be out of service; for a drain of the controller, all calls.
    pub lost_per_minute: f64,
    /// Calls per minute that go direct to the target now.
    pub direct_per_minute: f64,
    /// Calls per minute that use the target as a tandem now.
    pub tandem_per_minute: f64,
    /// The current load of the target.
    pub load: Load,
    /// Calls that would take another route, by destination.
    pub displaced: Vec<DisplacedCalls>,
    /// The groups that would carry the displaced calls.
    pub groups: Vec<GroupImpact>,
    /// Destinations that would have no route left.
    pub unreachable: Vec<Exchange>,
}

/// The Erlang B formula: the share of calls that `circuits` circuits block at an offered load of `offered` erlangs.
pub fn erlang_b(offered: f64, circuits: f64) -> f64 {
    if offered <= 0.0 {
        return 0.0;
    }
    // The usual recursion. The number of circuits is whole, and a group has at most a few thousand.
    let n = circuits.clamp(0.0, 100_000.0) as u32;
    (1..=n).fold(1.0, |b, k| offered * b / (f64::from(k) + offered * b))
}

/// Estimates the impact of draining `target` in addition to the targets in `drained`.
pub fn impact(
    now: Micros,
    target: Target,
    drained: &BTreeSet<Target>,
    traffic: &Traffic,
    site: &dyn Site,
) -> Impact {
    let observed_time = traffic.covered_time(now);
    let minutes = (observed_time as f64 / 60e6).max(1.0 / 60.0);
    let totals = traffic.totals(now);
    let mut result = Impact { observed_time, load: site.load(target), ..Impact::default() };
    let rate = |f: &Flow| f64::from(f.setups) / minutes;
    let (Target::Exchange(exchange) | Target::Group(exchange)) = target else {
        result.lost_per_minute = totals.values().map(rate).sum();
        return result;
    };
    let whole_exchange = target == Target::Exchange(exchange);
    for ((destination, first_hop), f) in totals.iter().filter(|t| t.0 .1 == exchange || t.0 .0 == exchange) {
        if *destination == exchange && whole_exchange {
            result.lost_per_minute += rate(f);
        }
        if *first_hop == exchange {
            *(if *destination == exchange {
                &mut result.direct_per_minute
            } else {
                &mut result.tandem_per_minute
            }) += rate(f);
        }
    }
    let neighbours = site.neighbours();
    let mut drained_after = drained.clone();
    drained_after.insert(target);
    let first_hops = |destination: Exchange, out_of_service: &BTreeSet<Target>| -> Vec<Exchange> {
        let usable = |first_hop: Exchange| {
            let drained = [Target::Exchange(first_hop), Target::Group(first_hop)]
                .iter()
                .any(|t| out_of_service.contains(t));
            // A group without a report is assumed to exist; a group without circuits is unusable.
            let n = neighbours.iter().find(|n| n.exchange == first_hop && n.ready);
            !drained && n.is_some_and(|n| n.group.is_none_or(|g| g.1 >= 1.0))
        };
        if out_of_service.contains(&Target::Exchange(destination)) {
            return Vec::new();
        }
        if usable(destination) {
            return vec![destination];
        }
        let observed = |t: Exchange| totals.get(&(destination, t)).is_some_and(|f| f.established > 0);
        let leads_to_destination = |t: Exchange| observed(t) || site.linked(t, destination).unwrap_or(true);
        neighbours
            .iter()
            .map(|n| n.exchange)
            .filter(|&t| t != destination && usable(t) && leads_to_destination(t))
            .collect()
    };
    let mut displaced_load: BTreeMap<Exchange, f64> = BTreeMap::new();
    for n in &neighbours {
        let destination = n.exchange;
        if destination == exchange && whole_exchange {
            continue;
        }
        let (hops_before, hops_after) =
            (first_hops(destination, drained), first_hops(destination, &drained_after));
        // A destination that is already unreachable is not attributed to this drain.
        if !hops_before.is_empty() && hops_after.is_empty() {
            result.unreachable.push(destination);
        }
        let Some(f) = totals.get(&(destination, exchange)).filter(|f| f.setups > 0) else { continue };
        let erlangs = f.held_time as f64 / observed_time.max(SECOND) as f64;
        for &alternative in &hops_after {
            *displaced_load.entry(alternative).or_default() += erlangs / hops_after.len() as f64;
        }
        result.displaced.push(DisplacedCalls {
            destination,
            per_minute: rate(f),
            erlangs,
            alternatives: hops_after,
        });
    }
    for (group, displaced) in displaced_load {
        let known = neighbours.iter().find(|n| n.exchange == group).and_then(|n| n.group);
        let Some((free, size)) = known else { continue };
        let busy = (size - free).max(0.0);
        let (blocking_before, blocking_after) = (erlang_b(busy, size), erlang_b(busy + displaced, size));
        result.groups.push(GroupImpact { group, size, busy, displaced, blocking_before, blocking_after });
    }
    result
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::target::Neighbour;

    struct Triangle;
    impl Site for Triangle {
        fn load(&self, _: Target) -> Load {
            Load { pending_setups: 0, established: 3 }
        }
        fn neighbours(&self) -> Vec<Neighbour> {
            // There is no direct group to 3, so its calls go over 1 or 2.
            [(1, 20.0), (2, 20.0), (3, 0.0)]
                .map(|(n, size)| Neighbour {
                    exchange: Exchange(n),
                    ready: true,
                    group: Some((size / 2.0, size)),
                })
                .to_vec()
        }
        fn health(&self) -> crate::target::Health {
            crate::target::Health::default()
        }
        fn linked(&self, tandem: Exchange, to: Exchange) -> Option<bool> {
            Some((tandem, to) == (Exchange(1), Exchange(3)) || to != Exchange(3))
        }
    }

    fn traffic() -> Traffic {
        let mut t = Traffic::default();
        for i in 0..60 {
            let now = i * SECOND;
            for (to, leg) in [(1, 1), (3, 1)] {
                t.record_setup(now, Exchange(to), Exchange(leg));
                t.record_established(now, Exchange(to), Exchange(leg));
                t.record_held(now, Exchange(to), Exchange(leg), 10, SECOND);
            }
        }
        t
    }

    #[test]
    fn erlang_b_matches_published_tables() {
        // Values of published Erlang B tables: 10 erlangs on 10 circuits, 5 on 10, 100 on 117 (1%).
        for (a, n, b) in [(10.0, 10.0, 0.2146), (5.0, 10.0, 0.0184), (100.0, 117.0, 0.0098)] {
            assert!((erlang_b(a, n) - b).abs() < 0.0005, "{a} on {n}: {}", erlang_b(a, n));
        }
        assert_eq!((erlang_b(3.0, 0.0), erlang_b(0.0, 5.0)), (1.0, 0.0));
    }

    #[test]
    fn an_only_tandem_is_reported_and_calls_of_a_drained_group_take_other_routes() {
        let cost =
            impact(60 * SECOND, Target::Exchange(Exchange(1)), &BTreeSet::new(), &traffic(), &Triangle);
        assert_eq!(cost.unreachable, [Exchange(3)]);
        assert!((cost.lost_per_minute - 60.0).abs() < 1.0 && (cost.tandem_per_minute - 60.0).abs() < 1.0);
        let cost = impact(60 * SECOND, Target::Group(Exchange(1)), &BTreeSet::new(), &traffic(), &Triangle);
        let to_1 = cost.displaced.iter().find(|d| d.destination == Exchange(1)).unwrap();
        assert_eq!((to_1.alternatives.as_slice(), cost.lost_per_minute), (&[Exchange(2)][..], 0.0));
        // 10 calls were established all the time: 10 erlangs, added to 10 of 20 circuits in use.
        assert!((to_1.erlangs - 10.0).abs() < 0.2, "{}", to_1.erlangs);
        let room = cost.groups.iter().find(|g| g.group == Exchange(2)).unwrap();
        assert!(room.blocking_before < 0.01 && room.blocking_after > 0.15, "{room:?}");
        // With group 1 drained, exchange 1 is reached only over exchange 2.
        let already_drained = BTreeSet::from([Target::Group(Exchange(1))]);
        assert!(impact(60 * SECOND, Target::Exchange(Exchange(2)), &already_drained, &traffic(), &Triangle)
            .unreachable
            .contains(&Exchange(1)));
    }

    #[test]
    fn memory_is_bounded_for_any_destinations_and_old_traffic_expires() {
        let mut t = Traffic::default();
        for n in 0..60_000u32 {
            t.record_setup(0, Exchange(n as u16), Exchange(1));
        }
        assert_eq!(
            (t.buckets[0].1.len(), t.untracked),
            (MAX_FLOWS_PER_BUCKET, 60_000 - MAX_FLOWS_PER_BUCKET as u64)
        );
        for i in 0..100 {
            t.record_setup(i * BUCKET_LENGTH, Exchange(1), Exchange(1));
        }
        assert_eq!(t.buckets.len(), MAX_BUCKETS);
    }
}
