//! `audit` command.

use crate::{
    cli::{CliError, Cx, Exit, client::Client, table::Table, time::format_utc},
    ids::Revision,
    settings::operator::OperatorSettings,
    state::model::AuditEntry,
};

/// Prints the audit trail, starting at revision `from`.
///
/// # Errors
///
/// Fails if no control host responds before the deadline.
pub async fn audit(
    settings: &OperatorSettings,
    from: Revision,
    cx: &mut Cx<'_>,
) -> Result<Exit, CliError> {
    let response = Client::new(settings)?.audit(from).await?;
    write!(cx.out, "{}", audit_table(&response.entries))?;
    Ok(Exit::Success)
}

pub fn audit_table(entries: &[AuditEntry]) -> Table {
    let mut table = Table::new(["REVISION", "TIME", "ACTOR", "ITEM", "BEFORE", "AFTER"]);
    for entry in entries {
        table.push_row([
            entry.revision.to_string(),
            format_utc(entry.at_unix_ms),
            entry.actor.clone(),
            entry.item.clone(),
            entry.before.clone(),
            entry.after.clone(),
        ]);
    }
    table
}
