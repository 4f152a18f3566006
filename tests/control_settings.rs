//! Settings of control hosts: defaults and findings.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

use std::fs;

use bpaf::Args;
use pomelopin::{
    clock::Millis,
    settings::{
        control::{ControlArguments, control_arguments},
        timing::{GroupTiming, LeaseTiming},
    },
};
use tempfile::TempDir;

const HOSTS: &str = "c1=127.0.0.1:7001,c2=127.0.0.1:7002,c3=127.0.0.1:7003";

fn arguments(folder: &TempDir, replaced: &[(&str, &str)]) -> ControlArguments {
    let file = folder.path().join("secret");
    fs::write(&file, "a secret of more than 16 bytes").unwrap();
    let secret = file.to_str().unwrap();
    let mut flags = vec![
        ("--host", "c1"),
        ("--control-hosts", HOSTS),
        ("--host-key-file", secret),
        ("--token-file", secret),
    ];
    flags.retain(|(flag, _)| replaced.iter().all(|(other, _)| other != flag));
    flags.extend_from_slice(replaced);
    let flags: Vec<_> = flags.into_iter().flat_map(|(flag, value)| [flag, value]).collect();
    control_arguments().run_inner(Args::from(flags.as_slice())).unwrap()
}

#[test]
fn omitted_settings_have_defaults() {
    let folder = TempDir::new().unwrap();
    let settings = arguments(&folder, &[]).validate().unwrap();
    assert_eq!(settings.name, "c1");
    assert_eq!(settings.control_hosts.len(), 3);
    assert_eq!(settings.bus_listen.to_string(), "127.0.0.1:7434");
    assert_eq!(settings.lease_timing, LeaseTiming::default());
    assert_eq!(settings.lease_timing.expires_after(), Millis(2_400));
}

/// Guards against a leader that still serves after the voters may elect another.
#[test]
fn leader_lease_is_shorter_than_election_timeout() {
    let timing = GroupTiming::default();
    assert_eq!(timing.leader_lease(), Millis(450));
    assert!(timing.leader_lease() < timing.election_min);
}

#[test]
fn invalid_setting_is_reported_with_flag_and_expectation() {
    let cases = [
        ("--host", "c9", "a name in --control-hosts is needed"),
        ("--bus-listen", "localhost", "an IP address with a port is needed"),
        ("--http-listen", "127.0.0.1", "an IP address with a port is needed"),
        ("--host-key-file", "/none", "at least 16 bytes"),
        ("--token-file", "/none", "at least 16 bytes"),
        ("--lease-ms", "100", "1500 to 2000 milliseconds are allowed"),
        ("--lease-ms", "2s", "1500 to 2000 milliseconds are allowed"),
        ("--control-hosts", "c1=127.0.0.1:7001,c1=127.0.0.1:7002", "each name once"),
        ("--control-hosts", "c1=127.0.0.1:7001,c.2=127.0.0.1:7002", "letters, digits"),
    ];
    let folder = TempDir::new().unwrap();
    for (flag, value, expected) in cases {
        let findings = arguments(&folder, &[(flag, value)]).validate().unwrap_err();
        assert_eq!(findings.len(), 1, "{flag} {value}: {findings:?}");
        let text = findings[0].to_string();
        assert!(text.starts_with(&format!("{flag}: ")) && text.contains(expected), "{text}");
    }
}

#[test]
fn all_findings_are_reported_together() {
    let faulty =
        [("--host", "c9"), ("--bus-listen", "x"), ("--lease-ms", "0"), ("--token-file", "/none")];
    let folder = TempDir::new().unwrap();
    let findings = arguments(&folder, &faulty).validate().unwrap_err();
    let flags: Vec<_> = findings.iter().map(|finding| finding.flag).collect();
    assert_eq!(flags, ["--host", "--bus-listen", "--token-file", "--lease-ms"]);
}
