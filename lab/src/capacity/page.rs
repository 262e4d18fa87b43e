//! The page's tables between their markers.

use super::data::{Data, Fault};
use super::quantity::{Book, Role};
use super::render;

/// The rows by which the mechanism was chosen: today's way, then the relays'.
pub const CHOICE: &[&str] = &[
    "feed_bytes",
    "feed_acknowledged",
    "coordinator_bytes",
    "purge_today_cut",
    "voter_start",
    "voter_versions",
    "voter_connections",
    "voter_roll",
    "relay_bytes",
    "relay_core",
    "relay_sent",
    "source_sent",
    "purge_unheard",
    "purge_purges_in_force",
    "purge_purges_told",
];

/// The page with its tables as the book gives them; what stands around the markers is kept.
pub fn with_tables(page: &str, data: &Data, book: &Book) -> Result<String, Fault> {
    let mut out = page.to_owned();
    for (name, table) in tables(data, book) {
        out = replaced(&out, &name, &table)?;
    }
    Ok(out)
}

/// All tables by their markers' names.
pub fn tables(data: &Data, book: &Book) -> Vec<(String, String)> {
    let mut all = vec![
        ("target".to_owned(), render::figures(book, &data.targets)),
        ("steps".to_owned(), render::steps(book)),
        ("ranking".to_owned(), render::ranking(book) + "\n" + &render::origins(book)),
        ("choice".to_owned(), render::selection(book, CHOICE)),
        ("assumptions".to_owned(), render::figures(book, &data.assumptions)),
        ("bounds".to_owned(), render::figures(book, &data.bounds)),
        ("measured".to_owned(), render::figures(book, &data.measured)),
        ("commands".to_owned(), render::command_list(book)),
    ];
    all.extend(Role::ALL.map(|role| (role.text().to_owned(), render::role(book, role))));
    all
}

/// Replaces what stands between one pair of markers.
fn replaced(page: &str, name: &str, table: &str) -> Result<String, Fault> {
    let (begin, end) = (format!("<!-- begin: {name} -->\n"), format!("<!-- end: {name} -->"));
    let missing = || Fault::Marker(name.to_owned());
    if page.matches(&begin).count() != 1 || page.matches(&end).count() != 1 {
        return Err(missing());
    }
    let (before, rest) = page.split_once(&begin).ok_or_else(missing)?;
    let (_, after) = rest.split_once(&end).ok_or_else(missing)?;
    Ok(format!("{before}{begin}{table}{end}{after}"))
}
