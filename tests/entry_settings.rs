//! Validation of the command-line settings of entry hosts.

#![allow(clippy::unwrap_used)]

use std::fs;

use pomelopin::settings::{
    entry::{EntryArguments, entry_arguments},
    finding::SettingFinding,
};

/// Temporary folder with a valid key file and an empty file.
struct KeyFiles {
    folder: tempfile::TempDir,
}

impl KeyFiles {
    fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        fs::write(folder.path().join("key"), "0123456789abcdef\n").unwrap();
        fs::write(folder.path().join("empty"), "\n").unwrap();
        Self { folder }
    }

    fn path(&self, name: &str) -> String {
        self.folder.path().join(name).display().to_string()
    }

    /// Valid arguments, with those in `changed` replaced or added.
    fn arguments(&self, changed: &[(&str, &str)]) -> EntryArguments {
        let key = self.path("key");
        let valid = [
            ("--host", "e1"),
            ("--failure-domain", "d1"),
            ("--control-hosts", "c1=127.0.0.1:1"),
            ("--host-key-file", &key),
            ("--announcement-key-file", &key),
            ("--target-password-file", &key),
        ];
        let kept = valid.iter().filter(|(flag, _)| !changed.iter().any(|(other, _)| other == flag));
        let words: Vec<&str> =
            kept.chain(changed).flat_map(|(flag, value)| [*flag, *value]).collect();
        entry_arguments().run_inner(words.as_slice()).unwrap()
    }

    fn findings(&self, changed: &[(&str, &str)]) -> Vec<SettingFinding> {
        self.arguments(changed).validate().err().unwrap_or_default()
    }
}

/// Guards against invalid settings that pass validation and leave the host without peers,
/// leases or connections to targets, and against findings that are reported twice.
#[test]
fn each_invalid_setting_is_reported_once() {
    let files = KeyFiles::new();
    let empty = files.path("empty");
    let eight = ["c=127.0.0.1:1"; 8].join(",");
    let reachable = "an address that other hosts can reach is needed";
    let hosts = "1 to 7 pairs ID=IP:PORT, separated by commas, are allowed";
    let cases = [
        ("--host", "a b", "1 to 63 letters, digits, `-`, `_` or `.` are allowed"),
        ("--caller-listen", "localhost:1", "an IP address with a port is needed"),
        ("--peer-listen", "0.0.0.0:6433", reachable),
        ("--bus-listen", "[::]:6434", reachable),
        ("--control-hosts", "c1", hosts),
        ("--control-hosts", ",", hosts),
        ("--control-hosts", &eight, hosts),
        ("--target-password-file", &empty, "the file must not be empty"),
        ("--stop-delay-ms", "60001", "0 to 60000 milliseconds are allowed"),
    ];
    for (flag, value, reason) in cases {
        let expected = SettingFinding { flag, value: value.to_owned(), reason: reason.to_owned() };
        assert_eq!(files.findings(&[(flag, value)]), [expected], "{flag} {value}");
    }
}

/// Guards against a validation that rejects wildcard addresses for listeners that no other
/// host connects to.
#[test]
fn caller_and_http_listeners_accept_wildcard_addresses() {
    let files = KeyFiles::new();
    let wildcard = [("--caller-listen", "0.0.0.0:6432"), ("--http-listen", "0.0.0.0:6435")];
    assert_eq!(files.findings(&wildcard), []);
}
