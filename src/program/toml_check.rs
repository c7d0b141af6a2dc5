//! Validation of the TOML configuration files against schemas derived from their types. All errors are reported
//! together, each with its line.

use ipnet::IpNet;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use toml::de::{DeTable, DeValue};

/// An error in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Path of the file.
    pub file: String,
    /// Line number, from 1; 0 if the error has no line.
    pub line: usize,
    /// Key that the error is about.
    pub key: String,
    /// Message with the value that was found and what was expected.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file, self.line, self.key, self.message)
    }
}

/// Collects the errors in one file.
pub struct Checker<'a> {
    file: &'a str,
    text: &'a str,
    table: Option<toml::Spanned<DeTable<'a>>>,
    /// Errors found so far.
    pub diagnostics: Vec<Diagnostic>,
}

impl<'a> Checker<'a> {
    /// Creates a checker without the text of the file; its diagnostics have line 0.
    pub fn without_text(file: &'a str) -> Checker<'a> {
        Checker { file, text: "", table: None, diagnostics: Vec::new() }
    }

    /// Line of a key, or of the innermost enclosing table if the key is missing.
    fn line_of(&self, path: &str) -> usize {
        let Some(table) = &self.table else { return 0 };
        let mut offset = 0;
        let mut current: Option<&DeValue<'_>> = None;
        for part in path.split('.').filter(|p| !p.is_empty()) {
            let next = match current {
                None => table.get_ref().get(part),
                Some(DeValue::Table(t)) => t.get(part),
                Some(DeValue::Array(a)) => part.parse().ok().and_then(|i: usize| a.get(i)),
                Some(_) => None,
            };
            let Some(next) = next else { break };
            offset = next.span().start;
            current = Some(next.get_ref());
        }
        self.text[..offset.min(self.text.len())].matches('\n').count() + 1
    }

    /// Records an error.
    pub fn report(&mut self, key: impl Into<String>, message: impl ToString) {
        let key = key.into();
        let (line, file) = (self.line_of(&key), self.file.to_owned());
        self.diagnostics.push(Diagnostic { file, line, key, message: message.to_string() });
    }

    /// Parses an address with a port that must be in one of `networks`.
    pub fn address(&mut self, key: &str, text: &str, networks: &[IpNet]) -> Option<SocketAddr> {
        let Ok(address) = text.parse::<SocketAddr>() else {
            self.report(
                key,
                format!("found {text:?}, expected an address and a port, for example 127.0.0.1:5060"),
            );
            return None;
        };
        if !networks.iter().any(|n| n.contains(&address.ip())) {
            let networks: Vec<String> = networks.iter().map(ToString::to_string).collect();
            self.report(key, format!("found {text:?}, expected an address in {}", networks.join(" or ")));
            return None;
        }
        Some(address)
    }

    /// Parses a list of networks in CIDR notation.
    pub fn networks(&mut self, key: &str, texts: &[String]) -> Vec<IpNet> {
        let mut networks = Vec::new();
        for (i, text) in texts.iter().enumerate() {
            match text.parse() {
                Ok(network) => networks.push(network),
                Err(_) => {
                    self.report(
                        format!("{key}.{i}"),
                        format!("found {text:?}, expected a network, for example 10.2.0.0/16"),
                    );
                }
            }
        }
        networks
    }

    /// Returns `value` if no error was recorded.
    ///
    /// # Errors
    /// The recorded errors, sorted by line.
    pub fn finish<T>(mut self, value: T) -> Result<T, Vec<Diagnostic>> {
        if self.diagnostics.is_empty() {
            return Ok(value);
        }
        self.diagnostics.sort_by_key(|d| d.line);
        Err(self.diagnostics)
    }
}

/// Parses a file into `T` after checking it against the schema of `T`; `None` unless it has `enabled = true`.
///
/// # Errors
/// All syntax errors and violations of the schema.
pub fn read<'a, T: DeserializeOwned>(
    file: &'a str,
    text: &'a str,
    schema: &Value,
) -> Result<Option<(Checker<'a>, T)>, Vec<Diagnostic>> {
    let table = match DeTable::parse(text) {
        Ok(table) => table,
        Err(e) => {
            let offset = e.span().map_or(0, |s| s.start).min(text.len());
            let line = text[..offset].matches('\n').count() + 1;
            let (file, key, message) = (file.into(), "TOML".into(), e.message().into());
            return Err(vec![Diagnostic { file, line, key, message }]);
        }
    };
    let mut checker = Checker { file, text, table: Some(table), diagnostics: Vec::new() };
    let value: Value = match toml::from_str(text) {
        Ok(value) => value,
        Err(e) => {
            checker.report("TOML", e.message());
            return Err(checker.diagnostics);
        }
    };
    if value.get("enabled") != Some(&Value::Bool(true)) {
        // A disabled file is not validated, but `enabled` itself must be a boolean.
        if !matches!(value.get("enabled"), None | Some(Value::Bool(false))) {
            checker.report("enabled", "expected true or false");
            return Err(checker.diagnostics);
        }
        return Ok(None);
    }
    check_schema(&mut checker, &value, schema);
    if !checker.diagnostics.is_empty() {
        return checker.finish(None);
    }
    match serde_json::from_value(value) {
        Ok(parsed) => Ok(Some((checker, parsed))),
        Err(e) => {
            checker.report("", e);
            Err(checker.diagnostics)
        }
    }
}

fn check_schema(checker: &mut Checker<'_>, value: &Value, schema: &Value) {
    let validator = match jsonschema::validator_for(schema) {
        Ok(v) => v,
        Err(e) => return checker.report("", format!("the schema is invalid: {e}")),
    };
    for error in validator.iter_errors(value) {
        let path = error.instance_path().to_string();
        let key = path.trim_start_matches('/').replace('/', ".");
        // For an unknown key the path of the error is that of the enclosing table; the key is quoted in the message.
        let message = error.to_string();
        let unknown =
            message.split('\'').nth(1).filter(|_| message.contains("unexpected")).map(str::to_owned);
        let key = match unknown {
            Some(name) if key.is_empty() => name,
            Some(name) => format!("{key}.{name}"),
            None => key,
        };
        checker.report(key, message);
    }
}
