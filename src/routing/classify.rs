//! Classification of SQL text.
//!
//! A statement is accepted if the proxy can tell from its text which single table
//! it touches. The text is tokenized once. The tokens are screened for nested
//! queries and for functions that reach other data, because subqueries may occur
//! in any expression; then the parsed statement's shape is checked.

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

/// Names that callers may not use: request records and helper functions.
const RESERVED_PREFIX: &str = "pomelopin_";

/// Prefixes of functions that reach beyond the statement's table.
const REFUSED_FUNCTION_PREFIXES: [&str; 4] = ["pg_", "dblink", "lo_", "query_to_xml"];

/// Functions that reach beyond the statement's table or change the connection.
const REFUSED_FUNCTIONS: [&str; 8] = [
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
    /// Reads or changes one table.
    TableAccess {
        table: Arc<str>,
        action: Action,
    },
    Begin,
    Commit,
    Rollback,
    /// Sets a variable of the proxy or a harmless client setting.
    Set {
        name: Arc<str>,
        value: Arc<str>,
    },
    Show {
        name: Arc<str>,
    },
    /// Text without a statement.
    Empty,
    /// Query without a table.
    NoTable,
}

/// Why a statement is not supported.
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
    #[display("{what} is not supported")]
    Unsupported { what: &'static str },
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

fn kind<T>(what: &'static str) -> Result<T, ClassifyError> {
    Err(ClassifyError::Unsupported { what })
}

/// Classifies the single statement in `sql`.
pub fn classify(sql: &str) -> Result<StatementClass, ClassifyError> {
    let dialect = PostgreSqlDialect {};
    let syntax = |message: String| ClassifyError::Syntax { message };
    let tokens =
        Tokenizer::new(&dialect, sql).tokenize().map_err(|error| syntax(error.to_string()))?;
    let screen = Screen::of(&tokens)?;
    let mut statements = Parser::new(&dialect)
        .with_tokens(tokens)
        .parse_statements()
        .map_err(|error| syntax(error.to_string()))?;
    let Some(statement) = statements.pop() else { return Ok(StatementClass::Empty) };
    if !statements.is_empty() {
        return Err(ClassifyError::MultipleStatements);
    }
    let classified = statement_kind(&statement)?;
    screen.check(&classified, &statement)?;
    Ok(classified)
}

/// Findings of one pass over the tokens.
struct Screen {
    /// Keywords that begin a query.
    queries: u32,
    reserved: bool,
    function: Option<String>,
}

impl Screen {
    fn of(tokens: &[Token]) -> Result<Self, ClassifyError> {
        let mut screen = Screen { queries: 0, reserved: false, function: None };
        let significant = tokens.iter().filter(|token| !matches!(token, Token::Whitespace(_)));
        let mut previous: Option<&Word> = None;
        for token in significant {
            match (token, previous) {
                (Token::LParen, Some(word)) => screen.called(word),
                // The tokenizer does not know identifiers with Unicode escapes,
                // which could hide a reserved name.
                (Token::Ampersand, Some(word)) if word.value.eq_ignore_ascii_case("u") => {
                    return kind("an identifier with Unicode escapes");
                }
                _ => {}
            }
            previous = if let Token::Word(word) = token { Some(word) } else { None };
            if let Some(word) = previous {
                screen.word(word);
            }
        }
        Ok(screen)
    }

    fn word(&mut self, word: &Word) {
        if matches!(word.keyword, Keyword::SELECT | Keyword::TABLE) {
            self.queries += 1;
        }
        self.reserved |= starts_with(&word.value, RESERVED_PREFIX);
    }

    fn called(&mut self, word: &Word) {
        let name = word.value.as_str();
        let refused = REFUSED_FUNCTION_PREFIXES.iter().any(|prefix| starts_with(name, prefix))
            || REFUSED_FUNCTIONS.iter().any(|refused| starts_with(name, refused));
        if refused {
            self.function = Some(name.to_owned());
        }
    }

    fn check(
        self,
        classified: &StatementClass,
        statement: &ast::Statement,
    ) -> Result<(), ClassifyError> {
        let queries = match classified {
            StatementClass::TableAccess { .. } | StatementClass::NoTable => {
                u32::from(matches!(statement, ast::Statement::Query(_)))
            }
            StatementClass::Set { .. } | StatementClass::Show { .. } => return Ok(()),
            _ => 0,
        };
        if self.reserved {
            return Err(ClassifyError::ReservedName);
        }
        if let Some(name) = self.function {
            return Err(ClassifyError::Function { name });
        }
        if self.queries > queries { Err(ClassifyError::MultipleTables) } else { Ok(()) }
    }
}

fn starts_with(text: &str, prefix: &str) -> bool {
    text.get(..prefix.len()).is_some_and(|start| start.eq_ignore_ascii_case(prefix))
}

fn statement_kind(statement: &ast::Statement) -> Result<StatementClass, ClassifyError> {
    use ast::Statement as S;
    match statement {
        S::Query(query) => query_kind(query),
        S::Insert(insert) => insert_kind(insert),
        S::Update { table, from: None, or: None, limit: None, .. } => {
            touches(single_table(table)?, Action::Update)
        }
        S::Update { .. } => kind("UPDATE with FROM"),
        S::Delete(delete) => delete_kind(delete),
        S::StartTransaction { statements, exception: None, modifier: None, .. }
            if statements.is_empty() =>
        {
            Ok(StatementClass::Begin)
        }
        S::Commit { chain: false, modifier: None, .. } => Ok(StatementClass::Commit),
        S::Rollback { chain: false, savepoint: None } => Ok(StatementClass::Rollback),
        S::Rollback { .. } | S::Savepoint { .. } | S::ReleaseSavepoint { .. } => {
            kind("a savepoint")
        }
        S::Set(set) => set_kind(set),
        S::ShowVariable { variable } => show_kind(variable),
        S::Copy { .. } => kind("COPY"),
        S::Prepare { .. } | S::Execute { .. } | S::Deallocate { .. } => {
            kind("PREPARE or EXECUTE as SQL text")
        }
        S::LISTEN { .. } | S::NOTIFY { .. } | S::UNLISTEN { .. } => kind("LISTEN or NOTIFY"),
        S::Declare { .. } | S::Fetch { .. } | S::Close { .. } => kind("a cursor"),
        _ => kind("this kind of statement"),
    }
}

fn touches(table: &ObjectName, action: Action) -> Result<StatementClass, ClassifyError> {
    Ok(StatementClass::TableAccess { table: table_name(table)?, action })
}

/// Name as the target sees it: unquoted parts in lower case, without `public.`.
fn table_name(name: &ObjectName) -> Result<Arc<str>, ClassifyError> {
    let mut text = String::new();
    for part in &name.0 {
        let Some(ident) = part.as_ident() else { return kind("a function as a table") };
        if !text.is_empty() {
            text.push('.');
        }
        match ident.quote_style {
            Some(_) => text.push_str(&ident.value),
            None => text.extend(ident.value.chars().map(|c| c.to_ascii_lowercase())),
        }
    }
    let short = text.strip_prefix("public.").unwrap_or(&text);
    Ok(Arc::from(short))
}

fn single_table(table: &TableWithJoins) -> Result<&ObjectName, ClassifyError> {
    match &table.relation {
        _ if !table.joins.is_empty() => Err(ClassifyError::MultipleTables),
        TableFactor::Table { name, args: None, sample: None, .. } => Ok(name),
        TableFactor::Table { .. } => kind("a function as a table"),
        _ => kind("this kind of table expression"),
    }
}

fn query_kind(query: &Query) -> Result<StatementClass, ClassifyError> {
    if query.with.is_some() {
        return kind("WITH");
    }
    match &*query.body {
        SetExpr::Select(select) => select_kind(select, !query.locks.is_empty()),
        SetExpr::SetOperation { .. } => Err(ClassifyError::MultipleTables),
        SetExpr::Values(_) => Ok(StatementClass::NoTable),
        _ => kind("this kind of query"),
    }
}

/// A query that locks rows counts as an update, as in the target's privileges.
fn select_kind(select: &Select, locks: bool) -> Result<StatementClass, ClassifyError> {
    if select.into.is_some() {
        return kind("SELECT INTO");
    }
    let action = if locks { Action::Update } else { Action::Select };
    match select.from.as_slice() {
        [] => Ok(StatementClass::NoTable),
        [table] => touches(single_table(table)?, action),
        _ => Err(ClassifyError::MultipleTables),
    }
}

fn insert_kind(insert: &Insert) -> Result<StatementClass, ClassifyError> {
    let TableObject::TableName(name) = &insert.table else { return kind("this kind of INSERT") };
    if let Some(source) = &insert.source
        && (source.with.is_some() || !matches!(&*source.body, SetExpr::Values(_)))
    {
        return kind("INSERT from a query");
    }
    match &insert.on {
        None => touches(name, Action::Insert),
        Some(OnInsert::OnConflict(conflict)) if conflict.action == OnConflictAction::DoNothing => {
            touches(name, Action::Insert)
        }
        Some(_) => kind("INSERT with ON CONFLICT DO UPDATE"),
    }
}

fn delete_kind(delete: &Delete) -> Result<StatementClass, ClassifyError> {
    let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
    match from.as_slice() {
        [table] if delete.using.is_none() && delete.tables.is_empty() => {
            touches(single_table(table)?, Action::Delete)
        }
        _ => Err(ClassifyError::MultipleTables),
    }
}

fn set_kind(set: &ast::Set) -> Result<StatementClass, ClassifyError> {
    let (name, value) = match set {
        ast::Set::SingleAssignment { scope, variable, values, hivevar: false } => {
            if !matches!(scope, None | Some(ast::ContextModifier::Session)) {
                return kind("SET LOCAL");
            }
            let values: Vec<String> = values.iter().map(set_value).collect();
            (variable.to_string().replace('"', ""), values.join(", "))
        }
        ast::Set::SetTimeZone { local: false, value } => ("timezone".to_owned(), set_value(value)),
        ast::Set::SetNames { charset_name, collation_name: None } => {
            ("client_encoding".to_owned(), charset_name.value.clone())
        }
        ast::Set::SetTransaction { .. } => return kind("SET TRANSACTION"),
        _ => return kind("this kind of SET"),
    };
    let name = name.to_ascii_lowercase();
    if variables::can_set(&name, &value) {
        Ok(StatementClass::Set { name: name.into(), value: value.into() })
    } else {
        Err(ClassifyError::Variable { name })
    }
}

/// Text of a value without the quotes of a string.
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

fn show_kind(variable: &[ast::Ident]) -> Result<StatementClass, ClassifyError> {
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
