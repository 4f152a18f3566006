//! Notices to other hosts of commits that this host is about to acknowledge. Commits of a service
//! that wait for the same host at the same time share a notice, which holds the newest one.

use std::{cell::RefCell, rc::Rc, time::Duration};

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::messages::{CommitNotice, EntryHost},
    gateway::{commit_witness::rank_witnesses, cx::Cx, ports::Targets, proof_rounds::Rounds},
    ids::{InstanceId, Mark, Service},
};

/// Hosts that are tried for one commit before it counts as known to no other host.
const MAX_WITNESSES: usize = 2;

/// Longest wait for the answer to a notice: a healthy host answers within a round trip.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(100);

/// Notices by the address of the host and the service.
type NoticeRounds = IndexMap<(String, Service), Rc<Rounds<bool>>>;

/// Notices under way and due.
#[derive(Default)]
pub struct CommitNotices {
    /// Newest commit of each service that is about to be acknowledged.
    newest: RefCell<IndexMap<Service, Mark>>,
    rounds: RefCell<NoticeRounds>,
}

impl CommitNotices {
    fn announce(&self, service: &Service, position: Mark) {
        let mut all = self.newest.borrow_mut();
        let newest = all.entry(service.clone()).or_default();
        *newest = (*newest).max(position);
    }

    fn newest(&self, service: &Service) -> Mark {
        self.newest.borrow().get(service).copied().unwrap_or_default()
    }

    fn rounds(&self, addr: &str, service: &Service) -> Rc<Rounds<bool>> {
        let key = (addr.to_owned(), service.clone());
        let mut rounds = self.rounds.borrow_mut();
        rounds.entry(key).or_insert_with(|| Rc::new(Rounds::new(Millis(0)))).clone()
    }

    /// Forgets hosts that are not in `hosts`.
    pub fn retain_hosts(&self, hosts: &[EntryHost]) {
        self.rounds.borrow_mut().retain(|(addr, _), _| hosts.iter().any(|it| it.addr == *addr));
    }
}

impl<T: Targets> Cx<T> {
    /// Hosts to tell of a commit at `committed_by`, in the order in which they are tried.
    pub fn usable_witnesses(&self, committed_by: &InstanceId) -> Vec<EntryHost> {
        let topology = self.topology.borrow();
        let primary = topology.target(committed_by);
        let domain = primary.as_ref().map(|target| &target.domain);
        let (own, own_domain) = (&self.settings.host, &self.settings.domain);
        let ranked = rank_witnesses(&topology.view.hosts, own, own_domain, domain);
        let usable = ranked.into_iter().filter(|host| self.peers.is_usable(&host.addr));
        usable.take(MAX_WITNESSES).cloned().collect()
    }

    /// Tells `host` of a commit that is about to be acknowledged; returns whether it has answered.
    pub async fn tell_commit(&self, host: &EntryHost, service: &Service, position: Mark) -> bool {
        self.commit_notices.announce(service, position);
        let rounds = self.commit_notices.rounds(&host.addr, service);
        let tell = || async {
            let position = self.commit_notices.newest(service);
            let notice = CommitNotice { service: service.clone(), position };
            let told = self.peers.tell_commit(&host.addr, notice);
            tokio::time::timeout(NOTICE_TIMEOUT, told).await.unwrap_or(false)
        };
        rounds.next(|| self.now(), tell).await
    }
}
