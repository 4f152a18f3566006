//! Mutual authentication with the shared host key at the start of a peer connection.
//!
//! Each side sends a random nonce. The proof is an HMAC over the side's role, both host
//! names and both nonces, so that a recorded handshake cannot be replayed.

use std::time::Duration;

use eyre::{Result, bail, eyre};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::{ids::HostId, keys::host::HostKey};

/// Time limit for the whole handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest handshake message, in bytes.
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
enum Role {
    Client,
    Server,
}

/// Authenticates both sides as the client; returns the name of the peer.
pub async fn connect(stream: &mut TcpStream, key: &HostKey, host: &HostId) -> Result<HostId> {
    run(stream, key, host, Role::Client).await
}

/// Authenticates both sides as the server; returns the name of the peer.
pub async fn accept(stream: &mut TcpStream, key: &HostKey, host: &HostId) -> Result<HostId> {
    run(stream, key, host, Role::Server).await
}

async fn run(stream: &mut TcpStream, key: &HostKey, host: &HostId, role: Role) -> Result<HostId> {
    timeout(HANDSHAKE_TIMEOUT, exchange(stream, key, host, role))
        .await
        .map_err(|_| eyre!("the handshake took longer than {HANDSHAKE_TIMEOUT:?}"))?
}

async fn exchange(
    stream: &mut TcpStream,
    key: &HostKey,
    host: &HostId,
    role: Role,
) -> Result<HostId> {
    let own = Hello { host: host.clone(), nonce: rand::random() };
    write_message(stream, &own).await?;
    let peer: Hello = read_message(stream).await?;
    let (client, server) = match role {
        Role::Client => (&own, &peer),
        Role::Server => (&peer, &own),
    };
    let client_transcript = transcript("client", client, server);
    let server_transcript = transcript("server", server, client);
    let (own_transcript, peer_transcript) = match role {
        Role::Client => (client_transcript, server_transcript),
        Role::Server => (server_transcript, client_transcript),
    };
    write_message(stream, &Proof { mac: key.sign(&own_transcript) }).await?;
    let proof: Proof = read_message(stream).await?;
    if !key.verify(&peer_transcript, &proof.mac) {
        bail!("host {} did not prove the shared host key", peer.host);
    }
    Ok(peer.host)
}

/// Input of the HMAC in the proof of `sender`.
fn transcript(role: &str, sender: &Hello, receiver: &Hello) -> Vec<u8> {
    let mut buf =
        format!("pomelopin peer {role}\0{}\0{}\0", sender.host, receiver.host).into_bytes();
    buf.extend_from_slice(&sender.nonce);
    buf.extend_from_slice(&receiver.nonce);
    buf
}

async fn write_message<T: Serialize>(stream: &mut TcpStream, message: &T) -> Result<()> {
    let body = postcard::to_stdvec(message)?;
    stream.write_u16(u16::try_from(body.len())?).await?;
    stream.write_all(&body).await?;
    Ok(())
}

async fn read_message<T: for<'de> Deserialize<'de>>(stream: &mut TcpStream) -> Result<T> {
    let len = usize::from(stream.read_u16().await?);
    if len > MAX_MESSAGE_BYTES {
        bail!("handshake message of {len} bytes is larger than {MAX_MESSAGE_BYTES} bytes");
    }
    let mut buf = vec![0; len];
    stream.read_exact(&mut buf).await?;
    Ok(postcard::from_bytes(&buf)?)
}
