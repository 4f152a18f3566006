//! Session state on a target's connection: values and prepared statements that a
//! statement needs are set just before it.

use indexmap::IndexMap;

use crate::gateway::{
    ports::TargetRequest,
    session::Session,
    statement::{Request, Shape, Statement},
};

/// Prepared statements kept on one connection.
const KEPT_STATEMENTS: usize = 200;

/// What a connection holds.
#[derive(Debug, Default)]
pub struct ConnectionState {
    values: IndexMap<String, String>,
    /// Names that the connection gave to shapes.
    names: IndexMap<Shape, u32>,
    next_name: u32,
}

impl ConnectionState {
    /// Adds the requests that make the connection's values those of the session, and
    /// notes them as done.
    pub fn set_values<'a>(
        &mut self,
        values: &'a IndexMap<String, String>,
        out: &mut Vec<TargetRequest<'a>>,
    ) {
        let surplus = self.values.keys().any(|name| !values.contains_key(name));
        if surplus || self.names.len() > KEPT_STATEMENTS {
            out.push(TargetRequest::Reset);
            *self = Self { next_name: self.next_name, ..Self::default() };
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                out.push(TargetRequest::Set { name, value });
                self.values.insert(name.clone(), value.clone());
            }
        }
    }

    /// Name of a prepared shape; adds the request that prepares it if it is missing.
    pub fn name_of<'a>(&mut self, shape: &'a Shape, out: &mut Vec<TargetRequest<'a>>) -> u32 {
        if let Some(name) = self.names.get(shape) {
            return *name;
        }
        self.next_name += 1;
        self.names.insert(shape.clone(), self.next_name);
        out.push(TargetRequest::Prepare { name: self.next_name, shape });
        self.next_name
    }

    /// Number of values that would have to be changed for a session.
    pub fn distance(&self, values: &IndexMap<String, String>) -> usize {
        let differs = |(name, value): (&String, &String)| values.get(name) != Some(value);
        self.values.iter().filter(|it| differs(*it)).count()
            + values.len().saturating_sub(self.values.len())
    }
}

/// Request of a caller with the prepared shape that it names.
#[derive(Debug, Clone, Copy)]
pub struct Prepared<'a> {
    pub request: &'a Request,
    pub shape: Option<&'a Shape>,
}

impl<'a> Prepared<'a> {
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
