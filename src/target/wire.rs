//! Encoding of PostgreSQL backend messages.

use bytes::{BufMut, BytesMut};
use pgwire::{
    error::PgWireResult,
    messages::{
        Message,
        data::{FieldDescription, NoData, RowDescription},
        response::{CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus},
    },
};

use super::{
    error::SqlError,
    plan::Field,
    session::Status,
    value::{BINARY_FORMAT, Value},
};

/// Message type byte of DataRow.
const DATA_ROW: u8 = b'D';

/// Format codes of the result columns, as given in a Bind message.
#[derive(Debug, Clone, Default)]
pub struct Formats(pub Vec<i16>);

impl Formats {
    /// Format code of column `index`; a single code applies to all columns.
    pub fn of(&self, index: usize) -> i16 {
        match self.0.as_slice() {
            [] => 0,
            [format] => *format,
            formats => formats.get(index).copied().unwrap_or(0),
        }
    }

    /// Whether all format codes are text or binary.
    pub fn are_valid(&self) -> bool {
        self.0.iter().all(|format| (0..=BINARY_FORMAT).contains(format))
    }
}

/// Appends a RowDescription, or NoData if there are no columns.
pub fn describe(fields: &[Field], formats: &Formats, out: &mut BytesMut) -> PgWireResult<()> {
    if fields.is_empty() {
        return NoData::new().encode(out);
    }
    row_description(fields, formats, out)
}

/// Appends a RowDescription.
pub fn row_description(
    fields: &[Field],
    formats: &Formats,
    out: &mut BytesMut,
) -> PgWireResult<()> {
    let fields = fields.iter().enumerate().map(|(index, field)| {
        let name = field.name.to_owned();
        let kind = field.kind;
        FieldDescription::new(name, 0, 0, kind.oid(), kind.size(), -1, formats.of(index))
    });
    RowDescription::new(fields.collect()).encode(out)
}

/// Appends a DataRow, encoded in place because `pgwire` would copy each row.
pub fn data_row(values: &[Value], formats: &Formats, out: &mut BytesMut) {
    out.put_u8(DATA_ROW);
    let start = out.len();
    out.put_i32(0);
    out.put_i16(values.len() as i16);
    for (index, value) in values.iter().enumerate() {
        value.encode(formats.of(index), out);
    }
    let length = (out.len() - start) as i32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a CommandComplete.
pub fn command_complete(tag: String, out: &mut BytesMut) -> PgWireResult<()> {
    CommandComplete::new(tag).encode(out)
}

/// Appends a ReadyForQuery.
pub fn ready_for_query(status: Status, out: &mut BytesMut) -> PgWireResult<()> {
    let status = match status {
        Status::Idle => TransactionStatus::Idle,
        Status::Open => TransactionStatus::Transaction,
        Status::Failed => TransactionStatus::Error,
    };
    ReadyForQuery::new(status).encode(out)
}

/// Appends an ErrorResponse with the given severity.
pub fn error_response(severity: &str, error: &SqlError, out: &mut BytesMut) -> PgWireResult<()> {
    let fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', error.code.to_owned()),
        (b'M', error.message.to_string()),
    ];
    ErrorResponse::new(fields).encode(out)
}
