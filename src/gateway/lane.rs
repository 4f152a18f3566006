//! Way from a session to a target: through the target's owner, or over connections of
//! this host if no owner can be used.

use std::rc::Rc;

use crate::{
    fleet::messages::Announcement,
    gateway::{
        cx::Cx,
        executor::execute,
        owner::rollback_job,
        owners::ranking,
        pool::Checkout,
        ports::Targets,
        statement::Answer,
        work::{Job, Obstacle, Work},
    },
};

/// Way to one target; it holds what a transaction needs.
pub struct Lane<T: Targets> {
    pub target: Rc<Announcement>,
    via: Via<T::Connection>,
}

enum Via<C: 'static> {
    /// Connections of this host.
    Own(Option<Checkout<C>>),
    Owner {
        addr: String,
        stream: u64,
    },
}

impl<T: Targets> Lane<T> {
    /// Way to `target`; `keeps` if a transaction may stay open on it.
    pub fn new(cx: &Cx<T>, target: Rc<Announcement>, keeps: bool) -> Self {
        let via = match owner_addr(cx, &target) {
            Some(addr) => Via::Owner { addr, stream: if keeps { cx.peers.number() } else { 0 } },
            None => Via::Own(None),
        };
        Self { target, via }
    }

    /// Executes work. Work that could not be sent to the owner is executed here.
    pub async fn run(&mut self, cx: &Cx<T>, job: &Job) -> Result<Answer, Obstacle> {
        match &mut self.via {
            Via::Own(held) => execute(cx, held, job).await,
            Via::Owner { addr, stream } => {
                let result = cx.peers.call(addr, *stream, job).await;
                let begins = matches!(job.work, Work::Begin { .. } | Work::Status);
                let may_move = begins || *stream == 0;
                if result != Err(Obstacle::Unreachable) || !may_move {
                    return result;
                }
                let mut held = None;
                let result = execute(cx, &mut held, job).await;
                self.via = Via::Own(held);
                result
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
            Via::Owner { addr, stream } => {
                if stream != 0 {
                    cx.peers.end(&addr, stream);
                }
            }
        }
    }
}

/// Address of the owner to use; `None` if it is this host.
fn owner_addr<T: Targets>(cx: &Cx<T>, target: &Announcement) -> Option<String> {
    let knowledge = cx.knowledge.borrow();
    let ranked = ranking(target, &knowledge.view.hosts);
    let usable = |addr: &str| cx.peers.is_usable(addr);
    let first = ranked.into_iter().find(|it| it.id == cx.settings.host || usable(&it.addr))?;
    (first.id != cx.settings.host).then(|| first.addr.clone())
}
