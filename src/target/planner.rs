//! Translation of SQL text into plans; accepts a small subset of the PostgreSQL dialect.

use std::sync::Arc;

use sqlparser::{
    ast::{
        self, Assignment, AssignmentTarget, BinaryOperator, Expr, FromTable, FunctionArg,
        FunctionArgExpr, FunctionArguments, ObjectName, Query, SelectItem, SetExpr, Statement,
        TableFactor, TableObject, TableWithJoins, UnaryOperator,
    },
    dialect::PostgreSqlDialect,
    parser::Parser,
};

use super::{
    error::SqlError,
    plan::{Aggregate, Change, Operand, Plan, Prepared, Projection, Schema, Source},
    value::{Kind, Value},
};

/// Maximum number of parameters of a statement.
const MAX_PARAMETERS: usize = 1_000;

/// Parses `sql` and returns one plan per statement.
pub fn plan(sql: &str) -> Result<Vec<Prepared>, SqlError> {
    let statements = Parser::parse_sql(&PostgreSqlDialect {}, sql)
        .map_err(|error| SqlError::new("42601", error.to_string()))?;
    statements.iter().map(plan_statement).collect()
}

fn plan_statement(statement: &Statement) -> Result<Prepared, SqlError> {
    let mut planner = Planner::default();
    let plan = planner.statement(statement)?;
    let parameters = planner.parameters.into_iter().map(|kind| kind.unwrap_or(Kind::Text));
    Ok(Prepared { plan, parameters: parameters.collect() })
}

/// Translates one statement and infers its parameter types.
#[derive(Default)]
struct Planner {
    /// Type of each parameter, inferred from its first use; `None` if not used.
    parameters: Vec<Option<Kind>>,
}

impl Planner {
    fn statement(&mut self, statement: &Statement) -> Result<Plan, SqlError> {
        match statement {
            Statement::Query(query) => self.query(query),
            Statement::Insert(insert) => self.insert(insert),
            Statement::Update { table, assignments, from, selection, returning, limit, .. } => {
                if from.is_some() || returning.is_some() || limit.is_some() {
                    return Err(SqlError::unsupported("FROM, RETURNING or LIMIT in UPDATE"));
                }
                let source = self.source(std::slice::from_ref(table), selection.as_ref())?;
                let changes = assignments
                    .iter()
                    .map(|assignment| self.change(source.schema, assignment))
                    .collect::<Result<_, _>>()?;
                Ok(Plan::Update { source, changes })
            }
            Statement::Delete(delete) => {
                if delete.using.is_some() || delete.returning.is_some() || delete.limit.is_some() {
                    return Err(SqlError::unsupported("USING, RETURNING or LIMIT in DELETE"));
                }
                let (FromTable::WithFromKeyword(tables) | FromTable::WithoutKeyword(tables)) =
                    &delete.from;
                Ok(Plan::Delete { source: self.source(tables, delete.selection.as_ref())? })
            }
            Statement::StartTransaction { .. } => Ok(Plan::Begin),
            Statement::Commit { .. } => Ok(Plan::Commit),
            Statement::Rollback { savepoint: None, .. } => Ok(Plan::Rollback),
            Statement::Set(set) => self.set(set),
            other => Err(SqlError::unsupported(other)),
        }
    }

    fn set(&mut self, set: &ast::Set) -> Result<Plan, SqlError> {
        let ast::Set::SingleAssignment { variable, values, .. } = set else {
            return Ok(Plan::SetOther);
        };
        if lowercase_name(variable) != "pomelopin.workspace" {
            return Ok(Plan::SetOther);
        }
        match values.as_slice() {
            [Expr::Identifier(name)] => {
                Ok(Plan::SetWorkspace(Operand::Constant(Value::Text(name.value.as_str().into()))))
            }
            [value] => Ok(Plan::SetWorkspace(self.operand(value, Kind::Text)?)),
            _ => Err(SqlError::unsupported("several values in SET")),
        }
    }

    fn query(&mut self, query: &Query) -> Result<Plan, SqlError> {
        let plain =
            query.with.is_none() && query.order_by.is_none() && query.limit_clause.is_none();
        if !plain || !query.locks.is_empty() {
            return Err(SqlError::unsupported("WITH, ORDER BY, LIMIT or FOR in SELECT"));
        }
        let SetExpr::Select(select) = query.body.as_ref() else {
            return Err(SqlError::unsupported(&query.body));
        };
        if select.distinct.is_some() || select.having.is_some() {
            return Err(SqlError::unsupported("DISTINCT or HAVING in SELECT"));
        }
        if select.from.is_empty() {
            return self.constants(&select.projection);
        }
        let source = self.source(&select.from, select.selection.as_ref())?;
        let projection = projection(source.schema, &select.projection)?;
        Ok(Plan::Select { source, projection })
    }

    /// SELECT without FROM: one function call or a list of operands.
    fn constants(&mut self, items: &[SelectItem]) -> Result<Plan, SqlError> {
        if let [item] = items
            && let Expr::Function(function) = expression(item)?
        {
            return self.function(function);
        }
        let operands = items
            .iter()
            .map(|item| self.operand(expression(item)?, Kind::Text))
            .collect::<Result<_, _>>()?;
        Ok(Plan::Constants(operands))
    }

    fn function(&mut self, function: &ast::Function) -> Result<Plan, SqlError> {
        let name = lowercase_name(&function.name);
        match (name.as_str(), arguments(function).as_slice()) {
            ("pomelopin_position", []) => Ok(Plan::Position),
            ("pomelopin_wait_commit", [FunctionArg::Unnamed(FunctionArgExpr::Expr(timeout))]) => {
                Ok(Plan::WaitCommit { timeout_ms: self.operand(timeout, Kind::Int)? })
            }
            _ => Err(SqlError::new("42883", format!("function {name} does not exist"))),
        }
    }

    fn source(
        &mut self,
        tables: &[TableWithJoins],
        selection: Option<&Expr>,
    ) -> Result<Source, SqlError> {
        let [TableWithJoins { relation: TableFactor::Table { name, .. }, joins }] = tables else {
            return Err(SqlError::unsupported("more than one table"));
        };
        if !joins.is_empty() {
            return Err(SqlError::unsupported("JOIN"));
        }
        let table = table_name(name)?;
        let schema = Schema::of(&table);
        let mut filters = Vec::new();
        if let Some(selection) = selection {
            self.filters(schema, selection, &mut filters)?;
        }
        Ok(Source { table, schema, filters })
    }

    fn filters(
        &mut self,
        schema: &'static Schema,
        selection: &Expr,
        filters: &mut Vec<(usize, Operand)>,
    ) -> Result<(), SqlError> {
        match selection {
            Expr::Nested(inner) => self.filters(schema, inner, filters),
            Expr::BinaryOp { left, op: BinaryOperator::And, right } => {
                self.filters(schema, left, filters)?;
                self.filters(schema, right, filters)
            }
            Expr::BinaryOp { left, op: BinaryOperator::Eq, right } => {
                let (name, value) = match (column_name(left), column_name(right)) {
                    (Some(name), _) => (name, right),
                    (None, Some(name)) => (name, left),
                    (None, None) => return Err(SqlError::unsupported(selection)),
                };
                let index = schema.column(name)?;
                filters.push((index, self.operand(value, schema.columns[index].kind)?));
                Ok(())
            }
            _ => Err(SqlError::unsupported(selection)),
        }
    }

    fn insert(&mut self, insert: &ast::Insert) -> Result<Plan, SqlError> {
        if insert.on.is_some() || insert.returning.is_some() {
            return Err(SqlError::unsupported("ON CONFLICT or RETURNING in INSERT"));
        }
        let TableObject::TableName(name) = &insert.table else {
            return Err(SqlError::unsupported(insert));
        };
        let Some(SetExpr::Values(values)) = insert.source.as_ref().map(|query| query.body.as_ref())
        else {
            return Err(SqlError::unsupported("INSERT without VALUES"));
        };
        let table = table_name(name)?;
        let schema = Schema::of(&table);
        let columns = insert_columns(schema, &insert.columns)?;
        let rows = values
            .rows
            .iter()
            .map(|row| self.insert_row(schema, &columns, row))
            .collect::<Result<_, _>>()?;
        Ok(Plan::Insert { table, schema, rows })
    }

    fn insert_row(
        &mut self,
        schema: &'static Schema,
        columns: &[usize],
        values: &[Expr],
    ) -> Result<Vec<Operand>, SqlError> {
        if values.len() != columns.len() {
            return Err(SqlError::new("42601", "INSERT has as many values as columns"));
        }
        let mut row: Vec<Operand> = schema
            .columns
            .iter()
            .map(|column| Operand::Constant(default_value(column.kind)))
            .collect();
        for (index, value) in columns.iter().zip(values) {
            row[*index] = self.operand(value, schema.columns[*index].kind)?;
        }
        Ok(row)
    }

    fn change(
        &mut self,
        schema: &'static Schema,
        assignment: &Assignment,
    ) -> Result<(usize, Change), SqlError> {
        let AssignmentTarget::ColumnName(name) = &assignment.target else {
            return Err(SqlError::unsupported(assignment));
        };
        let index = schema.column(&lowercase_name(name))?;
        if index == schema.id || Some(index) == schema.workspace {
            return Err(SqlError::unsupported("changing a key column"));
        }
        let kind = schema.columns[index].kind;
        let change = match &assignment.value {
            Expr::BinaryOp { left, op, right }
                if column_name(left) == Some(schema.columns[index].name) && kind == Kind::Int =>
            {
                let operand = self.operand(right, kind)?;
                match op {
                    BinaryOperator::Plus => Change::Add(operand),
                    BinaryOperator::Minus => Change::Subtract(operand),
                    _ => return Err(SqlError::unsupported(assignment)),
                }
            }
            value => Change::Set(self.operand(value, kind)?),
        };
        Ok((index, change))
    }

    fn operand(&mut self, expr: &Expr, kind: Kind) -> Result<Operand, SqlError> {
        match expr {
            Expr::Nested(inner) => self.operand(inner, kind),
            Expr::Cast { expr, .. } => self.operand(expr, kind),
            Expr::Value(value) => match &value.value {
                ast::Value::Placeholder(name) => self.parameter(name, kind),
                literal => Ok(Operand::Constant(self::literal(literal)?)),
            },
            Expr::UnaryOp { op: UnaryOperator::Minus, expr } => match self.operand(expr, kind)? {
                Operand::Constant(Value::Int(number)) => {
                    Ok(Operand::Constant(Value::Int(number.wrapping_neg())))
                }
                _ => Err(SqlError::unsupported(expr)),
            },
            _ => Err(SqlError::unsupported(expr)),
        }
    }

    fn parameter(&mut self, name: &str, kind: Kind) -> Result<Operand, SqlError> {
        let number = name.strip_prefix('$').and_then(|digits| digits.parse::<usize>().ok());
        let Some(index) = number.and_then(|number| number.checked_sub(1)) else {
            return Err(SqlError::new("42P02", format!("there is no parameter {name}")));
        };
        if index >= MAX_PARAMETERS {
            return Err(SqlError::unsupported("so many parameters"));
        }
        if self.parameters.len() <= index {
            self.parameters.resize(index + 1, None);
        }
        self.parameters[index].get_or_insert(kind);
        Ok(Operand::Parameter(index))
    }
}

/// Value of a column that an INSERT leaves out.
fn default_value(kind: Kind) -> Value {
    match kind {
        Kind::Int => Value::Int(0),
        _ => Value::Null,
    }
}

fn literal(literal: &ast::Value) -> Result<Value, SqlError> {
    match literal {
        ast::Value::Number(digits, _) => digits
            .parse()
            .map(Value::Int)
            .map_err(|_| SqlError::new("22003", format!("`{digits}` is not a 64-bit integer"))),
        ast::Value::SingleQuotedString(text) | ast::Value::EscapedStringLiteral(text) => {
            Ok(Value::Text(text.as_str().into()))
        }
        ast::Value::Boolean(flag) => Ok(Value::Bool(*flag)),
        ast::Value::Null => Ok(Value::Null),
        other => Err(SqlError::unsupported(other)),
    }
}

fn projection(schema: &'static Schema, items: &[SelectItem]) -> Result<Projection, SqlError> {
    let first = items.first().map(expression);
    if let Some(Ok(Expr::Function(_))) = first {
        let aggregates = items.iter().map(|item| aggregate(schema, item));
        return Ok(Projection::Aggregates(aggregates.collect::<Result<_, _>>()?));
    }
    let mut columns = Vec::new();
    for item in items {
        if matches!(item, SelectItem::Wildcard(_)) {
            columns.extend(0..schema.columns.len());
        } else {
            let expr = expression(item)?;
            let name = column_name(expr).ok_or_else(|| SqlError::unsupported(expr))?;
            columns.push(schema.column(name)?);
        }
    }
    Ok(Projection::Columns(columns))
}

fn aggregate(schema: &'static Schema, item: &SelectItem) -> Result<Aggregate, SqlError> {
    let Expr::Function(function) = expression(item)? else {
        return Err(SqlError::unsupported("columns beside aggregates"));
    };
    match (lowercase_name(&function.name).as_str(), arguments(function).as_slice()) {
        ("count", [FunctionArg::Unnamed(FunctionArgExpr::Wildcard)]) => Ok(Aggregate::Count),
        ("sum", [FunctionArg::Unnamed(FunctionArgExpr::Expr(Expr::Identifier(column)))]) => {
            let index = schema.column(&column.value)?;
            match schema.columns[index].kind {
                Kind::Int => Ok(Aggregate::Sum(index)),
                _ => Err(SqlError::unsupported(function)),
            }
        }
        _ => Err(SqlError::unsupported(function)),
    }
}

fn arguments(function: &ast::Function) -> Vec<FunctionArg> {
    match &function.args {
        FunctionArguments::List(list) => list.args.clone(),
        _ => Vec::new(),
    }
}

fn expression(item: &SelectItem) -> Result<&Expr, SqlError> {
    match item {
        SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } => Ok(expr),
        _ => Err(SqlError::unsupported(item)),
    }
}

fn column_name(expr: &Expr) -> Option<&str> {
    match expr {
        Expr::Identifier(name) => Some(&name.value),
        _ => None,
    }
}

fn insert_columns(schema: &'static Schema, names: &[ast::Ident]) -> Result<Vec<usize>, SqlError> {
    if names.is_empty() {
        return Ok((0..schema.columns.len()).collect());
    }
    names.iter().map(|name| schema.column(&name.value)).collect()
}

fn lowercase_name(name: &ObjectName) -> String {
    let parts = name.0.iter().filter_map(|part| part.as_ident());
    parts.map(|ident| ident.value.to_lowercase()).collect::<Vec<_>>().join(".")
}

fn table_name(name: &ObjectName) -> Result<Arc<str>, SqlError> {
    match name.0.as_slice() {
        [_] => Ok(lowercase_name(name).into()),
        _ => Err(SqlError::unsupported("schema names")),
    }
}
