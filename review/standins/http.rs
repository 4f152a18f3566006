//! Minimal HTTP/1.1: one request per connection, bodies with a content length.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Received request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

/// Received response.
pub struct Response {
    pub status: u16,
    pub location: Option<String>,
}

fn read_headers(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(reader: &mut impl Read, headers: &HashMap<String, String>) -> Option<String> {
    let len = headers.get("content-length").map_or(Some(0), |len| len.parse().ok())?;
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// Reads a request from an accepted connection.
pub fn receive(stream: &TcpStream) -> Option<Request> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let (first, headers) = read_headers(&mut reader)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let body = read_body(&mut reader, &headers)?;
    Some(Request { method, path, headers, body })
}

/// Sends a response; the connection stays open.
pub fn respond(mut stream: &TcpStream, status: u16) {
    let text = format!(
        "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    let _ = stream.write_all(text.as_bytes());
}

/// Sends a request and waits for the response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_headers(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    read_body(&mut reader, &headers)?;
    Some(Response { status, location: headers.get("location").cloned() })
}

/// Calls the control hosts in turn, as callers of `control_plane` do, and follows two
/// redirects; the response is the first that is no 5xx.
pub fn call_any(addrs: &[SocketAddr], method: &str, path: &str, body: &str) -> Option<Response> {
    let timeout = Duration::from_millis(1_000);
    for first in addrs {
        let mut addr = *first;
        for _ in 0..3 {
            let Some(response) = call(addr, method, path, body, timeout) else { break };
            if response.status == 307 {
                let location = response.location.unwrap_or_default();
                let rest = location.strip_prefix("http://").unwrap_or_default();
                match rest.split('/').next().unwrap_or_default().parse() {
                    Ok(next) => addr = next,
                    Err(_) => break,
                }
                continue;
            }
            if response.status >= 500 {
                break;
            }
            return Some(response);
        }
    }
    None
}
