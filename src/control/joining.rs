//! Search of a host that is no voter for its group.

use std::collections::BTreeSet;

use crate::{clock::Millis, control::node::Node, ids::ControlId};

/// Number of addresses asked at a time. With 16 hosts, each is asked within 1.4 s.
const ASKED_AT_A_TIME: usize = 3;

/// Time without a leader after which a voter asks to join. Its group may have removed it, and the
/// voters of its log may be gone; an election usually takes less.
const VOTER_PATIENCE: Millis = Millis(2_000);

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
            || (waits_for_leader && now.since(self.leader_heard_at) >= VOTER_PATIENCE)
    }

    /// Asks the next hosts to let this one in.
    pub(super) fn ask_to_join(&mut self, now: Millis) {
        if now.since(self.hello_sent_at) < self.settings.timing.hello_interval {
            return;
        }
        self.hello_sent_at = now;
        for addr in self.addrs_to_ask() {
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
