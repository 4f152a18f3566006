//! Periodic announcements of the instance to entry hosts.

use std::{sync::Arc, time::Duration};

use eyre::{Result, eyre};

use super::{http::FROM_HEADER, instance::Instance};
use crate::{
    keys::announcement::{SIGNATURE_HEADER, sign},
    state::model::InstanceSpec,
    wire::announcement::Announcement,
};

/// Timeout of one announcement request.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Addresses at which the instance is reachable.
#[derive(Debug, Clone)]
pub struct Addresses {
    pub sql: String,
    pub http: String,
}

/// Announces the instance at the configured interval and immediately on changes.
///
/// `announce_to` must not be empty.
pub async fn announce(instance: Arc<Instance>, addresses: Addresses) {
    let entries = instance.settings.announce_to.clone();
    let client = reqwest::Client::new();
    let mut next = 0;
    let mut sequence = 0;
    loop {
        instance.faults.wait_while_frozen().await;
        // On failure, tries the next entry host immediately, each at most once per round.
        for _ in 0..entries.len() {
            sequence += 1;
            let entry = entries[next % entries.len()].to_string();
            let body = announcement(&instance, &addresses, sequence);
            match post(&instance, &client, &entry, &body).await {
                Ok(()) => break,
                Err(error) => {
                    spdlog::debug!("announcement to {entry} failed: {error}");
                    next += 1;
                }
            }
        }
        let interval = instance.settings.announce_interval.duration();
        let _ = tokio::time::timeout(interval, instance.announce.notified()).await;
    }
}

fn announcement(instance: &Instance, addresses: &Addresses, sequence: u64) -> Announcement {
    let settings = &instance.settings;
    let spec = InstanceSpec {
        id: settings.name.clone(),
        service: settings.service.clone(),
        failure_domain: settings.failure_domain.clone(),
        incarnation: instance.incarnation,
        sql_addr: addresses.sql.clone(),
        http_addr: addresses.http.clone(),
        slots: settings.slots,
        connections: settings.connections,
        leaving: instance.is_leaving(),
    };
    let now = instance.now();
    instance.with(|state| {
        state.apply_due(now);
        Announcement {
            spec,
            sequence,
            role: state.role,
            position: state.applied(),
            age_ms: state.age(now).0,
            primary_silent_ms: state.silence(now).0,
        }
    })
}

async fn post(
    instance: &Instance,
    client: &reqwest::Client,
    entry: &str,
    announcement: &Announcement,
) -> Result<()> {
    if instance.faults.blocks(entry) {
        return Err(eyre!("blocked by an injected partition"));
    }
    let body = serde_json::to_vec(announcement)?;
    let signature = sign(&instance.settings.announcement_key, &body);
    client
        .post(format!("http://{entry}/announce"))
        .timeout(ANNOUNCE_TIMEOUT)
        .header(SIGNATURE_HEADER, signature)
        .header(FROM_HEADER, instance.settings.name.as_str())
        .header("content-type", "application/json")
        .body(body)
        .send()
        .await?
        .error_for_status()?;
    Ok(())
}
