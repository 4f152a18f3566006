//! Answers to requests of other entry hosts.

use std::sync::Arc;

use super::cx::Cx;
use crate::{
    adapters::peer::server::PeerService,
    ids::HostId,
    session::marks::MarkKey,
    wire::peer::{PeerAnswer, PeerRequest},
};

/// Service of this host for other entry hosts.
pub struct EntryPeerService {
    pub cx: Arc<Cx>,
}

impl PeerService for EntryPeerService {
    async fn answer(&self, _host: &HostId, req: PeerRequest) -> PeerAnswer {
        match req {
            PeerRequest::Execute(req) => PeerAnswer::Executed(self.cx.execute_here(*req).await),
            PeerRequest::Describe { instance, epoch, sql } => {
                PeerAnswer::Described(self.cx.owner.describe(&instance, epoch, &sql).await)
            }
            PeerRequest::Cancel { transaction } => {
                self.cx.owner.cancel(&transaction);
                PeerAnswer::Done
            }
            PeerRequest::Announce(announcement) => {
                self.cx.owner.announce(announcement);
                PeerAnswer::Done
            }
            PeerRequest::Grant(req) => PeerAnswer::Granted(self.cx.grant(&req)),
            PeerRequest::PutMark { session, workspace, service, mark } => {
                self.cx.keep_mark(&MarkKey { workspace, session, service }, mark);
                PeerAnswer::Done
            }
            PeerRequest::GetMark { session, workspace, service } => {
                PeerAnswer::Mark(self.cx.stored_mark(&MarkKey { workspace, session, service }))
            }
        }
    }
}
