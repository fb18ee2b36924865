/// Text table whose columns are as wide as their widest cells.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

/// Text between two columns.
const COLUMN_GAP: &str = "  ";

impl Table {
    /// Returns a table with a row of headings.
    pub(crate) fn new(headings: &[&str]) -> Table {
        let mut table = Table::default();
        table.row(headings.iter().map(|h| (*h).to_owned()).collect());
        table
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns the text of the table.
    pub(crate) fn text(&self) -> String {
        let widths = self.widths();
        self.rows
            .iter()
            .map(|row| format_row(row, &widths))
            .collect::<Vec<String>>()
            .join("\n")
    }

    /// Returns the width of each column in characters.
    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        (0..columns)
            .map(|c| {
                let cells = self.rows.iter().filter_map(|row| row.get(c));
                cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
            })
            .collect()
    }
}

fn format_row(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    cells.join(COLUMN_GAP).trim_end().to_owned()
}
