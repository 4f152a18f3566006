//! Session state of a target's connection. The variables and the prepared statement
//! that a statement needs are set in the same exchange, just before it.

use indexmap::IndexMap;

use crate::gateway::{
    ports::TargetRequest,
    session::Session,
    statement::{PreparedStatement, Request, Statement},
};

/// Prepared statements on one connection above which it is reset.
const MAX_PREPARED_STATEMENTS: usize = 200;

/// Size of the variables and prepared statements of one connection above which it is reset.
/// Those of one session fit.
const MAX_STATE_BYTES: usize = 4 * 1024 * 1024;

/// Size of the variables and prepared statements above which a connection is closed after the
/// statement, so that idle connections hold little memory.
const MAX_IDLE_STATE_BYTES: usize = 256 * 1024;

/// Variables and prepared statements of a connection.
#[derive(Debug, Default)]
pub struct ConnectionState {
    variables: IndexMap<String, String>,
    /// Names of the prepared statements on this connection.
    names: IndexMap<PreparedStatement, u32>,
    next_name: u32,
    /// Size of the variables and prepared statements.
    bytes: usize,
}

impl ConnectionState {
    /// Adds the requests that set the connection's variables to those of the session, and
    /// records them as set.
    pub fn set_variables<'a>(
        &mut self,
        variables: &'a IndexMap<String, String>,
        requests: &mut Vec<TargetRequest<'a>>,
    ) {
        let has_extra = self.variables.keys().any(|name| !variables.contains_key(name));
        let is_full = self.names.len() > MAX_PREPARED_STATEMENTS || self.bytes > MAX_STATE_BYTES;
        if has_extra || is_full {
            requests.push(TargetRequest::Reset);
            *self = Self { next_name: self.next_name, ..Self::default() };
        }
        for (name, value) in variables {
            if self.variables.get(name) != Some(value) {
                requests.push(TargetRequest::Set { name, value });
                let replaced = self.variables.insert(name.clone(), value.clone());
                self.bytes += name.len() + value.len();
                self.bytes -= replaced.map_or(0, |old| name.len() + old.len());
            }
        }
    }

    /// Returns the name of a prepared statement, and adds the request that prepares it if
    /// the connection does not have it.
    pub fn prepare<'a>(
        &mut self,
        statement: &'a PreparedStatement,
        requests: &mut Vec<TargetRequest<'a>>,
    ) -> u32 {
        if let Some(name) = self.names.get(statement) {
            return *name;
        }
        self.next_name += 1;
        self.bytes += statement.text.len();
        self.names.insert(statement.clone(), self.next_name);
        requests.push(TargetRequest::Prepare { name: self.next_name, statement });
        self.next_name
    }

    /// Whether the variables and prepared statements are too large for an idle connection.
    pub fn is_large(&self) -> bool {
        self.bytes > MAX_IDLE_STATE_BYTES
    }

    /// Number of variables to change for a session, as an estimate.
    pub fn changes_needed(&self, variables: &IndexMap<String, String>) -> usize {
        let differs = |(name, value): (&String, &String)| variables.get(name) != Some(value);
        self.variables.iter().filter(|it| differs(*it)).count()
            + variables.len().saturating_sub(self.variables.len())
    }
}

/// Request of a caller with the prepared statement that it names.
#[derive(Debug, Clone, Copy)]
pub struct ResolvedRequest<'a> {
    pub request: &'a Request,
    pub prepared: Option<&'a PreparedStatement>,
}

impl<'a> ResolvedRequest<'a> {
    /// Looks up the prepared statement in the session; `None` if its name is unknown.
    pub fn new(session: &'a Session, request: &'a Request) -> Option<Self> {
        match &request.statement {
            Statement::Execute { name, .. } => {
                let prepared = session.prepared.get(name)?;
                Some(Self { request, prepared: Some(prepared) })
            }
            _ => Some(Self { request, prepared: None }),
        }
    }

    /// Whether the statement may change data.
    pub fn writes(&self) -> bool {
        match self.prepared {
            Some(prepared) => prepared.writes,
            None => self.request.statement == Statement::Write,
        }
    }
}
