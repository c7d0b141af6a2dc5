//! The command: plays trials, repeats one, shows what happened in it, and leaves out faults while it fails.

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
use walnuthatch_trials::trial::play;

/// Seeded trials of real processes under combined faults.
#[derive(Debug, Parser)]
#[command(name = "walnuthatch-trials")]
struct Arguments {
    /// The program that is tried
    #[arg(long, global = true, default_value = "target/release/walnuthatch")]
    program: PathBuf,
    /// Where records of failed trials are kept
    #[arg(long, global = true, default_value = "target/trials")]
    folder: PathBuf,
    #[command(subcommand)]
    order: Order,
}

#[derive(Debug, Subcommand)]
enum Order {
    /// Plays the trials of a row of seeds
    Run {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// How many
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Trials side by side
        #[arg(long, default_value_t = 2)]
        jobs: usize,
        /// Tells rows of trials apart that run at the same time (0 to 20)
        #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u8).range(0..=20))]
        row: u8,
        /// The table as JSON
        #[arg(long)]
        json: bool,
    },
    /// Plays one trial and tells what broke
    Replay { seed: u64 },
    /// Shows the record of a trial, or of one call in it
    Show {
        seed: u64,
        /// The call's name
        #[arg(long)]
        call: Option<String>,
    },
    /// Leaves out faults of a trial for as long as a rule breaks without them
    Shrink { seed: u64 },
    /// Plays one trial for the row of seeds, in a process of its own
    #[command(hide = true)]
    One { seed: u64, job: u8 },
}

#[derive(Debug, thiserror::Error)]
enum TrialError {
    #[error("--program {path}: {why}")]
    Program { path: PathBuf, why: io::Error },
    #[error("seed {seed}: {why}")]
    Play { seed: u64, why: io::Error },
    #[error("{0}")]
    Record(#[from] RecordError),
    #[error("{path}: {why}")]
    Folder { path: PathBuf, why: io::Error },
    #[error("--jobs: found {0}, expected 1 to 8")]
    Jobs(usize),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match carry_out(&arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("walnuthatch-trials: {e}");
            ExitCode::from(2)
        }
    }
}

fn carry_out(arguments: &Arguments) -> Result<bool, TrialError> {
    let program = match &arguments.order {
        // Nothing is played.
        Order::Show { .. } => arguments.program.clone(),
        _ => fs::canonicalize(&arguments.program)
            .map_err(|why| TrialError::Program { path: arguments.program.clone(), why })?,
    };
    let tried = Tried { program, folder: arguments.folder.clone() };
    match &arguments.order {
        Order::Run { first, seeds, jobs, row, json } => tried.run((*first, *seeds), *jobs, *row, *json),
        Order::Replay { seed } => tried.replay(&schedule(*seed)),
        Order::Show { seed, call } => tried.show(*seed, call.as_deref()).map(|()| true),
        Order::Shrink { seed } => tried.shrink(*seed),
        Order::One { seed, job } => tried.play(&schedule(*seed), *job).map(|_| true),
    }
}

/// A program, and where its trials' records go.
struct Tried {
    program: PathBuf,
    folder: PathBuf,
}

impl Tried {
    fn file(&self, seed: u64) -> PathBuf {
        self.folder.join(format!("{seed}.jsonl"))
    }

    fn play(&self, schedule: &Schedule, job: u8) -> Result<Record, TrialError> {
        let scratch = self.folder.join(format!("{}", schedule.seed));
        let folder = |why| TrialError::Folder { path: scratch.clone(), why };
        // What an earlier trial of this seed left is of no use.
        let _ = fs::remove_dir_all(&scratch);
        fs::create_dir_all(&scratch).map_err(folder)?;
        let scratch = fs::canonicalize(&scratch).map_err(folder)?;
        let record = play(schedule, &self.program, &scratch, job)
            .map_err(|why| TrialError::Play { seed: schedule.seed, why })?;
        let file = self.file(schedule.seed);
        record.write(&file).map_err(|why| TrialError::Folder { path: file, why })?;
        Ok(record)
    }

    /// Plays each seed in a process of its own, so many at a time.
    fn run(&self, (first, seeds): (u64, u64), jobs: usize, row: u8, json: bool) -> Result<bool, TrialError> {
        if !(1..=8).contains(&jobs) {
            return Err(TrialError::Jobs(jobs));
        }
        let mut table = Table::default();
        let mut waiting = first..first + seeds;
        let mut playing = BTreeMap::new();
        loop {
            for job in (1..=jobs as u8).map(|job| row * 10 + job) {
                if let std::collections::btree_map::Entry::Vacant(free) = playing.entry(job) {
                    let Some(seed) = waiting.next() else { break };
                    free.insert((seed, self.spawn(seed, job)?));
                }
            }
            if playing.is_empty() {
                break;
            }
            std::thread::sleep(std::time::Duration::from_millis(50));
            let mut ended = Vec::new();
            for (&job, (seed, child)) in &mut playing {
                if let Ok(Some(status)) = child.try_wait() {
                    ended.push((job, *seed, status.success()));
                }
            }
            for (job, seed, well) in ended {
                playing.remove(&job);
                self.tell(seed, well, &mut table);
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
        let play = |why| TrialError::Play { seed, why };
        let me = std::env::current_exe().map_err(play)?;
        let mut command = Command::new(me);
        command.arg("--program").arg(&self.program).arg("--folder").arg(&self.folder);
        command.args(["one", &seed.to_string(), &job.to_string()]).spawn().map_err(play)
    }

    /// Adds what came of a seed to the table, and says so.
    fn tell(&self, seed: u64, well: bool, table: &mut Table) {
        let read = Record::read(&self.file(seed)).map_err(|e| e.to_string());
        let record = match read {
            Ok(record) if well => record,
            Ok(_) => {
                return table.not_run.push((seed, "its process ended with an error, see above".to_owned()))
            }
            Err(why) => return table.not_run.push((seed, why)),
        };
        let verdict = check(&record);
        table.add(&record.schedule, &verdict);
        eprintln!("{}", line(&record.schedule, &verdict));
        verdict.violations.iter().take(5).for_each(|v| eprintln!("    {v}"));
        if verdict.violations.is_empty() {
            // Kept only when it failed.
            let _ = fs::remove_file(self.file(seed));
            let _ = fs::remove_dir_all(self.folder.join(seed.to_string()));
        }
    }

    fn replay(&self, schedule: &Schedule) -> Result<bool, TrialError> {
        let record = self.play(schedule, 9)?;
        let verdict = check(&record);
        println!("{}", line(schedule, &verdict));
        verdict.violations.iter().for_each(|v| println!("    {v}"));
        Ok(verdict.violations.is_empty())
    }

    fn show(&self, seed: u64, call: Option<&str>) -> Result<(), TrialError> {
        let record = Record::read(&self.file(seed))?;
        println!("{}", record.schedule);
        for event in &record.events {
            let text = format!("{:?}", event.kind);
            if call.is_some_and(|c| text.contains(c)) || call.is_none() && !about_a_call(event) {
                println!("{:9.3} {text}", event.at as f64 / 1e6);
            }
        }
        check(&record).violations.iter().for_each(|v| println!("    {v}"));
        Ok(())
    }

    fn shrink(&self, seed: u64) -> Result<bool, TrialError> {
        let mut least = schedule(seed);
        let fails = |schedule: &Schedule| -> Result<bool, TrialError> {
            Ok(!check(&self.play(schedule, 9)?).violations.is_empty())
        };
        if !fails(&least)? {
            println!("seed {seed} keeps all rules");
            return Ok(true);
        }
        let mut at = 0;
        while at < least.faults.len() {
            let mut less = least.clone();
            let left_out = less.faults.remove(at);
            if fails(&less)? {
                println!("fails without {:?}", left_out.fault);
                least = less;
            } else {
                at += 1;
            }
        }
        println!("{least}");
        Ok(false)
    }
}

fn about_a_call(event: &Event) -> bool {
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

fn line(schedule: &Schedule, verdict: &Verdict) -> String {
    let said = match (verdict.judged, verdict.violations.len()) {
        (false, n) => format!("not judged ({n} violations seen)"),
        (true, 0) => "kept all rules".to_owned(),
        (true, n) => format!("{n} violations"),
    };
    format!("{said}; {} requests, {} stood; {schedule}", verdict.requests, verdict.established)
}
