//! Handling of requests from other entry hosts.

use std::sync::Arc;

use super::cx::Cx;
use crate::{
    adapters::peer::server::PeerService,
    ids::HostId,
    session::marks::MarkKey,
    wire::peer::{PeerRequest, PeerResponse},
};

/// Handler of requests from other entry hosts.
pub struct EntryPeerService {
    pub cx: Arc<Cx>,
}

impl PeerService for EntryPeerService {
    async fn handle(&self, _host: &HostId, req: PeerRequest) -> PeerResponse {
        match req {
            PeerRequest::Execute(req) => PeerResponse::Executed(self.cx.execute_here(*req).await),
            PeerRequest::Describe { instance, epoch, sql } => {
                PeerResponse::Described(self.cx.owner.describe(&instance, epoch, &sql).await)
            }
            PeerRequest::Cancel { transaction } => {
                self.cx.owner.cancel(&transaction);
                PeerResponse::Done
            }
            PeerRequest::Announce(announcement) => {
                self.cx.owner.handle_announcement(announcement);
                PeerResponse::Done
            }
            PeerRequest::Grant(req) => PeerResponse::Granted(self.cx.grant(&req)),
            PeerRequest::PutMark { session, workspace, service, mark } => {
                self.cx.raise_stored_mark(&MarkKey { workspace, session, service }, mark);
                PeerResponse::Done
            }
            PeerRequest::GetMark { session, workspace, service } => {
                PeerResponse::Mark(self.cx.stored_mark(&MarkKey { workspace, session, service }))
            }
        }
    }
}
