//! Message bus: authenticated delivery, in order and at most once.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

use pomelopin::{
    adapters::bus::{Bus, BusSettings, InboundMessage, MAX_MESSAGE_BYTES},
    ids::Incarnation,
    keys::host::HostKey,
};
use tokio::{sync::mpsc::Receiver, time::timeout};

const KEY: &str = "key of this deployment";

fn bus(name: &str, incarnation: u64, key: &str) -> (Bus, Receiver<InboundMessage>) {
    Bus::bind(BusSettings {
        listen: "127.0.0.1:0".to_owned(),
        name: name.to_owned(),
        incarnation: Incarnation(incarnation),
        key: HostKey::new(key).unwrap(),
    })
    .unwrap()
}

async fn next(rx: &mut Receiver<InboundMessage>) -> InboundMessage {
    timeout(Duration::from_secs(5), rx.recv()).await.unwrap().unwrap()
}

async fn wait_for_counter(counter: &AtomicU64, expected: u64) {
    for _ in 0..500 {
        if counter.load(Relaxed) >= expected {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("counter is {}, expected {expected}", counter.load(Relaxed));
}

/// Guards against reordered messages and against a wrong sender.
#[tokio::test]
async fn messages_arrive_in_order_with_their_sender() {
    let (receiver, mut rx) = bus("receiver", 1, KEY);
    let (sender, _rx) = bus("sender", 7, KEY);
    for number in 0..5_u8 {
        sender.send(receiver.local_addr(), &[number]);
    }
    for number in 0..5_u8 {
        let inbound = next(&mut rx).await;
        assert_eq!(&inbound.body[..], &[number]);
        assert_eq!((inbound.from.as_str(), inbound.incarnation), ("sender", Incarnation(7)));
    }
}

/// Guards against the delivery of messages from processes without the key, from replaced
/// processes and with a repeated sequence number.
#[tokio::test]
async fn forged_outdated_and_repeated_messages_are_dropped() {
    let (receiver, mut rx) = bus("receiver", 1, KEY);
    let (forger, _a) = bus("sender", 9, "key of another deployment");
    let (current, _b) = bus("sender", 2, KEY);
    let (replaced, _c) = bus("sender", 1, KEY);
    let (duplicate, _d) = bus("sender", 2, KEY);
    forger.send(receiver.local_addr(), b"forged");
    wait_for_counter(&receiver.counters().forged, 1).await;
    current.send(receiver.local_addr(), b"first");
    current.send(receiver.local_addr(), b"second");
    assert_eq!(&next(&mut rx).await.body[..], b"first");
    assert_eq!(&next(&mut rx).await.body[..], b"second");
    replaced.send(receiver.local_addr(), b"outdated");
    wait_for_counter(&receiver.counters().outdated, 1).await;
    duplicate.send(receiver.local_addr(), b"repeated sequence");
    wait_for_counter(&receiver.counters().repeated, 1).await;
    assert!(rx.try_recv().is_err());
}

/// Guards against unbounded memory use while a destination is down.
#[tokio::test]
async fn messages_to_absent_listener_are_dropped() {
    let (sender, _rx) = bus("sender", 1, KEY);
    for _ in 0..100 {
        sender.send("127.0.0.1:9", b"lost");
    }
    assert!(sender.counters().unsent.load(Relaxed) >= 90);
    sender.send("127.0.0.1:9", &vec![0; MAX_MESSAGE_BYTES]);
    assert_eq!(sender.counters().oversized.load(Relaxed), 1);
}

/// Guards against a sender that does not reconnect after the listener restarts.
#[tokio::test]
async fn sender_reconnects_to_restarted_listener() {
    let (first, mut rx) = bus("receiver", 1, KEY);
    let addr = first.local_addr().to_owned();
    let (sender, _rx) = bus("sender", 1, KEY);
    sender.send(&addr, b"before");
    next(&mut rx).await;
    drop((first, rx));
    let settings = BusSettings {
        listen: addr.clone(),
        name: "receiver".to_owned(),
        incarnation: Incarnation(2),
        key: HostKey::new(KEY).unwrap(),
    };
    let (_second, mut rx) = Bus::bind(settings).unwrap();
    for _ in 0..100 {
        sender.send(&addr, b"after");
        if timeout(Duration::from_millis(50), rx.recv()).await.is_ok() {
            return;
        }
    }
    panic!("no message arrived after the restart");
}
