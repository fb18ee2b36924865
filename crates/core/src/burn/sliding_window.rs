use super::{CELLS_PER_WINDOW, Counts, Window};

const CELLS: usize = CELLS_PER_WINDOW as usize + 1;

/// Counts of one team over one window, in cells of a twelfth of it.
#[derive(Debug, Clone)]
pub struct SlidingWindow {
    window: Window,
    cells: [(u64, Counts); CELLS],
}

impl SlidingWindow {
    /// Returns an empty ring.
    pub fn new(window: Window) -> SlidingWindow {
        SlidingWindow {
            window,
            cells: [(0, Counts::default()); CELLS],
        }
    }

    /// Returns the window.
    pub fn window(&self) -> Window {
        self.window
    }

    /// Returns the counts of the cell that runs at a time, to be added to.
    pub fn cell(&mut self, now_ms: u64) -> &mut Counts {
        let index = now_ms / self.window.cell_ms();
        let cell = &mut self.cells[index as usize % CELLS];
        // A thread that waited for the lock comes with an older time; it must
        // not clear what was counted since.
        if cell.0 < index {
            *cell = (index, Counts::default());
        }
        &mut cell.1
    }

    /// Returns the sum over the window at a time.
    pub fn sum(&self, now_ms: u64) -> Counts {
        let index = now_ms / self.window.cell_ms();
        let mut sum = Counts::default();
        for (cell, counts) in &self.cells {
            if *cell + CELLS_PER_WINDOW >= index && *cell <= index {
                sum.add(counts);
            }
        }
        sum
    }

    /// Returns the time that the sum covers.
    pub fn covered_ms(&self, now_ms: u64) -> u64 {
        let cell_ms = self.window.cell_ms();
        (now_ms % cell_ms + CELLS_PER_WINDOW * cell_ms).min(now_ms)
    }
}
