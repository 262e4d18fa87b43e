//! The capacity page says what its data file and the measured lines give, and nothing in it lacks its origin.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use serde_json::{Value, json};
use silverspindle_agreement::{Change, Proposal, ProposalId};
use silverspindle_lab::capacity::data::{Data, Fault, How, Unit};
use silverspindle_lab::capacity::quantity::{Book, Inputs, Quantity, Role, Way, at_size};
use silverspindle_lab::capacity::{DATA, page, quantities, render, rendered, work_out};
use silverspindle_relay::{Batch, Confirm, Entry, Frame, PurgeTarget, Record, Report, Summary, Update};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn docs() -> PathBuf {
    root().join("docs")
}

fn worked_out() -> (Data, Book) {
    work_out(&docs()).unwrap_or_else(|fault| panic!("{fault}"))
}

/// A directory of documents of its own, with this data file and these files of measured lines.
fn other_docs(name: &str, data: &Value, files: &[(&str, &str)]) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&directory).unwrap();
    fs::write(directory.join(DATA), data.to_string()).unwrap();
    for (file, text) in files {
        fs::write(directory.join(file), text).unwrap();
    }
    directory
}

fn small(measured: Value) -> Value {
    let routers = json!({"key": "routers", "what": "routers", "unit": "", "how": "stated", "value": 5600, "source": "us"});
    json!({"targets": [routers], "assumptions": [], "bounds": [], "measured": [measured]})
}

fn measured_at(sizes: &[u64]) -> Value {
    let line = |size: &u64| json!({"size": size, "file": "runs.jsonl", "line": {"routers": size}, "fields": ["/sent"]});
    let lines: Vec<Value> = sizes.iter().map(line).collect();
    json!({"key": "sent", "what": "sent", "unit": "B/s", "how": "measured", "command": "a run", "lines": lines})
}

/// `DATA` of other documents worked out with one row over `sent`.
fn sent(name: &str, sizes: &[u64], lines: &str) -> Result<f64, Fault> {
    let docs = other_docs(name, &small(measured_at(sizes)), &[("runs.jsonl", lines)]);
    let data = Data::load(&docs.join(DATA))?;
    let row = Quantity::step("row", "row", Unit::BytesPerSecond, "{sent}", |of: &Inputs| of.get("sent"));
    let book = Book::new(&data, &docs, &[row])?;
    Ok(book.get("row").unwrap().value)
}

#[test]
fn the_page_has_the_tables_that_the_figures_give() {
    let (page, wanted) = rendered(&docs()).unwrap_or_else(|fault| panic!("{fault}"));
    let differs = page.lines().zip(wanted.lines()).find(|(is, should)| is != should);
    assert!(page == wanted, "run `silverspindle-lab capacity --write`; the first other line: {differs:?}");
}

#[test]
fn a_page_without_one_of_its_markers_is_refused() {
    let (data, book) = worked_out();
    let text = fs::read_to_string(docs().join("CAPACITY.md")).unwrap();
    let without = text.replace("<!-- begin: ranking -->", "");
    assert_eq!(page::with_tables(&without, &data, &book), Err(Fault::Marker("ranking".to_owned())));
    let twice = format!("{text}\n<!-- end: voter -->\n");
    assert_eq!(page::with_tables(&twice, &data, &book), Err(Fault::Marker("voter".to_owned())));
}

#[test]
fn a_changed_figure_changes_the_page() {
    let (mut data, book) = worked_out();
    let purges = data.targets.iter_mut().find(|figure| figure.key == "purges").unwrap();
    purges.value = Some(111.0);
    let other = Book::new(&data, &docs(), &quantities()).unwrap();
    assert_ne!(render::ranking(&book), render::ranking(&other));
    assert_ne!(render::role(&book, Role::Router), render::role(&other, Role::Router));
}

#[test]
fn a_figure_without_its_origin_is_refused() {
    let whole = measured_at(&[300]);
    let without = |field: &str| {
        let mut figure = whole.clone();
        figure.as_object_mut().unwrap().remove(field);
        Data::load(&other_docs(&format!("without-{field}"), &small(figure), &[]).join(DATA)).err()
    };
    assert_eq!(without("how"), Some(Fault::NoHow("sent".to_owned())));
    assert_eq!(without("command"), Some(Fault::NoCommand("sent".to_owned())));
    assert_eq!(without("lines"), Some(Fault::NoValue("sent".to_owned())));
    let mut stated = whole.clone();
    stated["how"] = json!("assumed");
    let read = Data::load(&other_docs("without-source", &small(stated), &[]).join(DATA));
    assert_eq!(read.err(), Some(Fault::NoSource("sent".to_owned())));
}

#[test]
fn a_measured_figure_is_taken_from_its_lines_alone() {
    let mut figure = measured_at(&[300]);
    figure["value"] = json!(7.0);
    let read = Data::load(&other_docs("value-and-lines", &small(figure), &[]).join(DATA));
    assert_eq!(read.err(), Some(Fault::NoValue("sent".to_owned())));
    assert_eq!(sent("one-line", &[5600], "{\"routers\":5600,\"sent\":12.5}\n"), Ok(12.5));
}

#[test]
fn a_measured_line_that_is_missing_or_there_twice_is_refused() {
    let line = |found| Fault::Line { key: "sent".to_owned(), file: "runs.jsonl".to_owned(), found };
    assert_eq!(sent("no-line", &[300], "{\"routers\":301,\"sent\":1}\n"), Err(line(0)));
    let twice = "{\"routers\":300,\"sent\":1}\n{\"routers\":300,\"sent\":2}\n";
    assert_eq!(sent("two-lines", &[300], twice), Err(line(2)));
    let field = Fault::Field { key: "sent".to_owned(), field: "/sent".to_owned() };
    assert_eq!(sent("no-field", &[300], "{\"routers\":300}\n"), Err(field));
}

#[test]
fn a_slope_is_a_fit_over_three_sizes_at_least() {
    let square = [(300.0, 9e4), (1000.0, 1e6), (2000.0, 4e6)];
    let (value, power) = at_size(&square, 5600.0);
    assert!((value / 3.136e7 - 1.0).abs() < 1e-9, "{value}");
    assert!((power.unwrap() - 2.0).abs() < 1e-9);
    assert!(at_size(&square[..2], 5600.0).0.is_nan());
    let with_target = [square[0], square[1], (5600.0, 7.0)];
    assert_eq!(at_size(&with_target, 5600.0).0, 7.0, "what was measured at the target goes before the fit");
}

#[test]
fn every_row_names_its_runs_and_shows_the_figures_that_it_uses() {
    let (_, book) = worked_out();
    for quantity in book.quantities() {
        let known = book.get(quantity.key).unwrap();
        assert!(!known.commands.is_empty(), "{}: lacks its command", quantity.key);
        let shown: BTreeSet<String> =
            render::formula_keys(quantity.formula).into_iter().map(str::to_owned).collect();
        assert_eq!(shown, book.asked(quantity), "{}: its formula's text", quantity.key);
    }
}

#[test]
fn what_no_run_has_given_is_never_a_figure() {
    let (data, book) = worked_out();
    for figure in data.figures().filter(|figure| figure.how == Some(How::NotMeasuredYet)) {
        assert!(book.get(&figure.key).unwrap().value.is_nan(), "{}", figure.key);
    }
    for quantity in book.quantities() {
        let known = book.get(quantity.key).unwrap();
        assert_eq!(known.value.is_nan(), known.how == How::NotMeasuredYet, "{}", quantity.key);
    }
}

#[test]
fn each_role_has_rows_and_the_fullest_stand_first() {
    let (_, book) = worked_out();
    for role in Role::ALL {
        let rows =
            book.quantities().iter().filter(|quantity| quantity.row.is_some_and(|row| row.role == role));
        assert!(rows.count() >= 2, "{}", role.text());
    }
    let ranking = render::ranking(&book);
    let column = |line: &str| line.split('|').nth(1).map(|text| text.trim().trim_matches('*').to_owned());
    let full: Vec<f64> =
        ranking.lines().skip(2).filter_map(column).filter_map(|text| text.parse().ok()).collect();
    assert!(full.len() > 20 && full.is_sorted_by(|a, b| a >= b), "{full:?}");
}

#[test]
fn the_rows_by_which_the_mechanism_was_chosen_are_all_there() {
    let (_, book) = worked_out();
    let lines = render::selection(&book, page::CHOICE).lines().count();
    assert_eq!(lines, page::CHOICE.len() + 2);
}

#[test]
fn a_row_held_against_another_unit_is_refused() {
    let wrong = Quantity::step("wrong", "wrong", Unit::Seconds, "{routers}", |of: &Inputs| of.get("routers"))
        .held(Role::Router, Way::Any, "routers", "nothing");
    let docs =
        other_docs("units", &small(measured_at(&[300])), &[("runs.jsonl", "{\"routers\":300,\"sent\":1}")]);
    let data = Data::load(&docs.join(DATA)).unwrap();
    assert_eq!(Book::new(&data, &docs, &[wrong]).err(), Some(Fault::Units("wrong".to_owned())));
}

/// The value of `const NAME: TYPE = ...` where it is a number, a product or a shift.
fn constant(text: &str, name: &str) -> Option<f64> {
    let declaration = text.lines().find(|line| line.contains(&format!("const {name}: ")))?;
    let (_, expression) = declaration.split_once(" = ")?;
    let number = |text: &str| match text.trim() {
        "SECOND" => Some(1e6),
        digits => digits.replace('_', "").parse::<f64>().ok(),
    };
    let expression = expression.trim_end_matches(';');
    match expression.split_once("<<") {
        Some((base, shift)) => Some(number(base)? * 2f64.powf(number(shift)?)),
        None => expression.split('*').map(number).product(),
    }
}

/// The default of a directive of the operators' file, durations in seconds.
fn default_of(text: &str, directive: &str) -> Option<f64> {
    let (_, behind) = text.split_once(&format!("\"{directive}\""))?;
    let (_, default) = behind.split_once(".with_default(\"")?;
    let (default, _) = default.split_once('"')?;
    match (default.strip_suffix("ms"), default.strip_suffix('s')) {
        (Some(ms), _) => Some(ms.parse::<f64>().ok()? / 1e3),
        (None, Some(seconds)) => seconds.parse().ok(),
        (None, None) => default.parse().ok(),
    }
}

#[test]
fn bounds_of_the_page_are_those_of_the_code() {
    let (data, _) = worked_out();
    let mut held = 0;
    for figure in &data.bounds {
        let source = figure.source.clone().unwrap_or_default();
        let Some((path, name)) = source.split_once(", `") else { continue };
        let name = name.trim_end_matches('`');
        let text = fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"));
        let is_directive = name.contains('-');
        let found = if is_directive { default_of(&text, name) } else { constant(&text, name) };
        // Times of the code are in microseconds, its parts in millionths.
        let small = !is_directive && matches!(figure.unit, Unit::Seconds | Unit::Part);
        let found = found.map(|value| if small { value / 1e6 } else { value });
        assert_eq!(found, figure.value, "{}: {source}", figure.key);
        held += 1;
    }
    assert!(held >= 15, "{held} bounds name their constant");
}

/// Names as long as the page takes them: a letter and four digits.
fn names() -> impl Iterator<Item = String> {
    (0..5600).map(|n| format!("r{n:04}"))
}

#[test]
fn modelled_sizes_are_those_of_the_codecs() {
    let (data, _) = worked_out();
    let value = |key: &str| data.figures().find(|figure| figure.key == key).and_then(|figure| figure.value);
    let share = silverspindle_rules::WHOLE / 5600;
    let all: std::collections::BTreeMap<String, u32> = names().map(|name| (name, share)).collect();
    let shares = silverspindle_rules::Shares { current: all.clone(), next: Some(all), turn: 1 };
    let each = shares.spell().len() as f64 / (2.0 * 5600.0);
    assert_eq!(value("share_entry"), Some(each.round()), "a share takes {each} bytes");
    let join = Proposal {
        id: ProposalId(u64::MAX, 1),
        builds_on: 1 << 20,
        by: "r0001".to_owned(),
        change: Change::Join { name: "r0001".to_owned(), life: 1 << 50 },
    };
    let entry = postcard::to_stdvec(&(1u64 << 20, postcard::to_stdvec(&join).unwrap())).unwrap();
    assert_eq!(value("join_entry"), Some(entry.len() as f64));
}

/// A number of the coordinator's after some hundred days at 110 a second.
const NUMBER: u64 = 1 << 30;

/// Half a second of purges at the target's rate, some milliseconds apart.
fn half_a_second_of_purges() -> Vec<Record> {
    let purge = |n: u64| {
        let what = PurgeTarget::Object(u64::MAX - n);
        Record { number: NUMBER + n, entry: Entry::Purge { what, at_ms: 1_796_000_000_000 + 9 * n } }
    };
    (1..=55).map(purge).collect()
}

#[test]
fn modelled_sizes_of_the_purge_log_are_those_of_its_frames() {
    let (data, _) = worked_out();
    let value = |key: &str| data.figures().find(|figure| figure.key == key).and_then(|figure| figure.value);
    let records = half_a_second_of_purges();
    let batch = Batch { after: NUMBER, records: records.clone() }.encode();
    let confirm = Confirm { question: 100_000, number: NUMBER, age: 500_000 };
    let update = Frame::Update(Update { batch: batch.into(), confirm: Some(confirm) }).encode();
    let purge = value("purge_record").unwrap();
    let head = update.len() as f64 - purge * records.len() as f64;
    assert_eq!(value("update_head"), Some(head));
    let summary = Summary { routers: 1, ..Summary::default() };
    let report = Frame::Report(Report { question: 100_000, watermark: NUMBER, summary }).encode();
    assert_eq!(value("report_body"), Some(report.len() as f64));
}
