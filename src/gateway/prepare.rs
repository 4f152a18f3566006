//! Session state on a target's connection: variables and prepared statements that a
//! statement needs are set just before it.

use indexmap::IndexMap;

use crate::gateway::{
    ports::TargetRequest,
    session::Session,
    statement::{PreparedStatement, Request, Statement},
};

/// Prepared statements kept on one connection.
const KEPT_STATEMENTS: usize = 200;

/// What a connection holds.
#[derive(Debug, Default)]
pub struct ConnectionState {
    variables: IndexMap<String, String>,
    /// Names that the connection gave to shapes.
    names: IndexMap<PreparedStatement, u32>,
    next_name: u32,
}

impl ConnectionState {
    /// Adds the requests that make the connection's variables those of the session, and
    /// notes them as done.
    pub fn set_variables<'a>(
        &mut self,
        variables: &'a IndexMap<String, String>,
        out: &mut Vec<TargetRequest<'a>>,
    ) {
        let surplus = self.variables.keys().any(|name| !variables.contains_key(name));
        if surplus || self.names.len() > KEPT_STATEMENTS {
            out.push(TargetRequest::Reset);
            *self = Self { next_name: self.next_name, ..Self::default() };
        }
        for (name, value) in variables {
            if self.variables.get(name) != Some(value) {
                out.push(TargetRequest::Set { name, value });
                self.variables.insert(name.clone(), value.clone());
            }
        }
    }

    /// Name of a prepared shape; adds the request that prepares it if it is missing.
    pub fn name_of<'a>(
        &mut self,
        shape: &'a PreparedStatement,
        out: &mut Vec<TargetRequest<'a>>,
    ) -> u32 {
        if let Some(name) = self.names.get(shape) {
            return *name;
        }
        self.next_name += 1;
        self.names.insert(shape.clone(), self.next_name);
        out.push(TargetRequest::Prepare { name: self.next_name, statement: shape });
        self.next_name
    }

    /// Number of variables that would have to be changed for a session.
    pub fn distance(&self, variables: &IndexMap<String, String>) -> usize {
        let differs = |(name, value): (&String, &String)| variables.get(name) != Some(value);
        self.variables.iter().filter(|it| differs(*it)).count()
            + variables.len().saturating_sub(self.variables.len())
    }
}

/// Request of a caller with the prepared shape that it names.
#[derive(Debug, Clone, Copy)]
pub struct ResolvedRequest<'a> {
    pub request: &'a Request,
    pub shape: Option<&'a PreparedStatement>,
}

impl<'a> ResolvedRequest<'a> {
    /// Looks up the shape in the session; `None` if the statement names an unknown one.
    pub fn new(session: &'a Session, request: &'a Request) -> Option<Self> {
        match &request.statement {
            Statement::Execute { name, .. } => {
                let shape = session.prepared.get(name)?;
                Some(Self { request, shape: Some(shape) })
            }
            _ => Some(Self { request, shape: None }),
        }
    }

    /// Whether the statement may change data.
    pub fn writes(&self) -> bool {
        match self.shape {
            Some(shape) => shape.writes,
            None => self.request.statement == Statement::Write,
        }
    }
}
