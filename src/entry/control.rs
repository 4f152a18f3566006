//! Lease renewals of this host and the updates that come with their answers.

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

/// Time between two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Silence of the presumed leader after which the next control host is asked.
const LEADER_SILENCE: Millis = Millis(700);

/// Structural announcements are repeated until the view shows them.
const MAX_ANNOUNCED: usize = 256;

/// Renewal loop of one host.
pub struct ControlLink {
    cx: Arc<Cx>,
    bus: Bus,
    inbound: mpsc::Receiver<InboundMessage>,
    /// Index of the control host that gets the renewals.
    current: usize,
    heard_at: Millis,
    /// The next renewal asks for a snapshot.
    resync: bool,
    had_lease: bool,
}

impl ControlLink {
    /// Link over `bus`.
    pub fn new(cx: Arc<Cx>, bus: Bus, inbound: mpsc::Receiver<InboundMessage>) -> Self {
        Self { cx, bus, inbound, current: 0, heard_at: Millis(0), resync: false, had_lease: false }
    }

    /// Renews until the host has stopped.
    pub async fn run(mut self) {
        let mut due = Instant::now();
        loop {
            let lease_end = self.until_lease_end();
            tokio::select! {
                inbound = self.inbound.recv() => match inbound {
                    Some(inbound) => self.receive(&inbound),
                    None => return,
                },
                () = tokio::time::sleep_until(due) => {
                    self.renew();
                    due = Instant::now() + RENEW_INTERVAL;
                }
                () = self.cx.report_soon.notified() => {
                    self.renew();
                    due = Instant::now() + RENEW_INTERVAL;
                }
                () = tokio::time::sleep(lease_end), if !lease_end.is_zero() => {
                    self.check_lease();
                }
            }
        }
    }

    fn until_lease_end(&self) -> Duration {
        let now = self.cx.clock.now();
        self.cx.lease.lock().until().since(now).duration()
    }

    fn check_lease(&mut self) {
        if std::mem::replace(&mut self.had_lease, self.cx.has_lease()) && !self.had_lease {
            spdlog::warn!("the lease has ended; keyed requests are refused");
            self.cx.owner.lease_ended();
        }
    }

    fn renew(&mut self) {
        let now = self.cx.clock.now();
        self.check_lease();
        self.cx.metrics.set_lease_remaining(self.cx.lease.lock().until().since(now));
        if now.since(self.heard_at) > LEADER_SILENCE {
            self.current = (self.current + 1) % self.cx.settings.control_hosts.len();
        }
        let message = ControlMessage::RenewRequest(self.renewal(now));
        match postcard::to_stdvec(&message) {
            Ok(body) => {
                let addr = &self.cx.settings.control_hosts[self.current].bus_addr;
                self.bus.send(addr, &body);
            }
            Err(error) => spdlog::error!("cannot encode a renewal: {error}"),
        }
    }

    fn renewal(&mut self, now: Millis) -> RenewRequest {
        let view = self.cx.view.load();
        let (releases, observations) = self.cx.owner.take_reports();
        let revision =
            if std::mem::take(&mut self.resync) { Revision(0) } else { view.view.revision };
        RenewRequest {
            host: self.host(),
            sent_at: now,
            revision,
            stopped: self.cx.stop.has_stopped(),
            announced: self.announced(),
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
            leaving: self.cx.stop.is_stopping(),
        }
    }

    /// Announced instances that the view does not show as announced.
    fn announced(&self) -> Vec<InstanceSpec> {
        let view = self.cx.view.load();
        let mut announced = self.cx.announced.lock();
        announced.retain(|id, spec| {
            view.view.instances.get(id).is_none_or(|known| {
                known.spec.incarnation <= spec.incarnation && known.spec != *spec
            })
        });
        announced.values().take(MAX_ANNOUNCED).cloned().collect()
    }

    fn receive(&mut self, inbound: &InboundMessage) {
        match postcard::from_bytes(&inbound.body) {
            Ok(ControlMessage::RenewResponse(answer)) => self.answer(&inbound.from, answer),
            Ok(_) => spdlog::debug!("ignoring a message of another kind from {}", inbound.from),
            Err(error) => spdlog::warn!("invalid message from {}: {error}", inbound.from),
        }
    }

    fn answer(&mut self, from: &str, answer: RenewResponse) {
        match answer {
            RenewResponse::Lease { echo, lease, update } => self.lease(from, echo, lease, update),
            RenewResponse::NotLeader { leader } => {
                // Only the host that is asked now may redirect; late answers of
                // others would make the link move back and forth.
                if self.index_of(from) == Some(self.current) {
                    self.follow(leader.as_ref());
                }
            }
            RenewResponse::Removed { host } => {
                spdlog::error!("host {host} was removed; it must restart under a new incarnation");
                self.cx.lease.lock().end();
                self.check_lease();
                self.cx.stop.removed();
            }
        }
    }

    fn lease(&mut self, from: &str, echo: Millis, lease: Millis, update: Update) {
        let now = self.cx.clock.now();
        if let Some(index) = self.index_of(from) {
            self.current = index;
            self.heard_at = now;
        }
        // The update comes first: a renewed lease must not serve an old configuration.
        match self.cx.view.update(update) {
            Ok(Some(change)) => {
                self.cx.view_changed(&change);
                self.cx.report_soon.notify_one();
            }
            Ok(None) => {}
            Err(error) => {
                spdlog::warn!("asking for a snapshot: {error}");
                self.resync = true;
                self.cx.report_soon.notify_one();
                return;
            }
        }
        self.check_lease();
        self.cx.lease.lock().extend(echo, lease);
        if !self.had_lease && self.cx.has_lease() {
            self.had_lease = true;
            spdlog::info!("the lease is valid again");
            self.cx.owner.lease_renewed();
        }
    }

    fn follow(&mut self, leader: Option<&ControlId>) {
        let index = leader.and_then(|leader| self.index_of(leader.as_str()));
        if let Some(index) = index.filter(|index| *index != self.current) {
            self.current = index;
            self.heard_at = self.cx.clock.now();
            self.cx.report_soon.notify_one();
        }
    }

    fn index_of(&self, id: &str) -> Option<usize> {
        self.cx.settings.control_hosts.iter().position(|control| control.id.as_str() == id)
    }
}
