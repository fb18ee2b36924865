use {
    super::{
        End,
        cut_answer::{has_waiting_connection, serve},
    },
    std::{
        net::{SocketAddr, TcpListener},
        thread,
    },
};

/// Calls a server that answers with these bytes and then ends the connection, and returns the
/// outcome.
///
/// # Panics
///
/// Panics if the client makes no connection, or more than one.
pub fn outcome_of_answer<T>(answer: &[u8], end: End, call: impl FnOnce(SocketAddr) -> T) -> T {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a listener has an address");
    let answer = answer.to_vec();
    let server = thread::spawn(move || {
        let (stream, _) = listener.accept().expect("the client connects");
        serve(stream, &answer, end);
        has_waiting_connection(&listener)
    });
    let outcome = call(address);
    let is_sent_again = server.join().expect("the server doesn't panic");
    assert!(!is_sent_again, "a request was sent more than once");
    outcome
}
