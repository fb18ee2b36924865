//! The command `ask`.

use {
    crate::support::{Client, client_of, fleet},
    mangowalk_standins::{Fleet, FleetSettings, free_address},
    std::{
        io::{BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        thread,
    },
};

const ASK: [&str; 4] = [
    "ask",
    "--model=drafting",
    "--max-tokens=20",
    "--patience-ms=20000",
];

#[test]
fn an_answer_is_printed_in_full() {
    let fleet = fleet(1, FleetSettings::default());
    let run = client_of(&fleet).run(&[&ASK[..], &["Is walnut in stock?"]].concat());
    assert_eq!(run.code, 0, "{run}");
    assert_eq!(
        run.stdout.trim_end(),
        Fleet::expected("Is walnut in stock?", 20).trim_end()
    );
    assert!(run.stderr.contains("20 tokens answered"), "{run}");
}

/// The JSON output has the text and the token counts. A second question after
/// the same long text must be counted as partly cached.
#[test]
fn a_shared_prefix_is_counted_as_cached() {
    let fleet = fleet(1, FleetSettings::default());
    let client = client_of(&fleet);
    let notes = "A watercolour is mounted with a spacer behind glass. ".repeat(40);
    let ask = |question| {
        let run = client.run(&[&ASK[..], &["--json", "--system", &notes, question]].concat());
        assert_eq!(run.code, 0, "{run}");
        run.json()
    };
    assert_eq!(ask("Which moulding?")["cached_tokens"], 0);
    let second = ask("Which glass?");
    assert!(second["cached_tokens"].as_u64() > Some(0), "{second}");
    assert_eq!(second["complete"], true);
}

#[test]
fn a_refusal_has_its_own_exit_code() {
    let fleet = fleet(1, FleetSettings::default());
    let wrong = client_of(&fleet).with("MANGOWALK_KEY", "mw-nonsense");
    let run = wrong.run(&[&ASK[..], &["Who am I?"]].concat());
    assert_eq!((run.code, run.stdout.as_str()), (7, ""), "{run}");
    assert!(
        run.stderr.contains("401") && !run.stderr.contains("nonsense"),
        "{run}"
    );
    let gone = client_of(&fleet).with("MANGOWALK_URL", "http://127.0.0.1:1");
    let run = gone.run(&["ask", "--model=drafting", "Anyone?"]);
    assert_eq!(run.code, 7, "{run}");
}

/// Reads a request. Returns whether it is a question.
fn read_question(stream: &TcpStream) -> bool {
    let mut reader = BufReader::new(stream);
    let (mut head, mut body_bytes) = (String::new(), 0);
    while !head.ends_with("\r\n\r\n") {
        let begin = head.len();
        let read = reader.read_line(&mut head).expect("the client writes");
        assert!(read > 0, "the client sends a whole head");
        let line = head[begin..].to_ascii_lowercase();
        if let Some(length) = line.strip_prefix("content-length:") {
            body_bytes = length.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; body_bytes];
    reader.read_exact(&mut body).expect("the client writes");
    head.starts_with("POST ")
}

/// Starts an instance that lists no other and answers each of `questions` with `answer`.
/// Returns its address.
fn start_instance(answer: String, questions: usize) -> SocketAddr {
    let listener = TcpListener::bind(free_address()).expect("a free port");
    let address = listener.local_addr().expect("a listener has an address");
    thread::spawn(move || {
        let mut answered = 0;
        while answered < questions {
            let (mut stream, _) = listener.accept().expect("the client connects");
            let is_question = read_question(&stream);
            let sent = match is_question {
                true => answer.as_str(),
                false => "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
            };
            stream.write_all(sent.as_bytes()).expect("the client reads");
            answered += usize::from(is_question);
        }
    });
    address
}

/// Guards against a refusal that breaks off in its head being believed: what it says of the
/// request and of the time to come back may be cut off in the middle.
#[test]
fn a_refusal_that_breaks_off_is_not_retried() {
    let head = "HTTP/1.1 503 Service Unavailable\r\nX-Mangowalk-Outcome: not_run\r\n";
    let refusal = format!("{head}Retry-After-Ms: 1500\r\nContent-Length: 0\r\n\r\n");
    let mut table = String::new();
    for cut in 0..refusal.len() {
        let address = start_instance(refusal[..cut].to_owned(), 1);
        let client = Client::new(free_address())
            .with("MANGOWALK_URL", &format!("http://{address}"))
            .with("MANGOWALK_KEY", "mw-key");
        let run = client.run(&["ask", "--model=drafting", "--patience-ms=1000", "Anyone?"]);
        table += &format!("{} {}", run.code, run.stderr);
    }
    let mut lines: Vec<&str> = table.lines().collect();
    lines.dedup();
    insta::assert_snapshot!(lines.join("\n"), @"7 mangowalk: The answer was lost (its connection ended early); ask again.");
}
