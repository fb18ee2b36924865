//! The operators' page: every command on it runs as printed.

use {
    crate::support::{eventually_in_force, fleet, router_program},
    mangowalk_standins::{Fleet, FleetSettings},
    std::{
        env, fs,
        path::{Path, PathBuf},
        process::Command,
    },
};

/// Returns the blocks of shell commands of a page.
fn blocks(page: &str) -> Vec<String> {
    page.split("```sh\n")
        .skip(1)
        .filter_map(|part| part.split("\n```").next())
        .map(str::to_owned)
        .collect()
}

/// An empty directory that goes with the test.
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

/// An operator follows the page from top to bottom on one fleet. Each block
/// must end with code 0 and leave what the next one expects.
#[test]
fn the_commands_run_as_printed() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators.md");
    let page = fs::read_to_string(page).expect("docs/operators.md");
    let blocks = blocks(&page);
    assert_eq!(blocks.len(), page.matches("```sh").count());
    assert!(blocks.len() >= 10, "the page lost its commands");
    let fleet = fleet(2, FleetSettings::default());
    eventually_in_force(&fleet, 2);
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

fn path() -> String {
    let programs = Path::new(&router_program()).with_file_name("");
    let before = env::var("PATH").unwrap_or_default();
    format!("{}:{before}", programs.display())
}
