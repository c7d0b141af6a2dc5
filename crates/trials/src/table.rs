//! The results of many trials: violations by rule, and violated trials by kind of fault.

use crate::check::{Rule, Verdict};
use crate::schedule::Schedule;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The results of a run of trials. Names of the serialized fields are part of the JSON output.
#[derive(Debug, Default, Serialize)]
pub struct Table {
    /// Number of trials that were run.
    pub trials: usize,
    /// Number of judged trials without a violation.
    pub passed: usize,
    /// Seeds of trials that were not judged, since the machine stalled during them.
    pub not_judged: Vec<u64>,
    /// Seeds of trials that could not be run, with the error.
    pub not_run: Vec<(u64, String)>,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of calls established by them.
    #[serde(rename = "stood")]
    pub established: usize,
    /// Number of violations of each rule, and the seeds in which they occurred.
    pub by_rule: BTreeMap<String, (usize, BTreeSet<u64>)>,
    /// Number of judged trials with each kind of fault, and how many of them had violations.
    pub by_fault: BTreeMap<String, (usize, usize)>,
    /// Highest memory (KiB) and number of descriptors of a controller at the end of a trial.
    #[serde(rename = "most_held")]
    pub max_resources: (u64, u64),
}

impl Table {
    /// Adds the verdict of a trial.
    pub fn add(&mut self, schedule: &Schedule, verdict: &Verdict) {
        self.trials += 1;
        self.requests += verdict.requests;
        self.established += verdict.established;
        let resources = verdict.max_resources;
        self.max_resources = (self.max_resources.0.max(resources.0), self.max_resources.1.max(resources.1));
        if !verdict.judged {
            return self.not_judged.push(schedule.seed);
        }
        let violated = !verdict.violations.is_empty();
        self.passed += usize::from(!violated);
        for violation in &verdict.violations {
            let entry = self.by_rule.entry(rule_name(violation.rule)).or_default();
            entry.0 += 1;
            entry.1.insert(schedule.seed);
        }
        for kind in schedule.faults.iter().map(|p| p.fault.kind()).collect::<BTreeSet<_>>() {
            let entry = self.by_fault.entry(kind).or_default();
            entry.0 += 1;
            entry.1 += usize::from(violated);
        }
    }

    /// Returns whether a rule was violated or a trial could not be run.
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
        for (seed, error) in &self.not_run {
            writeln!(f, "  seed {seed} not run: {error}")?;
        }
        writeln!(f, "{} requests, {} calls stood", self.requests, self.established)?;
        writeln!(
            f,
            "most held after a trial: {} KiB, {} descriptors",
            self.max_resources.0, self.max_resources.1
        )?;
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
