//! Checks the operators' documentation: the commands in it run, and every field
//! of a record is described.

use {
    crate::support::{fleet, router_program, wait_until_in_force},
    mangowalk_core::record::{Key, Model, Rate, Team, Upstream},
    mangowalk_standins::{Fleet, FleetSettings},
    serde::{Serialize, de::DeserializeOwned},
    serde_json::{Value, json},
    std::{
        env, fs,
        path::{Path, PathBuf},
        process::Command,
    },
};

/// Returns the blocks of shell commands in a page.
fn blocks(page: &str) -> Vec<String> {
    page.split("```sh\n")
        .skip(1)
        .filter_map(|part| part.split("\n```").next())
        .map(str::to_owned)
        .collect()
}

/// An empty directory that is removed after the test.
struct Directory(PathBuf);

impl Directory {
    fn new() -> Directory {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("operators-page");
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a directory");
        Directory(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Runs the command blocks of the page in order on one fleet. Each must exit
/// with code 0 and leave the state that the next one expects.
#[test]
fn the_commands_run_as_printed() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators.md");
    let page = fs::read_to_string(page).expect("docs/operators.md");
    let blocks = blocks(&page);
    assert_eq!(blocks.len(), page.matches("```sh").count());
    assert!(blocks.len() >= 10, "the page has too few command blocks");
    let fleet = fleet(2, FleetSettings::default());
    wait_until_in_force(&fleet, 2);
    let directory = Directory::new();
    for block in blocks {
        let output = Command::new("bash")
            .args(["-euo", "pipefail", "-c", &block])
            .current_dir(&directory.0)
            .env("PATH", path())
            .env(
                "MANGOWALK_PLATFORM_ADDRESS",
                fleet.platform.address().to_string(),
            )
            .env(
                "MANGOWALK_URL",
                format!("http://{}", fleet.routers[0].address()),
            )
            .env("MANGOWALK_KEY", Fleet::KEY)
            .output()
            .expect("bash");
        assert!(
            output.status.success(),
            "{block}\nended with {}:\n{}",
            output.status,
            String::from_utf8_lossy(&output.stderr)
        );
    }
    assert!(fleet.platform.get("upstream", "engine-1").is_none());
    assert!(fleet.platform.get("key", "workshop-desk").is_none());
    let rate = fleet.platform.get("rate", "workshop").expect("the rate");
    assert_eq!(rate.body["tokens_per_s"], 70_000);
}

/// Returns `PATH` with the directory of the tested binaries first.
fn path() -> String {
    let programs = Path::new(&router_program()).with_file_name("");
    let before = env::var("PATH").unwrap_or_default();
    format!("{}:{before}", programs.display())
}

/// Fails if a field of a record is missing from `docs/records.md`, such as a
/// new one.
#[test]
fn every_record_field_is_documented() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/records.md");
    let page = fs::read_to_string(page).expect("docs/records.md");
    let upstream = |role: Value| {
        let body = json!({
            "schema": 1, "address": "10.0.0.1:1", "failure_domain": "a", "role": role,
        });
        fields::<Upstream>(body)
    };
    let cases = [
        ("team", fields::<Team>(json!({ "schema": 1 }))),
        (
            "rate",
            fields::<Rate>(json!({ "schema": 1, "tokens_per_s": 1, "burst_tokens": 1 })),
        ),
        (
            "key",
            fields::<Key>(json!({ "schema": 1, "team": "a", "digest": "" })),
        ),
        (
            "model",
            fields::<Model>(json!({ "schema": 1, "version": "v1" })),
        ),
        ("upstream", upstream(json!({ "engine": { "model": "a" } }))),
        (
            "upstream",
            upstream(json!({ "service": { "service": "a" } })),
        ),
    ];
    for (kind, fields) in cases {
        let section = page.split(&format!("\n## {kind}\n")).nth(1).expect(kind);
        let section = section.split("\n## ").next().expect(kind);
        for field in fields.iter().filter(|f| *f != "schema") {
            assert!(section.contains(&format!("`{field}`")), "{kind}: {field}");
        }
    }
}

/// Returns the paths of all fields of a record, including those that the
/// minimal record leaves at their defaults.
fn fields<T: Serialize + DeserializeOwned>(minimal: Value) -> Vec<String> {
    let record: T = serde_json::from_value(minimal).expect("a record");
    let mut paths = Vec::new();
    collect(
        "",
        &serde_json::to_value(record).expect("a value"),
        &mut paths,
    );
    paths
}

fn collect(path: &str, value: &Value, paths: &mut Vec<String>) {
    let Value::Object(object) = value else {
        paths.push(path.to_owned());
        return;
    };
    for (name, value) in object {
        let dot = if path.is_empty() { "" } else { "." };
        collect(&format!("{path}{dot}{name}"), value, paths);
    }
}
