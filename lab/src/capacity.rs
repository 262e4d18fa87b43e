//! The capacity page: what the target fleet asks of each role, derived from one data file, so that the page's tables
//! and the figures behind them can't part.
//!
//! [`data`] reads the figures and the measured lines that they name, [`quantity`] evaluates named formulas over them,
//! [`derived`], [`today`], [`relays`] and [`failures`] are those formulas, [`page`] writes the tables between the page's markers.

pub mod command;
pub mod data;
pub mod derived;
pub mod failures;
pub mod page;
pub mod quantity;
pub mod relays;
pub mod render;
pub mod today;

use std::path::Path;

use data::{Data, Fault};
use quantity::{Book, Quantity};

/// The page, under the directory of documents.
pub const PAGE: &str = "CAPACITY.md";
/// The data file beside it.
pub const DATA: &str = "capacity.json";

/// All quantities, in the order in which each builds on earlier ones.
pub fn quantities() -> Vec<Quantity> {
    [derived::QUANTITIES, today::QUANTITIES, relays::QUANTITIES, failures::QUANTITIES].concat()
}

/// Reads the data file and the measured lines that it names, and works all quantities out.
pub fn work_out(docs: &Path) -> Result<(Data, Book), Fault> {
    let data = Data::load(&docs.join(DATA))?;
    let book = Book::new(&data, docs, &quantities())?;
    Ok((data, book))
}

/// What the page should be, given what it is: the text around the tables is kept.
pub fn rendered(docs: &Path) -> Result<(String, String), Fault> {
    let (data, book) = work_out(docs)?;
    let path = docs.join(PAGE);
    let page =
        std::fs::read_to_string(&path).map_err(|error| Fault::File { path, error: error.to_string() })?;
    let wanted = page::with_tables(&page, &data, &book)?;
    Ok((page, wanted))
}
