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
    /// Releases and observations for the next lease renewal. Releases and suspected
    /// failures are repeated until they no longer apply, because messages can be lost.
    pub fn take_reports(&self) -> (Vec<Release>, Vec<Observation>) {
        let shared = &self.shared;
        let now = shared.clock.now();
        let ended = shared.ended_epochs.lock().clone();
        let mut releases: Vec<_> = ended
            .into_iter()
            .map(|(instance, epoch)| Release { instance, epoch, kept: 0 })
            .collect();
        let mut observations = Vec::new();
        for instance in shared.owned_instances() {
            releases.extend(instance.release_report());
            observations.extend(instance.observation(now));
        }
        (releases, observations)
    }
}

impl Instance {
    /// Whether another host owns the instance and the number of kept connections has
    /// changed since the last report.
    pub(crate) fn has_unreported_release(&self) -> bool {
        let kept = self.kept();
        self.is_draining() && self.with_observed(|observed| observed.kept_reported != Some(kept))
    }

    fn release_report(&self) -> Option<Release> {
        if !self.is_draining() {
            return None;
        }
        let kept = self.kept();
        self.with_observed(|observed| observed.kept_reported = Some(kept));
        Some(Release { instance: self.id.clone(), epoch: self.epoch(), kept })
    }

    fn observation(&self, now: Millis) -> Option<Observation> {
        let (service, settings) = (self.service(), &self.settings);
        let is_listed = self.is_listed_primary();
        self.with_observed(|observed| {
            let role = observed.role?;
            let silent_ms = match role {
                Role::Primary => now.since(observed.answered_at).0,
                Role::Replica => observed.announced_primary_silence(now, settings)?,
            };
            observed.suspected = silent_ms >= settings.silence.0;
            let due = observed
                .reported_at
                .is_none_or(|at| now.since(at) >= settings.observation_interval);
            let is_routine = role == Role::Primary && (due || !is_listed);
            if !(observed.suspected || is_routine) {
                return None;
            }
            observed.reported_at = Some(now);
            let position = observed.position.unwrap_or(Mark::default());
            let instance = self.id.clone();
            Some(Observation { service, instance, role, position, silent_ms })
        })
    }
}

impl super::observed::ObservedState {
    /// Silence of the primary in milliseconds, as announced by its replica. `None` if the
    /// announcement has expired, because it then says nothing about the primary now.
    fn announced_primary_silence(&self, now: Millis, settings: &OwnerSettings) -> Option<u64> {
        let fresh = now.since(self.announced_at?) < settings.announcement_expiry;
        fresh.then_some(self.primary_silent_ms)
    }
}
