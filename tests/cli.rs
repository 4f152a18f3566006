//! Guards against wrong exit codes, secrets in error messages and apply requests that are
//! lost or duplicated when a response is lost.

use std::{fs, path::PathBuf, sync::Arc};

use parking_lot::Mutex;
use pomelopin::{
    cli::{self, CliError, Cx, Exit, table::Table, time::format_utc},
    ids::{HostId, Revision},
    keys::key::Key,
    state::model::ApplyAnswer,
    wire::operator::{ApplyRequest, ApplyResponse, FileResponse, NotLeader},
};
use serde::Serialize;
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const TOKEN: &str = "operator-token-of-the-test";
const FILE: &str = "version = 3\n[[service]]\nname = \"ledger-1\"\ninstances = 3 # three\n";

/// Temporary directory with the token file of a test.
struct TestDir(TempDir);

impl TestDir {
    fn new() -> Self {
        let dir = Self(TempDir::new().expect("directory"));
        dir.write("token", TOKEN);
        dir
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.path().join(name);
        fs::write(&path, text).expect("written file");
        path
    }

    /// Runs a command line and returns its output. An argument `@NAME` stands for the path of
    /// the file `NAME` in the directory, which the output shows as `NAME`.
    async fn run(&self, args: &[&str]) -> (Result<Exit, CliError>, String) {
        let path = |name: &str| self.0.path().join(name).display().to_string();
        let args = args.iter().map(|arg| match arg.strip_prefix('@') {
            Some(name) => path(name),
            None => (*arg).to_owned(),
        });
        let args = args.collect::<Vec<_>>();
        let args = args.iter().map(String::as_str).collect::<Vec<_>>();
        let command = cli::command().run_inner(args.as_slice()).expect("valid arguments");
        let mut out = Vec::new();
        let result = cli::run(command, &mut Cx { out: &mut out }).await;
        let out = String::from_utf8(out).expect("text");
        (result, out.replace(&format!("{}/", self.0.path().display()), ""))
    }
}

/// Control host that sends the given responses in turn. `None` closes the connection without
/// a response.
struct ControlStub {
    address: String,
    requests: Arc<Mutex<Vec<String>>>,
}

impl ControlStub {
    async fn start(responses: Vec<Option<String>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address").to_string();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let received = requests.clone();
        tokio::spawn(async move {
            for response in responses {
                let (mut stream, _) = listener.accept().await.expect("connection");
                let request = read_request(&mut stream).await;
                received.lock().push(request);
                stream.write_all(response.unwrap_or_default().as_bytes()).await.expect("sent");
            }
        });
        Self { address, requests }
    }

    fn apply_requests(&self) -> Vec<ApplyRequest> {
        let requests = self.requests.lock();
        let bodies = requests.iter().filter_map(|request| request.split_once("\r\n\r\n"));
        bodies.map(|(_, body)| serde_json::from_str(body).expect("apply request")).collect()
    }
}

async fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buf = [0; 4096];
    loop {
        let count = stream.read(&mut buf).await.expect("request");
        text.push_str(std::str::from_utf8(&buf[..count]).expect("text"));
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        if body.len() >= length.map_or(0, |length| length.parse().expect("length")) {
            return text;
        }
    }
}

fn json_response(status: u16, body: &impl Serialize) -> Option<String> {
    let body = serde_json::to_string(body).expect("JSON");
    let length = body.len();
    Some(format!(
        "HTTP/1.1 {status} S\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    ))
}

fn accepted_response(pending: &[&str]) -> Option<String> {
    let answer = ApplyAnswer::Accepted { version: 3, revision: Revision(9) };
    let pending_hosts = pending.iter().map(|host| HostId::from(*host)).collect();
    json_response(200, &ApplyResponse { answer, pending_hosts })
}

/// Scripts rely on the exit codes, and operators find errors by line and column.
#[tokio::test]
async fn check_and_diff_print_error_positions_and_exit_codes() {
    let dir = TestDir::new();
    dir.write("valid.toml", FILE);
    dir.write("other.toml", &FILE.replace('3', "5"));
    dir.write("faulty.toml", &FILE.replace("instances", "replicas"));
    let errors = "faulty.toml:2:1: [[service]] needs `instances`\nfaulty.toml:4:1: unknown field \
                  `replicas` in [[service]]; allowed: name, instances\n";
    let valid = "valid.toml: version 3, 1 services, 0 routes, 0 workspaces, 0 hosts, 0 drains\n";
    let changed = "~ service ledger-1: 3 instances -> 5 instances\n";
    let cases = [
        (&["check", "@valid.toml"][..], Exit::Success, valid),
        (&["check", "@faulty.toml"], Exit::Invalid, errors),
        (&["diff", "--against", "@valid.toml", "@other.toml"], Exit::Success, changed),
        (&["diff", "--against", "@valid.toml", "@valid.toml"], Exit::Success, "no differences\n"),
        (&["diff", "--against", "@valid.toml", "@faulty.toml"], Exit::Invalid, errors),
    ];
    for (args, exit, expected) in cases {
        let (result, out) = dir.run(args).await;
        assert_eq!((result.expect("exit"), out.as_str()), (exit, expected), "{args:?}");
    }
    assert!(matches!(dir.run(&["check", "@none.toml"]).await.0, Err(CliError::File(..))));
    assert_eq!(
        [Exit::Success, Exit::Pending, Exit::Invalid, Exit::Conflict].map(Exit::code),
        [0, 1, 2, 3]
    );
}

/// A verifier that does not belong to the printed key would lock the caller out.
#[tokio::test]
async fn new_key_matches_its_printed_verifier() {
    let (result, out) = TestDir::new().run(&["keys", "new", "--id", "karoo-2"]).await;
    assert_eq!(result.expect("exit"), Exit::Success);
    let key = out.lines().find(|line| line.starts_with("pk_karoo-2_")).expect("key line");
    let key = key.parse::<Key>().expect("key");
    assert!(out.contains(&format!("verifier = \"{}\"\n", key.verifier())));
}

/// If only the response to the first request was lost, a retry with a new id would count as a
/// second apply and would conflict with the first.
#[tokio::test]
async fn apply_is_retried_with_the_same_id_until_it_is_answered() {
    let dir = TestDir::new();
    dir.write("file.toml", FILE);
    let leader = ControlStub::start(vec![None, accepted_response(&[])]).await;
    let not_leader = NotLeader { leader: None, leader_http_addr: Some(leader.address.clone()) };
    let unavailable =
        Some("HTTP/1.1 503 S\r\ncontent-length: 0\r\nconnection: close\r\n\r\n".into());
    let follower = ControlStub::start(vec![unavailable, json_response(421, &not_leader)]).await;
    // Order of attempts: 503, lost response, redirect, accepted.
    let control = format!("{},{}", follower.address, leader.address);
    let args = ["apply", "--control", &control, "--token-file", "@token", "@file.toml"];
    let (result, out) = dir.run(&args).await;
    assert_eq!(result.expect("exit"), Exit::Success);

    let requests = [follower.apply_requests(), leader.apply_requests()].concat();
    assert_eq!(requests.len(), 4);
    assert!(requests.iter().all(|request| *request == requests[0]), "{requests:?}");
    assert_eq!((requests[0].expected_version, requests[0].wait_ms), (2, 0));
    let expected = format!("request {}\naccepted as version 3 at revision 9\n", requests[0].id);
    assert_eq!(out, expected);
    let bearer = format!("authorization: Bearer {TOKEN}\r\n");
    assert!(leader.requests.lock().iter().all(|request| request.contains(&bearer)));
}

/// A conflict, an invalid file or a host that lags behind must not look like success.
#[tokio::test]
async fn apply_reports_conflicts_invalid_files_and_pending_hosts() {
    let dir = TestDir::new();
    dir.write("file.toml", FILE);
    let conflict = ApplyResponse {
        answer: ApplyAnswer::Conflict { expected: 2, current: 7 },
        pending_hosts: Vec::new(),
    };
    let invalid = serde_json::json!({ "findings": [{ "line": 1, "column": 11, "message": "no" }] });
    let cases = [
        (vec![json_response(409, &conflict)], Exit::Conflict, "set `version = 8`"),
        (vec![json_response(422, &invalid)], Exit::Invalid, "file.toml:1:11: no\n"),
        (
            vec![accepted_response(&["midrand-1"]), None, accepted_response(&[])],
            Exit::Success,
            "not yet in force at midrand-1\nin force at every live host\n",
        ),
        (vec![accepted_response(&["midrand-1"])], Exit::Pending, "not yet in force at midrand-1\n"),
    ];
    for (responses, exit, expected) in cases {
        let control = ControlStub::start(responses).await.address;
        let (result, out) = dir
            .run(&[
                "apply",
                "--wait",
                "--request",
                "apply-1",
                "--timeout-ms",
                "1500",
                "--control",
                &control,
                "--token-file",
                "@token",
                "@file.toml",
            ])
            .await;
        assert_eq!(result.expect("exit"), exit, "{out}");
        assert!(out.starts_with("request apply-1\n") && out.contains(expected), "{out}");
    }
}

/// A drain based on anything but the accepted file and its version would undo changes of
/// other operators.
#[tokio::test]
async fn drain_adds_one_entry_to_the_accepted_file() {
    let dir = TestDir::new();
    let file = FileResponse { version: 3, file: FILE.into() };
    let control = ControlStub::start(vec![json_response(200, &file), accepted_response(&[])]).await;
    let (result, _) = dir
        .run(&[
            "drain",
            "instance",
            "--control",
            &control.address,
            "--token-file",
            "@token",
            "ledger-1-2",
        ])
        .await;
    assert_eq!(result.expect("exit"), Exit::Success);
    let text = control.requests.lock()[1].clone();
    let (_, body) = text.split_once("\r\n\r\n").expect("body");
    let request = serde_json::from_str::<ApplyRequest>(body).expect("request");
    assert_eq!(request.expected_version, 3);
    let changed = FILE.replacen('3', "4", 1) + "\n[[drain]]\ninstance = \"ledger-1-2\"\n";
    assert_eq!(request.file, changed);
}

/// A token that can never work, or hosts that never respond, must not keep the command
/// running. Error messages must not contain the token.
#[tokio::test]
async fn unusable_tokens_and_unreachable_hosts_fail_the_command() {
    let dir = TestDir::new();
    dir.write("short", "short");
    let unauthorized = Some("HTTP/1.1 401 S\r\ncontent-length: 0\r\n\r\n".to_owned());
    let control = ControlStub::start(vec![unauthorized]).await.address;
    let cases = [
        (control.as_str(), "@token", "the control hosts refused the operator token"),
        (&control, "@short", "the operator token needs at least 16 bytes"),
        ("127.0.0.1:1", "@token", "no answer within 300 ms"),
    ];
    for (control, token, expected) in cases {
        let args = ["status", "--timeout-ms", "300", "--control", control, "--token-file", token];
        let error = dir.run(&args).await.0.expect_err("failure").to_string();
        assert!(error.starts_with(expected), "{error}");
        assert!(!error.contains(TOKEN));
    }
}

/// Dates around leap days, which the calendar computation could get wrong, and the alignment
/// of columns.
#[test]
fn times_and_tables_are_formatted() {
    let cases = [
        (0, "-"),
        (951_782_399_000, "2000-02-28 23:59:59Z"),
        (951_782_400_000, "2000-02-29 00:00:00Z"),
        (1_772_323_200_000, "2026-03-01 00:00:00Z"),
        (4_107_542_400_000, "2100-03-01 00:00:00Z"),
    ];
    for (unix_ms, expected) in cases {
        assert_eq!(format_utc(unix_ms), expected);
    }
    let mut table = Table::new(["HOST", "STATE"]);
    table.push_row(["midrand-1".into(), "live".into()]);
    assert_eq!(table.to_string(), "HOST       STATE\nmidrand-1  live\n");
}
