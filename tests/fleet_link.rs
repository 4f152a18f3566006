//! Connections between the hosts of a fleet.

use std::io::ErrorKind;

use pomelopin::fleet::link::discard_on_close;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
};

/// Writes to `stream` until its peer, which does not read, blocks it; returns the bytes written.
async fn fill(stream: &TcpStream) -> std::io::Result<usize> {
    let chunk = vec![0; 64 * 1024];
    let mut written = 0;
    loop {
        stream.writable().await?;
        match stream.try_write(&chunk) {
            Ok(count) => written += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(written),
            Err(error) => return Err(error),
        }
    }
}

/// Guards against statements that reach a target long after their sender gave them up: the system
/// goes on sending what a closed connection holds.
#[tokio::test]
async fn bytes_of_an_abandoned_connection_are_not_delivered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (mut accepted, _) = listener.accept().await.unwrap();
    let written = fill(&stream).await.unwrap();
    discard_on_close(&stream);
    let (reader, writer) = stream.into_split();
    drop((writer, reader));
    let (mut received, mut buf) = (0, vec![0; 64 * 1024]);
    let end = loop {
        match accepted.read(&mut buf).await {
            Ok(0) => break None,
            Ok(count) => received += count,
            Err(error) => break Some(error.kind()),
        }
    };
    assert!(received < written, "all {written} bytes were delivered");
    assert_eq!(end, Some(ErrorKind::ConnectionReset));
}
