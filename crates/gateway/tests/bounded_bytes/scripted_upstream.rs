use {
    super::fake_engine::read_request,
    socket2::SockRef,
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        task::spawn_local,
    },
};

/// What becomes of a connection after a faulty answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    InOrder,
    Reset,
    /// It stays open, and the next request on it gets an answer.
    KeptOpen,
}

impl Ending {
    /// Ends a connection.
    pub(super) fn apply(self, stream: TcpStream) {
        if self == Ending::Reset {
            let lingering = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            lingering.expect("the connection is open");
        }
    }
}

/// What upstreams send, and how many requests they got.
pub(super) struct Script {
    /// The next answers, each with the end of its connection.
    faulty: RefCell<VecDeque<Vec<u8>>>,
    ending: Ending,
    /// What all other requests get.
    sound: String,
    pub(super) requests: Cell<usize>,
}

impl Script {
    pub(super) fn new(ending: Ending, sound: &str) -> Rc<Script> {
        Rc::new(Script {
            faulty: RefCell::default(),
            ending,
            sound: sound.to_owned(),
            requests: Cell::new(0),
        })
    }

    /// Sets the next answers, and counts requests from now on.
    pub(super) fn send_next<const N: usize>(&self, answers: [impl AsRef<[u8]>; N]) {
        *self.faulty.borrow_mut() = answers.map(|bytes| bytes.as_ref().to_vec()).into();
        self.requests.set(0);
    }
}

/// Starts an upstream on the loopback interface, which lives as long as the event loop.
pub(super) async fn start_upstream(script: Rc<Script>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, script.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, script: Rc<Script>) {
    while read_request(&mut stream).await.is_some() {
        script.requests.set(script.requests.get() + 1);
        let faulty = script.faulty.borrow_mut().pop_front();
        let is_last = faulty.is_some() && script.ending != Ending::KeptOpen;
        let bytes = faulty.unwrap_or_else(|| script.sound.clone().into_bytes());
        let written = stream.write_all(&bytes).await;
        if is_last {
            return script.ending.apply(stream);
        }
        if written.is_err() {
            return;
        }
    }
}
