//! Fence and promote requests to target instances over HTTP.

use std::time::Duration;

use eyre::Result;
use serde::Serialize;
use tokio::{runtime::Handle, sync::mpsc};

use crate::{
    control::event_loop::Event,
    ids::{Service, Term},
    promotion::state_machine::Event as PromotionEvent,
    state::model::InstanceSpec,
    wire::control::{FenceRequest, FenceResponse, PromoteRequest},
};

/// Longest time for one request; the promotion repeats it.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Sends requests in the background; the answers arrive as events.
#[derive(Debug, Clone)]
pub struct FencingClient {
    http: reqwest::Client,
    runtime: Handle,
    events: mpsc::WeakSender<Event>,
}

impl FencingClient {
    /// Sender of requests on `runtime`.
    pub fn new(runtime: Handle, events: &mpsc::Sender<Event>) -> Result<Self> {
        let http = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build()?;
        Ok(Self { http, runtime, events: events.downgrade() })
    }

    /// Asks an instance to stop accepting terms older than `term`.
    pub fn fence(&self, target: &InstanceSpec, term: Term) {
        let instance = target.id.clone();
        let event = move |response| PromotionEvent::FenceResponse { instance, term, response };
        self.post(target, "fence", FenceRequest { term }, event);
    }

    /// Asks an instance to become the primary of `term`.
    pub fn promote(&self, target: &InstanceSpec, term: Term) {
        let instance = target.id.clone();
        let event = move |response| PromotionEvent::PromoteResponse { instance, term, response };
        self.post(target, "promote", PromoteRequest { term }, event);
    }

    fn post<B: Serialize + Send + Sync + 'static>(
        &self,
        target: &InstanceSpec,
        path: &'static str,
        body: B,
        event: impl FnOnce(FenceResponse) -> PromotionEvent + Send + 'static,
    ) {
        let (http, events) = (self.http.clone(), self.events.clone());
        let (instance, service) = (target.id.clone(), target.service.clone());
        let url = format!("http://{}/{path}", target.http_addr);
        self.runtime.spawn(async move {
            match request(&http, &url, &body).await {
                Ok(response) => deliver(&events, service, event(response)).await,
                Err(error) => spdlog::warn!("{path} request to {instance} failed: {error}"),
            }
        });
    }
}

async fn request<B: Serialize>(
    http: &reqwest::Client,
    url: &str,
    body: &B,
) -> Result<FenceResponse> {
    let response = http.post(url).json(body).send().await?.error_for_status()?;
    Ok(response.json().await?)
}

async fn deliver(events: &mpsc::WeakSender<Event>, service: Service, event: PromotionEvent) {
    if let Some(events) = events.upgrade() {
        // The receiver is gone when the process stops.
        let _ = events.send(Event::Promotion { service, event }).await;
    }
}
