//! Configurations that the operator writes, some of them with values that can't be used.

use std::time::Duration;

use pondwalk_standin::platform_store::{RouteSpec, configuration_entry};
use serde_json::{Value, json};
use tokio::time::sleep;

use super::{Deployment, HOST_NAME, WARM_UP, key_text, kind_of, service_of};
use crate::records::{ConfigVersion, Route, Span, now_us};

/// Stands for the odd text in a configuration until it is written.
const PLACEHOLDER: &str = "@odd@";

/// Places in a configuration and the odd text written there; `-` adds an element. None of them concerns what callers
/// of the run may do.
const ODD_VALUES: [(&str, &str); 24] = [
    ("/route_table/0/priority", "1000"),
    ("/route_table/1/priority", "-3"),
    ("/route_table/2/priority", "\"high\""),
    ("/route_table/0/max_attempts", "3.0"),
    ("/route_table/1/target_latency_ms", "\"soon\""),
    ("/route_table/2/target_itl_ms", "null"),
    ("/route_table/0/name", "{}"),
    ("/route_table/0/size_list", "null"),
    ("/route_table/1/allowed_regions", "null"),
    ("/route_table/-", "7"),
    ("/route_table/-", r#"{"hostname":5,"path_prefix":"/once/","backend":"streams"}"#),
    ("/route_table/-", r#"{"hostname":"other.example","path_prefix":"/x/","type":"sometimes"}"#),
    ("/backends/0/max_connections", "-1"),
    ("/backends/1/max_connections", "1e400"),
    ("/backends/-", "null"),
    ("/backends/-", r#"{"max_connections":10}"#),
    ("/limits", "[]"),
    ("/limits/max_header_bytes", "18446744073709551615"),
    ("/limits/idle_timeout_ms", "null"),
    ("/tenants/0/priority", "1000"),
    ("/tenants/-", "\"w2\""),
    ("/tenants/-", r#"{"name":5,"api_keys":["another"]}"#),
    ("/tenants/-", r#"{"name":"w3","api_keys":["one","",null,5],"allowed_regions":"here"}"#),
    ("/unknown", "[[[[[{\"a\":[]}]]]]]"),
];
/// Number of odd values to choose from.
pub const ODD_VALUE_COUNT: usize = ODD_VALUES.len();

/// Documents of which nothing can be read.
const UNREADABLE: [&str; 5] = ["", "no JSON", "[]", "{\"version\":", "{\"version\":1000000}"];

impl Deployment {
    /// Writes a configuration that adds a key and removes the oldest one.
    pub async fn configure(&self) -> anyhow::Result<()> {
        self.write_configuration(|document| document.to_string()).await
    }

    /// Like [`Deployment::configure`], with two odd values, the first of them by its index.
    pub async fn configure_oddly(&self, index: usize) -> anyhow::Result<()> {
        self.write_configuration(|document| {
            let pair = [index, index + 1].map(|index| ODD_VALUES[index % ODD_VALUES.len()]);
            pair.iter().fold(document.to_string(), |text, (path, odd)| with_odd(&text, path, odd))
        })
        .await
    }

    /// Writes a configuration of which nothing can be read and, after `time`, one that can be read.
    pub async fn configure_unreadably(&self, index: usize, time: Duration) -> anyhow::Result<()> {
        let document = UNREADABLE[index % UNREADABLE.len()];
        self.put("op/config", document.to_owned()).await?;
        self.unreadable_from.set(Some(now_us()));
        sleep(time).await;
        self.configure().await
    }

    /// Whether nothing of the newest configuration can be read.
    pub fn is_unreadable(&self) -> bool {
        self.unreadable_from.get().is_some()
    }

    /// Writes the next configuration as the text that `write` makes of it.
    async fn write_configuration(&self, write: impl FnOnce(Value) -> String) -> anyhow::Result<()> {
        let config_version: ConfigVersion = self.config_version.get() + 1;
        let route = |route: Route| RouteSpec {
            prefix: route.path().to_owned(),
            kind: kind_of(route),
            service: service_of(route),
        };
        let keys: Vec<String> =
            [config_version, config_version.saturating_sub(1)].map(key_text).to_vec();
        let routes = Route::ALL.map(route);
        let (key, value) = configuration_entry(config_version, HOST_NAME, &routes, &keys, WARM_UP);
        let to_us = now_us();
        self.put(&key, write(value)).await?;
        let mut records = self.records.borrow_mut();
        records.configured_us.insert(config_version, now_us());
        if let Some(from_us) = self.unreadable_from.take() {
            records.unreadable.push(Span { from_us, to_us });
        }
        self.config_version.set(config_version);
        Ok(())
    }
}

/// Puts an odd text at a place of a document.
fn with_odd(text: &str, path: &str, odd: &str) -> String {
    // An earlier odd text may be no number that this parser takes; then the document stays as it is.
    let Ok(mut document) = serde_json::from_str::<Value>(text) else { return text.to_owned() };
    let (parent, field) = path.rsplit_once('/').unwrap_or_default();
    match document.pointer_mut(parent) {
        Some(Value::Array(elements)) if field == "-" => elements.push(json!(PLACEHOLDER)),
        Some(Value::Object(fields)) => {
            fields.insert(field.to_owned(), json!(PLACEHOLDER));
        }
        _ => return text.to_owned(),
    }
    document.to_string().replace(&json!(PLACEHOLDER).to_string(), odd)
}
