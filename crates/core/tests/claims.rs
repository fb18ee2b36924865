//! What a caller gets whose request meets a claim, and how long claims stay.

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

fn told(verdict: DuplicateResponse) -> String {
    match verdict {
        DuplicateResponse::Replay(reply) => format!("answer {} {:?}", reply.status, reply.body),
        DuplicateResponse::Refuse(refusal) => told_refusal(&refusal),
    }
}

fn told_refusal(refusal: &Refusal) -> String {
    let retry = refusal
        .retry_ms()
        .map_or_else(String::new, |ms| format!(", again in {ms} ms"));
    format!("{} {}{retry}", refusal.status(), refusal.outcome())
}

/// A caller sends again while the first run is in every possible state, and
/// its router lives or is silent. No state lets it run a second time.
#[test]
fn what_a_caller_gets_that_meets_a_claim() {
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
                let verdict = told(duplicate_response(&claim(state.clone()), request, holder));
                table += &format!("{state:?} {holder:?} {request}: {verdict}\n");
            }
        }
    }
    insta::assert_snapshot!(table);
}

/// Instances live for 15 minutes each, and each has another wall clock. The
/// epoch goes on all the same, never faster than its least time, and a claim
/// is not deleted before a day has passed.
#[test]
fn a_claim_outlives_a_day_of_short_lived_instances() {
    let mut held = (
        1,
        EpochBody {
            schema: 1,
            number: 1,
        },
    );
    let mut watch = EpochTracker::default();
    for minute in 0..24 * 60 {
        let now_ms = minute * 60_000;
        if minute % 15 == 0 {
            watch = EpochTracker::default();
        }
        watch.observe(held.0, held.1, now_ms);
        if let Some((version, next)) = watch.next_epoch(now_ms) {
            assert_eq!(version, held.0);
            held = (version + 1, next);
        }
        assert!(held.1.number <= now_ms / MIN_EPOCH_MS + 1);
        assert!(!watch.is_expired(Some(1)));
    }
    assert!(held.1.number > 90);
    watch.observe(
        9_999,
        EpochBody {
            schema: 1,
            number: CLAIM_RETENTION_EPOCHS + 2,
        },
        0,
    );
    assert!(watch.is_expired(Some(1)) && !watch.is_expired(Some(2)) && !watch.is_expired(None));
}

/// Team and key are told apart: no other split of the same letters meets the
/// claim of another team.
#[test]
fn names_of_claims_do_not_run_into_one_another() {
    assert_ne!(
        digest_of_parts(&[b"a", b"b/c"]),
        digest_of_parts(&[b"a/b", b"c"])
    );
    assert_ne!(
        digest_of_parts(&[b"ab", b""]),
        digest_of_parts(&[b"a", b"b"])
    );
}
