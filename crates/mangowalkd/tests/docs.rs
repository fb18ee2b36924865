//! Checks that the fault table names only tests that exist.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the names of all test functions of the workspace.
fn test_names() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for package in ["core", "gateway", "mangowalk", "mangowalkd", "standins"] {
        let tests = root().join("crates").join(package).join("tests");
        collect(&tests, &mut names);
    }
    collect(&root().join("platform/tests"), &mut names);
    names
}

fn collect(folder: &Path, names: &mut BTreeSet<String>) {
    let Ok(entries) = fs::read_dir(folder) else {
        return;
    };
    for entry in entries.flatten() {
        if entry.path().is_dir() {
            collect(&entry.path(), names);
        } else if let Ok(text) = fs::read_to_string(entry.path()) {
            names.extend(functions(&text));
        }
    }
}

fn functions(text: &str) -> impl Iterator<Item = String> + '_ {
    text.lines()
        .filter_map(|line| line.trim().strip_prefix("fn "))
        .filter_map(|rest| rest.split_once('('))
        .map(|(name, _)| name.to_owned())
}

/// Returns the text in backticks in the rows of the page's tables.
fn backquoted_names(page: &str) -> Vec<String> {
    page.lines()
        .filter(|line| line.starts_with('|'))
        .flat_map(|line| line.split('`').skip(1).step_by(2).map(str::to_owned))
        .collect()
}

#[test]
fn the_fault_table_names_tests_that_exist() {
    let page = fs::read_to_string(root().join("docs/faults.md")).expect("the page");
    let tests = test_names();
    let unknown: Vec<String> = backquoted_names(&page)
        .into_iter()
        .filter(|name| !tests.contains(name))
        .collect();
    assert!(unknown.is_empty(), "no such tests: {unknown:?}");
}
