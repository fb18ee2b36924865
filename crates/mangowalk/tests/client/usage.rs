//! Help text, usage errors and shell completion.

use crate::support::{Client, assert_run, platform};

#[test]
fn help_names_every_command_and_exit_code() {
    assert_run!(Client::new(platform().address()).run(&["--help"]));
}

#[test]
fn wrong_usage_has_its_own_exit_code() {
    let client = Client::new(platform().address());
    let cases: [&[&str]; 8] = [
        &[],
        &["nonsense"],
        &["apply"],
        &["list", "crew"],
        &["set", "rate", "gallery"],
        &["set", "rate", "gallery", "tokens_per_s"],
        &["list", "--platform-address=here"],
        &["completion", "fishes"],
    ];
    for args in cases {
        let run = client.run(args);
        assert_eq!((run.code, run.stdout.as_str()), (2, ""), "{args:?}: {run}");
        assert!(!run.stderr.is_empty(), "{args:?}");
    }
}

#[test]
fn each_shell_has_a_completion_script() {
    let client = Client::new(platform().address());
    for shell in ["bash", "zsh", "fish", "elvish"] {
        let run = client.run(&["completion", shell]);
        assert_eq!(run.code, 0, "{run}");
        assert!(run.stdout.contains("mangowalk"), "{run}");
    }
    let words = client.run(&["--bpaf-complete-rev=8", "li"]);
    assert!(words.stdout.contains("list"), "{words}");
}

#[test]
fn a_bad_variable_is_named() {
    let client = Client::new(platform().address());
    let client = client.with("MANGOWALK_PLATFORM_ADDRESS", "platform:80");
    let run = client.run(&["list"]);
    assert_eq!(run.code, 2, "{run}");
    assert!(
        run.stderr
            .contains("MANGOWALK_PLATFORM_ADDRESS is \"platform:80\""),
        "{run}"
    );
}
