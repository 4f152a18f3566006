//! Search of a host that is no voter for its group.

use std::collections::BTreeSet;

use crate::{
    clock::Millis,
    control::node::{Node, Output, State},
    ids::ControlId,
    wire::group::{GroupBody, GroupMessage, GroupTerm, Hello},
};

/// Number of addresses asked at a time. With 16 hosts, each is asked within 1.4 s.
const ASKED_AT_A_TIME: usize = 3;

/// Number of voters to which a host without a leader passes a hello on.
const PASSED_ON_AT_A_TIME: usize = 2;

/// Interval between two hellos to a leader that is heard. It already replicates to this host, but
/// has no place for it among the voters.
const LEADER_INTERVAL: Millis = Millis(1_000);

/// Interval between two hellos of a leader to hosts that it does not replicate to.
const SEEK_INTERVAL: Millis = Millis(1_000);

/// Time without a leader after which a voter asks to join. Its group may have removed it, and the
/// voters of its log may be gone; an election usually takes less.
const VOTER_JOIN_DELAY: Millis = Millis(2_000);

impl Node {
    /// Whether this host asks to join. An uncommitted entry that lists it may be lost with its
    /// leader, so it goes on asking until such an entry is committed.
    ///
    /// Without dynamic membership, a host that was a voter never asks: its name may belong to
    /// its replacement.
    pub(super) fn asks_to_join(&self, now: Millis) -> bool {
        if !self.was_member || !self.settings.policy.dynamic_membership {
            return !self.was_member;
        }
        let voters = self.history.at(self.commit_index);
        let waits_for_leader = self.leader.is_none();
        !voters.0.contains_key(&self.settings.id)
            || (waits_for_leader && now.since(self.leader_heard_at) >= VOTER_JOIN_DELAY)
    }

    /// Asks the leader, or the next hosts if no leader is heard, to let this one in.
    pub(super) fn ask_to_join(&mut self, now: Millis) {
        let leader = self.leader.as_ref().and_then(|id| self.address_of(id));
        let interval =
            if leader.is_some() { LEADER_INTERVAL } else { self.settings.timing.hello_interval };
        if now.since(self.hello_sent_at) < interval {
            return;
        }
        self.hello_sent_at = now;
        let addrs = leader.map_or_else(|| self.addrs_to_ask(), |addr| [addr].into());
        for addr in addrs {
            self.send_hello(addr, None, true, self.settings.seed);
        }
    }

    /// Next addresses to ask. A host that may bootstrap needs recent replies of all configured
    /// hosts.
    fn addrs_to_ask(&mut self) -> BTreeSet<String> {
        let mut addrs = BTreeSet::from_iter(self.discovery.next_addrs(ASKED_AT_A_TIME));
        if self.may_bootstrap() {
            addrs.extend(self.discovery.seeds().map(str::to_owned));
        }
        addrs
    }

    /// Passes on the hello of a host that may know only this one: to the leader, or to voters if
    /// no leader is known. It is addressed to an id, so it is not passed on again.
    pub(super) fn pass_on_hello(&mut self, from: &ControlId, term: GroupTerm, hello: &Hello) {
        for id in self.hello_receivers(from) {
            let Some(addr) = self.address_of(&id) else { continue };
            let body = GroupBody::Hello(hello.clone());
            let message = GroupMessage { from: from.clone(), to: Some(id), term, body };
            self.outputs.push(Output::Send { addr, message });
        }
    }

    fn hello_receivers(&mut self, from: &ControlId) -> Vec<ControlId> {
        let own = &self.settings.id;
        if let Some(leader) = &self.leader {
            return Some(leader).filter(|id| *id != own).cloned().into_iter().collect();
        }
        if !self.settings.policy.dynamic_membership {
            return Vec::new();
        }
        let voters = self.history.voters().map(|(id, _)| id);
        let others: BTreeSet<&ControlId> = voters.filter(|id| *id != own && *id != from).collect();
        let count = others.len().min(PASSED_ON_AT_A_TIME);
        let next = others.iter().cycle().skip(self.passed_on_hellos % others.len().max(1));
        let next = next.take(count).map(|id| (*id).clone()).collect();
        self.passed_on_hellos = self.passed_on_hellos.wrapping_add(count);
        next
    }

    /// As the leader, tells a host that it does not replicate to where the leader is. Such a host
    /// may have lost its disk or have been removed, and all addresses that it knows may be wrong.
    pub(super) fn seek_missing_hosts(&mut self, now: Millis) {
        let State::Leader(state) = &self.state else { return };
        let dynamic = self.settings.policy.dynamic_membership;
        if !dynamic || now.since(self.missing_sought_at) < SEEK_INTERVAL {
            return;
        }
        self.missing_sought_at = now;
        let followers = state.replication.hosts.values();
        let known = followers.map(|progress| self.bus_addr(&progress.member)).collect();
        if let Some(addr) = self.discovery.next_missing(&known) {
            self.send_hello(addr, None, false, self.settings.seed);
        }
    }

    /// Forgets a leader that is not heard, as a voter does when it requests pre-votes.
    pub(super) fn forget_silent_leader(&mut self, now: Millis) {
        let silence = now.since(self.leader_heard_at);
        if !self.is_voter() && silence >= self.settings.timing.election_max {
            self.leader = None;
        }
    }

    /// Replaces the configured addresses that this host asks for its group. The configured hosts
    /// that decide on the bootstrap of a group remain those of the start.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.discovery.set_seeds(seeds);
    }

    /// Remembers the address of a sender. The voters' are known from the log.
    pub(super) fn learn_sender(&mut self, from: &ControlId) {
        if self.members().0.contains_key(from) {
            return;
        }
        if let Some(addr) = self.address_of(from) {
            self.discovery.learn(&addr);
        }
    }

    /// Remembers the addresses of all voters of the log; the current ones count as learned last.
    pub(super) fn learn_voters(&mut self) {
        for (_, member) in self.history.voters() {
            let addr = self.settings.group.get(&member.name).unwrap_or(&member.bus_addr);
            self.discovery.learn(addr);
        }
    }
}
