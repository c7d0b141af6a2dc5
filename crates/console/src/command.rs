//! The command line: reading it, and completing it.

use walnuthatch_control::frames::{AtLimit, Operation};

/// What a line says.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send this.
    Run(Operation),
    /// Operation what a drain would cost, then have it confirmed.
    Drain(Operation),
    /// Have this confirmed first.
    Confirm(Operation),
    /// Show only calls with this text.
    Search(String),
    /// Go to the page with this key.
    Page(char),
    /// Leave the console; the controller goes on.
    Quit,
}

/// The commands, with their forms.
pub const COMMANDS: [(&str, &str); 12] = [
    ("drain", "drain TARGET [limit=30m] [then=keep|restore|cut] [force] [REASON...]"),
    ("undrain", "undrain TARGET"),
    ("cost", "cost TARGET: what a drain would cost"),
    ("round", "round TARGET... [pause=5m]: drain one after the other, each put back first"),
    ("next", "next: the round goes on"),
    ("halt", "halt: the round ends here; what is drained stays so"),
    ("seen", "seen ALARM: it was seen"),
    ("log", "log FILTER: what the controller logs, as info,walnuthatch::drains=debug"),
    ("search", "search TEXT: only calls with this text; without one: all"),
    ("page", "page 1 to 7"),
    ("stop", "stop: the controller ends once all calls have their answer"),
    ("quit", "quit: leave the console; the controller goes on"),
];

/// A span as people write it, in seconds.
fn span(text: &str) -> Option<u32> {
    let at = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let unit = match &text[at..] {
        "" | "s" => 1,
        "m" => 60,
        "h" => 3600,
        "d" => 86_400,
        _ => return None,
    };
    text[..at].parse::<u32>().ok()?.checked_mul(unit)
}

/// Reads a line.
///
/// # Errors
/// Says what is wrong and what was expected.
pub fn parse(line: &str) -> Result<Command, String> {
    let mut words = line.split_whitespace();
    let verb = words.next().ok_or("nothing was said")?;
    let form = COMMANDS.iter().find(|c| c.0 == verb).map(|c| c.1);
    let form =
        form.ok_or_else(|| format!("{verb:?} is no command: expected one of {}", verbs().join(", ")))?;
    let mut rest = words.clone();
    let mut target = || rest.next().map(str::to_owned).ok_or_else(|| format!("TARGET is missing: {form}"));
    match verb {
        "drain" => {
            let target = target()?;
            let (mut limit_s, mut at_limit, mut force, mut reason) = (None, AtLimit::Keep, false, Vec::new());
            for word in words.skip(1) {
                match word.split_once('=') {
                    Some(("limit", text)) => {
                        limit_s =
                            Some(span(text).ok_or(format!("limit: found {text:?}, expected as 30m or 2h"))?);
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
                        pause_s = Some(span(text).ok_or(format!("pause: found {text:?}, expected as 5m"))?)
                    }
                    None => targets.push(word.to_owned()),
                }
            }
            if targets.is_empty() {
                return Err(format!("TARGET is missing: {form}"));
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
            _ => Err(format!("expected {form}")),
        },
        "stop" => Ok(Command::Confirm(Operation::Stop)),
        _ => Ok(Command::Quit),
    }
}

fn verbs() -> Vec<&'static str> {
    COMMANDS.iter().map(|c| c.0).collect()
}

/// Completes the last word of a line as far as that is certain, and tells what may follow if it is not.
pub fn complete(line: &str, targets: &[String], alarms: &[String]) -> (String, Vec<String>) {
    let (before, word) = line.rsplit_once(' ').map_or(("", line), |(b, w)| (b, w));
    let verb = line.split_whitespace().next().unwrap_or_default();
    let choices: Vec<String> = match (before.is_empty(), verb) {
        (true, _) => verbs().into_iter().map(str::to_owned).collect(),
        (_, "drain") if before.trim() != "drain" => {
            ["limit=", "then=keep", "then=restore", "then=cut", "force"].map(str::to_owned).to_vec()
        }
        (_, "drain" | "undrain" | "cost" | "round") => targets.to_vec(),
        (_, "seen") => alarms.to_vec(),
        _ => Vec::new(),
    };
    let fit: Vec<String> = choices.into_iter().filter(|c| c.starts_with(word)).collect();
    let Some(first) = fit.first() else { return (line.to_owned(), Vec::new()) };
    let common = fit.iter().fold(first.as_str(), |common, c| {
        let same = common.char_indices().zip(c.chars()).find(|((_, a), b)| a != b).map(|((at, _), _)| at);
        &common[..same.unwrap_or(common.len().min(c.len()))]
    });
    let space = if before.is_empty() { "" } else { " " };
    let end = if fit.len() == 1 && !common.ends_with('=') { " " } else { "" };
    let more = if fit.len() > 1 { fit.clone() } else { Vec::new() };
    (format!("{before}{space}{common}{end}"), more)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_read_and_faults_named() {
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
            ("drain x limit=soon", "expected as 30m"),
            ("drain x limit=99999999999d", "expected as 30m"),
            ("drain x then=run", "expected keep, restore or cut"),
            ("page 9", "page 1 to 7"),
        ] {
            assert!(parse(line).unwrap_err().contains(want), "{line}");
        }
    }

    #[test]
    fn words_are_completed_as_far_as_is_certain() {
        let targets = ["exchange:4", "exchange:5", "controller"].map(str::to_owned);
        let done = |line| complete(line, &targets, &[]);
        assert_eq!(done("und"), ("undrain ".into(), vec![]));
        assert_eq!(done("drain ex").0, "drain exchange:");
        assert_eq!(done("drain ex").1, ["exchange:4", "exchange:5"]);
        assert_eq!(done("undrain c").0, "undrain controller ");
        assert_eq!(done("drain exchange:4 li").0, "drain exchange:4 limit=");
        assert_eq!(done("xyz"), ("xyz".into(), vec![]));
    }
}
