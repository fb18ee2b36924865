use {
    mangowalk_core::{pool::Incarnation, stream::EndWitness},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::{Rc, Weak},
    },
    tokio::sync::Mutex,
};

/// The last call that found out about an engine's process; locked while the next one runs.
type LastWitness = Mutex<Option<EndWitness>>;

/// Calls that find out whether engines ended their answers themselves.
#[derive(Debug, Default)]
pub struct EndWitnesses {
    place: Cell<u64>,
    /// Of the engines about which an answer waits to know.
    last: RefCell<HashMap<Incarnation, Weak<LastWitness>>>,
}

impl EndWitnesses {
    /// Returns the next place in the order of ends and calls.
    pub fn next_place(&self) -> u64 {
        self.place.set(self.place.get() + 1);
        self.place.get()
    }

    /// Returns the last call about an engine, which is kept as long as an answer holds it.
    pub fn last_of(&self, engine: &Incarnation) -> Rc<LastWitness> {
        let mut last = self.last.borrow_mut();
        last.retain(|_, witness| witness.strong_count() > 0);
        let known = last.get(engine).and_then(Weak::upgrade);
        known.unwrap_or_else(|| {
            let witness = Rc::default();
            last.insert(engine.clone(), Rc::downgrade(&witness));
            witness
        })
    }
}
