use super::{CELLS_PER_WINDOW, Counts, Window};

const CELLS: usize = CELLS_PER_WINDOW as usize + 1;

/// Counts of one team over one window, as a ring buffer of time cells. Each cell
/// covers a twelfth of the window.
#[derive(Debug, Clone)]
pub struct SlidingWindow {
    window: Window,
    cells: [(u64, Counts); CELLS],
}

impl SlidingWindow {
    /// Returns an empty window.
    pub fn new(window: Window) -> SlidingWindow {
        SlidingWindow {
            window,
            cells: [(0, Counts::default()); CELLS],
        }
    }

    /// Returns which window this is.
    pub fn window(&self) -> Window {
        self.window
    }

    /// Returns the counts of the cell that covers `now_ms`, to be updated.
    pub fn cell(&mut self, now_ms: u64) -> &mut Counts {
        let index = now_ms / self.window.cell_ms();
        let cell = &mut self.cells[index as usize % CELLS];
        // A thread that waited for the lock may pass an older time. It must not
        // clear counts that were added meanwhile.
        if cell.0 < index {
            *cell = (index, Counts::default());
        }
        &mut cell.1
    }

    /// Returns the sum of the cells of the window that ends at `now_ms`.
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

    /// Returns the time that the sum covers, in milliseconds: the full cells
    /// and the started one, but no more than `now_ms`.
    pub fn covered_ms(&self, now_ms: u64) -> u64 {
        let cell_ms = self.window.cell_ms();
        (now_ms % cell_ms + CELLS_PER_WINDOW * cell_ms).min(now_ms)
    }
}
