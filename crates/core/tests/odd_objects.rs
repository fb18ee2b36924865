//! Objects of the platform that can't be read, among others.

use {
    mangowalk_core::{
        mesh::PeerMessage,
        origin::OriginMessage,
        platform::{Change, ListReply, ObjectKey, WatchReply},
        retries::LoanMessage,
    },
    serde_json::Value,
};

/// Bodies that can't be read.
fn odd_bodies() -> Vec<Vec<u8>> {
    let nested = |depth| ["[".repeat(depth), "]".repeat(depth)].concat();
    vec![
        nested(200).into_bytes(),
        nested(100_000).into_bytes(),
        b"1e999".to_vec(),
        br#""torn \ud83d""#.to_vec(),
        b"\"a\x01\n\"".to_vec(),
        b"\"\xff\"".to_vec(),
    ]
}

fn object(name: &str, body: &[u8]) -> Vec<u8> {
    let key = format!("{{\"kind\":\"team\",\"name\":\"{name}\",\"version\":4,\"body\":");
    [key.as_bytes(), body, b"}"].concat()
}

fn around(odd: &[u8], place: usize) -> Vec<Vec<u8>> {
    let mut objects = vec![object("a", b"{}"), object("z", b"{}")];
    objects.insert(place, odd.to_vec());
    objects
}

/// Guards against an odd record that hides all others from an instance, and against one that
/// counts as withdrawn.
#[test]
fn a_list_is_decoded_beside_an_odd_object() {
    for (body, place) in odd_bodies()
        .iter()
        .flat_map(|body| (0..3).map(move |n| (body, n)))
    {
        let objects = around(&object("m", body), place).join(&b","[..]);
        let reply = [b"{\"revision\":9,\"objects\":[", objects.as_slice(), b"]}"].concat();
        let reply = ListReply::decode(&reply).expect("it is a list");
        let odd = &reply.objects[place];
        assert_eq!(
            (odd.key.clone(), &odd.body),
            (ObjectKey::new("team", "m"), &Value::Null)
        );
        assert_eq!((reply.objects.len(), reply.revision), (3, 9));
    }
    assert_eq!(ListReply::decode(b"{\"revision\":9,\"objects\":["), None);
}

/// Guards against an odd record that ends the watch of all others.
#[test]
fn a_watch_is_decoded_beside_an_odd_object() {
    let deleted = br#"{"delete":{"kind":"team","name":"d","version":8}}"#;
    for (body, place) in odd_bodies()
        .iter()
        .flat_map(|body| (0..3).map(move |n| (body, n)))
    {
        let puts = around(&object("m", body), place);
        let puts = puts
            .iter()
            .map(|put| [b"{\"put\":", put.as_slice(), b"}"].concat());
        let changes: Vec<Vec<u8>> = puts.chain([deleted.to_vec(), b"7".to_vec()]).collect();
        let changes = changes.join(&b","[..]);
        let reply = [b"{\"revision\":9,\"changes\":[", changes.as_slice(), b"]}"].concat();
        let reply = WatchReply::decode(&reply).expect("they are changes");
        assert_eq!((reply.changes.len(), reply.revision), (4, 9));
        assert!(matches!(
            &reply.changes[3],
            Change::Delete { version: 8, .. }
        ));
    }
}

/// Guards against a datagram whose length prefix has memory reserved that it doesn't fill.
#[test]
fn a_length_prefix_reserves_no_memory() {
    for kind in 0..40 {
        for length in [[0xff_u8; 9].as_slice(), &[0xff, 0xff, 0xff, 0x7f]] {
            let bytes = [&[kind][..], length, &[1; 40]].concat();
            let _ = (PeerMessage::decode(&bytes), OriginMessage::decode(&bytes));
            let _ = LoanMessage::decode(&bytes);
        }
    }
}
