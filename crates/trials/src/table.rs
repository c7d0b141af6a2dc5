//! What came of many trials: by rule, and by the faults of the trials in which it broke.

use crate::check::{Rule, Verdict};
use crate::schedule::Schedule;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Trials and what came of them.
#[derive(Debug, Default, Serialize)]
pub struct Table {
    /// Trials played.
    pub trials: usize,
    /// Those in which no rule broke.
    pub passed: usize,
    /// Those on which the machine stood still.
    pub not_judged: Vec<u64>,
    /// Those that could not be played, and why.
    pub not_run: Vec<(u64, String)>,
    /// Requests sent and answered.
    pub requests: usize,
    /// Of them, calls that stood.
    pub stood: usize,
    /// Violations by rule, and the seeds in which they were.
    pub by_rule: BTreeMap<String, (usize, BTreeSet<u64>)>,
    /// Trials with each kind of fault, and those of them in which a rule broke.
    pub by_fault: BTreeMap<String, (usize, usize)>,
    /// Most memory (KiB) and descriptors of a controller after its trial.
    pub most_held: (u64, u64),
}

impl Table {
    /// Adds a trial.
    pub fn add(&mut self, schedule: &Schedule, verdict: &Verdict) {
        self.trials += 1;
        self.requests += verdict.requests;
        self.stood += verdict.stood;
        let held = verdict.most_held;
        self.most_held = (self.most_held.0.max(held.0), self.most_held.1.max(held.1));
        if !verdict.judged {
            return self.not_judged.push(schedule.seed);
        }
        let broke = !verdict.violations.is_empty();
        self.passed += usize::from(!broke);
        for violation in &verdict.violations {
            let of = self.by_rule.entry(rule_name(violation.rule)).or_default();
            of.0 += 1;
            of.1.insert(schedule.seed);
        }
        for kind in schedule.faults.iter().map(|p| p.fault.kind()).collect::<BTreeSet<_>>() {
            let of = self.by_fault.entry(kind).or_default();
            of.0 += 1;
            of.1 += usize::from(broke);
        }
    }

    /// Whether a rule broke, or a trial could not be played.
    pub fn failed(&self) -> bool {
        !self.by_rule.is_empty() || !self.not_run.is_empty()
    }
}

fn rule_name(rule: Rule) -> String {
    format!("{rule:?}")
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (judged, lost) = (self.trials - self.not_judged.len(), self.not_run.len());
        writeln!(f, "{} trials: {} of {judged} judged kept all rules", self.trials, self.passed)?;
        writeln!(f, "not judged (the machine stood still): {:?}; not run: {lost}", self.not_judged)?;
        for (seed, why) in &self.not_run {
            writeln!(f, "  seed {seed} not run: {why}")?;
        }
        writeln!(f, "{} requests, {} calls stood", self.requests, self.stood)?;
        writeln!(f, "most held after a trial: {} KiB, {} descriptors", self.most_held.0, self.most_held.1)?;
        for (rule, (count, seeds)) in &self.by_rule {
            writeln!(f, "  {rule:12} {count:5} in seeds {seeds:?}")?;
        }
        writeln!(f, "{:26} trials  broken", "fault")?;
        for (kind, (trials, broken)) in &self.by_fault {
            writeln!(f, "  {kind:24} {trials:6} {broken:7}")?;
        }
        Ok(())
    }
}
