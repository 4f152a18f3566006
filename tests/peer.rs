//! Link between entry hosts: each answer reaches its own request, whole or not at all.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use pomelopin::{
    adapters::peer::{
        client::{CallError, PeerClient},
        frame::{CHUNK_BYTES, Frame, FrameError, Reassembly, codec, split},
        handshake,
        server::{PeerService, serve},
    },
    ids::{HostId, Mark},
    keys::host::HostKey,
    wire::peer::{Outcome, PeerRequest, PeerResponse, Rows},
};
use tokio::{io::AsyncWriteExt, net::TcpListener};
use tokio_util::codec::Encoder;

const LIMIT: Duration = Duration::from_secs(5);

fn key(text: &str) -> HostKey {
    HostKey::new(text).unwrap()
}

fn good_key() -> HostKey {
    key("0123456789abcdef")
}

fn request(session: &str) -> PeerRequest {
    PeerRequest::GetMark {
        session: session.into(),
        workspace: "alpha".into(),
        service: "ledger".into(),
    }
}

/// Answers request `n` with position `n`, the earlier ones later.
struct Reversed;

impl PeerService for Reversed {
    async fn answer(&self, _host: &HostId, req: PeerRequest) -> PeerResponse {
        let PeerRequest::GetMark { session, .. } = req else { return PeerResponse::Done };
        let number: u64 = session.parse().unwrap();
        tokio::time::sleep(Duration::from_millis(200 - number * 10)).await;
        PeerResponse::Mark(Some(Mark::new(1, number)))
    }
}

/// Answers with a result of several chunks.
struct Large;

impl PeerService for Large {
    async fn answer(&self, _host: &HostId, _req: PeerRequest) -> PeerResponse {
        let rows = vec![Bytes::from(vec![7; CHUNK_BYTES]); 20];
        PeerResponse::Executed(Outcome::Done(Rows { rows, ..Rows::default() }))
    }
}

async fn start<S: PeerService>(service: S) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve(listener, "server".into(), good_key(), Arc::new(service)));
    addr
}

/// Guards against answers that are handed to another request when they overtake
/// each other.
#[tokio::test]
async fn crossed_answers_reach_their_own_requests() {
    let addr = start(Reversed).await;
    let client = PeerClient::new("client".into(), good_key());
    let calls = (0..20_u64).map(|number| {
        let (client, addr) = (client.clone(), addr.clone());
        tokio::spawn(async move {
            let answer = client.call(&addr, &request(&number.to_string()), LIMIT).await;
            (number, answer)
        })
    });
    for call in calls.collect::<Vec<_>>() {
        let (number, answer) = call.await.unwrap();
        let Ok(PeerResponse::Mark(mark)) = answer else { panic!("{number}: {answer:?}") };
        assert_eq!(mark, Some(Mark::new(1, number)));
    }
}

/// Guards against a late answer that completes a later request.
#[tokio::test]
async fn late_answers_are_dropped() {
    let addr = start(Reversed).await;
    let client = PeerClient::new("client".into(), good_key());
    let early = client.call(&addr, &request("0"), Duration::from_millis(20)).await;
    assert!(matches!(early, Err(CallError::Timeout)), "{early:?}");
    let answer = client.call(&addr, &request("5"), LIMIT).await;
    let Ok(PeerResponse::Mark(mark)) = answer else { panic!("{answer:?}") };
    assert_eq!(mark, Some(Mark::new(1, 5)));
}

#[tokio::test]
async fn large_answers_arrive_whole() {
    let addr = start(Large).await;
    let client = PeerClient::new("client".into(), good_key());
    let answer = client.call(&addr, &request("1"), LIMIT).await;
    let Ok(PeerResponse::Executed(Outcome::Done(rows))) = answer else { panic!("{answer:?}") };
    assert_eq!(rows.rows.iter().map(Bytes::len).sum::<usize>(), 20 * CHUNK_BYTES);
}

/// Guards against a partial answer that counts as a success.
#[tokio::test]
async fn an_answer_that_breaks_off_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        handshake::accept(&mut stream, &good_key(), &"server".into()).await.unwrap();
        let frame = Frame { id: 1, last: false, payload: Bytes::from(vec![0; 100]) };
        let mut buf = bytes::BytesMut::new();
        codec().encode(frame.encode(), &mut buf).unwrap();
        stream.write_all(&buf).await.unwrap();
    });
    let client = PeerClient::new("client".into(), good_key());
    let answer = client.call(&addr, &request("1"), LIMIT).await;
    assert!(matches!(answer, Err(CallError::Lost)), "{answer:?}");
}

/// Guards against hosts without the shared key.
#[tokio::test]
async fn hosts_with_another_key_are_refused() {
    let addr = start(Reversed).await;
    let client = PeerClient::new("client".into(), key("another key of a host"));
    let answer = client.call(&addr, &request("1"), LIMIT).await;
    assert!(matches!(answer, Err(CallError::NotSent)), "{answer:?}");
}

#[test]
fn frames_of_interleaved_messages_are_kept_apart() {
    let body = |byte: u8| Bytes::from(vec![byte; CHUNK_BYTES * 2 + 5]);
    let (first, second): (Vec<_>, Vec<_>) =
        (split(1, body(1)).collect(), split(2, body(2)).collect());
    let mut reassembly = Reassembly::default();
    let mut complete = Vec::new();
    for (a, b) in first.into_iter().zip(second) {
        for frame in [a, b] {
            let frame = Frame::decode(frame.encode()).unwrap();
            complete.extend(reassembly.push(frame).unwrap());
        }
    }
    assert_eq!(complete, [(1, body(1)), (2, body(2))]);
    assert_eq!(Frame::decode(Bytes::from_static(b"short")), Err(FrameError::TooShort(5)));
}
