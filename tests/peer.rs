//! Peer connections between entry hosts: each request gets its own complete response or
//! an error.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use pomelopin::{
    adapters::peer::{
        client::{CallError, PeerClient},
        frame::{CHUNK_BYTES, Frame, FrameError, Reassembler, codec, split_message},
        handshake,
        server::{PeerService, serve},
    },
    ids::{HostId, Mark},
    keys::host::HostKey,
    wire::peer::{Outcome, PeerRequest, PeerResponse, Rows},
};
use tokio::{io::AsyncWriteExt, net::TcpListener};
use tokio_util::codec::Encoder;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn key(text: &str) -> HostKey {
    HostKey::new(text).unwrap()
}

fn shared_key() -> HostKey {
    key("0123456789abcdef")
}

fn request(session: &str) -> PeerRequest {
    PeerRequest::GetMark {
        session: session.into(),
        workspace: "alpha".into(),
        service: "ledger".into(),
    }
}

/// Responds to request `n` with position `n`, in the reverse order of the requests.
struct ReverseOrder;

impl PeerService for ReverseOrder {
    async fn handle(&self, _host: &HostId, req: PeerRequest) -> PeerResponse {
        let PeerRequest::GetMark { session, .. } = req else { return PeerResponse::Done };
        let number: u64 = session.parse().unwrap();
        tokio::time::sleep(Duration::from_millis(200 - number * 10)).await;
        PeerResponse::Mark(Some(Mark::new(1, number)))
    }
}

/// Responds with a result of several chunks.
struct LargeResult;

impl PeerService for LargeResult {
    async fn handle(&self, _host: &HostId, _req: PeerRequest) -> PeerResponse {
        let rows = vec![Bytes::from(vec![7; CHUNK_BYTES]); 20];
        PeerResponse::Executed(Outcome::Done(Rows { rows, ..Rows::default() }))
    }
}

async fn start<S: PeerService>(service: S) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve(listener, "server".into(), shared_key(), Arc::new(service)));
    addr
}

/// Guards against responses that complete the wrong request when they arrive out of
/// order.
#[tokio::test]
async fn responses_out_of_order_reach_their_requests() {
    let addr = start(ReverseOrder).await;
    let client = PeerClient::new("client".into(), shared_key());
    let calls = (0..20_u64).map(|number| {
        let (client, addr) = (client.clone(), addr.clone());
        tokio::spawn(async move {
            let response = client.call(&addr, &request(&number.to_string()), CALL_TIMEOUT).await;
            (number, response)
        })
    });
    for call in calls.collect::<Vec<_>>() {
        let (number, response) = call.await.unwrap();
        let Ok(PeerResponse::Mark(mark)) = response else { panic!("{number}: {response:?}") };
        assert_eq!(mark, Some(Mark::new(1, number)));
    }
}

/// Guards against a late response that completes a later request.
#[tokio::test]
async fn late_responses_are_dropped() {
    let addr = start(ReverseOrder).await;
    let client = PeerClient::new("client".into(), shared_key());
    let timed_out = client.call(&addr, &request("0"), Duration::from_millis(20)).await;
    assert!(matches!(timed_out, Err(CallError::Timeout)), "{timed_out:?}");
    let response = client.call(&addr, &request("5"), CALL_TIMEOUT).await;
    let Ok(PeerResponse::Mark(mark)) = response else { panic!("{response:?}") };
    assert_eq!(mark, Some(Mark::new(1, 5)));
}

/// Guards against the loss of a chunk of a large response.
#[tokio::test]
async fn large_responses_are_complete() {
    let addr = start(LargeResult).await;
    let client = PeerClient::new("client".into(), shared_key());
    let response = client.call(&addr, &request("1"), CALL_TIMEOUT).await;
    let Ok(PeerResponse::Executed(Outcome::Done(rows))) = response else { panic!("{response:?}") };
    assert_eq!(rows.rows.iter().map(Bytes::len).sum::<usize>(), 20 * CHUNK_BYTES);
}

/// Guards against a truncated response that counts as a success.
#[tokio::test]
async fn truncated_response_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        handshake::accept(&mut stream, &shared_key(), &"server".into()).await.unwrap();
        let frame = Frame { id: 1, last: false, payload: Bytes::from(vec![0; 100]) };
        let mut buf = bytes::BytesMut::new();
        codec().encode(frame.encode(), &mut buf).unwrap();
        stream.write_all(&buf).await.unwrap();
    });
    let client = PeerClient::new("client".into(), shared_key());
    let response = client.call(&addr, &request("1"), CALL_TIMEOUT).await;
    assert!(matches!(response, Err(CallError::Lost)), "{response:?}");
}

/// Guards against access by hosts that lack the shared key.
#[tokio::test]
async fn hosts_with_another_key_are_rejected() {
    let addr = start(ReverseOrder).await;
    let client = PeerClient::new("client".into(), key("another key of a host"));
    let response = client.call(&addr, &request("1"), CALL_TIMEOUT).await;
    assert!(matches!(response, Err(CallError::NotSent)), "{response:?}");
}

/// Guards against messages that are mixed up when their frames are interleaved.
#[test]
fn interleaved_messages_are_reassembled() {
    let body = |byte: u8| Bytes::from(vec![byte; CHUNK_BYTES * 2 + 5]);
    let (first, second): (Vec<_>, Vec<_>) =
        (split_message(1, body(1)).collect(), split_message(2, body(2)).collect());
    let mut reassembler = Reassembler::default();
    let mut complete = Vec::new();
    for (a, b) in first.into_iter().zip(second) {
        for frame in [a, b] {
            let frame = Frame::decode(frame.encode()).unwrap();
            complete.extend(reassembler.push(frame).unwrap());
        }
    }
    assert_eq!(complete, [(1, body(1)), (2, body(2))]);
    assert_eq!(Frame::decode(Bytes::from_static(b"short")), Err(FrameError::TooShort(5)));
}
