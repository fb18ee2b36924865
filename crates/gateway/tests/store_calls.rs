//! Tests for the client of the store, against connections that fall silent.

use {
    mangowalk_gateway::store::CallClient,
    mangowalk_platform::{Freshness, ObjectKind, Page},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime,
        sync::watch,
        task::{LocalSet, spawn_local},
        time::sleep,
    },
};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// Time after which a call without an answer fails.
const TIMEOUT_MS: u64 = 200;

/// Time that an answer takes, in which other calls need connections of their own.
const ANSWER_TIME: Duration = Duration::from_millis(20);

/// Answers the calls on one connection until it has to fall silent.
async fn answer_calls(mut stream: TcpStream, mut silence: watch::Receiver<()>) {
    let mut buffer = [0; 4_096];
    let answers = async {
        while stream
            .read(&mut buffer)
            .await
            .is_ok_and(|length| length > 0)
        {
            sleep(ANSWER_TIME).await;
            if stream.write_all(ANSWER).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = answers => {}
        _ = silence.changed() => {}
    }
    // Keeps the connection open.
    sleep(Duration::from_secs(60)).await;
}

/// Starts a server whose open connections fall silent at each change of the sender.
async fn start_server() -> (SocketAddr, watch::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = watch::channel(());
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut silence = receiver.clone();
            silence.mark_unchanged();
            spawn_local(answer_calls(stream, silence));
        }
    });
    (address, sender)
}

async fn is_answered(client: &CallClient) -> bool {
    let call = Page::call(ObjectKind::Configuration, None, Freshness::Current);
    client.call(&call, TIMEOUT_MS).await.is_ok()
}

/// All open connections to the store fall silent at once, and new ones work. Guards against
/// a second call that waits for an answer on another silent connection.
#[test]
fn after_a_call_without_an_answer_the_next_one_uses_a_new_connection() {
    let event_loop = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&event_loop, async {
        let (address, silence) = start_server().await;
        let client = Rc::new(CallClient::new(address, TIMEOUT_MS));
        // Leaves two idle connections.
        let answered = tokio::join!(is_answered(&client), is_answered(&client));
        assert_eq!(answered, (true, true));
        silence.send_replace(());
        assert!(!is_answered(&client).await);
        assert!(is_answered(&client).await);
    });
}
