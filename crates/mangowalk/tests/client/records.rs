//! The commands that read and write records, against a platform stand-in.

use {
    crate::support::{Client, assert_run, platform},
    mangowalk_standins::{PlatformFaults, PlatformStandIn},
    serde_json::json,
    std::{thread, time::Duration},
};

const TEAM_AND_RATE: &str = r#"
    [{"kind":"rate","name":"gallery","record":{"schema":1,"tokens_per_s":100,"burst_tokens":500}}]
    {"kind":"team","name":"gallery","record":{"schema":1}}
"#;

const FASTER: &str = r#"{"kind":"rate","name":"gallery","version":2,
    "record":{"schema":1,"tokens_per_s":200,"burst_tokens":500}}"#;

/// Returns a platform with the team and rate of [`TEAM_AND_RATE`], and a
/// client.
fn platform_with_rate() -> (PlatformStandIn, Client) {
    let platform = platform();
    let client = Client::new(platform.address());
    let run = client.run_with_input(&["apply", "-"], TEAM_AND_RATE);
    assert_eq!(run.code, 0, "{run}");
    (platform, client)
}

#[test]
fn apply_creates_in_the_order_that_a_fleet_needs() {
    let platform = platform();
    let client = Client::new(platform.address());
    assert_run!(client.run_with_input(&["apply", "-"], TEAM_AND_RATE));
}

#[test]
fn apply_again_changes_nothing() {
    let (_platform, client) = platform_with_rate();
    assert_run!(client.run_with_input(&["apply", "-"], TEAM_AND_RATE));
}

#[test]
fn a_dry_run_shows_the_fields_and_writes_nothing() {
    let (platform, client) = platform_with_rate();
    assert_run!(client.run_with_input(&["apply", "--dry-run", "-"], FASTER));
    let rate = platform.get("rate", "gallery").expect("the rate");
    assert_eq!((rate.version, &rate.body["tokens_per_s"]), (2, &json!(100)));
}

#[test]
fn show_prints_what_apply_reads() {
    let (_platform, client) = platform_with_rate();
    let shown = client.run(&["show", "rate", "gallery"]);
    assert_run!(shown);
    let applied = client.run_with_input(&["apply", "-"], &shown.stdout);
    assert_eq!(applied.code, 0, "{applied}");
}

/// Two operators read version 2 and both write. The second write would
/// overwrite the first unnoticed; it must be refused, and the first value
/// stays.
#[test]
fn a_write_over_an_outdated_version_is_a_conflict() {
    let (platform, client) = platform_with_rate();
    let first = client.run(&["set", "rate", "gallery", "tokens_per_s=300"]);
    assert_eq!(first.code, 0, "{first}");
    assert_run!(client.run_with_input(&["apply", "-"], FASTER));
    let rate = platform.get("rate", "gallery").expect("the rate");
    assert_eq!(rate.body["tokens_per_s"], 300);
}

/// A file without a version could overwrite a change that its author didn't
/// see. It must be refused unless it gives the version or `--overwrite` is
/// given.
#[test]
fn a_file_without_a_version_changes_nothing_without_overwrite() {
    let (platform, client) = platform_with_rate();
    let without_version = FASTER.replace(r#""version":2,"#, "");
    assert_run!(client.run_with_input(&["apply", "-"], &without_version));
    let forced = client.run_with_input(&["apply", "--overwrite", "-"], &without_version);
    assert_eq!(forced.code, 0, "{forced}");
    let rate = platform.get("rate", "gallery").expect("the rate");
    assert_eq!(rate.body["tokens_per_s"], 200);
}

/// The platform's reply to a write that took effect is lost. The client must
/// read the record back, recognize its own write, and report success with the
/// version.
#[test]
fn a_write_whose_reply_was_lost_is_read_back() {
    let (platform, client) = platform_with_rate();
    let lose = PlatformFaults {
        lose_replies: 1,
        ..PlatformFaults::default()
    };
    platform.set_faults(lose.clone());
    let run = client.run(&["set", "rate", "gallery", "tokens_per_s=300"]);
    assert_run!(run);
    platform.set_faults(lose.clone());
    let run = client.run(&["withdraw", "rate", "gallery"]);
    assert_eq!(run.code, 0, "{run}");
    assert!(platform.get("rate", "gallery").is_none());
    platform.set_faults(lose);
    let run = client.run(&["key", "issue", "gallery"]);
    assert_eq!(run.code, 0, "{run}");
    assert_eq!(platform.list("key").len(), 1);
}

#[test]
fn an_unreachable_platform_has_its_own_exit_code() {
    let unreachable = Client::new(([127, 0, 0, 1], 1).into());
    for args in [&["list"][..], &["fleet"], &["show", "team", "gallery"]] {
        let run = unreachable.run(args);
        assert_eq!(run.code, 5, "{args:?}: {run}");
    }
}

#[test]
fn a_platform_that_is_down_has_its_own_exit_code() {
    let (platform, client) = platform_with_rate();
    platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    assert_run!(client.run(&["set", "rate", "gallery", "tokens_per_s=300"]));
    platform.set_faults(PlatformFaults::default());
    let rate = platform.get("rate", "gallery").expect("the rate");
    assert_eq!(rate.body["tokens_per_s"], 100);
}

/// One record of a file is invalid. No record of the file may be written, so
/// that the fleet never runs with half of the file.
#[test]
fn one_bad_record_refuses_the_whole_file() {
    let team = r#"{"kind":"team","name":"gallery","record":{"schema":1}}"#;
    let cases = [
        ("no JSON", "{"),
        ("no kind", r#"{"name":"a","record":{}}"#),
        (
            "an unknown kind",
            r#"{"kind":"crew","name":"a","record":{}}"#,
        ),
        (
            "an unknown field",
            r#"{"kind":"team","name":"a","record":{"schema":1},"x":1}"#,
        ),
        ("no schema", r#"{"kind":"team","name":"a","record":{}}"#),
        (
            "a newer schema",
            r#"{"kind":"team","name":"a","record":{"schema":99}}"#,
        ),
        (
            "a bad value",
            r#"{"kind":"team","name":"a","record":{"schema":1,"priority":10}}"#,
        ),
        (
            "a negative number",
            r#"{"kind":"rate","name":"a","record":{"schema":1,"tokens_per_s":-1,"burst_tokens":1}}"#,
        ),
        (
            "a bad name",
            r#"{"kind":"team","name":"a/b","record":{"schema":1}}"#,
        ),
        (
            "a kind of the system's own",
            r#"{"kind":"drain","name":"a","record":{"schema":1,"model":"a"}}"#,
        ),
        ("a record twice", team),
    ];
    let platform = platform();
    let client = Client::new(platform.address());
    let mut seen = String::new();
    for (what, file) in cases {
        let run = client.run_with_input(&["apply", "-"], &format!("{team}\n{file}"));
        assert_eq!(run.code, 3, "{what}: {run}");
        seen.push_str(&format!("{what}: {}", run.stderr));
    }
    insta::assert_snapshot!(seen);
    for empty in ["-", "/no/such/file"] {
        let run = client.run(&["apply", empty]);
        assert_eq!(run.code, 3, "{run}");
    }
    assert!(platform.list("team").is_empty());
}

#[test]
fn a_missing_record_is_named() {
    let (_platform, client) = platform_with_rate();
    for args in [
        ["show", "team", "workshop"],
        ["withdraw", "team", "workshop"],
        ["key", "issue", "workshop"],
        ["key", "withdraw", "workshop"],
    ] {
        let run = client.run(&args);
        assert_eq!(run.code, 1, "{args:?}: {run}");
        assert!(run.stderr.contains("There is no "), "{run}");
    }
    let late = client.run(&["withdraw", "team", "gallery", "--if-version=9"]);
    assert_eq!(late.code, 4, "{late}");
}

#[test]
fn a_record_that_an_instance_would_refuse_is_marked() {
    let (platform, client) = platform_with_rate();
    platform.put("team", "newer", json!({ "schema": 2 }));
    assert_run!(client.run(&["list", "team"]));
}

/// Another operator writes between the client's read and its write. The
/// platform compares versions, so the client's write must fail with a conflict.
/// The platform is slowed to leave time for the other write.
#[test]
fn a_concurrent_write_is_not_overwritten() {
    let (platform, client) = platform_with_rate();
    platform.set_faults(PlatformFaults {
        delay_ms: 500,
        ..PlatformFaults::default()
    });
    let read = || platform.calls().get("get").copied().unwrap_or(0);
    let reads = read();
    let run = thread::scope(|scope| {
        let set = scope.spawn(|| client.run(&["set", "rate", "gallery", "burst_tokens=900"]));
        while read() == reads {
            thread::sleep(Duration::from_millis(1));
        }
        let other = json!({ "schema": 1, "tokens_per_s": 300, "burst_tokens": 500 });
        platform.put("rate", "gallery", other);
        set.join().expect("the client's run")
    });
    assert_eq!(run.code, 4, "{run}");
    let rate = platform.get("rate", "gallery").expect("the rate");
    assert_eq!(rate.body["tokens_per_s"], 300);
}

/// The platform takes three seconds for each answer. The client must wait for
/// it: if it reported an unreachable platform, the operator would repeat a
/// command that was only slow.
#[test]
fn a_slow_platform_does_not_fail_the_command() {
    let (platform, client) = platform_with_rate();
    platform.set_faults(PlatformFaults {
        delay_ms: 3_000,
        ..PlatformFaults::default()
    });
    let run = client.run(&["show", "rate", "gallery"]);
    assert_eq!(run.code, 0, "{run}");
}
