//! Ends of the answers of plain services.

use {
    mangowalk_core::edge::{SendError, ServiceCall, Services},
    mangowalkd::edge::HttpServices,
    std::{
        io::{Read, Write},
        net::TcpListener,
        thread,
    },
};

/// Returns what the router makes of an answer that a service writes before it closes the
/// connection.
fn outcome_of(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a listener has an address");
    let service = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the router connects");
        let mut request = [0; 4_096];
        // The request fits one read on loopback.
        let _ = stream.read(&mut request);
        stream
            .write_all(answer.as_bytes())
            .expect("the router reads");
    });
    let call = ServiceCall {
        method: "GET",
        path: "/book",
        content_type: "application/json",
        team: "shop",
        request_id: "r1",
        idempotency_key: None,
        body: b"",
    };
    let reply = HttpServices.call(address, &call, 2_000, &|| true);
    service.join().expect("the service doesn't panic");
    match reply {
        Ok(reply) => format!("{} {}", reply.status, String::from_utf8_lossy(&reply.body)),
        Err(SendError::Lost) => "lost".to_owned(),
        Err(error) => format!("{error:?}"),
    }
}

/// Guards against an answer in chunks that breaks off being taken for complete.
#[test]
fn a_service_answer_without_its_last_chunk_is_lost() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let answers = [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbook\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbook",
    ];
    for answer in answers {
        assert!(answer.starts_with(head));
        assert_eq!(outcome_of(answer), "lost", "{answer}");
    }
}

/// Guards against complete answers of each framing being refused.
#[test]
fn complete_service_answers_of_each_framing_are_taken() {
    let answers = [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbook\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbook",
        "HTTP/1.1 200 OK\r\n\r\nbook",
    ];
    for answer in answers {
        assert_eq!(outcome_of(answer), "200 book", "{answer}");
    }
}
