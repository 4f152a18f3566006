//! Settings of a control host.

use std::{collections::BTreeMap, env, fs, net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

use super::{
    finding::{SettingFinding, SettingFindings},
    log::{LogSettings, log_settings},
    operator::{MIN_TOKEN_BYTES, OperatorToken, TOKEN_VARIABLE},
};
use crate::{
    clock::Millis,
    control::membership::MAX_VOTERS,
    keys::host::{HostKey, MIN_KEY_BYTES},
    settings::timing::{GroupTiming, LeaseTiming},
};

/// Minimum lease of entry hosts in milliseconds. Entry hosts renew every 500 ms, and a
/// lease must outlast two lost messages.
const MIN_LEASE_MS: u64 = 1_500;

/// Maximum lease of entry hosts in milliseconds. Limiter owners and home hosts assume
/// that hosts act on an outdated view for at most 2,200 ms: this lease plus 10 % clock
/// drift.
const MAX_LEASE_MS: u64 = 2_000;

/// Maximum length of a host name in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Keeps the shared state of pomelopin in a log replicated between the control hosts.
///
/// Values are kept as text so that all invalid settings are reported at once.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct ControlArguments {
    /// Name of this host, one of the control hosts
    #[bpaf(env("POMELOPIN_HOST"), argument("NAME"))]
    pub host: String,
    /// All control hosts with the addresses of their message bus, separated by commas
    #[bpaf(env("POMELOPIN_CONTROL_HOSTS"), argument("NAME=IP:PORT,..."))]
    pub control_hosts: String,
    /// Address of the message bus
    #[bpaf(
        env("POMELOPIN_BUS_LISTEN"),
        argument("IP:PORT"),
        fallback("127.0.0.1:7434".to_owned()),
        display_fallback
    )]
    pub bus_listen: String,
    /// Address of the HTTP listener for operators, readiness and metrics
    #[bpaf(
        env("POMELOPIN_HTTP_LISTEN"),
        argument("IP:PORT"),
        fallback("127.0.0.1:7435".to_owned()),
        display_fallback
    )]
    pub http_listen: String,
    /// Folder for the files of this host
    #[bpaf(
        env("POMELOPIN_DATA_FOLDER"),
        argument("FOLDER"),
        fallback(PathBuf::from("data")),
        debug_fallback
    )]
    pub data_folder: PathBuf,
    /// File with the key that all hosts share, at least 16 bytes
    #[bpaf(env("POMELOPIN_HOST_KEY_FILE"), argument("FILE"))]
    pub host_key_file: PathBuf,
    /// File with the operator token, at least 16 bytes; without it POMELOPIN_OPERATOR_TOKEN
    /// holds the token
    #[bpaf(long("token-file"), env("POMELOPIN_OPERATOR_TOKEN_FILE"), argument("FILE"), optional)]
    pub token_file: Option<PathBuf>,
    /// Lease of entry hosts in milliseconds
    #[bpaf(env("POMELOPIN_LEASE_MS"), argument("MS"), fallback("2000".to_owned()), display_fallback)]
    pub lease_ms: String,
    #[bpaf(external(log_settings))]
    pub log: LogSettings,
    /// Report all faulty settings and exit
    pub check_settings: bool,
}

/// Validated settings of a control host.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    pub name: String,
    /// Bus addresses of all control hosts by name.
    pub control_hosts: BTreeMap<String, String>,
    pub bus_listen: SocketAddr,
    pub http_listen: SocketAddr,
    pub data_folder: PathBuf,
    pub host_key: HostKey,
    pub token: OperatorToken,
    pub group_timing: GroupTiming,
    pub lease_timing: LeaseTiming,
}

impl ControlArguments {
    /// Returns the validated settings, or a finding for each invalid one.
    pub fn validate(&self) -> Result<ControlSettings, Vec<SettingFinding>> {
        let mut findings = SettingFindings::default();
        match self.convert(&mut findings) {
            Some(settings) if findings.is_empty() => Ok(settings),
            _ => Err(findings.into_vec()),
        }
    }

    fn convert(&self, findings: &mut SettingFindings) -> Option<ControlSettings> {
        let control_hosts = control_hosts(findings, &self.control_hosts);
        let name = self.name(findings, &control_hosts);
        let bus_listen = addr(findings, "--bus-listen", &self.bus_listen);
        let http_listen = addr(findings, "--http-listen", &self.http_listen);
        let host_key = self.host_key(findings);
        let token = self.token(findings);
        let lease = lease(findings, &self.lease_ms);
        Some(ControlSettings {
            name: name?,
            control_hosts,
            bus_listen: bus_listen?,
            http_listen: http_listen?,
            data_folder: self.data_folder.clone(),
            host_key: host_key?,
            token: token?,
            group_timing: GroupTiming::default(),
            lease_timing: LeaseTiming { lease: lease?, ..LeaseTiming::default() },
        })
    }

    fn name(
        &self,
        findings: &mut SettingFindings,
        control_hosts: &BTreeMap<String, String>,
    ) -> Option<String> {
        if !control_hosts.contains_key(&self.host) {
            findings.add("--host", &self.host, "a name in --control-hosts is needed");
            return None;
        }
        Some(self.host.clone())
    }

    fn host_key(&self, findings: &mut SettingFindings) -> Option<HostKey> {
        let key = HostKey::from_file(&self.host_key_file).map_err(|error| {
            format!("a readable file with at least {MIN_KEY_BYTES} bytes is needed ({error})")
        });
        findings.ok_or_add("--host-key-file", self.host_key_file.display(), key)
    }

    fn token(&self, findings: &mut SettingFindings) -> Option<OperatorToken> {
        let reason =
            format!("at least {MIN_TOKEN_BYTES} bytes in a file or {TOKEN_VARIABLE} are needed");
        let (value, text) = match &self.token_file {
            Some(file) => (file.display().to_string(), fs::read_to_string(file).ok()),
            None => (String::new(), env::var(TOKEN_VARIABLE).ok()),
        };
        let token = text.and_then(|text| text.parse().ok()).ok_or(reason);
        findings.ok_or_add("--token-file", value, token)
    }
}

fn control_hosts(findings: &mut SettingFindings, text: &str) -> BTreeMap<String, String> {
    let mut hosts = BTreeMap::new();
    for pair in text.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
        let parsed = pair.split_once('=').filter(|(name, addr)| {
            is_name(name) && addr.parse::<SocketAddr>().is_ok() && !hosts.contains_key(*name)
        });
        match parsed {
            Some((name, addr)) => {
                hosts.insert(name.to_owned(), addr.to_owned());
            }
            None => findings.add(
                "--control-hosts",
                pair,
                "NAME=IP:PORT is needed, with each name once and made of at most 63 letters, \
                 digits, `-` and `_`",
            ),
        }
    }
    if hosts.is_empty() || hosts.len() > MAX_VOTERS {
        findings.add("--control-hosts", text, format!("1 to {MAX_VOTERS} hosts are allowed"));
    }
    hosts
}

/// Whether a text is a valid host name. Dots are not allowed, because the id of a host
/// is its name, a dot and a number.
fn is_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(is_allowed)
}

fn addr(findings: &mut SettingFindings, flag: &'static str, text: &str) -> Option<SocketAddr> {
    findings.ok_or_add(flag, text, text.parse().map_err(|_| "an IP address with a port is needed"))
}

fn lease(findings: &mut SettingFindings, text: &str) -> Option<Millis> {
    let reason = format!("{MIN_LEASE_MS} to {MAX_LEASE_MS} milliseconds are allowed");
    let lease = text.parse().ok().filter(|ms| (MIN_LEASE_MS..=MAX_LEASE_MS).contains(ms));
    findings.ok_or_add("--lease-ms", text, lease.map(Millis).ok_or(reason))
}
