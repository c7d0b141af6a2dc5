//! Flattens settings in JSON to the `path=value` lines that [`super::simulator::parse_settings`] parses, so that there
//! is one parser of settings.

use serde_json::Value;
use std::fmt::Write;

/// Flattens a settings object to lines.
pub fn flatten(settings: &Value) -> String {
    let mut out = String::new();
    flatten_value("", settings, &mut out);
    out
}

fn value_text(v: &Value) -> String {
    match v {
        Value::String(s) => s.replace([' ', ',', '\n'], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

fn flatten_value(path: &str, v: &Value, out: &mut String) {
    let child_path = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    // Writing to a string can't fail.
    let mut line = |key: &str, text: &str| {
        let _ = writeln!(out, "{key}={text}");
    };
    match v {
        Value::Object(fields) => fields.iter().for_each(|(k, v)| flatten_value(&child_path(k), v, out)),
        Value::Array(items) if items.iter().any(|i| i.is_object() || i.is_array()) => {
            line(&child_path("count"), &items.len().to_string());
            items.iter().enumerate().for_each(|(i, v)| flatten_value(&child_path(&i.to_string()), v, out));
        }
        Value::Array(items) => line(path, &items.iter().map(value_text).collect::<Vec<_>>().join(",")),
        other => line(path, &value_text(other)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nested_settings_parse_like_the_simulators_lines() {
        let json = serde_json::json!({
            "classes": [{"name": "status report", "aim": 1200.0, "giveUp": 9000}],
            "extra": {"shape": "meshed", "ownExchange": 0, "classHold": [10400.0]},
            "report": {"fields": ["spare", "total"]}, "parties": [], "limits": {"peers": true}
        });
        let s = crate::protocol::simulator::parse_settings(&flatten(&json)).unwrap();
        assert_eq!(
            (s.classes[0].latency_objective, s.classes[0].mean_hold_time, s.may_message_peers),
            (1_200_000, 10_400_000, true)
        );
        assert_eq!((s.own_exchange.map(|o| o.0), s.report_fields.len()), (Some(0), 2));
        assert!(flatten(&json).contains("classes.0.name=status_report"));
    }
}
