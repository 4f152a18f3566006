//! Way from a session to a target: through the target's owner, or over connections of
//! this host if no owner can be used.

use std::{borrow::Cow, rc::Rc};

use crate::{
    clock::Millis,
    fleet::messages::{Announcement, EntryHost},
    gateway::{
        cx::Cx,
        executor::execute,
        job::{Job, JobError, JobKind},
        ownership::OwnerSelection,
        peer_server::rollback_job,
        pool::Checkout,
        ports::Targets,
        statement::Answer,
    },
    ids::HostId,
};

/// Ways that are tried for one piece of work; each may cost the time of a connection
/// attempt.
const MOST_WAYS: usize = 3;

/// Way to one target; it holds what a transaction needs.
pub struct TargetClient<T: Targets> {
    pub target: Rc<Announcement>,
    keeps: bool,
    via: Via<T::Connection>,
}

enum Via<C: 'static> {
    /// Connections of this host.
    Own(Option<Checkout<C>>),
    Owner {
        host: EntryHost,
        stream: u64,
    },
}

impl<T: Targets> TargetClient<T> {
    /// Way to `target`; `keeps` if a transaction may stay open on it.
    pub fn new(cx: &Cx<T>, target: Rc<Announcement>, keeps: bool) -> Self {
        let via = choose(cx, &target, keeps, &[]);
        Self { target, keeps, via }
    }

    /// Executes work. Work that nobody has sent to the target takes another way.
    pub async fn run(&mut self, cx: &Cx<T>, job: &Job) -> Result<Answer, JobError> {
        let began = cx.now();
        let mut tried: Vec<HostId> = Vec::new();
        let limit = job.limit;
        let mut job = Cow::Borrowed(job);
        loop {
            let result = match &mut self.via {
                Via::Own(held) => execute(cx, held, &job).await,
                Via::Owner { host, stream } => cx.peers.call(&host.addr, *stream, &job).await,
            };
            let begins = matches!(job.work, JobKind::Begin { .. } | JobKind::Status);
            let may_move = begins || !self.keeps;
            if result != Err(JobError::Unreachable) || !may_move {
                return result;
            }
            tried.push(self.note_failure(cx));
            let left = limit.since(cx.now().since(began));
            if tried.len() == MOST_WAYS || left == Millis(0) {
                return result;
            }
            job.to_mut().limit = left;
            self.via = choose(cx, &self.target, self.keeps, &tried);
            if matches!(self.via, Via::Own(_)) && tried.contains(&cx.settings.host) {
                return result;
            }
        }
    }

    /// Notes that the present way does not lead to the target; returns its host.
    fn note_failure(&self, cx: &Cx<T>) -> HostId {
        match &self.via {
            Via::Own(_) => cx.settings.host.clone(),
            Via::Owner { host, .. } => {
                cx.owners.borrow_mut().block(cx.now(), &self.target.id, &host.id);
                host.id.clone()
            }
        }
    }

    /// Rolls back and gives the connection back.
    pub async fn end(self, cx: &Cx<T>) {
        match self.via {
            Via::Own(mut held @ Some(_)) => {
                // A connection that does not answer is closed when it is dropped.
                let _ = execute(cx, &mut held, &rollback_job(self.target.id.clone())).await;
            }
            Via::Own(None) => {}
            Via::Owner { host, stream } => {
                if stream != 0 {
                    cx.peers.end(&host.addr, stream);
                }
            }
        }
    }
}

/// Way to use next; hosts in `tried` are left out.
fn choose<T: Targets>(
    cx: &Cx<T>,
    target: &Announcement,
    keeps: bool,
    tried: &[HostId],
) -> Via<T::Connection> {
    let now = cx.now();
    let ranked = cx.topology.borrow_mut().ranked(target);
    let reaches = cx.paths.borrow().is_usable(now, &target.id);
    let owners = cx.owners.borrow();
    let (own, target) = (&cx.settings.host, &target.id);
    let choice = OwnerSelection { now, target, own, reaches, owners: &owners, tried };
    match choice.choose(&ranked, |host| cx.peers.is_usable(&host.addr)) {
        Some(host) => {
            let stream = if keeps { cx.peers.number() } else { 0 };
            Via::Owner { host: host.clone(), stream }
        }
        None => Via::Own(None),
    }
}
