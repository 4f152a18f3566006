//! Executable plans of parsed statements, with the schemas of the tables.

use std::sync::Arc;

use super::{
    error::SqlError,
    value::{Kind, Value},
};

/// Table that records the idempotency keys of requests.
pub const REQUESTS_TABLE: &str = "pomelopin_requests";

/// Column of a table or a result set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Column {
    pub name: &'static str,
    pub kind: Kind,
}

const fn column(name: &'static str, kind: Kind) -> Column {
    Column { name, kind }
}

/// Column layout of a table.
#[derive(Debug, PartialEq, Eq)]
pub struct Schema {
    pub columns: &'static [Column],
    /// Index of the `id` column.
    pub id: usize,
    /// Index of the workspace column; `None` if rows belong to the connection's workspace.
    pub workspace: Option<usize>,
}

/// Schema of every table except [`REQUESTS_TABLE`].
static USER_TABLE_SCHEMA: Schema = Schema {
    columns: &[column("id", Kind::Text), column("value", Kind::Text), column("amount", Kind::Int)],
    id: 0,
    workspace: None,
};

static REQUESTS_SCHEMA: Schema = Schema {
    columns: &[
        column("workspace", Kind::Text),
        column("id", Kind::Text),
        column("digest", Kind::Text),
        column("tag", Kind::Text),
    ],
    id: 1,
    workspace: Some(0),
};

/// Result columns of `pomelopin_position()`.
pub static POSITION_COLUMNS: [Column; 4] = [
    column("term", Kind::Int),
    column("position", Kind::Int),
    column("age_ms", Kind::Int),
    column("is_primary", Kind::Bool),
];

/// Result columns of `pomelopin_wait_commit()`.
pub static WAIT_COLUMNS: [Column; 3] =
    [column("term", Kind::Int), column("position", Kind::Int), column("held", Kind::Bool)];

impl Schema {
    /// Schema of `table`; tables need no declaration.
    pub fn of(table: &str) -> &'static Schema {
        if table == REQUESTS_TABLE { &REQUESTS_SCHEMA } else { &USER_TABLE_SCHEMA }
    }

    /// Index of the column `name`.
    pub fn column(&self, name: &str) -> Result<usize, SqlError> {
        self.columns
            .iter()
            .position(|column| column.name == name)
            .ok_or_else(|| SqlError::new("42703", format!("column `{name}` does not exist")))
    }
}

/// Constant or parameter placeholder in a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operand {
    Constant(Value),
    /// Zero-based parameter index; `$1` is 0.
    Parameter(usize),
}

impl Operand {
    /// Constant or bound parameter value; NULL for an unbound parameter.
    pub fn value<'a>(&'a self, parameters: &'a [Value]) -> &'a Value {
        match self {
            Operand::Constant(value) => value,
            Operand::Parameter(index) => parameters.get(*index).unwrap_or(&Value::Null),
        }
    }
}

/// Table that a statement reads, with its WHERE conditions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    pub table: Arc<str>,
    pub schema: &'static Schema,
    /// Equality conditions as column index and value, joined by AND.
    pub filters: Vec<(usize, Operand)>,
}

/// Select list of a query on a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Projection {
    Columns(Vec<usize>),
    Aggregates(Vec<Aggregate>),
}

/// Aggregate function over the matching rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Aggregate {
    Count,
    /// Sum of the integer column with this index.
    Sum(usize),
}

/// Assignment to a column in an UPDATE.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    Set(Operand),
    Add(Operand),
    Subtract(Operand),
}

/// Executable form of one statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Plan {
    Select {
        source: Source,
        projection: Projection,
    },
    Insert {
        table: Arc<str>,
        schema: &'static Schema,
        /// One operand per column of the schema.
        rows: Vec<Vec<Operand>>,
    },
    Update {
        source: Source,
        changes: Vec<(usize, Change)>,
    },
    Delete {
        source: Source,
    },
    /// SELECT without FROM that returns the given operands.
    Constants(Vec<Operand>),
    /// `pomelopin_position()`.
    Position,
    /// `pomelopin_wait_commit()`.
    WaitCommit {
        timeout_ms: Operand,
    },
    Begin,
    Commit,
    Rollback,
    SetWorkspace(Operand),
    /// Any other SET; accepted and ignored.
    SetOther,
}

/// Plan with its inferred parameter types.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prepared {
    pub plan: Plan,
    pub parameters: Vec<Kind>,
}

/// Name and type of a result column.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    pub name: &'static str,
    pub kind: Kind,
}

impl From<Column> for Field {
    fn from(column: Column) -> Self {
        Field { name: column.name, kind: column.kind }
    }
}

impl Plan {
    /// Result columns; empty if the statement returns no rows.
    pub fn fields(&self) -> Vec<Field> {
        match self {
            Plan::Select { source, projection: Projection::Columns(columns) } => {
                columns.iter().map(|index| source.schema.columns[*index].into()).collect()
            }
            Plan::Select { projection: Projection::Aggregates(aggregates), .. } => aggregates
                .iter()
                .map(|aggregate| match aggregate {
                    Aggregate::Count => Field { name: "count", kind: Kind::Int },
                    Aggregate::Sum(_) => Field { name: "sum", kind: Kind::Int },
                })
                .collect(),
            Plan::Constants(operands) => operands
                .iter()
                .map(|operand| Field { name: "?column?", kind: constant_kind(operand) })
                .collect(),
            Plan::Position => POSITION_COLUMNS.iter().copied().map(Field::from).collect(),
            Plan::WaitCommit { .. } => WAIT_COLUMNS.iter().copied().map(Field::from).collect(),
            _ => Vec::new(),
        }
    }

    /// Whether execution occupies one of the execution slots of the instance.
    pub fn uses_slot(&self) -> bool {
        matches!(
            self,
            Plan::Select { .. } | Plan::Insert { .. } | Plan::Update { .. } | Plan::Delete { .. }
        )
    }
}

fn constant_kind(operand: &Operand) -> Kind {
    match operand {
        Operand::Constant(Value::Int(_)) => Kind::Int,
        Operand::Constant(Value::Bool(_)) => Kind::Bool,
        _ => Kind::Text,
    }
}
