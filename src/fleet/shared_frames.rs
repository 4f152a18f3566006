//! Encoded frames that the leader sends to all hosts. Each is encoded once: encoding and
//! compressing them for hundreds of hosts would delay heartbeats.

use bytes::Bytes;

use crate::fleet::{
    link::encode,
    messages::{ConfigDocument, FleetView, Frame, HostUpdate, LimitUpdate, ViewRevision},
};

/// Frames with the newest view and configuration.
#[derive(Debug, Default)]
pub struct SharedFrames {
    view: Option<(ViewRevision, Bytes)>,
    config: Option<(u64, Bytes)>,
}

impl SharedFrames {
    /// Frame with `view`.
    pub fn view(&mut self, view: &FleetView) -> Bytes {
        if let Some((revision, frame)) = &self.view
            && *revision == view.revision
        {
            return frame.clone();
        }
        let frame = encode_shared(HostUpdate { view: Some(view.clone()), ..HostUpdate::default() });
        self.view = Some((view.revision, frame.clone()));
        frame
    }

    /// Frame with `config`.
    pub fn config(&mut self, config: &ConfigDocument) -> Bytes {
        if let Some((version, frame)) = &self.config
            && *version == config.version
        {
            return frame.clone();
        }
        let update = HostUpdate { config: Some(config.clone()), ..HostUpdate::default() };
        let frame = encode_shared(update);
        self.config = Some((config.version, frame.clone()));
        frame
    }
}

/// Encodes an update that extends no lease and leaves the allocations as they are.
fn encode_shared(update: HostUpdate) -> Bytes {
    let limits = Some(LimitUpdate::default());
    encode(&Frame::Update(HostUpdate { limits, ..update }))
}
