//! Server side of peer connections.

use std::{future::Future, sync::Arc};

use bytes::Bytes;
use eyre::Result;
use futures::{SinkExt, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
};
use tokio_util::codec::Framed;

use super::{
    frame::{Frame, Reassembler, codec, split_message},
    handshake,
};
use crate::{
    ids::HostId,
    keys::host::HostKey,
    wire::peer::{PeerRequest, PeerResponse},
};

/// Capacity of the queue to the writer of one connection.
const QUEUED_RESPONSES: usize = 4096;

/// Handler of requests from other entry hosts.
pub trait PeerService: Send + Sync + 'static {
    /// Runs `req`, which was sent by `host`.
    fn handle(&self, host: &HostId, req: PeerRequest) -> impl Future<Output = PeerResponse> + Send;
}

/// Accepts peer connections until the listener fails.
pub async fn serve<S: PeerService>(
    listener: TcpListener,
    host: HostId,
    key: HostKey,
    service: Arc<S>,
) -> Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        let (host, key, service) = (host.clone(), key.clone(), service.clone());
        tokio::spawn(async move {
            if let Err(error) = serve_connection(stream, &host, &key, service).await {
                spdlog::debug!("peer connection ended: {error}");
            }
        });
    }
}

async fn serve_connection<S: PeerService>(
    mut stream: TcpStream,
    host: &HostId,
    key: &HostKey,
    service: Arc<S>,
) -> Result<()> {
    stream.set_nodelay(true)?;
    let peer = handshake::accept(&mut stream, key, host).await?;
    let (mut sink, mut source) = Framed::new(stream, codec()).split();
    let (tx, mut rx) = mpsc::channel::<(u64, Bytes)>(QUEUED_RESPONSES);
    let writer = async move {
        while let Some((id, body)) = rx.recv().await {
            for frame in split_message(id, body) {
                sink.feed(frame.encode()).await?;
            }
            if rx.is_empty() {
                sink.flush().await?;
            }
        }
        Ok::<_, std::io::Error>(())
    };
    let reader = async {
        let mut reassembler = Reassembler::default();
        while let Some(buf) = source.next().await {
            let frame = Frame::decode(buf?.freeze())?;
            if let Some((id, body)) = reassembler.push(frame)? {
                let req = postcard::from_bytes(&body)?;
                spawn_request(id, req, peer.clone(), service.clone(), tx.clone());
            }
        }
        Ok::<_, eyre::Report>(())
    };
    tokio::select! {
        result = writer => result?,
        result = reader => result?,
    }
    Ok(())
}

/// Handles one request in its own task, so that slow statements do not delay others. A
/// request whose connection is lost still runs to completion.
fn spawn_request<S: PeerService>(
    id: u64,
    req: PeerRequest,
    peer: HostId,
    service: Arc<S>,
    tx: mpsc::Sender<(u64, Bytes)>,
) {
    tokio::spawn(async move {
        let response = service.handle(&peer, req).await;
        match postcard::to_stdvec(&response) {
            Ok(body) => {
                let _ = tx.send((id, body.into())).await;
            }
            Err(error) => spdlog::error!("cannot encode a response to host {peer}: {error}"),
        }
    });
}
