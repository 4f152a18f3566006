//! `status` command.

use crate::{
    cli::{CliError, Cx, Exit, client::Client, table::Table},
    settings::operator::OperatorSettings,
    wire::operator::{
        ControlStatus, GroupStatus, HostStatus, InstanceStatus, OwnerStatus, StatusResponse,
    },
};

/// Placeholder for an absent value.
const NONE: &str = "-";

/// Prints the status of the cluster.
///
/// # Errors
///
/// Fails if no control host responds before the deadline.
pub async fn status(settings: &OperatorSettings, cx: &mut Cx<'_>) -> Result<Exit, CliError> {
    let status = Client::new(settings)?.status().await?;
    write!(cx.out, "{}", render(&status))?;
    Ok(Exit::Success)
}

/// Formats the status of the cluster as a heading and one table per kind of item.
pub fn render(status: &StatusResponse) -> String {
    let leader = status.leader.as_ref().map_or(NONE, |leader| leader.as_str());
    let heading =
        format!("version {}  revision {}  leader {leader}\n", status.version, status.revision);
    let tables = [
        control_table(&status.control),
        host_table(status),
        group_table(&status.groups),
        instance_table(&status.instances),
    ];
    tables.iter().fold(heading, |text, table| format!("{text}\n{table}"))
}

fn control_table(members: &[ControlStatus]) -> Table {
    let mut table = Table::new(["CONTROL", "ADDRESS", "VOTING", "SILENT"]);
    for member in members {
        table.push_row([
            member.id.to_string(),
            format_option(member.http_addr.as_ref()),
            if member.voting { "yes" } else { "no" }.to_owned(),
            member.silent_ms.map_or_else(|| NONE.to_owned(), |silent| format!("{silent} ms")),
        ]);
    }
    table
}

fn host_table(status: &StatusResponse) -> Table {
    let mut table = Table::new(["HOST", "FAILURE DOMAIN", "STATE", "REVISION", "OWNS"]);
    for host in &status.hosts {
        let HostStatus { id, failure_domain, state, revision, .. } = host;
        let owned = status
            .instances
            .iter()
            .filter(|instance| instance.owner.as_ref().is_some_and(|owner| owner.host == *id));
        table.push_row([
            id.to_string(),
            failure_domain.to_string(),
            state.to_string(),
            format_option(revision.as_ref()),
            owned.count().to_string(),
        ]);
    }
    table
}

fn group_table(groups: &[GroupStatus]) -> Table {
    let mut table = Table::new(["SERVICE", "TERM", "PRIMARY", "PROMOTION", "INSTANCES"]);
    for group in groups {
        let promotion = group.promotion.map(|term| format!("running, term {term}"));
        table.push_row([
            group.service.to_string(),
            group.term.to_string(),
            format_option(group.primary.as_ref()),
            format_option(promotion.as_ref()),
            format!("{} of {}", group.announced, group.expected),
        ]);
    }
    table
}

fn instance_table(instances: &[InstanceStatus]) -> Table {
    let heading = ["INSTANCE", "SERVICE", "FAILURE DOMAIN", "DRAIN", "OWNER", "EARLIER OWNER"];
    let mut table = Table::new(heading);
    for instance in instances {
        table.push_row([
            instance.id.to_string(),
            instance.service.to_string(),
            instance.failure_domain.to_string(),
            if instance.draining { "yes" } else { NONE }.to_owned(),
            format_owner(instance.owner.as_ref(), instance.connections),
            format_owner(instance.previous.as_ref(), instance.connections),
        ]);
    }
    table
}

fn format_owner(owner: Option<&OwnerStatus>, limit: u32) -> String {
    let format = |owner: &OwnerStatus| {
        let OwnerStatus { host, epoch, connections } = owner;
        format!("{host} (epoch {epoch}, {connections}/{limit} connections)")
    };
    owner.map_or_else(|| NONE.to_owned(), format)
}

fn format_option<T: ToString>(value: Option<&T>) -> String {
    value.map_or_else(|| NONE.to_owned(), ToString::to_string)
}
