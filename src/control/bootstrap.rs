//! Bootstrap of a group and discovery of hosts that are not voters yet.

use std::collections::BTreeMap;

use crate::{
    clock::Millis,
    control::{membership::MembershipHistory, node::Node},
    ids::ControlId,
    wire::group::{GroupBody, Hello, Member, Members},
};

impl Node {
    /// Bootstraps the group if this host may do so, and otherwise asks other hosts to let it in.
    pub(super) fn join_or_bootstrap(&mut self, now: Millis) {
        let group = &self.settings.group;
        if self.may_bootstrap()
            && self.hello_replies.may_bootstrap(now, &self.settings.member.name, group)
        {
            self.bootstrap_group(now);
            return;
        }
        self.ask_to_join(now);
    }

    /// Whether this host creates the group if all configured hosts have no log either.
    pub(super) fn may_bootstrap(&self) -> bool {
        self.is_uninitialized() && self.settings.policy.may_bootstrap
    }

    pub(super) fn on_hello(&mut self, now: Millis, from: ControlId, hello: Hello) {
        self.hello_replies.record(now, &hello, self.settings.seed);
        if hello.reply_requested {
            let addr = self.bus_addr(&hello.member);
            self.send_hello(addr, Some(from.clone()), false, hello.nonce);
            self.maybe_add_learner(now, from, hello.member);
        }
    }

    pub(super) fn send_hello(
        &mut self,
        addr: String,
        to: Option<ControlId>,
        reply_requested: bool,
        nonce: u64,
    ) {
        let member = self.settings.member.clone();
        let body = GroupBody::Hello(Hello {
            member,
            initialized: !self.is_uninitialized(),
            reply_requested,
            nonce,
        });
        self.send(addr, to, self.vote.term, body);
    }

    /// Creates a group with this host as its only voter; the other hosts join it.
    fn bootstrap_group(&mut self, now: Millis) {
        let own = (self.settings.id.clone(), self.settings.member.clone());
        self.history = MembershipHistory::new(0, Members([own].into()));
        self.bootstrapping = true;
        self.start_election(now, &BTreeMap::new());
    }

    /// Bus address of a host. The settings take precedence over the log, so that an
    /// address can be changed while the host is down.
    pub(super) fn bus_addr(&self, member: &Member) -> String {
        self.settings.group.get(&member.name).unwrap_or(&member.bus_addr).clone()
    }
}
