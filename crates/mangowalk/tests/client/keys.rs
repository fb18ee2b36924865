//! The commands `key issue` and `key withdraw`.

use {
    crate::support::{Client, platform},
    mangowalk_core::record::digest_of,
    serde_json::json,
    std::collections::HashSet,
};

/// The platform, its backups and its operators must see digests only: with a
/// key leaked from there, anyone could send requests as the team.
#[test]
fn a_key_is_shown_once_and_stored_as_a_digest() {
    let platform = platform();
    platform.put("team", "gallery", json!({ "schema": 1 }));
    let client = Client::new(platform.address());
    let issued = client.run(&["key", "issue", "gallery"]);
    assert_eq!(issued.code, 0, "{issued}");
    let key = issued.stdout.trim();
    assert!(!issued.stderr.contains(key), "{issued}");
    let records = platform.list("key");
    assert_eq!(records[0].body["digest"], digest_of(key));
    let all = client.run(&["list", "--json"]);
    assert!(!all.stdout.contains(key), "{all}");
    let withdrawn = client.run(&["key", "withdraw", &records[0].key.name]);
    assert_eq!(withdrawn.code, 0, "{withdrawn}");
    assert!(platform.list("key").is_empty());
}

#[test]
fn keys_differ_and_hold_256_bits() {
    let platform = platform();
    platform.put("team", "gallery", json!({ "schema": 1 }));
    let client = Client::new(platform.address());
    let keys: HashSet<String> = (0..10)
        .map(|_| client.run(&["key", "issue", "gallery", "--json"]).json()["key"].to_string())
        .collect();
    assert_eq!(keys.len(), 10);
    // Two quotes, the prefix `mw-`, and two hex digits for each of 32 bytes.
    assert!(keys.iter().all(|key| key.len() == 2 + 3 + 64), "{keys:?}");
}

#[test]
fn a_name_that_is_taken_is_a_conflict() {
    let platform = platform();
    platform.put("team", "gallery", json!({ "schema": 1 }));
    let client = Client::new(platform.address());
    let issue = ["key", "issue", "gallery", "--name=desk"];
    assert_eq!(client.run(&issue).code, 0);
    let second = client.run(&issue);
    assert_eq!((second.code, second.stdout.as_str()), (4, ""), "{second}");
}
