//! Client of the control group: renews the lease of this host and applies the view
//! updates that the responses contain.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::Instant};

use super::cx::Cx;
use crate::{
    adapters::bus::{Bus, InboundMessage},
    clock::{Clock, Millis},
    ids::{ControlId, Revision},
    state::model::{Host, InstanceSpec},
    wire::control::{ControlMessage, RenewRequest, RenewResponse, Update},
};

/// Interval between lease renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a response from the presumed leader after which renewals go to the
/// next control host.
const LEADER_TIMEOUT: Millis = Millis(700);

/// Most announced instance specs in one renewal; a spec is sent with each renewal
/// until the view contains it.
const MAX_ANNOUNCED_PER_RENEWAL: usize = 256;

/// Sends renewals and handles the responses.
pub struct ControlClient {
    cx: Arc<Cx>,
    bus: Bus,
    inbound: mpsc::Receiver<InboundMessage>,
    /// Index in `control_hosts` of the presumed leader, which receives the renewals.
    current: usize,
    /// When a control host last answered as the leader, or a redirect named another one.
    last_response_at: Millis,
    /// Whether the next renewal requests a full snapshot of the view.
    needs_snapshot: bool,
    had_lease: bool,
}

impl ControlClient {
    /// Creates a client that sends over `bus` and receives from `inbound`.
    pub fn new(cx: Arc<Cx>, bus: Bus, inbound: mpsc::Receiver<InboundMessage>) -> Self {
        Self {
            cx,
            bus,
            inbound,
            current: 0,
            last_response_at: Millis(0),
            needs_snapshot: false,
            had_lease: false,
        }
    }

    /// Renews the lease until the bus is closed.
    pub async fn run(mut self) {
        let mut due = Instant::now();
        loop {
            let to_expiry = self.time_to_lease_expiry();
            tokio::select! {
                inbound = self.inbound.recv() => match inbound {
                    Some(inbound) => self.receive(&inbound),
                    None => return,
                },
                () = tokio::time::sleep_until(due) => {
                    self.renew();
                    due = Instant::now() + RENEW_INTERVAL;
                }
                () = self.cx.renew_now.notified() => {
                    self.renew();
                    due = Instant::now() + RENEW_INTERVAL;
                }
                () = tokio::time::sleep(to_expiry), if !to_expiry.is_zero() => {
                    self.check_lease_expiry();
                }
            }
        }
    }

    fn time_to_lease_expiry(&self) -> Duration {
        let now = self.cx.clock.now();
        self.cx.lease.lock().expires_at().since(now).duration()
    }

    fn check_lease_expiry(&mut self) {
        if std::mem::replace(&mut self.had_lease, self.cx.has_lease()) && !self.had_lease {
            spdlog::warn!("lease lost; refusing requests on keyed routes");
            self.cx.owner.lease_ended();
        }
    }

    fn renew(&mut self) {
        let now = self.cx.clock.now();
        self.check_lease_expiry();
        self.cx.metrics.set_lease_remaining(self.cx.lease.lock().expires_at().since(now));
        if now.since(self.last_response_at) > LEADER_TIMEOUT {
            self.current = (self.current + 1) % self.cx.settings.control_hosts.len();
        }
        let message = ControlMessage::RenewRequest(self.renewal(now));
        match postcard::to_stdvec(&message) {
            Ok(body) => {
                let addr = &self.cx.settings.control_hosts[self.current].bus_addr;
                self.bus.send(addr, &body);
            }
            Err(error) => spdlog::error!("cannot encode lease renewal: {error}"),
        }
    }

    fn renewal(&mut self, now: Millis) -> RenewRequest {
        let view = self.cx.view.load();
        let (releases, observations) = self.cx.owner.take_reports();
        let revision =
            if std::mem::take(&mut self.needs_snapshot) { Revision(0) } else { view.view.revision };
        RenewRequest {
            host: self.host(),
            sent_at: now,
            revision,
            stopped: self.cx.shutdown.has_stopped(),
            announced: self.pending_announcements(),
            observations,
            releases,
        }
    }

    fn host(&self) -> Host {
        let settings = &self.cx.settings;
        Host {
            id: settings.host.clone(),
            incarnation: self.cx.incarnation,
            failure_domain: settings.failure_domain.clone(),
            peer_addr: settings.peer_listen.to_string(),
            bus_addr: settings.bus_listen.to_string(),
            leaving: self.cx.shutdown.is_shutting_down(),
        }
    }

    /// Announced specs that the view does not contain yet; drops those that it does, and
    /// those of older incarnations than the view has.
    fn pending_announcements(&self) -> Vec<InstanceSpec> {
        let view = self.cx.view.load();
        let mut announced = self.cx.pending_announcements.lock();
        announced.retain(|id, spec| {
            view.view.instances.get(id).is_none_or(|known| {
                known.spec.incarnation <= spec.incarnation && known.spec != *spec
            })
        });
        announced.values().take(MAX_ANNOUNCED_PER_RENEWAL).cloned().collect()
    }

    fn receive(&mut self, inbound: &InboundMessage) {
        match postcard::from_bytes(&inbound.body) {
            Ok(ControlMessage::RenewResponse(answer)) => {
                self.handle_response(&inbound.from, answer)
            }
            Ok(_) => spdlog::debug!("ignoring message of unexpected type from {}", inbound.from),
            Err(error) => spdlog::warn!("cannot decode message from {}: {error}", inbound.from),
        }
    }

    fn handle_response(&mut self, from: &str, answer: RenewResponse) {
        match answer {
            RenewResponse::Lease { echo, lease, update } => {
                self.handle_lease(from, echo, lease, update)
            }
            RenewResponse::NotLeader { leader } => {
                // Only a redirect from the current control host counts: late responses
                // of others would make the client switch back and forth.
                if self.index_of(from) == Some(self.current) {
                    self.follow_redirect(leader.as_ref());
                }
            }
            RenewResponse::Removed { host } => {
                spdlog::error!(
                    "control group removed host {host}; it must restart with a new incarnation"
                );
                self.cx.lease.lock().revoke();
                self.check_lease_expiry();
                self.cx.shutdown.mark_removed();
            }
        }
    }

    fn handle_lease(&mut self, from: &str, echo: Millis, lease: Millis, update: Update) {
        let now = self.cx.clock.now();
        if let Some(index) = self.index_of(from) {
            self.current = index;
            self.last_response_at = now;
        }
        // The update is applied before the lease is extended, because requests under a
        // renewed lease must not be served with an outdated configuration.
        match self.cx.view.update(update) {
            Ok(Some(change)) => {
                self.cx.apply_view_change(&change);
                self.cx.renew_now.notify_one();
            }
            Ok(None) => {}
            Err(error) => {
                spdlog::warn!("cannot apply view update, requesting a snapshot: {error}");
                self.needs_snapshot = true;
                self.cx.renew_now.notify_one();
                return;
            }
        }
        self.check_lease_expiry();
        self.cx.lease.lock().extend(echo, lease);
        if !self.had_lease && self.cx.has_lease() {
            self.had_lease = true;
            spdlog::info!("lease acquired; serving requests on keyed routes");
            self.cx.owner.lease_renewed();
        }
    }

    fn follow_redirect(&mut self, leader: Option<&ControlId>) {
        let index = leader.and_then(|leader| self.index_of(leader.as_str()));
        if let Some(index) = index.filter(|index| *index != self.current) {
            self.current = index;
            self.last_response_at = self.cx.clock.now();
            self.cx.renew_now.notify_one();
        }
    }

    fn index_of(&self, id: &str) -> Option<usize> {
        self.cx.settings.control_hosts.iter().position(|control| control.id.as_str() == id)
    }
}
