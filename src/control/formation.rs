//! Formation of a group and introduction of hosts that are no voters yet.

use crate::{
    clock::Millis,
    control::{membership::MembersHistory, node::Node},
    ids::ControlId,
    wire::group::{GroupBody, Hello, Members},
};

impl Node {
    /// Introduces a host that never was a voter. A removed host stays silent: its
    /// name may belong to its replacement.
    pub(super) fn introduce(&mut self, now: Millis) {
        let blank = self.is_blank();
        let group = &self.settings.group;
        if blank && self.introductions.may_form(now, &self.settings.member.name, group) {
            self.form_group(now);
            return;
        }
        if now.since(self.hello_at) < self.settings.timing.hello {
            return;
        }
        self.hello_at = now;
        let others = group.iter().filter(|(name, _)| **name != self.settings.member.name);
        for addr in others.map(|(_, addr)| addr.clone()).collect::<Vec<_>>() {
            self.send_hello(addr, None, true);
        }
    }

    pub(super) fn on_hello(&mut self, now: Millis, from: ControlId, hello: Hello) {
        self.introductions.note(now, &hello);
        if hello.answer {
            self.send_hello(hello.member.bus_addr.clone(), Some(from.clone()), false);
            self.consider_learner(now, from, hello.member);
        }
    }

    fn send_hello(&mut self, addr: String, to: Option<ControlId>, answer: bool) {
        let member = self.settings.member.clone();
        let body = GroupBody::Hello(Hello { member, initialized: !self.is_blank(), answer });
        self.send(addr, to, self.vote.term, body);
    }

    /// Forms a new group with this host as its only voter; the others join it.
    fn form_group(&mut self, now: Millis) {
        let own = (self.settings.id.clone(), self.settings.member.clone());
        self.history = MembersHistory::new(0, Members([own].into()));
        self.forming = true;
        self.start_vote(now);
    }
}
