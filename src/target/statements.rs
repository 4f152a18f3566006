//! Prepared statements and portals of a connection.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;

use super::{
    error::SqlError,
    plan::Prepared,
    planner,
    value::{BINARY_FORMAT, Value},
    wire::Formats,
};

/// Statement texts whose plans a connection keeps.
const PLAN_CACHE_SIZE: usize = 256;

/// Longest statement text whose plan is kept, in bytes.
const PLAN_CACHE_TEXT: usize = 1_024;

/// Plans of recent statement texts.
#[derive(Debug, Default)]
pub struct PlanCache {
    plans: HashMap<String, Arc<[Prepared]>>,
}

impl PlanCache {
    /// Plans of the statements of `sql`.
    pub fn plan(&mut self, sql: &str) -> Result<Arc<[Prepared]>, SqlError> {
        if let Some(plans) = self.plans.get(sql) {
            return Ok(plans.clone());
        }
        let plans: Arc<[Prepared]> = planner::plan(sql)?.into();
        if sql.len() <= PLAN_CACHE_TEXT {
            if self.plans.len() >= PLAN_CACHE_SIZE {
                self.plans.clear();
            }
            self.plans.insert(sql.to_owned(), plans.clone());
        }
        Ok(plans)
    }
}

/// Statement of a Parse message.
#[derive(Debug)]
pub struct Stored {
    plans: Arc<[Prepared]>,
    /// Type of each parameter, from the client or from its use.
    pub oids: Vec<u32>,
}

impl Stored {
    /// Statement of `plans` with the types that the client stated.
    pub fn new(plans: Arc<[Prepared]>, stated: &[u32]) -> Result<Self, SqlError> {
        if plans.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(SqlError::new("42601", message));
        }
        let inferred = plans.first().map_or(&[][..], |prepared| &prepared.parameters);
        let count = inferred.len().max(stated.len());
        let oids = (0..count).map(|index| match stated.get(index) {
            Some(oid) if *oid != 0 => *oid,
            _ => inferred.get(index).copied().map_or(0, |kind| kind.oid()),
        });
        let oids = oids.collect();
        Ok(Self { plans, oids })
    }

    /// Plan; `None` for an empty statement.
    pub fn prepared(&self) -> Option<&Prepared> {
        self.plans.first()
    }

    /// Decodes the parameters of a Bind message.
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

/// Statement with its parameters.
#[derive(Debug)]
pub struct Portal {
    pub statement: Arc<Stored>,
    pub parameters: Vec<Value>,
    pub formats: Formats,
}

/// Named statements and portals; the empty name is the unnamed one.
#[derive(Debug, Default)]
pub struct Statements {
    statements: HashMap<String, Arc<Stored>>,
    portals: HashMap<String, Arc<Portal>>,
}

impl Statements {
    /// Stores a statement.
    pub fn put_statement(&mut self, name: Option<String>, statement: Stored) {
        self.statements.insert(name.unwrap_or_default(), Arc::new(statement));
    }

    /// Statement `name`.
    pub fn statement(&self, name: Option<&str>) -> Result<Arc<Stored>, SqlError> {
        let name = name.unwrap_or_default();
        let missing =
            || SqlError::new("26000", format!("prepared statement `{name}` does not exist"));
        self.statements.get(name).cloned().ok_or_else(missing)
    }

    /// Stores a portal.
    pub fn put_portal(&mut self, name: Option<String>, portal: Portal) {
        self.portals.insert(name.unwrap_or_default(), Arc::new(portal));
    }

    /// Portal `name`.
    pub fn portal(&self, name: Option<&str>) -> Result<Arc<Portal>, SqlError> {
        let name = name.unwrap_or_default();
        let missing = || SqlError::new("34000", format!("portal `{name}` does not exist"));
        self.portals.get(name).cloned().ok_or_else(missing)
    }

    /// Removes a statement.
    pub fn close_statement(&mut self, name: Option<&str>) {
        self.statements.remove(name.unwrap_or_default());
    }

    /// Removes a portal.
    pub fn close_portal(&mut self, name: Option<&str>) {
        self.portals.remove(name.unwrap_or_default());
    }

    /// Removes all portals, as the end of a transaction does.
    pub fn close_portals(&mut self) {
        self.portals.clear();
    }
}
