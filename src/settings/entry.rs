//! Settings of an entry host.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use bpaf::Bpaf;

use super::{
    finding::{SettingFinding, SettingFindings},
    log::LogSettings,
};
use crate::{
    clock::Millis,
    control::membership::MAX_VOTERS,
    ids::{ControlId, FailureDomain, HostId},
    keys::host::HostKey,
};

/// Maximum delay of a planned stop in milliseconds.
const MAX_STOP_DELAY_MS: u64 = 60_000;

/// Command line and environment of `pomelopin-entry`.
///
/// Values are kept as text so that all invalid settings are reported at once.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct EntryArguments {
    /// Name of this host
    #[bpaf(env("POMELOPIN_HOST"), argument("NAME"))]
    pub host: String,
    /// Failure domain of this host
    #[bpaf(env("POMELOPIN_FAILURE_DOMAIN"), argument("NAME"))]
    pub failure_domain: String,
    /// Address of the listener for callers
    #[bpaf(env("POMELOPIN_CALLER_LISTEN"), argument("IP:PORT"), fallback("127.0.0.1:6432".to_owned()), display_fallback)]
    pub caller_listen: String,
    /// Address of the listener for other entry hosts
    #[bpaf(env("POMELOPIN_PEER_LISTEN"), argument("IP:PORT"), fallback("127.0.0.1:6433".to_owned()), display_fallback)]
    pub peer_listen: String,
    /// Address of the listener for control messages
    #[bpaf(env("POMELOPIN_BUS_LISTEN"), argument("IP:PORT"), fallback("127.0.0.1:6434".to_owned()), display_fallback)]
    pub bus_listen: String,
    /// Address of the HTTP listener
    #[bpaf(env("POMELOPIN_HTTP_LISTEN"), argument("IP:PORT"), fallback("127.0.0.1:6435".to_owned()), display_fallback)]
    pub http_listen: String,
    /// Control hosts with their bus addresses, separated by commas
    #[bpaf(env("POMELOPIN_CONTROL_HOSTS"), argument("ID=IP:PORT,..."))]
    pub control_hosts: String,
    /// File with the shared key of the hosts
    #[bpaf(env("POMELOPIN_HOST_KEY_FILE"), argument("FILE"))]
    pub host_key_file: PathBuf,
    /// File with the key that signs announcements
    #[bpaf(env("POMELOPIN_ANNOUNCEMENT_KEY_FILE"), argument("FILE"))]
    pub announcement_key_file: PathBuf,
    /// File with the password of user pomelopin at the targets
    #[bpaf(env("POMELOPIN_TARGET_PASSWORD_FILE"), argument("FILE"))]
    pub target_password_file: PathBuf,
    /// File with the certificate chain for callers in PEM format
    #[bpaf(env("POMELOPIN_TLS_CERTIFICATE"), argument("FILE"), optional)]
    pub tls_certificate: Option<PathBuf>,
    /// File with the private key for callers in PEM format
    #[bpaf(env("POMELOPIN_TLS_KEY"), argument("FILE"), optional)]
    pub tls_key: Option<PathBuf>,
    /// Time between answering 503 on /ready and closing the listener, in milliseconds
    #[bpaf(env("POMELOPIN_STOP_DELAY_MS"), argument("MS"), fallback(2_000), display_fallback)]
    pub stop_delay_ms: u64,
    /// Worker threads; 0 takes one per core
    #[bpaf(env("POMELOPIN_WORKERS"), argument("N"), fallback(0), display_fallback)]
    pub workers: usize,
    #[bpaf(external(super::log::log_settings))]
    pub log: LogSettings,
    /// Check the settings, report all faulty ones and exit
    pub check_settings: bool,
}

/// Control host at which entry hosts renew their leases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlAddr {
    pub id: ControlId,
    pub bus_addr: String,
}

/// Certificate and private key of the listener for callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    pub certificate: PathBuf,
    pub key: PathBuf,
}

/// Validated settings of an entry host.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    pub host: HostId,
    pub failure_domain: FailureDomain,
    pub caller_listen: SocketAddr,
    pub peer_listen: SocketAddr,
    pub bus_listen: SocketAddr,
    pub http_listen: SocketAddr,
    pub control_hosts: Vec<ControlAddr>,
    pub host_key: HostKey,
    pub announcement_key: Vec<u8>,
    pub target_password: String,
    pub tls: Option<TlsFiles>,
    pub stop_delay: Millis,
}

impl EntryArguments {
    /// Returns the validated settings, or a finding for each invalid one.
    pub fn validate(&self) -> Result<EntrySettings, Vec<SettingFinding>> {
        let mut findings = SettingFindings::default();
        let settings = self.convert(&mut findings);
        match settings {
            Some(settings) if findings.is_empty() => Ok(settings),
            _ => Err(findings.into_vec()),
        }
    }

    fn convert(&self, findings: &mut SettingFindings) -> Option<EntrySettings> {
        let host = name(findings, "--host", &self.host);
        let domain = name(findings, "--failure-domain", &self.failure_domain);
        let caller_listen = addr(findings, "--caller-listen", &self.caller_listen);
        let peer_listen = reachable_addr(findings, "--peer-listen", &self.peer_listen);
        let bus_listen = reachable_addr(findings, "--bus-listen", &self.bus_listen);
        let http_listen = addr(findings, "--http-listen", &self.http_listen);
        let control_hosts = control_hosts(findings, &self.control_hosts);
        let host_key = host_key(findings, "--host-key-file", &self.host_key_file);
        let announcement_key =
            secret(findings, "--announcement-key-file", &self.announcement_key_file);
        let target_password =
            secret(findings, "--target-password-file", &self.target_password_file);
        let tls = self.tls(findings);
        if self.stop_delay_ms > MAX_STOP_DELAY_MS {
            let reason = format!("0 to {MAX_STOP_DELAY_MS} milliseconds are allowed");
            findings.add("--stop-delay-ms", self.stop_delay_ms, reason);
        }
        Some(EntrySettings {
            host: HostId::from(host?),
            failure_domain: FailureDomain::from(domain?),
            caller_listen: caller_listen?,
            peer_listen: peer_listen?,
            bus_listen: bus_listen?,
            http_listen: http_listen?,
            control_hosts: control_hosts?,
            host_key: host_key?,
            announcement_key: announcement_key?.into_bytes(),
            target_password: target_password?,
            tls,
            stop_delay: Millis(self.stop_delay_ms),
        })
    }

    fn tls(&self, findings: &mut SettingFindings) -> Option<TlsFiles> {
        match (&self.tls_certificate, &self.tls_key) {
            (Some(certificate), Some(key)) => {
                Some(TlsFiles { certificate: certificate.clone(), key: key.clone() })
            }
            (None, None) => None,
            (Some(_), None) => {
                findings.add("--tls-key", "", "required together with --tls-certificate");
                None
            }
            (None, Some(_)) => {
                findings.add("--tls-certificate", "", "required together with --tls-key");
                None
            }
        }
    }
}

fn name<'a>(findings: &mut SettingFindings, flag: &'static str, text: &'a str) -> Option<&'a str> {
    let valid = !text.is_empty()
        && text.len() <= 63
        && text.chars().all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.');
    if !valid {
        findings.add(flag, text, "1 to 63 letters, digits, `-`, `_` or `.` are allowed");
    }
    valid.then_some(text)
}

fn addr(findings: &mut SettingFindings, flag: &'static str, text: &str) -> Option<SocketAddr> {
    let parsed = text.parse().map_err(|_| "an IP address with a port is needed");
    findings.ok_or_add(flag, text, parsed)
}

/// Address that this host advertises to other hosts, so it must not be a wildcard.
fn reachable_addr(
    findings: &mut SettingFindings,
    flag: &'static str,
    text: &str,
) -> Option<SocketAddr> {
    let addr = addr(findings, flag, text)?;
    if addr.ip().is_unspecified() {
        findings.add(flag, text, "an address that other hosts can reach is needed");
        return None;
    }
    Some(addr)
}

fn control_hosts(findings: &mut SettingFindings, text: &str) -> Option<Vec<ControlAddr>> {
    let flag = "--control-hosts";
    let reason = "1 to 7 pairs ID=IP:PORT, separated by commas, are allowed";
    let mut hosts = Vec::new();
    let pairs: Vec<_> = text.split(',').map(str::trim).filter(|pair| !pair.is_empty()).collect();
    if pairs.is_empty() || pairs.len() > MAX_VOTERS {
        findings.add(flag, text, reason);
        return None;
    }
    for pair in pairs {
        match pair.split_once('=') {
            Some((id, bus_addr)) if !id.is_empty() && bus_addr.parse::<SocketAddr>().is_ok() => {
                hosts.push(ControlAddr { id: ControlId::from(id), bus_addr: bus_addr.to_owned() });
            }
            _ => findings.add(flag, pair, reason),
        }
    }
    Some(hosts)
}

fn host_key(findings: &mut SettingFindings, flag: &'static str, file: &Path) -> Option<HostKey> {
    findings.ok_or_add(flag, file.display(), HostKey::from_file(file))
}

/// Contents of a file that must not be empty, without surrounding white space.
fn secret(findings: &mut SettingFindings, flag: &'static str, file: &Path) -> Option<String> {
    let text = findings.ok_or_add(flag, file.display(), std::fs::read_to_string(file))?;
    let text = text.trim();
    if text.is_empty() {
        findings.add(flag, file.display(), "the file must not be empty");
        return None;
    }
    Some(text.to_owned())
}
