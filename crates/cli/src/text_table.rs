//! Plain-text tables with aligned columns.

/// A table: a row of headings, then rows of cells.
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with these column headings.
    pub fn new(headings: &[&str]) -> Self {
        let headings = headings
            .iter()
            .map(|heading| (*heading).to_owned())
            .collect();
        Self {
            rows: vec![headings],
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns the table as text, one line per row.
    pub fn render(&self) -> String {
        let mut widths = Vec::new();
        for row in &self.rows {
            for (at, cell) in row.iter().enumerate() {
                if at == widths.len() {
                    widths.push(0);
                }
                widths[at] = widths[at].max(cell.chars().count());
            }
        }
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}  "));
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}
