//! Guards against keys that work for the wrong workspace, after their withdrawal or
//! with a wrong secret, and against secrets in debug output.

use pomelopin::{
    ids::{KeyId, Workspace},
    keys::{
        announcement::{sign, verify_signature},
        authentication::{AuthError, KeyAuthenticator},
        host::{HostKey, HostKeyError},
        key::{Key, KeyError, is_verifier},
    },
    state::model::{ClusterView, KeySpec, KeyState, WorkspaceSpec},
};

fn key(id: &str) -> Key {
    Key::generate(id.into()).expect("key")
}

fn view(keys: &[(&str, &Key, KeyState)]) -> ClusterView {
    let mut view = ClusterView::default();
    for (workspace, key, state) in keys {
        let spec = KeySpec { verifier: key.verifier(), state: *state };
        let entry = view.desired.workspaces.entry((*workspace).into()).or_default();
        *entry = WorkspaceSpec { services: vec!["ledger-1".into()], ..entry.clone() };
        entry.keys.insert(key.id().clone(), spec);
    }
    view
}

#[test]
fn only_active_keys_of_the_workspace_are_accepted() {
    let [karoo, old, vaal] = [key("karoo-1"), key("karoo-0"), key("vaal-1")];
    let forged = format!("pk_karoo-1_{}", "0".repeat(64));
    let view = view(&[
        ("karoo", &karoo, KeyState::Active),
        ("karoo", &old, KeyState::Withdrawn),
        ("vaal", &vaal, KeyState::Active),
    ]);
    let check = KeyAuthenticator::new(&view);
    let cases = [
        ("karoo", karoo.reveal(), Ok("karoo-1"), "active key"),
        ("karoo", old.reveal(), Err(AuthError::Withdrawn), "withdrawn key"),
        ("karoo", vaal.reveal(), Err(AuthError::InvalidCredentials), "key of another workspace"),
        ("vaal", karoo.reveal(), Err(AuthError::InvalidCredentials), "workspace of another key"),
        ("none", karoo.reveal(), Err(AuthError::InvalidCredentials), "unknown workspace"),
        ("karoo", forged, Err(AuthError::InvalidCredentials), "wrong secret"),
        (
            "karoo",
            karoo.verifier(),
            Err(AuthError::InvalidCredentials),
            "verifier in place of the key",
        ),
        ("karoo", String::new(), Err(AuthError::InvalidCredentials), "no key"),
    ];
    for (workspace, password, expected, what) in cases {
        let held = check.authenticate(&workspace.into(), &password);
        assert_eq!(held.map(|held| held.id), expected.map(KeyId::from), "{what}");
    }
    assert_eq!(check.check_service(&"karoo".into(), &"ledger-1".into()), Ok(()));
    let other = check.check_service(&"karoo".into(), &"ledger-2".into());
    assert_eq!(other, Err(AuthError::ServiceNotAllowed));
}

#[test]
fn held_keys_stop_working_for_connected_callers() {
    let (workspace, first) = (Workspace::from("karoo"), key("karoo-1"));
    let granted = view(&[("karoo", &first, KeyState::Active)]);
    let held =
        KeyAuthenticator::new(&granted).authenticate(&workspace, &first.reveal()).expect("held");
    let cases = [
        (granted, Ok(()), "unchanged"),
        (view(&[("karoo", &first, KeyState::Withdrawn)]), Err(()), "withdrawn"),
        (view(&[("karoo", &key("karoo-2"), KeyState::Active)]), Err(()), "removed"),
        (view(&[("karoo", &key("karoo-1"), KeyState::Active)]), Err(()), "new secret, same id"),
        (view(&[("vaal", &first, KeyState::Active)]), Err(()), "moved to another workspace"),
    ];
    for (view, expected, what) in cases {
        let result = KeyAuthenticator::new(&view).revalidate(&workspace, &held);
        assert_eq!(result, expected.map_err(|()| AuthError::Withdrawn), "{what}");
    }
}

#[test]
fn malformed_keys_are_refused() {
    let secret = "a".repeat(64);
    let cases = [
        (format!("pk_a-1_{secret}"), None),
        (format!("a-1_{secret}"), Some(KeyError::Malformed)),
        ("pk_a-1".into(), Some(KeyError::Malformed)),
        (format!("pk__{secret}"), Some(KeyError::InvalidId)),
        (format!("pk_A_{secret}"), Some(KeyError::InvalidId)),
        (format!("pk_a-1_{secret}0"), Some(KeyError::InvalidSecret)),
        (format!("pk_a-1_{}", secret.to_uppercase()), Some(KeyError::InvalidSecret)),
    ];
    for (text, error) in cases {
        assert_eq!(text.parse::<Key>().err(), error, "{text}");
    }
    assert!(Key::generate("a_1".into()).is_err());
}

#[test]
fn verifiers_are_salted_by_the_id() {
    let secret = "a".repeat(64);
    let [one, two] = ["one", "two"].map(|id| format!("pk_{id}_{secret}").parse::<Key>().expect(id));
    assert_ne!(one.verifier(), two.verifier());
    assert!(is_verifier(&one.verifier()) && one.matches(&one.verifier()));
    assert!(!one.matches(&two.verifier()) && !one.matches(""));
}

#[test]
fn host_key_signs_and_verifies() {
    let key = HostKey::new("  0123456789abcdef\n").expect("key");
    let trimmed = HostKey::new("0123456789abcdef").expect("key");
    let other = HostKey::new("0123456789abcdee").expect("key");
    let signature = key.sign(b"message");
    let cases = [
        (&trimmed, &b"message"[..], &signature[..], true),
        (&other, b"message", &signature, false),
        (&key, b"messagf", &signature, false),
        (&key, b"message", &signature[..31], false),
        (&key, b"message", b"", false),
    ];
    for (key, message, signature, expected) in cases {
        assert_eq!(key.verify(message, signature), expected);
    }
    assert!(matches!(HostKey::new("short"), Err(HostKeyError::TooShort(5))));
}

#[test]
fn announcements_need_the_signature_of_their_body() {
    let key = b"0123456789abcdef";
    let header = sign(key, b"body");
    assert!(verify_signature(key, b"body", header.as_bytes()));
    for (body, header) in [("other", header.as_str()), ("body", "zz"), ("body", "")] {
        assert!(!verify_signature(key, body.as_bytes(), header.as_bytes()), "{body} {header}");
    }
}

#[test]
fn debug_output_has_no_secrets() {
    let key = key("karoo-1");
    assert_eq!(format!("{key:?}"), "Key(karoo-1, redacted)");
    let host = HostKey::new("0123456789abcdef").expect("key");
    assert_eq!(format!("{host:?}"), "HostKey(redacted)");
}
