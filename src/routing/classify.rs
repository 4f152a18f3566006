//! Classification of SQL text.
//!
//! A statement is accepted if its text determines the single table that it accesses.
//! The text is tokenized once. Subqueries may occur in any expression, so the token
//! stream is scanned for nested queries and for functions that access other data;
//! then the structure of the parsed statement is checked.

use std::sync::Arc;

use derive_more::{Display, Error};
use sqlparser::{
    ast::{
        self, Delete, FromTable, Insert, ObjectName, OnConflictAction, OnInsert, Query, Select,
        SetExpr, TableFactor, TableObject, TableWithJoins,
    },
    dialect::PostgreSqlDialect,
    keywords::Keyword,
    parser::Parser,
    tokenizer::{Token, Tokenizer, Word},
};

use crate::{routing::variables, state::model::Action};

/// Prefix of names that callers may not use: the request records and helper functions
/// of the proxy.
const RESERVED_PREFIX: &str = "pomelopin_";

/// Prefixes of functions that access data outside the statement's table.
const REJECTED_FUNCTION_PREFIXES: [&str; 4] = ["pg_", "dblink", "lo_", "query_to_xml"];

/// Functions that access data outside the statement's table or change the state of
/// the connection. A longer name that begins with one of these is rejected too.
const REJECTED_FUNCTIONS: [&str; 8] = [
    "set_config",
    "current_setting",
    "table_to_xml",
    "cursor_to_xml",
    "schema_to_xml",
    "database_to_xml",
    "ts_stat",
    "xpath_table",
];

/// What a statement does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementClass {
    /// Reads or writes one table.
    TableAccess {
        table: Arc<str>,
        action: Action,
    },
    Begin,
    Commit,
    Rollback,
    /// Sets a proxy variable or an accepted client setting; see [`variables`].
    Set {
        name: Arc<str>,
        value: Arc<str>,
    },
    Show {
        name: Arc<str>,
    },
    /// Text without a statement, such as a comment.
    Empty,
    /// Query without a table.
    NoTable,
}

/// Why a statement is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ClassifyError {
    #[display("the statement cannot be parsed: {message}")]
    Syntax { message: String },
    #[display("several statements in one query are not supported")]
    MultipleStatements,
    #[display("statements that touch more than one table are not supported")]
    MultipleTables,
    #[display("names that begin with `{RESERVED_PREFIX}` are reserved")]
    ReservedName,
    #[display("function `{name}` is not supported")]
    Function { name: String },
    #[display("variable `{name}` cannot be set to this value or shown")]
    Variable { name: String },
    #[display("{construct} is not supported")]
    Unsupported { construct: &'static str },
}

impl ClassifyError {
    /// SQLSTATE of the error.
    pub fn code(&self) -> &'static str {
        match self {
            ClassifyError::Syntax { .. } => "42601",
            _ => "0A000",
        }
    }
}

fn unsupported<T>(construct: &'static str) -> Result<T, ClassifyError> {
    Err(ClassifyError::Unsupported { construct })
}

/// Classifies the single statement in `sql`.
pub fn classify(sql: &str) -> Result<StatementClass, ClassifyError> {
    let dialect = PostgreSqlDialect {};
    let syntax = |message: String| ClassifyError::Syntax { message };
    let tokens =
        Tokenizer::new(&dialect, sql).tokenize().map_err(|error| syntax(error.to_string()))?;
    let scan = TokenScan::of(&tokens)?;
    let mut statements = Parser::new(&dialect)
        .with_tokens(tokens)
        .parse_statements()
        .map_err(|error| syntax(error.to_string()))?;
    let Some(statement) = statements.pop() else { return Ok(StatementClass::Empty) };
    if !statements.is_empty() {
        return Err(ClassifyError::MultipleStatements);
    }
    let class = classify_statement(&statement)?;
    scan.check(&class, &statement)?;
    Ok(class)
}

/// Result of one pass over the tokens.
struct TokenScan {
    /// Number of keywords that begin a query: `SELECT` and `TABLE`.
    query_keywords: u32,
    has_reserved_name: bool,
    rejected_function: Option<String>,
}

impl TokenScan {
    fn of(tokens: &[Token]) -> Result<Self, ClassifyError> {
        let mut scan =
            TokenScan { query_keywords: 0, has_reserved_name: false, rejected_function: None };
        let significant = tokens.iter().filter(|token| !matches!(token, Token::Whitespace(_)));
        let mut previous: Option<&Word> = None;
        for token in significant {
            match (token, previous) {
                (Token::LParen, Some(word)) => scan.visit_call(word),
                // The tokenizer does not decode identifiers with Unicode escapes
                // (`U&"..."`), which could hide a reserved name.
                (Token::Ampersand, Some(word)) if word.value.eq_ignore_ascii_case("u") => {
                    return unsupported("an identifier with Unicode escapes");
                }
                _ => {}
            }
            previous = if let Token::Word(word) = token { Some(word) } else { None };
            if let Some(word) = previous {
                scan.visit_word(word);
            }
        }
        Ok(scan)
    }

    fn visit_word(&mut self, word: &Word) {
        if matches!(word.keyword, Keyword::SELECT | Keyword::TABLE) {
            self.query_keywords += 1;
        }
        self.has_reserved_name |= starts_with_ignore_case(&word.value, RESERVED_PREFIX);
    }

    fn visit_call(&mut self, word: &Word) {
        let name = word.value.as_str();
        let is_rejected = REJECTED_FUNCTION_PREFIXES
            .iter()
            .any(|prefix| starts_with_ignore_case(name, prefix))
            || REJECTED_FUNCTIONS.iter().any(|rejected| starts_with_ignore_case(name, rejected));
        if is_rejected {
            self.rejected_function = Some(name.to_owned());
        }
    }

    fn check(
        self,
        class: &StatementClass,
        statement: &ast::Statement,
    ) -> Result<(), ClassifyError> {
        let allowed_query_keywords = match class {
            StatementClass::TableAccess { .. } | StatementClass::NoTable => {
                u32::from(matches!(statement, ast::Statement::Query(_)))
            }
            StatementClass::Set { .. } | StatementClass::Show { .. } => return Ok(()),
            _ => 0,
        };
        if self.has_reserved_name {
            return Err(ClassifyError::ReservedName);
        }
        if let Some(name) = self.rejected_function {
            return Err(ClassifyError::Function { name });
        }
        if self.query_keywords > allowed_query_keywords {
            Err(ClassifyError::MultipleTables)
        } else {
            Ok(())
        }
    }
}

fn starts_with_ignore_case(text: &str, prefix: &str) -> bool {
    text.get(..prefix.len()).is_some_and(|start| start.eq_ignore_ascii_case(prefix))
}

fn classify_statement(statement: &ast::Statement) -> Result<StatementClass, ClassifyError> {
    use ast::Statement as S;
    match statement {
        S::Query(query) => classify_query(query),
        S::Insert(insert) => classify_insert(insert),
        S::Update { table, from: None, or: None, limit: None, .. } => {
            table_access(single_table(table)?, Action::Update)
        }
        S::Update { .. } => unsupported("UPDATE with FROM"),
        S::Delete(delete) => classify_delete(delete),
        S::StartTransaction { statements, exception: None, modifier: None, .. }
            if statements.is_empty() =>
        {
            Ok(StatementClass::Begin)
        }
        S::Commit { chain: false, modifier: None, .. } => Ok(StatementClass::Commit),
        S::Rollback { chain: false, savepoint: None } => Ok(StatementClass::Rollback),
        S::Rollback { .. } | S::Savepoint { .. } | S::ReleaseSavepoint { .. } => {
            unsupported("a savepoint")
        }
        S::Set(set) => classify_set(set),
        S::ShowVariable { variable } => classify_show(variable),
        S::Copy { .. } => unsupported("COPY"),
        S::Prepare { .. } | S::Execute { .. } | S::Deallocate { .. } => {
            unsupported("PREPARE or EXECUTE as SQL text")
        }
        S::LISTEN { .. } | S::NOTIFY { .. } | S::UNLISTEN { .. } => unsupported("LISTEN or NOTIFY"),
        S::Declare { .. } | S::Fetch { .. } | S::Close { .. } => unsupported("a cursor"),
        _ => unsupported("this kind of statement"),
    }
}

fn table_access(table: &ObjectName, action: Action) -> Result<StatementClass, ClassifyError> {
    Ok(StatementClass::TableAccess { table: table_name(table)?, action })
}

/// Table name as the target resolves it: unquoted parts in lower case, without `public.`.
fn table_name(name: &ObjectName) -> Result<Arc<str>, ClassifyError> {
    let mut text = String::new();
    for part in &name.0 {
        let Some(ident) = part.as_ident() else { return unsupported("a function as a table") };
        if !text.is_empty() {
            text.push('.');
        }
        match ident.quote_style {
            Some(_) => text.push_str(&ident.value),
            None => text.extend(ident.value.chars().map(|c| c.to_ascii_lowercase())),
        }
    }
    let unqualified = text.strip_prefix("public.").unwrap_or(&text);
    Ok(Arc::from(unqualified))
}

fn single_table(table: &TableWithJoins) -> Result<&ObjectName, ClassifyError> {
    match &table.relation {
        _ if !table.joins.is_empty() => Err(ClassifyError::MultipleTables),
        TableFactor::Table { name, args: None, sample: None, .. } => Ok(name),
        TableFactor::Table { .. } => unsupported("a function as a table"),
        _ => unsupported("this kind of table expression"),
    }
}

fn classify_query(query: &Query) -> Result<StatementClass, ClassifyError> {
    if query.with.is_some() {
        return unsupported("WITH");
    }
    match &*query.body {
        SetExpr::Select(select) => classify_select(select, !query.locks.is_empty()),
        SetExpr::SetOperation { .. } => Err(ClassifyError::MultipleTables),
        SetExpr::Values(_) => Ok(StatementClass::NoTable),
        _ => unsupported("this kind of query"),
    }
}

/// Classifies a `SELECT`. One that locks rows counts as an update, because the target
/// demands the same privilege for it.
fn classify_select(select: &Select, locks_rows: bool) -> Result<StatementClass, ClassifyError> {
    if select.into.is_some() {
        return unsupported("SELECT INTO");
    }
    let action = if locks_rows { Action::Update } else { Action::Select };
    match select.from.as_slice() {
        [] => Ok(StatementClass::NoTable),
        [table] => table_access(single_table(table)?, action),
        _ => Err(ClassifyError::MultipleTables),
    }
}

fn classify_insert(insert: &Insert) -> Result<StatementClass, ClassifyError> {
    let TableObject::TableName(name) = &insert.table else {
        return unsupported("this kind of INSERT");
    };
    if let Some(source) = &insert.source
        && (source.with.is_some() || !matches!(&*source.body, SetExpr::Values(_)))
    {
        return unsupported("INSERT from a query");
    }
    match &insert.on {
        None => table_access(name, Action::Insert),
        Some(OnInsert::OnConflict(conflict)) if conflict.action == OnConflictAction::DoNothing => {
            table_access(name, Action::Insert)
        }
        Some(_) => unsupported("INSERT with ON CONFLICT DO UPDATE"),
    }
}

fn classify_delete(delete: &Delete) -> Result<StatementClass, ClassifyError> {
    let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
    match from.as_slice() {
        [table] if delete.using.is_none() && delete.tables.is_empty() => {
            table_access(single_table(table)?, Action::Delete)
        }
        _ => Err(ClassifyError::MultipleTables),
    }
}

fn classify_set(set: &ast::Set) -> Result<StatementClass, ClassifyError> {
    let (name, value) = match set {
        ast::Set::SingleAssignment { scope, variable, values, hivevar: false } => {
            if !matches!(scope, None | Some(ast::ContextModifier::Session)) {
                return unsupported("SET LOCAL");
            }
            let values: Vec<String> = values.iter().map(set_value).collect();
            (variable.to_string().replace('"', ""), values.join(", "))
        }
        ast::Set::SetTimeZone { local: false, value } => ("timezone".to_owned(), set_value(value)),
        ast::Set::SetNames { charset_name, collation_name: None } => {
            ("client_encoding".to_owned(), charset_name.value.clone())
        }
        ast::Set::SetTransaction { .. } => return unsupported("SET TRANSACTION"),
        _ => return unsupported("this kind of SET"),
    };
    let name = name.to_ascii_lowercase();
    if variables::can_set(&name, &value) {
        Ok(StatementClass::Set { name: name.into(), value: value.into() })
    } else {
        Err(ClassifyError::Variable { name })
    }
}

/// Text of a value; a string literal loses its quotes.
fn set_value(value: &ast::Expr) -> String {
    match value {
        ast::Expr::Value(value) => match value.value.clone().into_string() {
            Some(text) => text,
            None => value.to_string(),
        },
        ast::Expr::Identifier(ident) => ident.value.clone(),
        other => other.to_string(),
    }
}

fn classify_show(variable: &[ast::Ident]) -> Result<StatementClass, ClassifyError> {
    let parts: Vec<String> =
        variable.iter().map(|ident| ident.value.to_ascii_lowercase()).collect();
    let name = match parts.join(".").as_str() {
        "time.zone" => "timezone".to_owned(),
        "transaction.isolation.level" => "transaction_isolation".to_owned(),
        name => name.to_owned(),
    };
    if variables::can_show(&name) {
        Ok(StatementClass::Show { name: name.into() })
    } else {
        Err(ClassifyError::Variable { name })
    }
}
