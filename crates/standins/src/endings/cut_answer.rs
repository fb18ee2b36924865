use {
    super::End,
    std::{
        fmt::Write as _,
        io::{BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        thread,
    },
};

/// Calls a server once for each number of bytes of its answer after which it ends the
/// connection, and returns a line for each range of cuts with the same outcome.
///
/// A reset may overtake bytes that were sent, so the whole answer is only closed in order.
///
/// # Panics
///
/// Panics if the client makes no connection, or more than one a call.
pub fn outcomes_of_cuts(answer: &[u8], mut call: impl FnMut(SocketAddr, End) -> String) -> String {
    let mut lines = String::new();
    for (end, cuts) in [(End::Closed, answer.len() + 1), (End::Reset, answer.len())] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a listener has an address");
        let answer = answer.to_vec();
        let server = thread::spawn(move || {
            for cut in 0..cuts {
                let (stream, _) = listener.accept().expect("the client connects");
                serve(stream, &answer[..cut], end);
            }
            has_waiting_connection(&listener)
        });
        let outcomes: Vec<String> = (0..cuts).map(|_| call(address, end)).collect();
        let is_sent_again = server.join().expect("the server doesn't panic");
        assert!(!is_sent_again, "a request was sent more than once");
        write_ranges(&mut lines, end, &outcomes);
    }
    lines
}

pub(super) fn has_waiting_connection(listener: &TcpListener) -> bool {
    let set = listener.set_nonblocking(true);
    set.expect("the listener is open");
    listener.accept().is_ok()
}

/// Reads a request, as unread bytes would turn an orderly end into a reset, and sends the
/// beginning of an answer.
pub(super) fn serve(mut stream: TcpStream, begin: &[u8], end: End) {
    read_request(&stream);
    // The client may have given up at a part of the answer.
    let _ = stream.write_all(begin);
    end.apply(stream);
}

fn read_request(stream: &TcpStream) {
    let mut reader = BufReader::new(stream);
    let mut body_bytes = 0;
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|read| read > 2) {
        let lower = line.to_ascii_lowercase();
        if let Some(length) = lower.strip_prefix("content-length:") {
            body_bytes = length.trim().parse().unwrap_or(0);
        }
        line.clear();
    }
    let _ = reader.read_exact(&mut vec![0; body_bytes]);
}

/// Writes one line for each range of cuts with the same outcome.
fn write_ranges(lines: &mut String, end: End, outcomes: &[String]) {
    let mut first = 0;
    for same in outcomes.chunk_by(|a, b| a == b) {
        let last = first + same.len() - 1;
        let _ = writeln!(lines, "{end} after {first}..={last}: {}", same[0]);
        first = last + 1;
    }
}
