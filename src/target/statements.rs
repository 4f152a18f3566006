//! Plan cache, prepared statements and portals of a connection.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;

use super::{
    error::SqlError,
    plan::Prepared,
    planner,
    value::{BINARY_FORMAT, Value},
    wire::Formats,
};

/// Maximum number of entries in the plan cache of a connection.
const PLAN_CACHE_CAPACITY: usize = 256;

/// Maximum length of a cached SQL text, in bytes.
const PLAN_CACHE_MAX_SQL_BYTES: usize = 1_024;

/// Plans by SQL text; emptied as a whole when it is full.
#[derive(Debug, Default)]
pub struct PlanCache {
    plans: HashMap<String, Arc<[Prepared]>>,
}

impl PlanCache {
    /// Plans of the statements in `sql`, from the cache or newly parsed.
    pub fn plan(&mut self, sql: &str) -> Result<Arc<[Prepared]>, SqlError> {
        if let Some(plans) = self.plans.get(sql) {
            return Ok(plans.clone());
        }
        let plans: Arc<[Prepared]> = planner::plan(sql)?.into();
        if sql.len() <= PLAN_CACHE_MAX_SQL_BYTES {
            if self.plans.len() >= PLAN_CACHE_CAPACITY {
                self.plans.clear();
            }
            self.plans.insert(sql.to_owned(), plans.clone());
        }
        Ok(plans)
    }
}

/// Prepared statement created by a Parse message.
#[derive(Debug)]
pub struct PreparedStatement {
    plans: Arc<[Prepared]>,
    /// Type OID of each parameter: declared by the client, or else inferred.
    pub oids: Vec<u32>,
}

impl PreparedStatement {
    /// Prepared statement from `plans`; fails if there is more than one.
    /// A declared type OID of 0 leaves the type to inference.
    pub fn new(plans: Arc<[Prepared]>, declared: &[u32]) -> Result<Self, SqlError> {
        if plans.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(SqlError::new("42601", message));
        }
        let inferred = plans.first().map_or(&[][..], |prepared| &prepared.parameters);
        let count = inferred.len().max(declared.len());
        let oids = (0..count).map(|index| match declared.get(index) {
            Some(oid) if *oid != 0 => *oid,
            _ => inferred.get(index).copied().map_or(0, |kind| kind.oid()),
        });
        let oids = oids.collect();
        Ok(Self { plans, oids })
    }

    /// Plan of the statement; `None` if the SQL text is empty.
    pub fn prepared(&self) -> Option<&Prepared> {
        self.plans.first()
    }

    /// Decodes the parameter values of a Bind message.
    pub fn parameters(
        &self,
        formats: &[i16],
        values: &[Option<Bytes>],
    ) -> Result<Vec<Value>, SqlError> {
        if values.len() != self.oids.len() {
            return Err(SqlError::protocol(format!(
                "bind message supplies {} parameters, but the statement requires {}",
                values.len(),
                self.oids.len()
            )));
        }
        let formats = Formats(formats.to_vec());
        if !formats.are_valid() {
            return Err(SqlError::protocol(format!("formats are 0 or {BINARY_FORMAT}")));
        }
        let kinds = self.prepared().map_or(&[][..], |prepared| &prepared.parameters);
        let parameters = kinds.iter().zip(values).enumerate();
        parameters
            .map(|(index, (kind, value))| {
                Value::decode(value.as_deref(), formats.of(index), self.oids[index], *kind)
            })
            .collect()
    }
}

/// Prepared statement with bound parameters.
#[derive(Debug)]
pub struct Portal {
    pub statement: Arc<PreparedStatement>,
    pub parameters: Vec<Value>,
    /// Format codes of the result columns.
    pub formats: Formats,
}

/// Prepared statements and portals by name; the empty name stands for the unnamed one.
#[derive(Debug, Default)]
pub struct Statements {
    statements: HashMap<String, Arc<PreparedStatement>>,
    portals: HashMap<String, Arc<Portal>>,
}

impl Statements {
    /// Adds a prepared statement, replacing one of the same name.
    pub fn put_statement(&mut self, name: Option<String>, statement: PreparedStatement) {
        self.statements.insert(name.unwrap_or_default(), Arc::new(statement));
    }

    pub fn statement(&self, name: Option<&str>) -> Result<Arc<PreparedStatement>, SqlError> {
        let name = name.unwrap_or_default();
        let missing =
            || SqlError::new("26000", format!("prepared statement `{name}` does not exist"));
        self.statements.get(name).cloned().ok_or_else(missing)
    }

    /// Adds a portal, replacing one of the same name.
    pub fn put_portal(&mut self, name: Option<String>, portal: Portal) {
        self.portals.insert(name.unwrap_or_default(), Arc::new(portal));
    }

    pub fn portal(&self, name: Option<&str>) -> Result<Arc<Portal>, SqlError> {
        let name = name.unwrap_or_default();
        let missing = || SqlError::new("34000", format!("portal `{name}` does not exist"));
        self.portals.get(name).cloned().ok_or_else(missing)
    }

    pub fn close_statement(&mut self, name: Option<&str>) {
        self.statements.remove(name.unwrap_or_default());
    }

    pub fn close_portal(&mut self, name: Option<&str>) {
        self.portals.remove(name.unwrap_or_default());
    }

    /// Closes all portals at the end of a transaction.
    pub fn close_portals(&mut self) {
        self.portals.clear();
    }
}
