//! Setup of logs, metrics and traces.

use std::{net::UdpSocket, sync::Arc};

use anyhow::Context;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use opentelemetry::{global, trace::TracerProvider};
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig};
use opentelemetry_sdk::{Resource, propagation::TraceContextPropagator, trace::SdkTracerProvider};
use pondwalk_config::shared::{LogLevel, TelemetrySettings};
use spdlog::{
    Level, LevelFilter,
    formatter::JsonFormatter,
    sink::{StdStream, StdStreamSink},
};
use tracing_subscriber::{Layer, filter::Targets, layer::SubscriberExt, util::SubscriberInitExt};

/// Prefix of all metrics.
const METRICS_PREFIX: &str = "pondwalk";

/// Guard that must live as long as the process; flushes spans when dropped.
pub struct Telemetry {
    spans: Option<SdkTracerProvider>,
}

impl Drop for Telemetry {
    fn drop(&mut self) {
        if let Some(spans) = self.spans.take() {
            // NB: the process is exiting, so spans that cannot be sent are lost.
            let _ = spans.shutdown();
        }
    }
}

/// Sets up logs, metrics and traces; `role` is the name of the process in spans and metrics.
///
/// # Errors
///
/// Returns an error if the logger, the socket for metrics or the span exporter cannot be created.
pub fn start(
    settings: &TelemetrySettings,
    role: &str,
) -> anyhow::Result<(Telemetry, StatsdClient)> {
    start_logs(settings.log_level)?;
    global::set_text_map_propagator(TraceContextPropagator::new());
    let spans = match settings.otlp {
        Some(address) => Some(start_spans(&format!("http://{address}/v1/traces"), role)?),
        None => None,
    };
    Ok((Telemetry { spans }, metrics(settings, role)?))
}

/// Sets up logging to standard error, as one JSON object per line.
pub fn start_logs(level: LogLevel) -> anyhow::Result<()> {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let logger = spdlog::Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build_arc()?;
    spdlog::set_default_logger(Arc::clone(&logger));
    Ok(())
}

fn metrics(settings: &TelemetrySettings, role: &str) -> anyhow::Result<StatsdClient> {
    let prefix = format!("{METRICS_PREFIX}.{role}");
    let Some(receiver) = settings.statsd else {
        return Ok(StatsdClient::from_sink(&prefix, NopMetricSink));
    };
    let socket = UdpSocket::bind("0.0.0.0:0").context("cannot open a socket for metrics")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(receiver, socket)?;
    Ok(StatsdClient::from_sink(&prefix, QueuingMetricSink::from(sink)))
}

fn start_spans(endpoint: &str, role: &str) -> anyhow::Result<SdkTracerProvider> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(endpoint)
        .build()?;
    let resource = Resource::builder().with_service_name(format!("pondwalk-{role}")).build();
    let provider =
        SdkTracerProvider::builder().with_batch_exporter(exporter).with_resource(resource).build();
    let tracer = provider.tracer("pondwalk");
    // NB: other libraries open spans of their own, which are not hops of a request.
    let targets = Targets::new().with_target("pondwalk", tracing::Level::INFO);
    let targets = targets.with_target("tarpc", tracing::Level::INFO);
    let layer = tracing_opentelemetry::layer().with_tracer(tracer).with_filter(targets);
    tracing_subscriber::registry().with(layer).init();
    Ok(provider)
}
