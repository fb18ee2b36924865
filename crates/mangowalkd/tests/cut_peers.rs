//! Answers of peers whose connection ends after each of their bytes.

use {
    mangowalk_core::{
        edge::Peers,
        peer::{PeerReply, PeerRequest},
    },
    mangowalkd::edge::NngPeers,
    std::{
        fmt::Write as _,
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Time for which a request waits for its answer; a peer that was reconnected to would be sent
/// it again within it.
const WAIT_MS: u64 = 500;

/// First bytes of a connection on which the other side replies to requests.
const GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x31, 0, 0];

/// Reads a request. Returns its ID, `None` if the connection ended.
fn read_request(stream: &mut TcpStream) -> Option<[u8; 4]> {
    let mut length = [0; 8];
    stream.read_exact(&mut length).ok()?;
    let mut message = vec![0; u64::from_be_bytes(length) as usize];
    stream.read_exact(&mut message).ok()?;
    message.first_chunk().copied()
}

/// Answers each request on a connection with the first `cut` bytes of a reply and counts it.
fn serve(mut stream: TcpStream, reply: &[u8], cut: usize, requests: &AtomicUsize) {
    let greeted = stream.write_all(&GREETING);
    if greeted.is_err() || stream.read_exact(&mut [0; 8]).is_err() {
        return;
    }
    let Some(id) = read_request(&mut stream) else {
        return;
    };
    requests.fetch_add(1, Ordering::Relaxed);
    let length = (id.len() + reply.len()) as u64;
    let answer = [&length.to_be_bytes()[..], &id, reply].concat();
    let _ = stream.write_all(&answer[..cut]);
    if cut == answer.len() {
        // The connection stays open, as that of a sound peer.
        let _ = stream.read(&mut [0]);
    }
}

/// Starts a peer and returns its address and how many requests it received.
fn start_peer(reply: Vec<u8>, cut: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a listener has an address");
    let requests = Arc::<AtomicUsize>::default();
    let counted = requests.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            serve(stream, &reply, cut, &counted);
        }
    });
    (address, requests)
}

/// Guards against a grant that breaks off being used, and against a request being sent again: a
/// peer that answered it has already deducted the tokens.
#[test]
fn requests_to_peers_are_sent_once_and_cut_answers_are_none() {
    let granted = PeerReply::Granted {
        tokens: 3,
        left_tokens: 9,
        part: 1,
    };
    let request = PeerRequest::Grant {
        team: "shop".to_owned(),
        tokens: 3,
    };
    let reply = postcard::to_stdvec(&granted).expect("a reply can be encoded");
    let whole_bytes = 8 + 4 + reply.len();
    let outcomes: Vec<String> = (0..=whole_bytes)
        .map(|cut| {
            let (address, requests) = start_peer(reply.clone(), cut);
            let answer = NngPeers::default().ask(address, &request, WAIT_MS);
            thread::sleep(Duration::from_millis(10));
            let sent = requests.load(Ordering::Relaxed);
            format!("{answer:?}, sent {sent} times")
        })
        .collect();
    let mut table = String::new();
    let mut first = 0;
    for same in outcomes.chunk_by(|a, b| a == b) {
        let last = first + same.len() - 1;
        let _ = writeln!(table, "closed after {first}..={last}: {}", same[0]);
        first = last + 1;
    }
    insta::assert_snapshot!(table);
}
