//! HTTP client for fence and promote requests to target instances.

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

/// Time limit of one request; the promotion retries it.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends requests in the background; responses are delivered as events.
#[derive(Debug, Clone)]
pub struct FencingClient {
    http: reqwest::Client,
    runtime: Handle,
    events: mpsc::WeakSender<Event>,
}

impl FencingClient {
    /// Creates a client that sends its requests on `runtime`.
    pub fn new(runtime: Handle, events: &mpsc::Sender<Event>) -> Result<Self> {
        let http = reqwest::Client::builder().no_proxy().timeout(REQUEST_TIMEOUT).build()?;
        Ok(Self { http, runtime, events: events.downgrade() })
    }

    /// Asks an instance to reject terms older than `term`.
    pub fn fence(&self, target: &InstanceSpec, term: Term) {
        let instance = target.id.clone();
        let into_event = move |response| PromotionEvent::FenceResponse { instance, term, response };
        self.post(target, "fence", FenceRequest { term }, into_event);
    }

    /// Asks an instance to become the primary of `term`.
    pub fn promote(&self, target: &InstanceSpec, term: Term) {
        let instance = target.id.clone();
        let into_event =
            move |response| PromotionEvent::PromoteResponse { instance, term, response };
        self.post(target, "promote", PromoteRequest { term }, into_event);
    }

    fn post<B: Serialize + Send + Sync + 'static>(
        &self,
        target: &InstanceSpec,
        path: &'static str,
        body: B,
        into_event: impl FnOnce(FenceResponse) -> PromotionEvent + Send + 'static,
    ) {
        let (http, events) = (self.http.clone(), self.events.clone());
        let (instance, service) = (target.id.clone(), target.service.clone());
        let url = format!("http://{}/{path}", target.http_addr);
        self.runtime.spawn(async move {
            match send_request(&http, &url, &body).await {
                Ok(response) => send_event(&events, service, into_event(response)).await,
                Err(error) => spdlog::warn!("{path} request to {instance} failed: {error}"),
            }
        });
    }
}

async fn send_request<B: Serialize>(
    http: &reqwest::Client,
    url: &str,
    body: &B,
) -> Result<FenceResponse> {
    let response = http.post(url).json(body).send().await?.error_for_status()?;
    Ok(response.json().await?)
}

async fn send_event(events: &mpsc::WeakSender<Event>, service: Service, event: PromotionEvent) {
    if let Some(events) = events.upgrade() {
        // The receiver is dropped when the process stops.
        let _ = events.send(Event::Promotion { service, event }).await;
    }
}
