//! Checking our own TOML files: against a schema derived from their types, all faults at once, each with its line.

use ipnet::IpNet;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use toml::de::{DeTable, DeValue};

/// Something wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 if it is of the whole.
    pub line: usize,
    /// The key.
    pub key: String,
    /// What is wrong: what was found and what was expected.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file, self.line, self.key, self.what)
    }
}

/// Collects the faults of one text.
pub struct Checker<'a> {
    file: &'a str,
    text: &'a str,
    table: Option<toml::Spanned<DeTable<'a>>>,
    /// Those found so far.
    pub faults: Vec<Fault>,
}

impl<'a> Checker<'a> {
    /// One for a file whose text is not at hand: faults have no lines.
    pub fn without_text(file: &'a str) -> Checker<'a> {
        Checker { file, text: "", table: None, faults: Vec::new() }
    }

    /// The line of a key, or of the nearest table round it.
    fn line(&self, path: &str) -> usize {
        let Some(table) = &self.table else { return 0 };
        let mut at = 0;
        let mut here: Option<&DeValue<'_>> = None;
        for part in path.split('.').filter(|p| !p.is_empty()) {
            let next = match here {
                None => table.get_ref().get(part),
                Some(DeValue::Table(t)) => t.get(part),
                Some(DeValue::Array(a)) => part.parse().ok().and_then(|i: usize| a.get(i)),
                Some(_) => None,
            };
            let Some(next) = next else { break };
            at = next.span().start;
            here = Some(next.get_ref());
        }
        self.text[..at.min(self.text.len())].matches('\n').count() + 1
    }

    /// Notes a fault.
    pub fn add(&mut self, key: impl Into<String>, what: impl ToString) {
        let key = key.into();
        let (line, file) = (self.line(&key), self.file.to_owned());
        self.faults.push(Fault { file, line, key, what: what.to_string() });
    }

    /// Reads an address with a port in one of these networks.
    pub fn address(&mut self, key: &str, text: &str, nets: &[IpNet]) -> Option<SocketAddr> {
        let Ok(address) = text.parse::<SocketAddr>() else {
            self.add(key, format!("found {text:?}, expected an address and a port, as 127.0.0.1:5060"));
            return None;
        };
        if !nets.iter().any(|n| n.contains(&address.ip())) {
            let nets: Vec<String> = nets.iter().map(ToString::to_string).collect();
            self.add(key, format!("found {text:?}, expected an address in {}", nets.join(" or ")));
            return None;
        }
        Some(address)
    }

    /// Reads networks.
    pub fn networks(&mut self, key: &str, texts: &[String]) -> Vec<IpNet> {
        let mut nets = Vec::new();
        for (i, text) in texts.iter().enumerate() {
            match text.parse() {
                Ok(net) => nets.push(net),
                Err(_) => {
                    self.add(
                        format!("{key}.{i}"),
                        format!("found {text:?}, expected a network, as 10.2.0.0/16"),
                    );
                }
            }
        }
        nets
    }

    /// What was made, or the faults in the order of their lines.
    ///
    /// # Errors
    /// If there are any.
    pub fn end<T>(mut self, made: T) -> Result<T, Vec<Fault>> {
        if self.faults.is_empty() {
            return Ok(made);
        }
        self.faults.sort_by_key(|f| f.line);
        Err(self.faults)
    }
}

/// Reads a text whose form is that of `T`, and which counts only with `enabled = true`.
///
/// # Errors
/// All faults of form.
pub fn read<'a, T: DeserializeOwned>(
    file: &'a str,
    text: &'a str,
    schema: &Value,
) -> Result<Option<(Checker<'a>, T)>, Vec<Fault>> {
    let table = match DeTable::parse(text) {
        Ok(table) => table,
        Err(e) => {
            let at = e.span().map_or(0, |s| s.start).min(text.len());
            let line = text[..at].matches('\n').count() + 1;
            let fault = Fault { file: file.into(), line, key: "TOML".into(), what: e.message().into() };
            return Err(vec![fault]);
        }
    };
    let mut c = Checker { file, text, table: Some(table), faults: Vec::new() };
    let value: Value = match toml::from_str(text) {
        Ok(value) => value,
        Err(e) => {
            c.add("TOML", e.message());
            return Err(c.faults);
        }
    };
    if value.get("enabled") != Some(&Value::Bool(true)) {
        // What is switched off is not checked, except that it is not a mistake.
        if !matches!(value.get("enabled"), None | Some(Value::Bool(false))) {
            c.add("enabled", "expected true or false");
            return Err(c.faults);
        }
        return Ok(None);
    }
    check_form(&mut c, &value, schema);
    if !c.faults.is_empty() {
        return c.end(None);
    }
    match serde_json::from_value(value) {
        Ok(parsed) => Ok(Some((c, parsed))),
        Err(e) => {
            c.add("", e);
            Err(c.faults)
        }
    }
}

fn check_form(c: &mut Checker<'_>, value: &Value, schema: &Value) {
    let validator = match jsonschema::validator_for(schema) {
        Ok(v) => v,
        Err(e) => return c.add("", format!("the schema itself is faulty: {e}")),
    };
    for error in validator.iter_errors(value) {
        let path = error.instance_path().to_string();
        let key = path.trim_start_matches('/').replace('/', ".");
        // A missing or unknown key is named in the text, and is the key that is wrong.
        let text = error.to_string();
        let named = text.split('\'').nth(1).filter(|_| text.contains("unexpected")).map(str::to_owned);
        let key = match named {
            Some(n) if key.is_empty() => n,
            Some(n) => format!("{key}.{n}"),
            None => key,
        };
        c.add(key, text);
    }
}
