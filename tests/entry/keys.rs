//! Authentication of callers: access by key, secrecy of keys, and their withdrawal.

use std::time::{Duration, Instant};

use pomelopin::{ids::KeyId, keys::key::Key};

use crate::{
    cluster::{Cluster, KEY_WITHDRAWN, WRONG_KEY, code, expect_error, run, wait_until},
    config_file::ConfigFile,
};

/// Longest time from the apply until a withdrawn key is refused by all hosts.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against keys that are sent to a target, or appear in errors, metrics, the audit
/// log or the status.
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_not_sent_to_targets_or_operators() {
    let cluster = Cluster::start().await;
    let key = cluster.config_file.key("alpha");
    let secret = key.rsplit('_').next().unwrap().to_owned();
    let wrong = Key::generate(KeyId::from("alpha-1")).unwrap().reveal();
    let mut texts = Vec::new();
    for entry in 0..2 {
        let client = cluster.connect(entry, "alpha").await;
        run(&client, &format!("INSERT INTO bookings (id) VALUES ('{entry}')")).await.unwrap();
        run(&client, "SELECT id FROM bookings").await.unwrap();
        client.query("SELECT id FROM bookings", &[]).await.unwrap();
        let error = cluster.try_connect(entry, "alpha", &wrong).await.unwrap_err();
        texts.push(format!("{error:?}"));
        texts.push(cluster.entries[entry].metrics().await);
    }
    texts.push(cluster.operator_get("/v1/audit").await);
    texts.push(cluster.operator_get("/v1/status").await);
    for target in &cluster.targets {
        let (bytes, truncated) = target.instance.capture.read();
        assert!(!bytes.is_empty() && !truncated);
        texts.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    let wrong_secret = wrong.rsplit('_').next().unwrap();
    for text in &texts {
        // Half of a secret counts as a leak too.
        for part in [&secret[..32], &secret[32..], &wrong_secret[..32], "pk_"] {
            assert!(!text.contains(part), "part of a key in: {text}");
        }
    }
}

/// Guards against a login with a wrong key, or with the key of another workspace.
#[tokio::test(flavor = "multi_thread")]
async fn login_requires_the_key_of_the_workspace() {
    let cluster = Cluster::start().await;
    let right = cluster.config_file.key("alpha");
    let other_secret = Key::generate(KeyId::from("alpha-1")).unwrap().reveal();
    let unknown_id = Key::generate(KeyId::from("gamma-1")).unwrap().reveal();
    let beta = cluster.config_file.key("beta");
    let cases = [
        ("alpha", ""),
        ("alpha", "pk_alpha-1"),
        ("alpha", other_secret.as_str()),
        ("alpha", unknown_id.as_str()),
        ("alpha", beta.as_str()),
        ("alpha", &right[..right.len() - 1]),
        ("unknown", right.as_str()),
        ("pomelopin", "pomelopin"),
    ];
    for entry in 0..2 {
        for (user, password) in cases {
            let error = cluster.try_connect(entry, user, password).await.unwrap_err();
            assert_eq!(code(&error), WRONG_KEY.code(), "{user} with `{password}`");
        }
        cluster.try_connect(entry, "alpha", &right).await.unwrap();
    }
}

/// Guards against access to keyed routes without a key.
#[tokio::test(flavor = "multi_thread")]
async fn callers_without_a_key_can_use_open_routes_only() {
    let cluster = Cluster::start().await;
    let open = cluster.try_connect(0, "open", "").await.unwrap();
    run(&open, "INSERT INTO notices (id, value) VALUES ('n', 'closed')").await.unwrap();
    let keyed = cluster.connect(1, "alpha").await;
    for client in [&open, &keyed] {
        assert_eq!(run(client, "SELECT value FROM notices").await.unwrap(), ["closed"]);
    }
    for sql in [
        "SELECT id FROM bookings",
        "INSERT INTO bookings (id) VALUES ('b')",
        "UPDATE bookings SET value = 'x'",
        "DELETE FROM bookings",
    ] {
        assert_eq!(expect_error(&open, sql).await, "28000", "{sql}");
    }
    assert_eq!(run(&keyed, "SELECT id FROM bookings").await.unwrap(), [""; 0]);
}

/// Guards against a workspace that reads or changes rows of another one, because the
/// owner reuses connections for both.
#[tokio::test(flavor = "multi_thread")]
async fn workspaces_can_access_their_own_rows_only() {
    let cluster = Cluster::start().await;
    let (alpha, beta) = (cluster.connect(0, "alpha").await, cluster.connect(0, "beta").await);
    for (client, name) in [(&alpha, "alpha"), (&beta, "beta")] {
        let insert = format!("INSERT INTO bookings (id, value) VALUES ('same', '{name}')");
        run(client, &insert).await.unwrap();
    }
    // Alternating statements make the owner reuse the same connections.
    for round in 0..20 {
        for (client, name) in [(&alpha, "alpha"), (&beta, "beta")] {
            let rows = run(client, "SELECT value FROM bookings").await.unwrap();
            assert_eq!(rows, [name], "round {round}");
        }
    }
    for sql in ["SET pomelopin.workspace = 'alpha'", "BEGIN"] {
        let _ = run(&beta, sql).await;
        assert_eq!(run(&beta, "SELECT value FROM bookings").await.unwrap(), ["beta"], "{sql}");
    }
    run(&beta, "DELETE FROM bookings").await.unwrap();
    run(&beta, "COMMIT").await.unwrap();
    assert_eq!(run(&alpha, "SELECT value FROM bookings").await.unwrap(), ["alpha"]);
}

type Change = fn(&mut ConfigFile);

/// Changes of the configuration file that make the key of `alpha` invalid.
const KEY_REMOVALS: [(&str, Change); 3] = [
    ("withdrawn", |file| file.workspace("alpha").withdrawn = true),
    ("replaced verifier", |file| {
        let key = Key::generate(KeyId::from("alpha-1")).unwrap();
        file.workspace("alpha").verifier = Some(key.verifier());
    }),
    ("removed workspace", |file| {
        file.workspaces.retain(|workspace| workspace.name != "alpha");
    }),
];

/// Guards against connected callers that continue with an invalid key, and against a
/// commit of their open transaction.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_key_is_refused_for_connected_callers() {
    for (name, change) in KEY_REMOVALS {
        let mut cluster = Cluster::start().await;
        let key = cluster.config_file.key("alpha");
        let idle = cluster.connect(0, "alpha").await;
        let busy = cluster.connect(1, "alpha").await;
        run(&idle, "SELECT id FROM bookings").await.unwrap();
        run(&busy, "BEGIN").await.unwrap();
        run(&busy, "INSERT INTO bookings (id) VALUES ('open')").await.unwrap();

        let applied = Instant::now();
        cluster.apply(change).await;
        for client in [&idle, &busy] {
            wait_until(name, async || {
                let read = run(client, "SELECT id FROM bookings").await;
                read.is_err_and(|code| code == KEY_WITHDRAWN)
            })
            .await;
        }
        assert!(applied.elapsed() < WITHDRAWAL_TIMEOUT, "{name}: {:?}", applied.elapsed());
        let end = run(&busy, "COMMIT").await;
        assert!(end.is_ok() || end == Err(KEY_WITHDRAWN.to_owned()), "{name}: {end:?}");
        assert_eq!(expect_error(&idle, "SELECT id FROM bookings").await, KEY_WITHDRAWN, "{name}");
        let error = cluster.try_connect(0, "alpha", &key).await.unwrap_err();
        assert!([KEY_WITHDRAWN, WRONG_KEY.code()].contains(&code(&error).as_str()), "{name}");

        // The transaction under the invalid key left no row.
        cluster
            .apply(|file| *file = ConfigFile { version: file.version, ..ConfigFile::default() })
            .await;
        let again = cluster.connect(0, "alpha").await;
        assert_eq!(run(&again, "SELECT id FROM bookings").await.unwrap(), [""; 0], "{name}");
    }
}
