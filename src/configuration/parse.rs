//! Parser of configuration files in TOML.
//!
//! Entries keep the locations of their values for the validation across entries.

use toml_span::Spanned;

use crate::{
    configuration::{fields::Fields, finding::Findings},
    keys::key,
    state::model::{Access, Action, KeyState},
};

/// Maximum number of instances of a service.
pub const MAX_INSTANCES: u32 = 9;

/// Maximum rate in statements per second, and maximum burst in statements.
pub const MAX_RATE: u32 = 1_000_000;

/// Maximum `max_staleness_ms` of a route.
pub const MAX_STALENESS_MS: u64 = 3_600_000;

/// Maximum length of a name.
pub const MAX_NAME_BYTES: usize = 63;

/// User name of callers without a key; reserved, so no workspace can have it.
pub const OPEN_USER: &str = "open";

const FILE_FIELDS: &[&str] = &["version", "service", "route", "workspace", "host", "drain"];
const SERVICE_FIELDS: &[&str] = &["name", "instances"];
const ROUTE_FIELDS: &[&str] =
    &["service", "table", "action", "access", "idempotent", "max_staleness_ms"];
const WORKSPACE_FIELDS: &[&str] = &["name", "rate", "burst", "services", "key"];
const KEY_FIELDS: &[&str] = &["id", "verifier", "state"];
const HOST_FIELDS: &[&str] = &["name", "failure_domain"];
const DRAIN_FIELDS: &[&str] = &["host", "instance"];

const ACTIONS: &[Action] = &[Action::Select, Action::Insert, Action::Update, Action::Delete];

type Name = Option<Spanned<String>>;

/// Entries of a file. Values that failed to parse are absent.
#[derive(Debug, Default)]
pub struct File {
    pub version: Option<u64>,
    pub services: Vec<ServiceEntry>,
    pub routes: Vec<RouteEntry>,
    pub workspaces: Vec<WorkspaceEntry>,
    pub hosts: Vec<HostEntry>,
    pub drains: Vec<DrainEntry>,
}

/// Entry `[[service]]`.
#[derive(Debug)]
pub struct ServiceEntry {
    pub name: Name,
    pub instances: Option<u32>,
}

/// Entry `[[route]]`.
#[derive(Debug)]
pub struct RouteEntry {
    /// Byte offset of the section.
    pub offset: usize,
    pub service: Name,
    pub table: Name,
    pub action: Option<Action>,
    pub access: Option<Access>,
    pub idempotent: Option<Spanned<bool>>,
    pub max_staleness_ms: Option<Spanned<u64>>,
}

/// Entry `[[workspace]]`.
#[derive(Debug)]
pub struct WorkspaceEntry {
    pub name: Name,
    pub rate: Option<u32>,
    pub burst: Option<u32>,
    pub services: Vec<Spanned<String>>,
    pub keys: Vec<KeyEntry>,
}

/// Entry `[[workspace.key]]`.
#[derive(Debug)]
pub struct KeyEntry {
    pub id: Name,
    pub verifier: Name,
    pub state: Option<KeyState>,
}

/// Entry `[[host]]`.
#[derive(Debug)]
pub struct HostEntry {
    pub name: Name,
    pub failure_domain: Name,
}

/// Entry `[[drain]]`.
#[derive(Debug)]
pub struct DrainEntry {
    /// Byte offset of the section.
    pub offset: usize,
    pub host: Name,
    pub instance: Name,
}

/// Parses `text`. Stops at the first syntax error, because later errors may only be
/// consequences of it.
pub fn parse(text: &str, findings: &mut Findings<'_>) -> File {
    let value = match toml_span::parse(text) {
        Ok(value) => value,
        Err(error) => {
            findings.add(error.span.start, error.to_string());
            return File::default();
        }
    };
    let Some(top) = Fields::new(&value, "the file", FILE_FIELDS, findings) else {
        return File::default();
    };
    let version = top.integer("version", 1..=u64::MAX >> 1, findings);
    let version = top.require("version", version, findings);
    File {
        version: version.map(|version| version.value),
        services: entries(&top, "service", "[[service]]", SERVICE_FIELDS, findings, service),
        routes: entries(&top, "route", "[[route]]", ROUTE_FIELDS, findings, route),
        workspaces: entries(
            &top,
            "workspace",
            "[[workspace]]",
            WORKSPACE_FIELDS,
            findings,
            workspace,
        ),
        hosts: entries(&top, "host", "[[host]]", HOST_FIELDS, findings, host),
        drains: entries(&top, "drain", "[[drain]]", DRAIN_FIELDS, findings, drain),
    }
}

fn entries<T>(
    fields: &Fields<'_, '_>,
    field: &str,
    section: &'static str,
    allowed: &[&str],
    findings: &mut Findings<'_>,
    read: fn(&Fields<'_, '_>, &mut Findings<'_>) -> T,
) -> Vec<T> {
    let sections = fields.sections(field, section, allowed, findings);
    sections.iter().map(|section| read(section, findings)).collect()
}

fn service(fields: &Fields<'_, '_>, findings: &mut Findings<'_>) -> ServiceEntry {
    let name = required_name(fields, "name", findings);
    let instances = fields.integer("instances", 1..=MAX_INSTANCES, findings);
    let instances = fields.require("instances", instances, findings);
    ServiceEntry { name, instances: instances.map(|instances| instances.value) }
}

fn route(fields: &Fields<'_, '_>, findings: &mut Findings<'_>) -> RouteEntry {
    let service = required_name(fields, "service", findings);
    let table = required_name(fields, "table", findings);
    let action = fields.one_of("action", ACTIONS, findings);
    let action = fields.require("action", action, findings);
    let access = fields.one_of("access", &[Access::Keyed, Access::Open], findings);
    RouteEntry {
        offset: fields.offset,
        service,
        table,
        action: action.map(|action| action.value),
        access: access.map(|access| access.value),
        idempotent: fields.boolean("idempotent", findings),
        max_staleness_ms: fields.integer("max_staleness_ms", 1..=MAX_STALENESS_MS, findings),
    }
}

fn workspace(fields: &Fields<'_, '_>, findings: &mut Findings<'_>) -> WorkspaceEntry {
    let name = required_name(fields, "name", findings);
    if let Some(name) = name.as_ref().filter(|name| name.value == OPEN_USER) {
        let message = format!("`{OPEN_USER}` is the user of open routes and names no workspace");
        findings.add(name.span.start, message);
    }
    let rate = fields.integer("rate", 1..=MAX_RATE, findings);
    let rate = fields.require("rate", rate, findings);
    let burst = fields.integer("burst", 1..=MAX_RATE, findings);
    let burst = fields.require("burst", burst, findings);
    let services = fields.strings("services", findings);
    let services = fields.require("services", services, findings);
    WorkspaceEntry {
        name,
        rate: rate.map(|rate| rate.value),
        burst: burst.map(|burst| burst.value),
        services: services.unwrap_or_default(),
        keys: entries(fields, "key", "[[workspace.key]]", KEY_FIELDS, findings, key),
    }
}

fn key(fields: &Fields<'_, '_>, findings: &mut Findings<'_>) -> KeyEntry {
    let id = fields.string("id", findings);
    let id = fields.require("id", id, findings);
    if let Some(id) = id.as_ref().filter(|id| !key::is_key_id(&id.value)) {
        findings.add(id.span.start, format!("{}, found `{}`", key::KeyError::InvalidId, id.value));
    }
    let verifier = fields.string("verifier", findings);
    let verifier = fields.require("verifier", verifier, findings);
    if let Some(verifier) = verifier.as_ref().filter(|it| !key::is_verifier(&it.value)) {
        // The message omits the value, which may be a key that was pasted by mistake.
        let digits = key::VERIFIER_DIGITS;
        let message = format!("`verifier` must have {digits} lower-case hexadecimal digits");
        findings.add(verifier.span.start, message);
    }
    let state = fields.one_of("state", &[KeyState::Active, KeyState::Withdrawn], findings);
    KeyEntry { id, verifier, state: state.map(|state| state.value) }
}

fn host(fields: &Fields<'_, '_>, findings: &mut Findings<'_>) -> HostEntry {
    HostEntry {
        name: required_name(fields, "name", findings),
        failure_domain: required_name(fields, "failure_domain", findings),
    }
}

fn drain(fields: &Fields<'_, '_>, findings: &mut Findings<'_>) -> DrainEntry {
    DrainEntry {
        offset: fields.offset,
        host: name(fields, "host", findings),
        instance: name(fields, "instance", findings),
    }
}

fn required_name(fields: &Fields<'_, '_>, field: &str, findings: &mut Findings<'_>) -> Name {
    let name = name(fields, field, findings);
    fields.require(field, name, findings)
}

fn name(fields: &Fields<'_, '_>, field: &str, findings: &mut Findings<'_>) -> Name {
    let name = fields.string(field, findings)?;
    if !is_name(&name.value) {
        let message = format!(
            "`{field}` must have 1 to {MAX_NAME_BYTES} lower-case letters, digits, `-` and `_`, \
             found `{}`",
            name.value
        );
        findings.add(name.span.start, message);
    }
    Some(name)
}

/// Whether `text` is a valid name of a service, table, workspace, host or instance.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_')
    };
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}
