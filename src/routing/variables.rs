//! Variables that callers may set and show.
//!
//! The entry host answers `SET` and `SHOW` itself; a `SET` has no effect on the target.
//! Accepted are proxy variables and client settings. A setting with listed values accepts
//! only these and `default`; they are already in effect, so that results do not depend
//! on the `SET`.

/// Prefix of the names of proxy variables.
pub const PROXY_PREFIX: &str = "pomelopin.";

/// Proxy variables that callers may set.
const PROXY_VARIABLES: [&str; 3] = ["pomelopin.session", "pomelopin.request_key", "pomelopin.mark"];

/// Client settings with their accepted values; an empty list accepts any value.
const CLIENT_SETTINGS: [(&str, &[&str]); 10] = [
    ("application_name", &[]),
    ("client_min_messages", &[]),
    ("extra_float_digits", &[]),
    ("client_encoding", &["utf8", "utf-8", "unicode"]),
    ("standard_conforming_strings", &["on", "true", "1"]),
    ("bytea_output", &["hex"]),
    ("datestyle", &["iso", "iso, mdy", "iso, ymd", "iso, dmy"]),
    ("intervalstyle", &["postgres"]),
    ("timezone", &["utc", "gmt", "etc/utc"]),
    ("search_path", &["public", "\"$user\", public"]),
];

/// Variables that can be shown but not set.
const READ_ONLY_VARIABLES: [&str; 3] =
    ["server_version", "transaction_isolation", "transaction_read_only"];

/// Whether `SHOW name` is supported.
pub fn can_show(name: &str) -> bool {
    PROXY_VARIABLES.contains(&name)
        || READ_ONLY_VARIABLES.contains(&name)
        || CLIENT_SETTINGS.iter().any(|(known, _)| *known == name)
}

/// Whether `SET name = value` is accepted.
pub fn can_set(name: &str, value: &str) -> bool {
    let value = value.to_ascii_lowercase();
    let setting = CLIENT_SETTINGS.iter().find(|(known, _)| *known == name);
    PROXY_VARIABLES.contains(&name)
        || setting.is_some_and(|(_, values)| {
            values.is_empty() || value == "default" || values.contains(&value.as_str())
        })
}
