//! Figures, formulas and tables as the page prints them.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::data::{How, Unit};
use super::quantity::{Book, Known, Quantity, Role};

/// What is printed where no run has given a figure yet.
const MISSING: &str = "not measured yet";

/// A number in three figures, thousands set apart.
pub fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let decimals = (2 - value.abs().log10().floor() as i32).clamp(0, 6) as usize;
    let rounded = format!("{value:.decimals$}");
    let (whole, part) = rounded.split_once('.').unwrap_or((&rounded, ""));
    let part = part.trim_end_matches('0');
    let whole = thousands(whole);
    if part.is_empty() { whole } else { format!("{whole}.{part}") }
}

fn thousands(digits: &str) -> String {
    let mut out = String::new();
    for (n, digit) in digits.chars().enumerate() {
        if n > 0 && (digits.len() - n).is_multiple_of(3) && !out.ends_with('-') {
            out.push(',');
        }
        out.push(digit);
    }
    out
}

/// A value with its unit.
pub fn value(value: f64, unit: Unit) -> String {
    if value.is_nan() {
        return MISSING.to_owned();
    }
    let scaled = |steps: &[(f64, &str)]| {
        let (size, name) = steps.iter().copied().rfind(|(size, _)| value.abs() >= *size).unwrap_or(steps[0]);
        format!("{} {name}", number(value / size))
    };
    match unit {
        Unit::Count => large(value),
        Unit::PerSecond => format!("{}/s", large(value)),
        Unit::PerDay => format!("{}/day", large(value)),
        Unit::Bytes => scaled(&[(1.0, "B"), (1e3, "KB"), (1e6, "MB"), (1e9, "GB"), (1e12, "TB")]),
        Unit::BytesPerSecond => {
            scaled(&[(1.0, "B/s"), (1e3, "KB/s"), (1e6, "MB/s"), (1e9, "GB/s"), (1e12, "TB/s")])
        }
        Unit::Seconds => scaled(&[(1e-6, "us"), (1e-3, "ms"), (1.0, "s")]),
        Unit::Cores if value.abs() >= 1.0 => format!("{} cores", number(value)),
        Unit::Cores => format!("{} % of a core", number(value * 100.0)),
        Unit::Part => number(value),
    }
}

/// A count: whole where it is one, in millions where it is large.
fn large(value: f64) -> String {
    if value.abs() >= 1e6 {
        return format!("{} M", number(value / 1e6));
    }
    if value.fract() == 0.0 { thousands(&format!("{value:.0}")) } else { number(value) }
}

/// A figure's value and, where it is a fit's, the power of the size.
pub fn known(figure: &Known) -> String {
    let text = value(figure.value, figure.unit);
    match figure.power {
        Some(power) => format!("{text} (n^{power:.2})"),
        None => text,
    }
}

/// A formula with its figures put in.
pub fn formula(quantity: &Quantity, book: &Book) -> String {
    let mut out = String::new();
    let mut rest = quantity.formula;
    while let Some((before, after)) = rest.split_once('{') {
        let Some((key, behind)) = after.split_once('}') else { break };
        out.push_str(before);
        out.push_str(
            &book.get(key).map_or_else(|| format!("{{{key}}}"), |figure| value(figure.value, figure.unit)),
        );
        rest = behind;
    }
    out + rest
}

/// Names that a formula's text has.
pub fn formula_keys(formula: &str) -> Vec<&str> {
    formula.split('{').skip(1).filter_map(|part| part.split_once('}')).map(|(key, _)| key).collect()
}

/// How full a limit is.
pub fn fullness(full: f64) -> String {
    if full.is_nan() {
        return "?".to_owned();
    }
    let text = if full >= 100.0 { format!("{full:.0}") } else { format!("{full:.2}") };
    if full >= 1.0 { format!("**{text}**") } else { text }
}

/// The commands of all rows, numbered in order of their text.
pub fn commands(book: &Book) -> BTreeMap<String, usize> {
    let mut all = BTreeMap::new();
    for quantity in book.quantities() {
        let known = book.get(quantity.key);
        all.extend(known.iter().flat_map(|known| known.commands.iter().cloned()).map(|command| (command, 0)));
    }
    for (n, number) in all.values_mut().enumerate() {
        *number = n + 1;
    }
    all
}

/// The numbers of a quantity's commands.
fn command_numbers(known: &Known, commands: &BTreeMap<String, usize>) -> String {
    let numbers = known.commands.iter().filter_map(|command| commands.get(command));
    numbers.map(|number| format!("[{number}]")).collect::<Vec<_>>().join(" ")
}

/// A table of the data file's figures, their values and where they come from.
pub fn figures(book: &Book, figures: &[super::data::Figure]) -> String {
    let mut out = "| what | value | how | from |\n| --- | --- | --- | --- |\n".to_owned();
    for figure in figures {
        let Some(found) = book.get(&figure.key) else { continue };
        let from = match (&figure.command, &figure.source) {
            (Some(command), _) => format!("`{command}`"),
            (None, Some(source)) => source.clone(),
            (None, None) => String::new(),
        };
        let _ = writeln!(out, "| {} | {} | {} | {from} |", found.what, known(found), found.how.text());
    }
    out
}

/// A table of the steps that are no rows.
pub fn steps(book: &Book) -> String {
    let mut out = "| what follows | formula | value | how |\n| --- | --- | --- | --- |\n".to_owned();
    for quantity in book.quantities().iter().filter(|quantity| quantity.row.is_none()) {
        let Some(found) = book.get(quantity.key) else { continue };
        let formula = formula(quantity, book);
        let _ = writeln!(out, "| {} | {formula} | {} | {} |", found.what, known(found), found.how.text());
    }
    out
}

/// A role's table.
pub fn role(book: &Book, role: Role) -> String {
    let commands = commands(book);
    let mut out = "| what | way | formula | comes to | limit | full | how | run | carried by |\n\
                   | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
        .to_owned();
    for quantity in book.quantities() {
        let Some(row) = quantity.row.filter(|row| row.role == role) else { continue };
        let Some(found) = book.get(quantity.key) else { continue };
        let limit = row.limit.and_then(|limit| book.get(limit));
        let held = limit.map_or_else(
            || "none stated".to_owned(),
            |limit| format!("{}: {}", limit.what, value(limit.value, limit.unit)),
        );
        let full = limit.map_or_else(|| "-".to_owned(), |_| fullness(book.fullness(quantity)));
        let _ = writeln!(
            out,
            "| {} | {} | {} | {} | {held} | {full} | {} | {} | {} |",
            found.what,
            row.way.text(),
            formula(quantity, book),
            known(found),
            book.surety(quantity).text(),
            command_numbers(found, &commands),
            row.carried_by
        );
    }
    out
}

/// The head of tables with a row a line, its role and its limit.
const ROWS_HEAD: &str = "| full | role | what | way | comes to | limit | how | carried by |\n\
                         | --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// All rows with a limit by how full it is, the fullest first; those without a figure yet at the end.
pub fn ranking(book: &Book) -> String {
    let limited =
        book.quantities().iter().filter(|quantity| quantity.row.is_some_and(|row| row.limit.is_some()));
    let mut rows: Vec<(&Quantity, f64)> =
        limited.map(|quantity| (quantity, book.fullness(quantity))).collect();
    let place = |full: f64| if full.is_nan() { f64::NEG_INFINITY } else { full };
    rows.sort_by(|a, b| place(b.1).total_cmp(&place(a.1)));
    ROWS_HEAD.to_owned()
        + &rows.into_iter().filter_map(|(quantity, _)| held(book, quantity)).collect::<String>()
}

/// Some rows, in the order named.
pub fn selection(book: &Book, keys: &[&str]) -> String {
    let find = |key: &&str| book.quantities().iter().find(|quantity| quantity.key == *key);
    let rows = keys.iter().filter_map(find).filter_map(|quantity| held(book, quantity));
    ROWS_HEAD.to_owned() + &rows.collect::<String>()
}

/// The line of a row that is held against a limit.
fn held(book: &Book, quantity: &Quantity) -> Option<String> {
    let row = quantity.row?;
    let (found, limit) = (book.get(quantity.key)?, book.get(row.limit?)?);
    Some(format!(
        "| {} | {} | {} | {} | {} | {} | {} | {} |\n",
        fullness(book.fullness(quantity)),
        row.role.text(),
        found.what,
        row.way.text(),
        value(found.value, found.unit),
        value(limit.value, limit.unit),
        book.surety(quantity).text(),
        row.carried_by
    ))
}

/// The numbered commands.
pub fn command_list(book: &Book) -> String {
    let mut out = "| run | command |\n| --- | --- |\n".to_owned();
    for (command, number) in commands(book) {
        let _ = writeln!(out, "| [{number}] | `{command}` |");
    }
    out
}

/// How many rows stand on what, for a line under the ranking.
pub fn origins(book: &Book) -> String {
    let mut counts: BTreeMap<How, usize> = BTreeMap::new();
    for quantity in book.quantities().iter().filter(|quantity| quantity.row.is_some()) {
        *counts.entry(book.surety(quantity)).or_default() += 1;
    }
    let parts: Vec<String> = counts.iter().map(|(how, count)| format!("{count} {}", how.text())).collect();
    format!("Rows by the least sure figure in them: {}.\n", parts.join(", "))
}
