use {
    super::{HeldBytes, HeldKind},
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Bytes that one connection or request holds. They are no longer counted once this is
/// dropped.
#[derive(Debug)]
pub struct Hold {
    held: Arc<HeldBytes>,
    kind: HeldKind,
    bytes: AtomicUsize,
}

impl Hold {
    pub(super) fn new(held: Arc<HeldBytes>, kind: HeldKind) -> Hold {
        Hold {
            held,
            kind,
            bytes: AtomicUsize::new(0),
        }
    }

    /// Returns the counts of the instance.
    pub(super) fn held(&self) -> &HeldBytes {
        &self.held
    }

    /// Returns the number of bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Sets the number of bytes held.
    pub fn set(&self, bytes: usize) {
        let before = self.bytes.swap(bytes, Ordering::Relaxed);
        self.held.add(self.kind, bytes);
        self.held.remove(self.kind, before);
    }

    /// Adds to the number of bytes held.
    pub fn add(&self, bytes: usize) {
        self.set(self.bytes().saturating_add(bytes));
    }

    /// Takes from the number of bytes held, down to zero.
    pub fn remove(&self, bytes: usize) {
        self.set(self.bytes().saturating_sub(bytes));
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.set(0);
    }
}
