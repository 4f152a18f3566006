//! Handling of malformed messages and unsupported statements.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::cluster::{Cluster, expect_error, run};

/// Longest time until the host closes the connection after a malformed message.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time until the host closes a connection without a startup message.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(13);

/// Startup message for the user `open`.
fn startup() -> Vec<u8> {
    let parameters = b"user\0open\0database\0returns\0\0";
    let length = u32::try_from(8 + parameters.len()).unwrap();
    [&length.to_be_bytes()[..], &196_608_u32.to_be_bytes(), parameters].concat()
}

/// Reads until the host closes the connection.
async fn until_closed(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let closed = timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    closed.expect("the connection is still open").unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against a host that buffers messages of any declared length, and against
/// malformed messages that affect other connections.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_message_closes_only_its_connection() {
    let cluster = Cluster::start().await;
    let cases: [(&str, Vec<u8>, &str); 3] = [
        ("query of 512 MiB", [&b"Q"[..], &(512_u32 << 20).to_be_bytes(), b"SEL"].concat(), "08P01"),
        (
            "query above the limit",
            [&b"Q"[..], &((16_u32 << 20) + 1).to_be_bytes()].concat(),
            "08P01",
        ),
        (
            "connection closed within a message",
            [&b"Q"[..], &100_u32.to_be_bytes(), b"SELECT"].concat(),
            "",
        ),
    ];
    for (name, message, expected) in cases {
        let mut stream = TcpStream::connect(cluster.entries[0].caller).await.unwrap();
        stream.write_all(&startup()).await.unwrap();
        stream.write_all(&message).await.unwrap();
        if expected.is_empty() {
            stream.shutdown().await.unwrap();
        }
        let answer = until_closed(&mut stream).await;
        assert!(answer.contains(expected), "{name}: {answer:?}");
    }
    let client = cluster.connect(0, "alpha").await;
    run(&client, "SELECT id FROM bookings").await.unwrap();
}

/// Guards against clients that occupy connections indefinitely without a login.
#[tokio::test(flavor = "multi_thread")]
async fn connection_without_complete_startup_is_closed() {
    let cluster = Cluster::start().await;
    let half = startup()[..12].to_vec();
    let mut streams = Vec::new();
    for sent in [Vec::new(), half] {
        let mut stream = TcpStream::connect(cluster.entries[0].caller).await.unwrap();
        stream.write_all(&sent).await.unwrap();
        streams.push(stream);
    }
    for stream in &mut streams {
        let closed = timeout(STARTUP_TIMEOUT, stream.read_to_end(&mut Vec::new())).await;
        assert_eq!(closed.expect("the connection is still open").unwrap(), 0);
    }
}

/// Guards against refused statements that close the connection.
#[tokio::test(flavor = "multi_thread")]
async fn connection_stays_usable_after_refused_statements() {
    let cluster = Cluster::start().await;
    let client = cluster.connect(0, "alpha").await;
    let cases = [
        ("CREATE TABLE t (id text)", "0A000"),
        ("SELECT id FROM bookings; SELECT id FROM bookings", "0A000"),
        ("SELECT id FROM bookings, credits", "0A000"),
        ("SELECT id FROM pomelopin_requests", "0A000"),
        ("SELEC id FROM bookings", "42601"),
        ("SELECT id FROM absent", "42501"),
    ];
    for (sql, expected) in cases {
        assert_eq!(expect_error(&client, sql).await, expected, "{sql}");
        let error = client.query(sql, &[]).await.unwrap_err();
        assert_eq!(crate::cluster::code(&error), expected, "{sql}");
        assert_eq!(run(&client, "SELECT id FROM bookings").await.unwrap(), [""; 0], "{sql}");
    }
}
