//! Fault injection into targets through their HTTP test endpoints.

use std::{str::FromStr, time::Duration};

use derive_more::Display;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep_until};

use crate::clock::Millis;

/// Kind of a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FaultAction {
    /// Cuts the target off from the listed hosts, or from all hosts if the list is empty or
    /// `all`; heals after `heal_after`, if given.
    Partition {
        from: Vec<String>,
        heal_after: Option<Millis>,
    },
    Heal,
    Freeze(Millis),
    Lag(Millis),
    Leave,
}

/// Fault scheduled within a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Time since the start of the run.
    pub at: Millis,
    pub action: FaultAction,
    /// Base URL of the target, such as `http://IP:PORT`.
    pub target: String,
}

/// Error of a fault specification.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("`{text}` is not a valid fault: {reason}")]
pub struct ParseFaultError {
    pub text: String,
    pub reason: &'static str,
}

impl std::error::Error for ParseFaultError {}

/// Fields of a fault specification.
#[derive(Default)]
struct Fields<'a> {
    at: Option<Millis>,
    action: Option<&'a str>,
    target: Option<&'a str>,
    from: Vec<String>,
    ms: Option<Millis>,
    heal_after: Option<Millis>,
}

impl FromStr for Fault {
    type Err = ParseFaultError;

    fn from_str(text: &str) -> Result<Self, ParseFaultError> {
        let error = |reason| ParseFaultError { text: text.to_owned(), reason };
        let mut fields = Fields::default();
        for field in text.split(',') {
            let (name, value) = field.split_once('=').ok_or(error("a field has no `=`"))?;
            let duration =
                || parse_duration(value).ok_or(error("a duration is not of the form 5s or 500ms"));
            match name.trim() {
                "at" => fields.at = Some(duration()?),
                "action" => fields.action = Some(value),
                "target" => fields.target = Some(value),
                "from" => fields.from = value.split('+').map(str::to_owned).collect(),
                "ms" => fields.ms = Some(duration()?),
                "for" => fields.heal_after = Some(duration()?),
                _ => return Err(error("valid fields are at, action, target, from, ms and for")),
            }
        }
        let ms = || fields.ms.ok_or(error("the action requires the field ms"));
        let action = match fields.action {
            Some("partition") => FaultAction::Partition {
                from: std::mem::take(&mut fields.from),
                heal_after: fields.heal_after,
            },
            Some("heal") => FaultAction::Heal,
            Some("freeze") => FaultAction::Freeze(ms()?),
            Some("lag") => FaultAction::Lag(ms()?),
            Some("leave") => FaultAction::Leave,
            _ => return Err(error("valid actions are partition, heal, freeze, lag and leave")),
        };
        let at = fields.at.ok_or(error("the field at is missing"))?;
        let target = fields.target.ok_or(error("the field target is missing"))?.to_owned();
        Ok(Fault { at, action, target })
    }
}

/// Parses a duration such as `5s`, `500ms` or `500` (milliseconds).
fn parse_duration(text: &str) -> Option<Millis> {
    let (digits, unit) = if let Some(digits) = text.strip_suffix("ms") {
        (digits, 1)
    } else if let Some(digits) = text.strip_suffix('s') {
        (digits, 1_000)
    } else {
        (text, 1)
    };
    digits.parse::<u64>().ok().and_then(|number| number.checked_mul(unit)).map(Millis)
}

/// Limit for a request to a target's test endpoint.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Injects the fault at its time after `start`, and heals a partition of limited duration.
pub async fn inject(fault: Fault, start: Instant) {
    sleep_until(start + fault.at.duration()).await;
    let (path, body) = match &fault.action {
        FaultAction::Partition { from, .. } if from.is_empty() || from == &["all"] => {
            ("partition", json!({ "from": "all" }))
        }
        FaultAction::Partition { from, .. } => ("partition", json!({ "from": from })),
        FaultAction::Heal => ("heal", json!({})),
        FaultAction::Freeze(duration) => ("freeze", json!({ "ms": duration.0 })),
        FaultAction::Lag(duration) => ("lag", json!({ "ms": duration.0 })),
        FaultAction::Leave => ("leave", json!({})),
    };
    post(&fault.target, path, &body).await;
    if let FaultAction::Partition { heal_after: Some(duration), .. } = fault.action {
        tokio::time::sleep(duration.duration()).await;
        post(&fault.target, "heal", &json!({})).await;
    }
}

async fn post(target: &str, path: &str, body: &Value) {
    let request = reqwest::Client::new()
        .post(format!("{target}/test/{path}"))
        .timeout(REQUEST_TIMEOUT)
        .json(body);
    match request.send().await.and_then(reqwest::Response::error_for_status) {
        Ok(_) => spdlog::info!("injected fault into {target}: {path} {body}"),
        Err(error) => spdlog::error!("cannot inject fault into {target}: {path} {body}: {error}"),
    }
}
