//! Tests of claims: responses to duplicate requests, retention and names.

use mangowalk_core::{
    claim::{
        CLAIM_RETENTION_EPOCHS, ClaimBody, ClaimState, DuplicateResponse, EpochBody, EpochTracker,
        HolderLiveness, MIN_EPOCH_MS, ReplyBody, StoredReply, digest_of_parts, duplicate_response,
    },
    refusal::Refusal,
};

fn claim(state: ClaimState) -> ClaimBody {
    ClaimBody {
        schema: 1,
        holder: ([127, 0, 0, 1], 7_000).into(),
        incarnation: 1,
        nonce: 2,
        request: "digest".to_owned(),
        epoch: Some(1),
        state,
    }
}

fn render(verdict: DuplicateResponse) -> String {
    match verdict {
        DuplicateResponse::Replay(reply) => format!("answer {} {:?}", reply.status, reply.body),
        DuplicateResponse::Refuse(refusal) => render_refusal(&refusal),
    }
}

fn render_refusal(refusal: &Refusal) -> String {
    let retry = refusal
        .retry_ms()
        .map_or_else(String::new, |ms| format!(", again in {ms} ms"));
    format!("{} {}{retry}", refusal.status(), refusal.outcome())
}

/// Guards against running a call twice. A caller retries while the first run is
/// in any possible state, and the instance that claimed it is alive or silent.
/// No combination runs the call again.
#[test]
fn responses_to_duplicate_requests() {
    let ran = ClaimState::Ran(StoredReply {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: ReplyBody::Text("booked".to_owned()),
    });
    let states = [
        ClaimState::Claimed,
        ran,
        ClaimState::RanTooLong,
        ClaimState::Unknown,
    ];
    let mut table = String::new();
    for state in states {
        for holder in [HolderLiveness::Alive, HolderLiveness::Silent] {
            for request in ["digest", "another"] {
                let verdict = render(duplicate_response(&claim(state.clone()), request, holder));
                table += &format!("{state:?} {holder:?} {request}: {verdict}\n");
            }
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against deleting claims too early, and against epochs that never
/// advance. Instances run for only 15 minutes each and don't share a wall clock.
/// The epoch advances nevertheless, but never faster than its minimum duration,
/// and a claim is not deleted within a day.
#[test]
fn a_claim_is_kept_for_a_day_across_short_lived_instances() {
    let mut held = (
        1,
        EpochBody {
            schema: 1,
            number: 1,
        },
    );
    let mut tracker = EpochTracker::default();
    for minute in 0..24 * 60 {
        let now_ms = minute * 60_000;
        if minute % 15 == 0 {
            tracker = EpochTracker::default();
        }
        tracker.observe(held.0, held.1, now_ms);
        if let Some((version, next)) = tracker.next_epoch(now_ms) {
            assert_eq!(version, held.0);
            held = (version + 1, next);
        }
        assert!(held.1.number <= now_ms / MIN_EPOCH_MS + 1);
        assert!(!tracker.is_expired(Some(1)));
    }
    assert!(held.1.number > 90);
    tracker.observe(
        9_999,
        EpochBody {
            schema: 1,
            number: CLAIM_RETENTION_EPOCHS + 2,
        },
        0,
    );
    assert!(
        tracker.is_expired(Some(1)) && !tracker.is_expired(Some(2)) && !tracker.is_expired(None)
    );
}

/// Guards against a caller reaching the claim of another team. Different splits
/// of the same letters into team and key give different names.
#[test]
fn claim_names_of_different_teams_and_keys_differ() {
    assert_ne!(
        digest_of_parts(&[b"a", b"b/c"]),
        digest_of_parts(&[b"a/b", b"c"])
    );
    assert_ne!(
        digest_of_parts(&[b"ab", b""]),
        digest_of_parts(&[b"a", b"b"])
    );
}
