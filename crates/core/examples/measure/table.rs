//! Text tables with aligned columns.

/// `Table` collects rows and prints them aligned.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes a table with these column headers.
    pub(crate) fn new(columns: &[&str]) -> Self {
        let mut table = Self::default();
        table.add(columns.iter().map(ToString::to_string).collect());
        table
    }

    pub(crate) fn add(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Prints the table with the first column aligned left and the others right.
    pub(crate) fn print(&self) {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(String::len).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            for (column, cell) in row.iter().enumerate() {
                let width = widths[column];
                if column == 0 {
                    print!("{cell:<width$}");
                } else {
                    print!("  {cell:>width$}");
                }
            }
            println!();
        }
    }
}
