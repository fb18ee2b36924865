//! Answers that a service sends and breaks off while the request is still being written.

use {
    mangowalk_core::edge::{SendError, ServiceCall, Services},
    mangowalk_platform_standins::{EARLY_ANSWERS, EarlyAnswer},
    mangowalk_standins::End,
    mangowalkd::edge::HttpServices,
    socket2::{Domain, Socket, Type},
    std::{
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        thread,
        time::Duration,
    },
};

/// Size of the buffer in which the operating system holds an upload for a service.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;

/// Sizes of uploads.
const UPLOAD_BYTES: [usize; 3] = [10_000, 300_000, 15_000_000];

/// Time for which a call waits for its answer.
const WAIT_MS: u64 = 5_000;

/// Times from the answer to the end of the connection.
const PAUSES_MS: [u64; 2] = [0, 30];

/// How a service ends the connection of an answer.
#[derive(Debug, Clone, Copy)]
enum Ending {
    /// At once, in both directions.
    Whole(End),
    /// What it sends first, and the connection by a reset after the pause.
    Halves,
}

fn listen() -> (TcpListener, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is free");
    let sized = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    sized.expect("the size is valid");
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&address.into()).expect("a free port");
    socket.listen(4).expect("it is bound");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

/// Reads a first part of a request, sends the beginning of the answer, and ends the connection.
fn answer_early(mut stream: TcpStream, answer: EarlyAnswer, pause_ms: u64, ending: Ending) {
    let read = stream.read(&mut [0; 4_096]);
    read.expect("the request arrives");
    // The router may have closed the connection at a part of the answer.
    let _ = stream.write_all(answer.part("").as_bytes());
    if matches!(ending, Ending::Halves) {
        // Fails if the router has closed the connection.
        let _ = stream.shutdown(Shutdown::Write);
    }
    thread::sleep(Duration::from_millis(pause_ms));
    match ending {
        Ending::Whole(end) => end.apply(stream),
        Ending::Halves => End::Reset.apply(stream),
    }
}

fn outcome(answer: EarlyAnswer, bytes: usize, pause_ms: u64, ending: Ending) -> Option<SendError> {
    call(bytes, move |stream| {
        answer_early(stream, answer, pause_ms, ending)
    })
}

/// Calls a service that treats its connection like this. Returns why there is no answer.
fn call(bytes: usize, serve: impl FnOnce(TcpStream) + Send + 'static) -> Option<SendError> {
    let (listener, address) = listen();
    let service = thread::spawn(move || {
        let (stream, _) = listener.accept().expect("the router connects");
        serve(stream);
    });
    let call = ServiceCall {
        method: "POST",
        path: "/book",
        content_type: "application/json",
        team: "shop",
        request_id: "r1",
        idempotency_key: None,
        body: &vec![b'x'; bytes],
    };
    let reply = HttpServices.call(address, &call, WAIT_MS, &|| true);
    service.join().expect("the service doesn't panic");
    reply.err()
}

/// Guards against a part of an answer being taken for a whole one after its service has reset
/// the connection on which the request is still being written.
#[test]
fn early_answers_of_services_that_break_off_are_lost() {
    for (answer, bytes) in EARLY_ANSWERS
        .into_iter()
        .flat_map(|a| UPLOAD_BYTES.map(|b| (a, b)))
    {
        let endings = [
            Ending::Whole(End::Closed),
            Ending::Whole(End::Reset),
            Ending::Halves,
        ];
        for (pause_ms, ending) in PAUSES_MS
            .into_iter()
            .flat_map(|p| endings.map(|ending| (p, ending)))
        {
            let outcome = outcome(answer, bytes, pause_ms, ending);
            let place = format!("{answer:?} {bytes} {pause_ms} {ending:?}");
            assert_eq!(outcome, Some(SendError::Lost), "{place}");
        }
    }
}

/// Reads a request and ends the answer with its connection.
fn answer_whole(mut stream: TcpStream) {
    let mut request = Vec::new();
    while !has_whole_body(&request) {
        let mut part = [0; 65_536];
        let read = stream.read(&mut part).expect("the request arrives");
        request.extend_from_slice(&part[..read]);
    }
    let written = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\ndone");
    written.expect("the router waits");
}

fn has_whole_body(request: &[u8]) -> bool {
    let Some(end) = request.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&request[..end]).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length
        .and_then(|text| text.parse().ok())
        .expect("it has a length");
    request.len() >= end + 4 + length
}

/// Guards against answers of services that have read the whole request being refused together
/// with the early ones.
#[test]
fn answers_of_services_that_end_with_their_connection_are_whole() {
    for bytes in UPLOAD_BYTES {
        assert_eq!(call(bytes, answer_whole), None, "{bytes}");
    }
}
