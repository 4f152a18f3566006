//! Typed access to the fields of a TOML table.
//!
//! A missing field or one of a wrong type is reported and returned as `None`, so that
//! the remaining fields are still checked.

use std::{fmt::Display, ops::RangeInclusive};

use toml_span::{
    Spanned, Value,
    value::{Table, ValueInner},
};

use crate::configuration::finding::Findings;

/// Fields of a section.
#[derive(Debug)]
pub struct Fields<'a, 'de> {
    /// Section as written in the file, such as `[[service]]`.
    section: &'static str,
    /// Byte offset of the section.
    pub offset: usize,
    table: &'a Table<'de>,
}

impl<'a, 'de> Fields<'a, 'de> {
    /// Fields of the table `value`; reports fields that are not in `allowed`.
    pub fn new(
        value: &'a Value<'de>,
        section: &'static str,
        allowed: &[&str],
        findings: &mut Findings<'_>,
    ) -> Option<Self> {
        let offset = value.span.start;
        let Some(table) = value.as_table() else {
            findings.add(offset, format!("{section} must be a table"));
            return None;
        };
        for key in table.keys().filter(|key| !allowed.contains(&key.name.as_ref())) {
            let allowed = allowed.join(", ");
            let name = &key.name;
            findings.add(
                key.span.start,
                format!("unknown field `{name}` in {section}; allowed: {allowed}"),
            );
        }
        Some(Self { section, offset, table })
    }

    /// Sections of an array of tables such as `[[service]]`.
    pub fn sections(
        &self,
        field: &str,
        section: &'static str,
        allowed: &[&str],
        findings: &mut Findings<'_>,
    ) -> Vec<Fields<'a, 'de>> {
        let Some(value) = self.table.get(field) else { return Vec::new() };
        let values = value.as_array().map_or(std::slice::from_ref(value), Vec::as_slice);
        if value.as_array().is_none() {
            findings.add(value.span.start, format!("`{field}` must be written as {section}"));
        }
        values.iter().filter_map(|value| Fields::new(value, section, allowed, findings)).collect()
    }

    /// Reports a required field that is missing; returns `value`.
    pub fn require<T>(
        &self,
        field: &str,
        value: Option<T>,
        findings: &mut Findings<'_>,
    ) -> Option<T> {
        if value.is_none() && !self.table.contains_key(field) {
            findings.add(self.offset, format!("{} needs `{field}`", self.section));
        }
        value
    }

    /// Value of an optional string field.
    pub fn string(&self, field: &str, findings: &mut Findings<'_>) -> Option<Spanned<String>> {
        string(field, self.table.get(field)?, findings)
    }

    /// Values of an optional field with an array of strings.
    pub fn strings(
        &self,
        field: &str,
        findings: &mut Findings<'_>,
    ) -> Option<Vec<Spanned<String>>> {
        let value = self.table.get(field)?;
        let Some(values) = value.as_array() else {
            wrong_type(field, "an array of strings", value, findings);
            return None;
        };
        Some(values.iter().filter_map(|value| string(field, value, findings)).collect())
    }

    /// Value of an optional boolean field.
    pub fn boolean(&self, field: &str, findings: &mut Findings<'_>) -> Option<Spanned<bool>> {
        let value = self.table.get(field)?;
        let Some(boolean) = value.as_bool() else {
            wrong_type(field, "true or false", value, findings);
            return None;
        };
        Some(Spanned::with_span(boolean, value.span))
    }

    /// Value of an optional integer field, which must be in `range`.
    pub fn integer<N>(
        &self,
        field: &str,
        range: RangeInclusive<N>,
        findings: &mut Findings<'_>,
    ) -> Option<Spanned<N>>
    where
        N: TryFrom<i64> + PartialOrd + Display,
    {
        let value = self.table.get(field)?;
        let (start, end) = (range.start(), range.end());
        let expected = format!("an integer from {start} to {end}");
        let Some(integer) = value.as_integer() else {
            wrong_type(field, &expected, value, findings);
            return None;
        };
        match N::try_from(integer) {
            Ok(number) if range.contains(&number) => Some(Spanned::with_span(number, value.span)),
            _ => {
                let message = format!("`{field}` must be {expected}, found {integer}");
                findings.add(value.span.start, message);
                None
            }
        }
    }

    /// Value of an optional string field, which must be one of `words`.
    pub fn one_of<T: Copy + Display>(
        &self,
        field: &str,
        words: &[T],
        findings: &mut Findings<'_>,
    ) -> Option<Spanned<T>> {
        let text = self.string(field, findings)?;
        let word = words.iter().find(|word| word.to_string() == text.value);
        if word.is_none() {
            let words = words.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
            let message = format!("`{field}` must be one of {words}, found `{}`", text.value);
            findings.add(text.span.start, message);
        }
        word.map(|word| Spanned::with_span(*word, text.span))
    }
}

fn string(field: &str, value: &Value<'_>, findings: &mut Findings<'_>) -> Option<Spanned<String>> {
    let Some(text) = value.as_str() else {
        wrong_type(field, "a string", value, findings);
        return None;
    };
    Some(Spanned::with_span(text.to_owned(), value.span))
}

fn wrong_type(field: &str, expected: &str, value: &Value<'_>, findings: &mut Findings<'_>) {
    let value_inner: &ValueInner<'_> = value.as_ref();
    let found = value_inner.type_str();
    findings.add(value.span.start, format!("`{field}` must be {expected}, found {found}"));
}
