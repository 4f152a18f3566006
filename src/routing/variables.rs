//! Variables that callers may set and show.
//!
//! The entry answers `SET` and `SHOW` itself. It accepts only its own variables
//! and client settings whose stated values are already in force, so that a `SET`
//! without effect on the target cannot change results.

/// Prefix of the proxy's own variables.
pub const OWN_PREFIX: &str = "pomelopin.";

/// Own variables that callers may set.
const OWN: [&str; 3] = ["pomelopin.session", "pomelopin.request_key", "pomelopin.mark"];

/// Client settings with the accepted values; no values means any value.
const CLIENT: [(&str, &[&str]); 10] = [
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

/// Variables that can be shown and not set.
const READ_ONLY: [&str; 3] = ["server_version", "transaction_isolation", "transaction_read_only"];

/// Whether `SHOW name` is answered.
pub fn can_show(name: &str) -> bool {
    OWN.contains(&name)
        || READ_ONLY.contains(&name)
        || CLIENT.iter().any(|(known, _)| *known == name)
}

/// Whether `SET name = value` is accepted.
pub fn can_set(name: &str, value: &str) -> bool {
    let value = value.to_ascii_lowercase();
    let client = CLIENT.iter().find(|(known, _)| *known == name);
    OWN.contains(&name)
        || client.is_some_and(|(_, values)| {
            values.is_empty() || value == "default" || values.contains(&value.as_str())
        })
}
