//! OTLP export: encodes requests for metrics and spans, and interprets a collector's responses. It performs no I/O.

use crate::protocol::run_id::RunId;
use crate::routing::interface::Micros;
use opentelemetry_proto::tonic::collector::metrics::v1::{
    ExportMetricsServiceRequest, ExportMetricsServiceResponse,
};
use opentelemetry_proto::tonic::collector::trace::v1::{
    ExportTraceServiceRequest, ExportTraceServiceResponse,
};
use opentelemetry_proto::tonic::common::v1::{any_value::Value, AnyValue, InstrumentationScope, KeyValue};
use opentelemetry_proto::tonic::metrics::v1::{
    metric::Data, number_data_point, AggregationTemporality, Gauge, Metric, NumberDataPoint, ResourceMetrics,
    ScopeMetrics, Sum,
};
use opentelemetry_proto::tonic::resource::v1::Resource;
use opentelemetry_proto::tonic::trace::v1::{
    span::SpanKind, status::StatusCode, ResourceSpans, ScopeSpans, Span, Status,
};
use prost::Message;

/// The signal that a request exports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Metrics.
    Metrics,
    /// Spans.
    Spans,
}

impl Signal {
    /// The path of its requests at the collector.
    pub fn path(self) -> &'static str {
        match self {
            Signal::Metrics => "/v1/metrics",
            Signal::Spans => "/v1/traces",
        }
    }
}

/// The values of all metrics at one time, and the calls answered since the last snapshot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MetricsSnapshot {
    /// The time, as Unix time.
    pub at: Micros,
    /// Monotonic counters.
    pub counters: Vec<(String, u64)>,
    /// Gauges.
    pub gauges: Vec<(String, u64)>,
    /// Calls answered since the last snapshot.
    pub calls: Vec<CallSpan>,
}

/// One call, from its acceptance to its final answer.
#[derive(Clone, Debug, PartialEq)]
pub struct CallSpan {
    /// The id of the call.
    pub call: u32,
    /// When it was accepted.
    pub start: Micros,
    /// When it was answered.
    pub end: Micros,
    /// The number of its destination.
    pub destination: u16,
    /// Its final answer.
    pub answer: &'static str,
}

/// Encodes the requests of one run of the program.
#[derive(Clone, Debug)]
pub struct Encoder {
    name: String,
    start: Micros,
    run_id: RunId,
}

impl Encoder {
    /// Creates an encoder for an instance with this name and start time. The run makes its span ids distinct from
    /// those of other runs.
    pub fn new(name: String, start: Micros, run_id: RunId) -> Self {
        Encoder { name, start, run_id }
    }

    fn resource(&self) -> Option<Resource> {
        let attributes = vec![
            text("service.name", "walnuthatch"),
            text("service.instance.id", &self.name),
            text("service.version", env!("CARGO_PKG_VERSION")),
        ];
        Some(Resource { attributes, ..Resource::default() })
    }

    fn scope() -> Option<InstrumentationScope> {
        Some(InstrumentationScope { name: "walnuthatch".to_owned(), ..InstrumentationScope::default() })
    }

    /// Encodes the body of a metrics request.
    pub fn metrics(&self, snapshot: &MetricsSnapshot) -> Vec<u8> {
        let point = |value: u64| NumberDataPoint {
            start_time_unix_nano: nanos(self.start),
            time_unix_nano: nanos(snapshot.at),
            value: Some(number_data_point::Value::AsInt(value.try_into().unwrap_or(i64::MAX))),
            ..NumberDataPoint::default()
        };
        let metric = |name: &str, data| Metric {
            name: format!("walnuthatch.{name}"),
            unit: "1".to_owned(),
            data: Some(data),
            ..Metric::default()
        };
        let sums = snapshot.counters.iter().map(|(name, v)| {
            let aggregation_temporality = AggregationTemporality::Cumulative as i32;
            let data_points = vec![point(*v)];
            metric(name, Data::Sum(Sum { data_points, aggregation_temporality, is_monotonic: true }))
        });
        let gauges = snapshot
            .gauges
            .iter()
            .map(|(name, v)| metric(name, Data::Gauge(Gauge { data_points: vec![point(*v)] })));
        let metrics = sums.chain(gauges).collect();
        let scope = ScopeMetrics { scope: Self::scope(), metrics, ..ScopeMetrics::default() };
        let all =
            ResourceMetrics { resource: self.resource(), scope_metrics: vec![scope], ..Default::default() };
        ExportMetricsServiceRequest { resource_metrics: vec![all] }.encode_to_vec()
    }

    /// Encodes the body of a trace request.
    pub fn spans(&self, calls: &[CallSpan]) -> Vec<u8> {
        let span = |c: &CallSpan| {
            let id = self.run_id.0.rotate_left(32) ^ u64::from(c.call);
            let failed = c.answer == "failed";
            let code = if failed { StatusCode::Error } else { StatusCode::Unset };
            Span {
                trace_id: [self.run_id.0.to_be_bytes(), id.to_be_bytes()].concat(),
                span_id: id.max(1).to_be_bytes().to_vec(),
                name: "call".to_owned(),
                kind: SpanKind::Server as i32,
                start_time_unix_nano: nanos(c.start),
                end_time_unix_nano: nanos(c.end),
                attributes: vec![
                    text("walnuthatch.answer", c.answer),
                    number("walnuthatch.destination", c.destination.into()),
                ],
                status: Some(Status { code: code as i32, ..Status::default() }),
                ..Span::default()
            }
        };
        let spans = calls.iter().map(span).collect();
        let scope = ScopeSpans { scope: Self::scope(), spans, ..ScopeSpans::default() };
        let all = ResourceSpans { resource: self.resource(), scope_spans: vec![scope], ..Default::default() };
        ExportTraceServiceRequest { resource_spans: vec![all] }.encode_to_vec()
    }
}

fn nanos(at: Micros) -> u64 {
    u64::try_from(at).unwrap_or(0).saturating_mul(1000)
}

fn attribute(key: &str, value: Value) -> KeyValue {
    KeyValue { key: key.to_owned(), value: Some(AnyValue { value: Some(value) }), ..KeyValue::default() }
}

fn text(key: &str, v: &str) -> KeyValue {
    attribute(key, Value::StringValue(v.to_owned()))
}

fn number(key: &str, v: i64) -> KeyValue {
    attribute(key, Value::IntValue(v))
}

/// The result of an export according to the collector's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExportResult {
    /// Accepted, except for the rejected items, which must not be resent.
    Accepted {
        /// Number of rejected items.
        rejected: u64,
    },
    /// To be resent, not before this delay if the response named one (µs).
    Retry(Option<Micros>),
    /// Permanently rejected.
    Failed,
}

/// Interprets a response by its status, its Retry-After header and its body.
pub fn interpret_response(
    signal: Signal,
    status: u16,
    retry_after: Option<&str>,
    body: &[u8],
) -> ExportResult {
    match status {
        200..=299 => {
            let rejected = match signal {
                Signal::Metrics => ExportMetricsServiceResponse::decode(body)
                    .ok()
                    .and_then(|r| r.partial_success)
                    .map_or(0, |p| p.rejected_data_points),
                Signal::Spans => ExportTraceServiceResponse::decode(body)
                    .ok()
                    .and_then(|r| r.partial_success)
                    .map_or(0, |p| p.rejected_spans),
            };
            ExportResult::Accepted { rejected: rejected.try_into().unwrap_or(0) }
        }
        429 | 502 | 503 | 504 => {
            // A date instead of seconds is ignored; the caller's default delay applies.
            let seconds = retry_after.and_then(|t| t.trim().parse::<u32>().ok());
            ExportResult::Retry(seconds.map(|s| Micros::from(s.min(3600)) * 1_000_000))
        }
        _ => ExportResult::Failed,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use opentelemetry_proto::tonic::collector::metrics::v1::ExportMetricsPartialSuccess;

    #[test]
    fn metrics_decode_to_the_values_that_were_encoded() {
        let s = MetricsSnapshot {
            at: 2_000_000,
            counters: vec![("calls.offered".to_owned(), 7)],
            gauges: vec![("calls.open".to_owned(), 3)],
            calls: Vec::new(),
        };
        let body = Encoder::new("n3".to_owned(), 1_000_000, RunId(9)).metrics(&s);
        let decoded = ExportMetricsServiceRequest::decode(&body[..]).unwrap();
        let metrics = &decoded.resource_metrics[0].scope_metrics[0].metrics;
        assert_eq!(metrics[0].name, "walnuthatch.calls.offered");
        let Some(Data::Sum(sum)) = &metrics[0].data else { panic!("{metrics:?}") };
        assert!(sum.is_monotonic && sum.data_points[0].start_time_unix_nano == 1_000_000_000);
        assert_eq!(sum.data_points[0].value, Some(number_data_point::Value::AsInt(7)));
        assert!(matches!(metrics[1].data, Some(Data::Gauge(_))));
    }

    #[test]
    fn spans_have_distinct_ids_of_the_right_length() {
        let call = |call| CallSpan { call, start: 1, end: 2, destination: 4, answer: "failed" };
        let body = Encoder::new("n3".to_owned(), 0, RunId(9)).spans(&[call(0), call(1)]);
        let decoded = ExportTraceServiceRequest::decode(&body[..]).unwrap();
        let spans = &decoded.resource_spans[0].scope_spans[0].spans;
        assert_eq!((spans[0].trace_id.len(), spans[0].span_id.len()), (16, 8));
        assert_ne!(spans[0].span_id, spans[1].span_id);
    }

    #[test]
    fn responses_map_to_export_results() {
        let partial = ExportMetricsPartialSuccess { rejected_data_points: 2, ..Default::default() };
        let body = ExportMetricsServiceResponse { partial_success: Some(partial) }.encode_to_vec();
        let signal = Signal::Metrics;
        assert_eq!(interpret_response(signal, 200, None, &body), ExportResult::Accepted { rejected: 2 });
        assert_eq!(interpret_response(signal, 200, None, b""), ExportResult::Accepted { rejected: 0 });
        assert_eq!(interpret_response(signal, 429, Some("3"), b""), ExportResult::Retry(Some(3_000_000)));
        assert_eq!(interpret_response(signal, 503, Some("Tue, 01 Dec"), b""), ExportResult::Retry(None));
        assert_eq!(interpret_response(signal, 400, Some("3"), b""), ExportResult::Failed);
    }
}
