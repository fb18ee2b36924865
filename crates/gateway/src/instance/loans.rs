use {
    std::{
        cell::{OnceCell, RefCell},
        collections::HashMap,
        rc::Rc,
    },
    tokio::{net::UdpSocket, sync::Notify},
};

/// Time after which an unanswered request is forgotten. A later answer is ignored.
const MAX_OPEN_MS: u64 = 500;

/// Requests to peers for retries that aren't answered.
#[derive(Debug, Default)]
pub struct Loans {
    socket: OnceCell<Rc<UdpSocket>>,
    open: RefCell<HashMap<u64, OpenLoan>>,
    /// Notified when a peer has answered.
    pub arrived: Notify,
}

/// A request to one peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenLoan {
    /// The service for which retries are wanted.
    pub service: String,
    /// Thousandths of a retry that the peer was asked for.
    pub milli_retries: u32,
    /// When it was asked.
    pub asked_ms: u64,
}

impl Loans {
    /// Sets the socket on which peers are asked.
    pub fn use_socket(&self, socket: Rc<UdpSocket>) {
        // It is set once, before the instance serves.
        let _ = self.socket.set(socket);
    }

    /// Returns the socket on which peers are asked; `None` before the start.
    pub fn socket(&self) -> Option<&UdpSocket> {
        self.socket.get().map(Rc::as_ref)
    }

    /// Opens a request to one peer and returns its number. It is drawn, so that an answer
    /// to an earlier process of this instance isn't taken for one.
    pub fn begin_request(&self, service: &str, milli_retries: u32, asked_ms: u64) -> u64 {
        let mut open = self.open.borrow_mut();
        open.retain(|_, loan| asked_ms < loan.asked_ms + MAX_OPEN_MS);
        let number = rand::random();
        let loan = OpenLoan {
            service: service.to_owned(),
            milli_retries,
            asked_ms,
        };
        open.insert(number, loan);
        number
    }

    /// Ends a request when its answer arrives; `None` if it isn't open.
    pub fn end_request(&self, number: u64, now_ms: u64) -> Option<OpenLoan> {
        let open = self.open.borrow_mut().remove(&number);
        open.filter(|loan| now_ms < loan.asked_ms + MAX_OPEN_MS)
    }
}
