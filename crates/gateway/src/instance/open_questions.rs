use {
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
    },
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

type Senders<A> = Rc<RefCell<HashMap<u64, UnboundedSender<(SocketAddr, A)>>>>;

/// Questions to peers that wait for answers `A`.
#[derive(Debug)]
pub struct OpenQuestions<A> {
    last_number: Cell<u64>,
    senders: Senders<A>,
}

impl<A> Default for OpenQuestions<A> {
    fn default() -> OpenQuestions<A> {
        OpenQuestions {
            last_number: Cell::default(),
            senders: Rc::default(),
        }
    }
}

impl<A> OpenQuestions<A> {
    /// Opens a question; its answers arrive until it is dropped.
    pub fn open(&self) -> OpenQuestion<A> {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (sender, answers) = unbounded_channel();
        self.senders.borrow_mut().insert(number, sender);
        OpenQuestion {
            number,
            answers,
            senders: self.senders.clone(),
        }
    }

    /// Passes an answer of a peer on to whoever waits for it.
    pub fn receive(&self, number: u64, from: SocketAddr, answer: A) {
        let senders = self.senders.borrow();
        if let Some(sender) = senders.get(&number) {
            // The one who asked has stopped waiting.
            let _ = sender.send((from, answer));
        }
    }
}

/// A question to peers.
#[derive(Debug)]
pub struct OpenQuestion<A> {
    /// Number that the answers carry.
    pub number: u64,
    /// Answers as they arrive, with the addresses from which they came.
    pub answers: UnboundedReceiver<(SocketAddr, A)>,
    senders: Senders<A>,
}

impl<A> Drop for OpenQuestion<A> {
    fn drop(&mut self) {
        self.senders.borrow_mut().remove(&self.number);
    }
}
