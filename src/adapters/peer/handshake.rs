//! Mutual proof of the shared host key at the start of a peer connection.
//!
//! Each side sends a random nonce; the proof is an HMAC over the side's role, its
//! name and both nonces, so that a recorded handshake is useless later.

use std::time::Duration;

use eyre::{Result, bail, eyre};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::{ids::HostId, keys::host::HostKey};

/// Time for the whole handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

const MAX_MESSAGE_BYTES: usize = 1024;

type Nonce = [u8; 32];

#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    host: HostId,
    nonce: Nonce,
}

#[derive(Debug, Serialize, Deserialize)]
struct Proof {
    mac: [u8; 32],
}

#[derive(Clone, Copy)]
enum Side {
    Client,
    Server,
}

/// Proves the key to the peer and checks its proof; returns the peer's name.
pub async fn connect(stream: &mut TcpStream, key: &HostKey, host: &HostId) -> Result<HostId> {
    run(stream, key, host, Side::Client).await
}

/// Server side of [`connect`].
pub async fn accept(stream: &mut TcpStream, key: &HostKey, host: &HostId) -> Result<HostId> {
    run(stream, key, host, Side::Server).await
}

async fn run(stream: &mut TcpStream, key: &HostKey, host: &HostId, side: Side) -> Result<HostId> {
    timeout(HANDSHAKE_TIMEOUT, exchange(stream, key, host, side))
        .await
        .map_err(|_| eyre!("the handshake took longer than {HANDSHAKE_TIMEOUT:?}"))?
}

async fn exchange(
    stream: &mut TcpStream,
    key: &HostKey,
    host: &HostId,
    side: Side,
) -> Result<HostId> {
    let own = Hello { host: host.clone(), nonce: rand::random() };
    write(stream, &own).await?;
    let peer: Hello = read(stream).await?;
    let (client, server) = match side {
        Side::Client => (&own, &peer),
        Side::Server => (&peer, &own),
    };
    let client_text = transcript("client", client, server);
    let server_text = transcript("server", server, client);
    let (own_text, peer_text) = match side {
        Side::Client => (client_text, server_text),
        Side::Server => (server_text, client_text),
    };
    write(stream, &Proof { mac: key.sign(&own_text) }).await?;
    let proof: Proof = read(stream).await?;
    if !key.verify(&peer_text, &proof.mac) {
        bail!("host {} did not prove the shared host key", peer.host);
    }
    Ok(peer.host)
}

fn transcript(role: &str, sender: &Hello, receiver: &Hello) -> Vec<u8> {
    let mut text =
        format!("pomelopin peer {role}\0{}\0{}\0", sender.host, receiver.host).into_bytes();
    text.extend_from_slice(&sender.nonce);
    text.extend_from_slice(&receiver.nonce);
    text
}

async fn write<T: Serialize>(stream: &mut TcpStream, message: &T) -> Result<()> {
    let body = postcard::to_stdvec(message)?;
    stream.write_u16(u16::try_from(body.len())?).await?;
    stream.write_all(&body).await?;
    Ok(())
}

async fn read<T: for<'de> Deserialize<'de>>(stream: &mut TcpStream) -> Result<T> {
    let len = usize::from(stream.read_u16().await?);
    if len > MAX_MESSAGE_BYTES {
        bail!("handshake message of {len} bytes is larger than {MAX_MESSAGE_BYTES} bytes");
    }
    let mut buf = vec![0; len];
    stream.read_exact(&mut buf).await?;
    Ok(postcard::from_bytes(&buf)?)
}
