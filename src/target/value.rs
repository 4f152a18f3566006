//! SQL values and their text and binary encodings.

use std::sync::Arc;

use bytes::{BufMut, BytesMut};
use serde::{Deserialize, Serialize};

use super::error::SqlError;

/// Protocol format code of binary values; 0 is text.
pub const BINARY_FORMAT: i16 = 1;

/// Data type of a column or parameter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Text,
    Int,
    Bool,
}

/// PostgreSQL type OIDs.
mod oid {
    pub const BOOL: u32 = 16;
    pub const INT8: u32 = 20;
    pub const INT2: u32 = 21;
    pub const INT4: u32 = 23;
    pub const TEXT: u32 = 25;
}

impl Kind {
    /// PostgreSQL type OID that represents this type.
    pub fn oid(self) -> u32 {
        match self {
            Kind::Text => oid::TEXT,
            Kind::Int => oid::INT8,
            Kind::Bool => oid::BOOL,
        }
    }

    /// Type size in a RowDescription message, in bytes; -1 for variable length.
    pub fn size(self) -> i16 {
        match self {
            Kind::Text => -1,
            Kind::Int => 8,
            Kind::Bool => 1,
        }
    }
}

/// Value of a column or parameter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    Null,
    Text(Arc<str>),
    Int(i64),
    Bool(bool),
}

impl Value {
    /// Converts the value to `kind`; NULL stays NULL.
    pub fn coerce(self, kind: Kind) -> Result<Value, SqlError> {
        match (self, kind) {
            (Value::Null, _) => Ok(Value::Null),
            (value @ Value::Text(_), Kind::Text) => Ok(value),
            (value @ Value::Int(_), Kind::Int) => Ok(value),
            (value @ Value::Bool(_), Kind::Bool) => Ok(value),
            (Value::Int(number), Kind::Text) => Ok(Value::Text(number.to_string().into())),
            (Value::Bool(flag), Kind::Text) => Ok(Value::Text(flag.to_string().into())),
            (Value::Text(text), Kind::Int) => text
                .trim()
                .parse()
                .map(Value::Int)
                .map_err(|_| SqlError::new("22P02", format!("`{text}` is not an integer"))),
            (Value::Text(text), Kind::Bool) => parse_bool(&text).map(Value::Bool),
            (value, kind) => {
                Err(SqlError::new("42804", format!("{value:?} is not of type {kind:?}")))
            }
        }
    }

    /// Content of a text value; `None` for other types.
    pub fn as_text(&self) -> Option<&Arc<str>> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Decodes a parameter of type `type_oid` for a column of `kind`.
    pub fn decode(
        bytes: Option<&[u8]>,
        format: i16,
        type_oid: u32,
        kind: Kind,
    ) -> Result<Value, SqlError> {
        let Some(bytes) = bytes else { return Ok(Value::Null) };
        let value = if format == BINARY_FORMAT {
            decode_binary(bytes, type_oid)?
        } else {
            Value::Text(utf8(bytes)?.into())
        };
        value.coerce(kind)
    }

    /// Appends the value to a DataRow message, with its length prefix.
    pub fn encode(&self, format: i16, buf: &mut BytesMut) {
        let binary = format == BINARY_FORMAT;
        match self {
            Value::Null => buf.put_i32(-1),
            Value::Text(text) => put_bytes(buf, text.as_bytes()),
            Value::Int(number) if binary => put_bytes(buf, &number.to_be_bytes()),
            Value::Int(number) => put_bytes(buf, number.to_string().as_bytes()),
            Value::Bool(flag) if binary => put_bytes(buf, &[u8::from(*flag)]),
            Value::Bool(flag) => put_bytes(buf, if *flag { b"t" } else { b"f" }),
        }
    }
}

fn put_bytes(buf: &mut BytesMut, bytes: &[u8]) {
    buf.put_i32(bytes.len() as i32);
    buf.put_slice(bytes);
}

fn utf8(bytes: &[u8]) -> Result<&str, SqlError> {
    std::str::from_utf8(bytes).map_err(|_| SqlError::new("22021", "text is not valid UTF-8"))
}

fn parse_bool(text: &str) -> Result<bool, SqlError> {
    match text {
        "t" | "true" | "on" | "1" => Ok(true),
        "f" | "false" | "off" | "0" => Ok(false),
        _ => Err(SqlError::new("22P02", format!("`{text}` is not a boolean"))),
    }
}

fn decode_binary(bytes: &[u8], type_oid: u32) -> Result<Value, SqlError> {
    let wrong_size = || SqlError::new("22P03", "binary parameter has the wrong size");
    match type_oid {
        oid::BOOL => match bytes {
            [flag] => Ok(Value::Bool(*flag != 0)),
            _ => Err(wrong_size()),
        },
        oid::INT2 => {
            let number = bytes.try_into().map(i16::from_be_bytes).map_err(|_| wrong_size())?;
            Ok(Value::Int(number.into()))
        }
        oid::INT4 => {
            let number = bytes.try_into().map(i32::from_be_bytes).map_err(|_| wrong_size())?;
            Ok(Value::Int(number.into()))
        }
        oid::INT8 => {
            bytes.try_into().map(i64::from_be_bytes).map(Value::Int).map_err(|_| wrong_size())
        }
        _ => Ok(Value::Text(utf8(bytes)?.into())),
    }
}
