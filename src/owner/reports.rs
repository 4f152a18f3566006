//! Reports of an owner to the control leader.

use crate::{
    clock::{Clock, Millis},
    ids::Mark,
    owner::{Owner, instance::Instance},
    settings::owner::OwnerSettings,
    state::model::Role,
    wire::control::{Observation, Release},
};

impl Owner {
    /// Releases and observations for the next renewal. Releases and suspicions are
    /// repeated until they no longer apply, because messages can be lost.
    pub fn take_reports(&self) -> (Vec<Release>, Vec<Observation>) {
        let shared = &self.shared;
        let now = shared.clock.now();
        let ended = shared.ended.lock().clone();
        let mut releases: Vec<_> = ended
            .into_iter()
            .map(|(instance, epoch)| Release { instance, epoch, kept: 0 })
            .collect();
        let mut observations = Vec::new();
        for instance in shared.list() {
            releases.extend(instance.release());
            observations.extend(instance.observe(now));
        }
        (releases, observations)
    }
}

impl Instance {
    /// Whether the number of kept connections has changed since the last report.
    pub(crate) fn has_released(&self) -> bool {
        let kept = self.kept();
        self.is_draining() && self.known(|known| known.kept_reported != Some(kept))
    }

    fn release(&self) -> Option<Release> {
        if !self.is_draining() {
            return None;
        }
        let kept = self.kept();
        self.known(|known| known.kept_reported = Some(kept));
        Some(Release { instance: self.id.clone(), epoch: self.epoch(), kept })
    }

    fn observe(&self, now: Millis) -> Option<Observation> {
        let (service, settings) = (self.service(), &self.settings);
        let is_listed = self.is_listed_primary();
        self.known(|known| {
            let role = known.role?;
            let silent_ms = match role {
                Role::Primary => now.since(known.answered_at).0,
                Role::Replica => known.replica_silence(now, settings)?,
            };
            known.suspicious = silent_ms >= settings.silence.0;
            let due =
                known.reported_at.is_none_or(|at| now.since(at) >= settings.observation_interval);
            let routine = role == Role::Primary && (due || !is_listed);
            if !(known.suspicious || routine) {
                return None;
            }
            known.reported_at = Some(now);
            let position = known.position.unwrap_or(Mark::default());
            let instance = self.id.clone();
            Some(Observation { service, instance, role, position, silent_ms })
        })
    }
}

impl super::known::Known {
    /// Silence of the primary as the replica has announced it. A replica that does
    /// not announce itself says nothing about its primary.
    fn replica_silence(&self, now: Millis, settings: &OwnerSettings) -> Option<u64> {
        let fresh = now.since(self.announced_at?) < settings.announcement_expiry;
        fresh.then_some(self.primary_silent_ms)
    }
}
