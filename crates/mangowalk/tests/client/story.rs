//! The command `story`, on log lines of a fixed text.

use std::{
    io::Write,
    process::{Command, Stdio},
};

/// Runs `story` on logs, and returns the exit code and the whole output.
pub(crate) fn story(logs: &str, request: &str) -> (Option<i32>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mangowalk"))
        .args(["story", request])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut input = child.stdin.take().expect("its input is a pipe");
    input.write_all(logs.as_bytes()).expect("it reads");
    drop(input);
    let output = child.wait_with_output().expect("it ends");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

/// Log lines as a log collector delivers them: out of order, with a prefix of
/// the collector, and mixed with lines of other requests.
const LOGS: &str = r#"
  8.02 a-1 wall_ms=1008020 instance=a-1 level=INFO event=sent request=aa engine=e1 left_ms=5980 kept=true version=1
  8.01 b-1 wall_ms=1008010 instance=b-1 level=INFO event=sent request=bb engine=e2 left_ms=580 kept=false version=0
  7.60 c-1 wall_ms=1007600 instance=c-1 level=INFO event=weights_step engine=e1 version=2 phase=Sent before_ms=Some(120)
  8.05 a-1 wall_ms=1008050 instance=a-1 level=INFO event=rejected request=aa engine=e1 status=503 reason=full
  8.06 a-1 wall_ms=1008060 instance=a-1 level=WARN event=full request=aa engine=e3 wait_ms=1900 target_ms=800 own=100 others=70000
  8.06 a-1 wall_ms=1008061 instance=a-1 level=WARN event=refused request=aa reason=no_engine route=r after_ms=41 retry_after_ms=Some(900)
  8.40 b-1 wall_ms=1008400 instance=b-1 level=WARN event=engine_silent engine=e2 error="10.0.0.2:80 takes no connection (time ran out)."
  8.50 b-1 wall_ms=1008500 instance=b-1 level=WARN event=send_failed request=bb engine=e2 error="The request was sent and its connection ended: connection reset"
  8.50 b-1 wall_ms=1008501 instance=b-1 level=WARN event=refused request=bb reason=answer_lost route=r after_ms=490 retry_after_ms=None
  9.00 c-1 wall_ms=1009000 instance=c-1 level=INFO event=sent request=cc engine=e4 left_ms=5000 kept=false version=1
  9.30 c-1 wall_ms=1009300 instance=c-1 level=INFO event=ordered engine=e4 model=m version=2 cut=true fence=3 accepted_before=1 answer=Accepted
  9.31 c-1 wall_ms=1009310 instance=c-1 level=WARN event=engine_failed request=cc engine=e4 reason=broken_off
  9.31 c-1 wall_ms=1009311 instance=c-1 level=WARN event=stream_cut request=cc reason=broken_off
  8.01 a-2 wall_ms=1008010 instance=a-2 level=INFO event=engine_gone engine=e7
  8.02 a-1 wall_ms=1008020 instance=a-1 level=INFO event=engine_leaves engine=e7 peer=a-2
 17.10 a-1 wall_ms=1017100 instance=a-1 level=INFO event=engine_missing engine=e7 grace_ms=2000
 18.10 a-1 wall_ms=1018100 instance=a-1 level=INFO event=uncertain_engine request=ee engine=e7 reason=missing entry_revision=4 list_revision=28 list_age_ms=1000 missing_ms=1000 departure_revision=3 reported_by=a-2 reported_ago_ms=4100
 18.10 a-1 wall_ms=1018100 instance=a-1 level=INFO event=sent request=ee engine=e7 left_ms=580 cached=false version=0 others=0 own=0
 18.13 a-1 wall_ms=1018130 instance=a-1 level=INFO event=answered request=ee engine=e7 status=200 took_ms=30
"#;

#[test]
fn a_refusal_over_the_wait_target_is_explained() {
    insta::assert_snapshot!(story(LOGS, "aa").1);
}

#[test]
fn a_refusal_while_all_engines_rest_is_explained() {
    let logs = "8.20 a-1 wall_ms=1008200 instance=a-1 level=WARN event=refused request=ff \
                reason=engines_rest route=r after_ms=0 retry_after_ms=Some(2100)\n";
    insta::assert_snapshot!(story(logs, "ff").1);
}

#[test]
fn an_unknown_outcome_is_explained() {
    insta::assert_snapshot!(story(LOGS, "bb").1);
}

#[test]
fn an_interrupted_stream_is_explained() {
    insta::assert_snapshot!(story(LOGS, "cc").1);
}

#[test]
fn a_request_to_an_engine_that_may_have_left_is_explained() {
    insta::assert_snapshot!(story(LOGS, "ee").1);
}

#[test]
fn a_request_missing_from_the_logs_is_reported() {
    let (code, text) = story(LOGS, "dd");
    assert_eq!(code, Some(1));
    insta::assert_snapshot!(text);
}
