//! What a drain would cost, estimated from the traffic of the last minutes.
//!
//! Traffic is kept as flows, one for each pair of destination and first leg, in a ring of buckets. What a drain
//! displaces is spread evenly over the ways that remain, and each group's blocking is estimated before and after
//! by Erlang's B formula (A. K. Erlang, 1917): the share of calls lost on `n` circuits offered `a` erlangs.

use crate::target::{Exchange, Load, Site, Target};
use crate::{Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Length of one span of the ring (µs).
pub const BUCKET_LENGTH: Micros = 10 * SECOND;
/// Spans kept: five minutes.
pub const MAX_BUCKETS: usize = 30;
/// Flows told apart in one span. Guards memory: a site has under 250 exchanges, but calls may name any number.
pub const MAX_FLOWS_PER_BUCKET: usize = 4096;

/// What went from here to one destination by one first leg.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Flow {
    setups: u32,
    established: u32,
    /// Circuit time (µs).
    held_time: Micros,
}

/// Flows by destination and first leg.
type Flows = BTreeMap<(Exchange, Exchange), Flow>;

/// The traffic of the last minutes.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// By their starts, oldest first.
    buckets: VecDeque<(Micros, Flows)>,
    /// What was not told apart since the flows were too many.
    pub untracked: u64,
    since: Option<Micros>,
}

impl Traffic {
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

    /// A set-up left for `destination` by the group toward `leg`.
    pub fn record_setup(&mut self, now: Micros, destination: Exchange, leg: Exchange) {
        if let Some(f) = self.flow(now, (destination, leg)) {
            f.setups += 1;
        }
    }

    /// One of them stood.
    pub fn record_established(&mut self, now: Micros, destination: Exchange, leg: Exchange) {
        if let Some(f) = self.flow(now, (destination, leg)) {
            f.established += 1;
        }
    }

    /// So many calls stood that way for the last `span`.
    pub fn record_held(
        &mut self,
        now: Micros,
        destination: Exchange,
        leg: Exchange,
        calls: u32,
        span: Micros,
    ) {
        if let Some(f) = self.flow(now, (destination, leg)) {
            f.held_time += Micros::from(calls) * span.max(0);
        }
    }

    /// How far back it tells (µs).
    pub fn covered_time(&self, now: Micros) -> Micros {
        self.since.map_or(0, |s| (now - s).clamp(0, BUCKET_LENGTH * MAX_BUCKETS as Micros))
    }

    fn totals(&self, now: Micros) -> Flows {
        let mut all = Flows::new();
        let fresh = self.buckets.iter().filter(|s| now - s.0 < BUCKET_LENGTH * MAX_BUCKETS as Micros);
        for (key, f) in fresh.flat_map(|s| s.1.iter()) {
            let sum = all.entry(*key).or_default();
            sum.setups += f.setups;
            sum.established += f.established;
            sum.held_time += f.held_time;
        }
        all
    }
}

/// Calls that would have to go another way.
#[derive(Clone, Debug, PartialEq)]
pub struct DisplacedCalls {
    /// Where they go.
    pub destination: Exchange,
    /// Calls a minute.
    pub per_minute: f64,
    /// Circuits that they keep busy.
    pub erlangs: f64,
    /// First legs that remain for them.
    pub alternatives: Vec<Exchange>,
}

/// A group that would take displaced calls.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupImpact {
    /// The exchange at its far end.
    pub group: Exchange,
    /// Circuits.
    pub size: f64,
    /// Circuits busy now.
    pub busy: f64,
    /// Circuits that displaced calls would keep busy besides.
    pub displaced: f64,
    /// Share of calls that it blocks now, by estimate.
    pub blocking_before: f64,
    /// Share that it would block.
    pub blocking_after: f64,
}

/// The cost of a drain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Impact {
    /// The span of traffic that it rests on (µs); with little of it the estimate is poor.
    pub observed_time: Micros,
    /// Calls a minute whose destination would be out of service, or all calls for a drain of the controller.
    pub lost_per_minute: f64,
    /// Calls a minute that go direct to the target now.
    pub direct_per_minute: f64,
    /// Calls a minute that use it as a tandem now.
    pub tandem_per_minute: f64,
    /// What is there now.
    pub load: Load,
    /// Calls that would go another way.
    pub displaced: Vec<DisplacedCalls>,
    /// The groups that they would go over.
    pub groups: Vec<GroupImpact>,
    /// Destinations that would be left without any way.
    pub unreachable: Vec<Exchange>,
}

/// Erlang's B formula: the share of calls that `circuits` block when `offered` erlangs are offered.
pub fn erlang_b(offered: f64, circuits: f64) -> f64 {
    if offered <= 0.0 {
        return 0.0;
    }
    // The usual recursion; circuits are a whole number and a group has at most some thousands.
    let n = circuits.clamp(0.0, 100_000.0) as u32;
    (1..=n).fold(1.0, |b, k| offered * b / (f64::from(k) + offered * b))
}

/// Estimates what draining `target` would cost beside the drains in force, `drained`.
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
    let mut out = Impact { observed_time, load: site.load(target), ..Impact::default() };
    let rate = |f: &Flow| f64::from(f.setups) / minutes;
    let (Target::Exchange(e) | Target::Group(e)) = target else {
        out.lost_per_minute = totals.values().map(rate).sum();
        return out;
    };
    let whole = target == Target::Exchange(e);
    for ((to, leg), f) in totals.iter().filter(|t| t.0 .1 == e || t.0 .0 == e) {
        if *to == e && whole {
            out.lost_per_minute += rate(f);
        }
        if *leg == e {
            *(if *to == e { &mut out.direct_per_minute } else { &mut out.tandem_per_minute }) += rate(f);
        }
    }
    let neighbours = site.neighbours();
    let mut drained_after = drained.clone();
    drained_after.insert(target);
    let first_legs = |to: Exchange, gone: &BTreeSet<Target>| -> Vec<Exchange> {
        let serves = |leg: Exchange| {
            let out = [Target::Exchange(leg), Target::Group(leg)].iter().any(|t| gone.contains(t));
            // A group that was never heard of may be there; one of no circuits is not.
            let n = neighbours.iter().find(|n| n.exchange == leg && n.ready);
            !out && n.is_some_and(|n| n.group.is_none_or(|g| g.1 >= 1.0))
        };
        if gone.contains(&Target::Exchange(to)) {
            return Vec::new();
        }
        if serves(to) {
            return vec![to];
        }
        let observed = |t: Exchange| totals.get(&(to, t)).is_some_and(|f| f.established > 0);
        let leads = |t: Exchange| observed(t) || site.linked(t, to).unwrap_or(true);
        neighbours.iter().map(|n| n.exchange).filter(|&t| t != to && serves(t) && leads(t)).collect()
    };
    let mut displaced_load: BTreeMap<Exchange, f64> = BTreeMap::new();
    for n in &neighbours {
        let to = n.exchange;
        if to == e && whole {
            continue;
        }
        let (legs_before, legs_after) = (first_legs(to, drained), first_legs(to, &drained_after));
        if !legs_before.is_empty() && legs_after.is_empty() {
            out.unreachable.push(to);
        }
        let Some(f) = totals.get(&(to, e)).filter(|f| f.setups > 0) else { continue };
        let erlangs = f.held_time as f64 / observed_time.max(SECOND) as f64;
        for &alternative in &legs_after {
            *displaced_load.entry(alternative).or_default() += erlangs / legs_after.len() as f64;
        }
        out.displaced.push(DisplacedCalls {
            destination: to,
            per_minute: rate(f),
            erlangs,
            alternatives: legs_after,
        });
    }
    for (group, displaced) in displaced_load {
        let known = neighbours.iter().find(|n| n.exchange == group).and_then(|n| n.group);
        let Some((free, size)) = known else { continue };
        let busy = (size - free).max(0.0);
        let (blocking_before, blocking_after) = (erlang_b(busy, size), erlang_b(busy + displaced, size));
        out.groups.push(GroupImpact { group, size, busy, displaced, blocking_before, blocking_after });
    }
    out
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
            // No direct group to 3: its calls go over 1 or 2.
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
    fn the_formula_gives_the_values_of_the_tables() {
        // From any table of Erlang B: 10 erlangs on 10 circuits, 5 on 10, 100 on 117 (1%).
        for (a, n, b) in [(10.0, 10.0, 0.2146), (5.0, 10.0, 0.0184), (100.0, 117.0, 0.0098)] {
            assert!((erlang_b(a, n) - b).abs() < 0.0005, "{a} on {n}: {}", erlang_b(a, n));
        }
        assert_eq!((erlang_b(3.0, 0.0), erlang_b(0.0, 5.0)), (1.0, 0.0));
    }

    #[test]
    fn an_only_tandem_is_found_and_a_drained_groups_calls_take_the_other_ways() {
        let cost =
            impact(60 * SECOND, Target::Exchange(Exchange(1)), &BTreeSet::new(), &traffic(), &Triangle);
        assert_eq!(cost.unreachable, [Exchange(3)]);
        assert!((cost.lost_per_minute - 60.0).abs() < 1.0 && (cost.tandem_per_minute - 60.0).abs() < 1.0);
        let cost = impact(60 * SECOND, Target::Group(Exchange(1)), &BTreeSet::new(), &traffic(), &Triangle);
        let to_1 = cost.displaced.iter().find(|d| d.destination == Exchange(1)).unwrap();
        assert_eq!((to_1.alternatives.as_slice(), cost.lost_per_minute), (&[Exchange(2)][..], 0.0));
        // 10 calls stood all the time: 10 erlangs, on the 10 busy ones of 20.
        assert!((to_1.erlangs - 10.0).abs() < 0.2, "{}", to_1.erlangs);
        let room = cost.groups.iter().find(|g| g.group == Exchange(2)).unwrap();
        assert!(room.blocking_before < 0.01 && room.blocking_after > 0.15, "{room:?}");
        // What is without a way already is not this drain's doing.
        let gone = BTreeSet::from([Target::Group(Exchange(1))]);
        assert!(impact(60 * SECOND, Target::Exchange(Exchange(2)), &gone, &traffic(), &Triangle)
            .unreachable
            .contains(&Exchange(1)));
    }

    #[test]
    fn memory_is_bounded_whatever_is_called_and_old_traffic_is_forgotten() {
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
