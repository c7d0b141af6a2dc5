//! `walnuthatch-trials`: runs fault trials, repeats one, shows its record and reduces its schedule to the faults that
//! are needed for a violation.

use clap::{Parser, Subcommand};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::process::{Command, ExitCode};
use walnuthatch_standin::faulty::record::{Event, EventKind};
use walnuthatch_trials::check::{check, Verdict};
use walnuthatch_trials::record_file::{Record, RecordError};
use walnuthatch_trials::schedule::{schedule, Schedule};
use walnuthatch_trials::table::Table;
use walnuthatch_trials::trial::run_trial;

/// Seeded fault trials of real controller processes.
#[derive(Debug, Parser)]
#[command(name = "walnuthatch-trials")]
struct Arguments {
    /// Path of the controller executable under test
    #[arg(long, global = true, default_value = "target/release/walnuthatch")]
    program: PathBuf,
    /// Folder for the records of failed trials
    #[arg(long, global = true, default_value = "target/trials")]
    folder: PathBuf,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Run trials with consecutive seeds
    Run {
        /// First seed
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Number of seeds
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Number of trials run in parallel
        #[arg(long, default_value_t = 2)]
        jobs: usize,
        /// Number that selects separate addresses for runs at the same time (0 to 20)
        #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u8).range(0..=20))]
        row: u8,
        /// Print the table as JSON
        #[arg(long)]
        json: bool,
    },
    /// Run one trial and print its violations
    Replay { seed: u64 },
    /// Show the record of a trial, or of one call in it
    Show {
        seed: u64,
        /// Identifier of the call
        #[arg(long)]
        call: Option<String>,
    },
    /// Remove faults from a trial for as long as it still has violations
    Shrink { seed: u64 },
    /// Run one trial of `run` in a process of its own
    #[command(hide = true)]
    One { seed: u64, job: u8 },
}

#[derive(Debug, thiserror::Error)]
enum TrialError {
    #[error("--program {path}: {cause}")]
    Program { path: PathBuf, cause: io::Error },
    #[error("seed {seed}: {cause}")]
    Run { seed: u64, cause: io::Error },
    #[error("{0}")]
    Record(#[from] RecordError),
    #[error("{path}: {cause}")]
    Folder { path: PathBuf, cause: io::Error },
    #[error("--jobs: found {0}, expected 1 to 8")]
    Jobs(usize),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match execute(&arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("walnuthatch-trials: {e}");
            ExitCode::from(2)
        }
    }
}

fn execute(arguments: &Arguments) -> Result<bool, TrialError> {
    let program = match &arguments.action {
        // `show` runs no trial, so the executable need not exist.
        Action::Show { .. } => arguments.program.clone(),
        _ => fs::canonicalize(&arguments.program)
            .map_err(|cause| TrialError::Program { path: arguments.program.clone(), cause })?,
    };
    let runner = Runner { program, folder: arguments.folder.clone() };
    match &arguments.action {
        Action::Run { first, seeds, jobs, row, json } => runner.run((*first, *seeds), *jobs, *row, *json),
        Action::Replay { seed } => runner.replay(&schedule(*seed)),
        Action::Show { seed, call } => runner.show(*seed, call.as_deref()).map(|()| true),
        Action::Shrink { seed } => runner.shrink(*seed),
        Action::One { seed, job } => runner.run_trial(&schedule(*seed), *job).map(|_| true),
    }
}

/// Runs trials of an executable and keeps their records.
struct Runner {
    program: PathBuf,
    folder: PathBuf,
}

impl Runner {
    fn record_path(&self, seed: u64) -> PathBuf {
        self.folder.join(format!("{seed}.jsonl"))
    }

    fn run_trial(&self, schedule: &Schedule, job: u8) -> Result<Record, TrialError> {
        let scratch = self.folder.join(format!("{}", schedule.seed));
        let folder_error = |cause| TrialError::Folder { path: scratch.clone(), cause };
        // Remove the files of an earlier trial with this seed, if any.
        let _ = fs::remove_dir_all(&scratch);
        fs::create_dir_all(&scratch).map_err(folder_error)?;
        let scratch = fs::canonicalize(&scratch).map_err(folder_error)?;
        let record = run_trial(schedule, &self.program, &scratch, job)
            .map_err(|cause| TrialError::Run { seed: schedule.seed, cause })?;
        let file = self.record_path(schedule.seed);
        record.write(&file).map_err(|cause| TrialError::Folder { path: file, cause })?;
        Ok(record)
    }

    /// Runs each seed in a process of its own, `jobs` at a time.
    fn run(&self, (first, seeds): (u64, u64), jobs: usize, row: u8, json: bool) -> Result<bool, TrialError> {
        if !(1..=8).contains(&jobs) {
            return Err(TrialError::Jobs(jobs));
        }
        let mut table = Table::default();
        let mut remaining_seeds = first..first + seeds;
        let mut running = BTreeMap::new();
        loop {
            for job in (1..=jobs as u8).map(|job| row * 10 + job) {
                if let std::collections::btree_map::Entry::Vacant(slot) = running.entry(job) {
                    let Some(seed) = remaining_seeds.next() else { break };
                    slot.insert((seed, self.spawn(seed, job)?));
                }
            }
            if running.is_empty() {
                break;
            }
            std::thread::sleep(std::time::Duration::from_millis(50));
            let mut ended = Vec::new();
            for (&job, (seed, child)) in &mut running {
                if let Ok(Some(status)) = child.try_wait() {
                    ended.push((job, *seed, status.success()));
                }
            }
            for (job, seed, succeeded) in ended {
                running.remove(&job);
                self.add_result(seed, succeeded, &mut table);
            }
        }
        if json {
            println!("{}", serde_json::to_string_pretty(&table).unwrap_or_default());
        } else {
            println!("{table}");
        }
        Ok(!table.failed())
    }

    fn spawn(&self, seed: u64, job: u8) -> Result<std::process::Child, TrialError> {
        let run_error = |cause| TrialError::Run { seed, cause };
        let executable = std::env::current_exe().map_err(run_error)?;
        let mut command = Command::new(executable);
        command.arg("--program").arg(&self.program).arg("--folder").arg(&self.folder);
        command.args(["one", &seed.to_string(), &job.to_string()]).spawn().map_err(run_error)
    }

    /// Checks the record of a seed, adds the verdict to the table and prints a summary.
    fn add_result(&self, seed: u64, succeeded: bool, table: &mut Table) {
        let read = Record::read(&self.record_path(seed)).map_err(|e| e.to_string());
        let record = match read {
            Ok(record) if succeeded => record,
            Ok(_) => {
                return table.not_run.push((seed, "its process ended with an error, see above".to_owned()))
            }
            Err(cause) => return table.not_run.push((seed, cause)),
        };
        let verdict = check(&record);
        table.add(&record.schedule, &verdict);
        eprintln!("{}", summary_line(&record.schedule, &verdict));
        verdict.violations.iter().take(5).for_each(|v| eprintln!("    {v}"));
        if verdict.violations.is_empty() {
            // Only the files of failed trials are kept.
            let _ = fs::remove_file(self.record_path(seed));
            let _ = fs::remove_dir_all(self.folder.join(seed.to_string()));
        }
    }

    fn replay(&self, schedule: &Schedule) -> Result<bool, TrialError> {
        let record = self.run_trial(schedule, 9)?;
        let verdict = check(&record);
        println!("{}", summary_line(schedule, &verdict));
        verdict.violations.iter().for_each(|v| println!("    {v}"));
        Ok(verdict.violations.is_empty())
    }

    fn show(&self, seed: u64, call: Option<&str>) -> Result<(), TrialError> {
        let record = Record::read(&self.record_path(seed))?;
        println!("{}", record.schedule);
        for event in &record.events {
            let text = format!("{:?}", event.kind);
            if call.is_some_and(|c| text.contains(c)) || call.is_none() && !is_call_event(event) {
                println!("{:9.3} {text}", event.at as f64 / 1e6);
            }
        }
        check(&record).violations.iter().for_each(|v| println!("    {v}"));
        Ok(())
    }

    fn shrink(&self, seed: u64) -> Result<bool, TrialError> {
        let mut minimal = schedule(seed);
        let fails = |schedule: &Schedule| -> Result<bool, TrialError> {
            Ok(!check(&self.run_trial(schedule, 9)?).violations.is_empty())
        };
        if !fails(&minimal)? {
            println!("seed {seed} keeps all rules");
            return Ok(true);
        }
        let mut index = 0;
        while index < minimal.faults.len() {
            let mut reduced = minimal.clone();
            let removed = reduced.faults.remove(index);
            if fails(&reduced)? {
                println!("fails without {:?}", removed.fault);
                minimal = reduced;
            } else {
                index += 1;
            }
        }
        println!("{minimal}");
        Ok(false)
    }
}

fn is_call_event(event: &Event) -> bool {
    matches!(
        event.kind,
        EventKind::RequestSent { .. }
            | EventKind::RequestSentAgain { .. }
            | EventKind::Answered { .. }
            | EventKind::GivenUp { .. }
            | EventKind::RefusedConnection { .. }
            | EventKind::Told { .. }
            | EventKind::ClientReleased { .. }
            | EventKind::SetUpCame { .. }
            | EventKind::SetUpAnswered { .. }
            | EventKind::SetUpEnded { .. }
            | EventKind::CallEnded { .. }
    )
}

fn summary_line(schedule: &Schedule, verdict: &Verdict) -> String {
    let outcome = match (verdict.judged, verdict.violations.len()) {
        (false, n) => format!("not judged ({n} violations seen)"),
        (true, 0) => "kept all rules".to_owned(),
        (true, n) => format!("{n} violations"),
    };
    format!("{outcome}; {} requests, {} stood; {schedule}", verdict.requests, verdict.established)
}
