//! Formation of a group and introduction of hosts that are no voters yet.

use std::collections::BTreeMap;

use crate::{
    clock::Millis,
    control::{
        membership::MembershipHistory,
        node::{Node, Output},
    },
    ids::ControlId,
    wire::group::{GroupBody, GroupMessage, GroupTerm, Hello, Member, Members},
};

impl Node {
    /// Introduces a host that never was a voter. A removed host stays silent: its
    /// name may belong to its replacement.
    pub(super) fn introduce(&mut self, now: Millis) {
        let blank = self.is_blank() && self.settings.policy.may_bootstrap;
        let group = &self.settings.group;
        if blank && self.hello_answers.may_bootstrap(now, &self.settings.member.name, group) {
            self.form_group(now);
            return;
        }
        if now.since(self.hello_at) < self.settings.timing.hello {
            return;
        }
        self.hello_at = now;
        let others = group.iter().filter(|(name, _)| **name != self.settings.member.name);
        for addr in others.map(|(_, addr)| addr.clone()).collect::<Vec<_>>() {
            self.send_hello(addr, None, true, self.settings.seed);
        }
    }

    pub(super) fn on_hello(&mut self, now: Millis, from: ControlId, hello: Hello) {
        self.hello_answers.note(now, &hello, self.settings.seed);
        if hello.reply_requested {
            let addr = self.bus_addr(&hello.member);
            self.send_hello(addr, Some(from.clone()), false, hello.nonce);
            self.consider_learner(now, from, hello.member);
        }
    }

    /// Passes an introduction on to the leader: a joining host may know only hosts
    /// that do not lead.
    pub(super) fn forward_hello(&mut self, from: &ControlId, term: GroupTerm, hello: &Hello) {
        let Some(leader) = self.leader.clone().filter(|id| *id != self.settings.id) else { return };
        let Some(addr) = self.members().0.get(&leader).map(|member| self.bus_addr(member)) else {
            return;
        };
        let body = GroupBody::Hello(hello.clone());
        let message = GroupMessage { from: from.clone(), to: Some(leader), term, body };
        self.out.push(Output::Send { addr, message });
    }

    fn send_hello(
        &mut self,
        addr: String,
        to: Option<ControlId>,
        reply_requested: bool,
        nonce: u64,
    ) {
        let member = self.settings.member.clone();
        let body = GroupBody::Hello(Hello {
            member,
            initialized: !self.is_blank(),
            reply_requested,
            nonce,
        });
        self.send(addr, to, self.vote.term, body);
    }

    /// Forms a new group with this host as its only voter; the others join it.
    fn form_group(&mut self, now: Millis) {
        let own = (self.settings.id.clone(), self.settings.member.clone());
        self.history = MembershipHistory::new(0, Members([own].into()));
        self.forming = true;
        self.start_vote(now, &BTreeMap::new());
    }

    /// Address of a host; the settings come before the log, so that an address can
    /// be changed while the host is down.
    pub(super) fn bus_addr(&self, member: &Member) -> String {
        self.settings.group.get(&member.name).unwrap_or(&member.bus_addr).clone()
    }
}
