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
pub enum Classified {
    /// Reads or changes one table.
    Statement {
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
pub enum Unsupported {
    #[display("the statement cannot be parsed: {message}")]
    Syntax { message: String },
    #[display("several statements in one query are not supported")]
    SeveralStatements,
    #[display("statements that touch more than one table are not supported")]
    SeveralTables,
    #[display("names that begin with `{RESERVED_PREFIX}` are reserved")]
    ReservedName,
    #[display("function `{name}` is not supported")]
    Function { name: String },
    #[display("variable `{name}` cannot be set to this value or shown")]
    Variable { name: String },
    #[display("{what} is not supported")]
    Kind { what: &'static str },
}

impl Unsupported {
    /// SQLSTATE of the error.
    pub fn code(&self) -> &'static str {
        match self {
            Unsupported::Syntax { .. } => "42601",
            _ => "0A000",
        }
    }
}

fn kind<T>(what: &'static str) -> Result<T, Unsupported> {
    Err(Unsupported::Kind { what })
}

/// Classifies the single statement in `sql`.
pub fn classify(sql: &str) -> Result<Classified, Unsupported> {
    let dialect = PostgreSqlDialect {};
    let syntax = |message: String| Unsupported::Syntax { message };
    let tokens =
        Tokenizer::new(&dialect, sql).tokenize().map_err(|error| syntax(error.to_string()))?;
    let screen = Screen::of(&tokens)?;
    let mut statements = Parser::new(&dialect)
        .with_tokens(tokens)
        .parse_statements()
        .map_err(|error| syntax(error.to_string()))?;
    let Some(statement) = statements.pop() else { return Ok(Classified::Empty) };
    if !statements.is_empty() {
        return Err(Unsupported::SeveralStatements);
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
    fn of(tokens: &[Token]) -> Result<Self, Unsupported> {
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

    fn check(self, classified: &Classified, statement: &ast::Statement) -> Result<(), Unsupported> {
        let queries = match classified {
            Classified::Statement { .. } | Classified::NoTable => {
                u32::from(matches!(statement, ast::Statement::Query(_)))
            }
            Classified::Set { .. } | Classified::Show { .. } => return Ok(()),
            _ => 0,
        };
        if self.reserved {
            return Err(Unsupported::ReservedName);
        }
        if let Some(name) = self.function {
            return Err(Unsupported::Function { name });
        }
        if self.queries > queries { Err(Unsupported::SeveralTables) } else { Ok(()) }
    }
}

fn starts_with(text: &str, prefix: &str) -> bool {
    text.get(..prefix.len()).is_some_and(|start| start.eq_ignore_ascii_case(prefix))
}

fn statement_kind(statement: &ast::Statement) -> Result<Classified, Unsupported> {
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
            Ok(Classified::Begin)
        }
        S::Commit { chain: false, modifier: None, .. } => Ok(Classified::Commit),
        S::Rollback { chain: false, savepoint: None } => Ok(Classified::Rollback),
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

fn touches(table: &ObjectName, action: Action) -> Result<Classified, Unsupported> {
    Ok(Classified::Statement { table: table_name(table)?, action })
}

/// Name as the target sees it: unquoted parts in lower case, without `public.`.
fn table_name(name: &ObjectName) -> Result<Arc<str>, Unsupported> {
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

fn single_table(table: &TableWithJoins) -> Result<&ObjectName, Unsupported> {
    match &table.relation {
        _ if !table.joins.is_empty() => Err(Unsupported::SeveralTables),
        TableFactor::Table { name, args: None, sample: None, .. } => Ok(name),
        TableFactor::Table { .. } => kind("a function as a table"),
        _ => kind("this kind of table expression"),
    }
}

fn query_kind(query: &Query) -> Result<Classified, Unsupported> {
    if query.with.is_some() {
        return kind("WITH");
    }
    match &*query.body {
        SetExpr::Select(select) => select_kind(select, !query.locks.is_empty()),
        SetExpr::SetOperation { .. } => Err(Unsupported::SeveralTables),
        SetExpr::Values(_) => Ok(Classified::NoTable),
        _ => kind("this kind of query"),
    }
}

/// A query that locks rows counts as an update, as in the target's privileges.
fn select_kind(select: &Select, locks: bool) -> Result<Classified, Unsupported> {
    if select.into.is_some() {
        return kind("SELECT INTO");
    }
    let action = if locks { Action::Update } else { Action::Select };
    match select.from.as_slice() {
        [] => Ok(Classified::NoTable),
        [table] => touches(single_table(table)?, action),
        _ => Err(Unsupported::SeveralTables),
    }
}

fn insert_kind(insert: &Insert) -> Result<Classified, Unsupported> {
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

fn delete_kind(delete: &Delete) -> Result<Classified, Unsupported> {
    let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
    match from.as_slice() {
        [table] if delete.using.is_none() && delete.tables.is_empty() => {
            touches(single_table(table)?, Action::Delete)
        }
        _ => Err(Unsupported::SeveralTables),
    }
}

fn set_kind(set: &ast::Set) -> Result<Classified, Unsupported> {
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
        Ok(Classified::Set { name: name.into(), value: value.into() })
    } else {
        Err(Unsupported::Variable { name })
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

fn show_kind(variable: &[ast::Ident]) -> Result<Classified, Unsupported> {
    let parts: Vec<String> =
        variable.iter().map(|ident| ident.value.to_ascii_lowercase()).collect();
    let name = match parts.join(".").as_str() {
        "time.zone" => "timezone".to_owned(),
        "transaction.isolation.level" => "transaction_isolation".to_owned(),
        name => name.to_owned(),
    };
    if variables::can_show(&name) {
        Ok(Classified::Show { name: name.into() })
    } else {
        Err(Unsupported::Variable { name })
    }
}
