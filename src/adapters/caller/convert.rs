//! Conversions between peer protocol types and `pgwire` types.

use std::sync::Arc;

use bytes::BytesMut;
use futures::stream;
use pgwire::{
    api::{
        Type,
        portal::{Format, Portal},
        results::{FieldFormat, FieldInfo, QueryResponse, Response, Tag},
    },
    error::{ErrorInfo, PgWireError},
    messages::data::DataRow,
};

use super::{ReplyResult, connection::MAX_MESSAGE_BYTES};
use crate::wire::peer::{Bind, Failure, Field, Rows, Statement};

/// Severity of errors that leave the connection usable.
const ERROR: &str = "ERROR";

/// Severity of errors that end the connection.
const FATAL: &str = "FATAL";

/// `pgwire` response for `result`.
pub fn response(result: ReplyResult) -> Result<Response, PgWireError> {
    Ok(match result {
        ReplyResult::Rows(rows) => Response::Query(query_response(rows)),
        ReplyResult::Command(tag) => Response::Execution(Tag::new(&tag)),
        ReplyResult::TransactionStarted(tag) => Response::TransactionStart(Tag::new(&tag)),
        ReplyResult::TransactionEnded(tag) => Response::TransactionEnd(Tag::new(&tag)),
        ReplyResult::Empty => Response::EmptyQuery,
        ReplyResult::Error(failure) | ReplyResult::TransactionFailed(failure) => {
            return Err(error(&failure));
        }
    })
}

/// Error that leaves the connection usable.
pub fn error(failure: &Failure) -> PgWireError {
    user_error(ERROR, failure)
}

/// Error that ends the connection.
pub fn fatal(failure: &Failure) -> PgWireError {
    user_error(FATAL, failure)
}

/// Error for a message that is longer than [`MAX_MESSAGE_BYTES`].
pub fn message_too_long() -> PgWireError {
    let message = format!("messages may have at most {MAX_MESSAGE_BYTES} bytes");
    fatal(&Failure { code: "08P01".to_owned(), message })
}

fn user_error(severity: &str, failure: &Failure) -> PgWireError {
    let info = ErrorInfo::new(severity.to_owned(), failure.code.clone(), failure.message.clone());
    PgWireError::UserError(Box::new(info))
}

/// Column descriptions in the requested format.
pub fn fields(fields: &[Field], format: Option<&Format>) -> Vec<FieldInfo> {
    let convert = |(index, field): (usize, &Field)| {
        let format = match format {
            Some(Format::Individual(codes)) => {
                FieldFormat::from(codes.get(index).copied().unwrap_or_default())
            }
            Some(format) => format.format_for(index),
            None => FieldFormat::from(field.format),
        };
        let datatype = type_of(field.type_oid);
        FieldInfo::new(field.name.clone(), None, None, datatype, format)
    };
    fields.iter().enumerate().map(convert).collect()
}

/// Built-in type with this OID; `UNKNOWN` for others.
pub fn type_of(oid: u32) -> Type {
    Type::from_oid(oid).unwrap_or(Type::UNKNOWN)
}

/// Statement of a bound portal.
pub fn statement(portal: &Portal<String>) -> Statement {
    let types = &portal.statement.parameter_types;
    let types = types.iter().map(|ty| ty.as_ref().map_or(0, Type::oid)).collect();
    Statement {
        sql: portal.statement.statement.clone(),
        bind: Some(Bind {
            types,
            formats: format_codes(&portal.parameter_format),
            values: portal.parameters.clone(),
            result_formats: format_codes(&portal.result_column_format),
        }),
    }
}

fn format_codes(format: &Format) -> Vec<i16> {
    match format {
        Format::UnifiedText => Vec::new(),
        Format::UnifiedBinary => vec![FieldFormat::Binary.value()],
        Format::Individual(codes) => codes.clone(),
    }
}

fn query_response(rows: Rows) -> QueryResponse {
    let schema = Arc::new(fields(&rows.fields, None));
    let field_count = i16::try_from(rows.fields.len()).unwrap_or(i16::MAX);
    let data_rows = rows.rows.into_iter().map(move |body| Ok(data_row(&body, field_count)));
    let mut response = QueryResponse::new(schema, stream::iter(data_rows));
    // `pgwire` appends the row count to the tag.
    let command = rows.tag.split(' ').next().unwrap_or("SELECT");
    response.set_command_tag(command);
    response
}

/// Converts the body of a DataRow message without its column count, which `pgwire` adds.
fn data_row(body: &[u8], field_count: i16) -> DataRow {
    let columns = body.get(2..).unwrap_or_default();
    DataRow::new(BytesMut::from(columns), field_count)
}
