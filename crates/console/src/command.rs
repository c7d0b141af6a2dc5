//! Parsing and completion of the command line.

use walnuthatch_control::frames::{AtLimit, Operation};

/// A parsed command line.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send this operation.
    Run(Operation),
    /// Request the cost of this drain and ask for confirmation.
    Drain(Operation),
    /// Ask for confirmation of this operation.
    Confirm(Operation),
    /// Show only calls that contain this text.
    Search(String),
    /// Open the page with this key.
    Page(char),
    /// Quit the console; the controller keeps running.
    Quit,
}

/// Command names with their usage.
pub const COMMANDS: [(&str, &str); 12] = [
    ("drain", "drain TARGET [limit=30m] [then=keep|restore|cut] [force] [REASON...]"),
    ("undrain", "undrain TARGET"),
    ("cost", "cost TARGET: what a drain would cost"),
    ("round", "round TARGET... [pause=5m]: drain one after the other, each restored first"),
    ("next", "next: continue the round"),
    ("halt", "halt: halt the round until next; drained targets stay drained"),
    ("seen", "seen ALARM: acknowledge it"),
    ("log", "log FILTER: set the log filter, such as info,walnuthatch::drains=debug"),
    ("search", "search TEXT: only calls with this text; all if empty"),
    ("page", "page 1 to 7"),
    ("stop", "stop: stop the controller once all calls are answered"),
    ("quit", "quit: quit the console; the controller keeps running"),
];

/// Parses a duration such as `30m` into seconds.
fn parse_duration(text: &str) -> Option<u32> {
    let digits_end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let seconds_per_unit = match &text[digits_end..] {
        "" | "s" => 1,
        "m" => 60,
        "h" => 3600,
        "d" => 86_400,
        _ => return None,
    };
    text[..digits_end].parse::<u32>().ok()?.checked_mul(seconds_per_unit)
}

/// Parses a command line.
///
/// # Errors
/// Returns a message that names the fault and what was expected.
pub fn parse(line: &str) -> Result<Command, String> {
    let mut words = line.split_whitespace();
    let name = words.next().ok_or("nothing entered")?;
    let usage = COMMANDS.iter().find(|c| c.0 == name).map(|c| c.1);
    let usage = usage.ok_or_else(|| {
        format!("{name:?} is not a command: expected one of {}", command_names().join(", "))
    })?;
    let mut rest = words.clone();
    let mut target = || rest.next().map(str::to_owned).ok_or_else(|| format!("TARGET is missing: {usage}"));
    match name {
        "drain" => {
            let target = target()?;
            let (mut limit_s, mut at_limit, mut force, mut reason) = (None, AtLimit::Keep, false, Vec::new());
            for word in words.skip(1) {
                match word.split_once('=') {
                    Some(("limit", text)) => {
                        limit_s = Some(parse_duration(text).ok_or(format!(
                            "limit: found {text:?}, expected a duration such as 30m or 2h"
                        ))?);
                    }
                    Some(("then", text)) => {
                        at_limit = match text {
                            "keep" => AtLimit::Keep,
                            "restore" => AtLimit::Restore,
                            "cut" => AtLimit::Cut,
                            _ => return Err(format!("then: found {text:?}, expected keep, restore or cut")),
                        };
                    }
                    None if word == "force" => force = true,
                    _ => reason.push(word),
                }
            }
            let reason = reason.join(" ");
            Ok(Command::Drain(Operation::Drain { target, reason, limit_s, at_limit, force }))
        }
        "undrain" => Ok(Command::Run(Operation::Undrain { target: target()? })),
        "cost" => Ok(Command::Run(Operation::Cost { target: target()? })),
        "round" => {
            let (mut targets, mut pause_s) = (Vec::new(), None);
            for word in words {
                match word.strip_prefix("pause=") {
                    Some(text) => {
                        pause_s = Some(
                            parse_duration(text)
                                .ok_or(format!("pause: found {text:?}, expected a duration such as 5m"))?,
                        )
                    }
                    None => targets.push(word.to_owned()),
                }
            }
            if targets.is_empty() {
                return Err(format!("TARGET is missing: {usage}"));
            }
            Ok(Command::Confirm(Operation::Round { targets, reason: String::new(), pause_s }))
        }
        "next" => Ok(Command::Run(Operation::Next)),
        "halt" => Ok(Command::Run(Operation::Halt)),
        "seen" => Ok(Command::Run(Operation::Seen { alarm: words.collect::<Vec<_>>().join(" ") })),
        "log" => Ok(Command::Run(Operation::Log { filter: words.next().map(str::to_owned) })),
        "search" => Ok(Command::Search(words.collect::<Vec<_>>().join(" "))),
        "page" => match words.next().and_then(|w| w.chars().next()) {
            Some(c @ '1'..='7') => Ok(Command::Page(c)),
            _ => Err(format!("expected {usage}")),
        },
        "stop" => Ok(Command::Confirm(Operation::Stop)),
        _ => Ok(Command::Quit),
    }
}

fn command_names() -> Vec<&'static str> {
    COMMANDS.iter().map(|c| c.0).collect()
}

/// Completes the last word of a line as far as it is unambiguous. Returns the new line and, if several completions
/// remain, their list.
pub fn complete(line: &str, targets: &[String], alarms: &[String]) -> (String, Vec<String>) {
    let (before, word) = line.rsplit_once(' ').map_or(("", line), |(b, w)| (b, w));
    let name = line.split_whitespace().next().unwrap_or_default();
    let choices: Vec<String> = match (before.is_empty(), name) {
        (true, _) => command_names().into_iter().map(str::to_owned).collect(),
        (_, "drain") if before.trim() != "drain" => {
            ["limit=", "then=keep", "then=restore", "then=cut", "force"].map(str::to_owned).to_vec()
        }
        (_, "drain" | "undrain" | "cost" | "round") => targets.to_vec(),
        (_, "seen") => alarms.to_vec(),
        _ => Vec::new(),
    };
    let matching: Vec<String> = choices.into_iter().filter(|c| c.starts_with(word)).collect();
    let Some(first) = matching.first() else { return (line.to_owned(), Vec::new()) };
    let common = matching.iter().fold(first.as_str(), |common, c| {
        let end_of_common =
            common.char_indices().zip(c.chars()).find(|((_, a), b)| a != b).map(|((at, _), _)| at);
        &common[..end_of_common.unwrap_or(common.len().min(c.len()))]
    });
    let separator = if before.is_empty() { "" } else { " " };
    let suffix = if matching.len() == 1 && !common.ends_with('=') { " " } else { "" };
    let alternatives = if matching.len() > 1 { matching.clone() } else { Vec::new() };
    (format!("{before}{separator}{common}{suffix}"), alternatives)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_parsed_and_errors_name_the_fault() {
        let Ok(Command::Drain(Operation::Drain { target, reason, limit_s, at_limit, force })) =
            parse("drain exchange:4 limit=30m then=cut new power supply force")
        else {
            panic!()
        };
        assert_eq!(
            (target.as_str(), reason.as_str(), limit_s),
            ("exchange:4", "new power supply", Some(1800))
        );
        assert!(force && at_limit == AtLimit::Cut);
        assert_eq!(parse("stop"), Ok(Command::Confirm(Operation::Stop)));
        for (line, want) in [
            ("", "nothing"),
            ("dran x", "expected one of drain, undrain"),
            ("drain", "TARGET is missing"),
            ("drain x limit=soon", "expected a duration such as 30m"),
            ("drain x limit=99999999999d", "expected a duration such as 30m"),
            ("drain x then=run", "expected keep, restore or cut"),
            ("page 9", "page 1 to 7"),
        ] {
            assert!(parse(line).unwrap_err().contains(want), "{line}");
        }
    }

    #[test]
    fn words_are_completed_as_far_as_unambiguous() {
        let targets = ["exchange:4", "exchange:5", "controller"].map(str::to_owned);
        let completed = |line| complete(line, &targets, &[]);
        assert_eq!(completed("und"), ("undrain ".into(), vec![]));
        assert_eq!(completed("drain ex").0, "drain exchange:");
        assert_eq!(completed("drain ex").1, ["exchange:4", "exchange:5"]);
        assert_eq!(completed("undrain c").0, "undrain controller ");
        assert_eq!(completed("drain exchange:4 li").0, "drain exchange:4 limit=");
        assert_eq!(completed("xyz"), ("xyz".into(), vec![]));
    }
}
