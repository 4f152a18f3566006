//! Configuration file that the tests apply.

use std::fmt::Write;

use pomelopin::{ids::KeyId, keys::key::Key};

/// Workspace with one key.
#[derive(Clone)]
pub struct WorkspaceConfig {
    pub name: &'static str,
    pub rate: u32,
    pub burst: u32,
    pub key: Key,
    /// Verifier to write in place of that of `key`.
    pub verifier: Option<String>,
    pub withdrawn: bool,
}

impl WorkspaceConfig {
    fn new(name: &'static str, rate: u32, burst: u32) -> Self {
        let key = Key::generate(KeyId::from(format!("{name}-1"))).unwrap();
        Self { name, rate, burst, key, verifier: None, withdrawn: false }
    }
}

/// Contents of the file: the service `returns` with keyed and open routes.
#[derive(Clone)]
pub struct ConfigFile {
    pub version: u64,
    pub workspaces: Vec<WorkspaceConfig>,
}

/// Table, action and further fields of each route.
const ROUTES: [(&str, &str, &str); 9] = [
    ("bookings", "select", "max_staleness_ms = 5000"),
    ("bookings", "insert", ""),
    ("bookings", "update", "idempotent = true"),
    ("bookings", "delete", ""),
    ("credits", "select", ""),
    ("credits", "insert", ""),
    ("credits", "update", ""),
    ("notices", "select", "access = 'open'"),
    ("notices", "insert", "access = 'open'"),
];

impl Default for ConfigFile {
    fn default() -> Self {
        let workspaces = vec![
            WorkspaceConfig::new("alpha", 100_000, 100_000),
            WorkspaceConfig::new("beta", 100_000, 100_000),
            WorkspaceConfig::new("limited", 20, 10),
        ];
        Self { version: 1, workspaces }
    }
}

impl ConfigFile {
    pub fn workspace(&mut self, name: &str) -> &mut WorkspaceConfig {
        self.workspaces.iter_mut().find(|workspace| workspace.name == name).unwrap()
    }

    /// Key of a workspace as callers send it in their password.
    pub fn key(&self, name: &str) -> String {
        self.workspaces.iter().find(|workspace| workspace.name == name).unwrap().key.reveal()
    }

    /// Text of the file.
    pub fn text(&self) -> String {
        let mut text = format!("version = {}\n", self.version);
        text.push_str("[[service]]\nname = 'returns'\ninstances = 3\n");
        for (table, action, more) in ROUTES {
            let route = format!("table = '{table}'\naction = '{action}'\n{more}\n");
            write!(text, "[[route]]\nservice = 'returns'\n{route}").unwrap();
        }
        for workspace in &self.workspaces {
            let WorkspaceConfig { name, rate, burst, key, verifier, withdrawn } = workspace;
            let (id, verifier) = (key.id(), verifier.clone().unwrap_or_else(|| key.verifier()));
            let state = if *withdrawn { "withdrawn" } else { "active" };
            write!(
                text,
                "[[workspace]]\nname = '{name}'\nrate = {rate}\nburst = {burst}\n\
                 services = ['returns']\n[[workspace.key]]\nid = '{id}'\n\
                 verifier = '{verifier}'\nstate = '{state}'\n"
            )
            .unwrap();
        }
        text
    }
}
