//! Questions to peers, and answers that arrive late.

use {mangowalk_gateway::instance::OpenQuestions, std::net::SocketAddr};

/// Guards against an answer to a question from before a restart that is taken for one to a
/// question of now, as a peer that stood still answers both.
#[test]
fn an_answer_to_a_question_from_before_a_restart_reaches_no_question() {
    let from: SocketAddr = "127.0.0.1:1".parse().expect("it is an address");
    let asked_before = OpenQuestions::<&str>::default().open();
    let questions = OpenQuestions::default();
    let mut asked = questions.open();
    questions.receive(asked_before.number, from, "before");
    questions.receive(asked.number, from, "now");
    assert_eq!(asked.answers.try_recv(), Ok((from, "now")));
}
