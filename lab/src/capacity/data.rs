//! The data file: what was stated, assumed, bounded and measured, each figure with its origin.

use std::fmt;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde_json::{Map, Value};

/// Where a figure comes from, the surest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// The operators' target, or a constant or default of the code.
    Stated,
    /// A run gave it.
    Measured,
    /// A power of the size fitted to runs at smaller sizes; worked out, never written in the data file.
    Fitted,
    /// Worked out from the layout of messages or by a model.
    Modelled,
    /// Taken to be so.
    Assumed,
    /// No run has given it yet.
    NotMeasuredYet,
}

impl How {
    /// As the page says it.
    pub fn text(self) -> &'static str {
        match self {
            How::Stated => "stated",
            How::Measured => "measured",
            How::Fitted => "fitted to smaller sizes",
            How::Modelled => "modelled",
            How::Assumed => "assumed",
            How::NotMeasuredYet => "not measured yet",
        }
    }
}

/// What the unit of a figure is, which also says how it is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum Unit {
    /// Things, counted.
    #[serde(rename = "")]
    Count,
    /// Things a second.
    #[serde(rename = "/s")]
    PerSecond,
    /// Things a day.
    #[serde(rename = "/day")]
    PerDay,
    /// Bytes.
    #[serde(rename = "B")]
    Bytes,
    /// Bytes a second.
    #[serde(rename = "B/s")]
    BytesPerSecond,
    /// Seconds.
    #[serde(rename = "s")]
    Seconds,
    /// Processor seconds a second.
    #[serde(rename = "core")]
    Cores,
    /// A part of a whole.
    #[serde(rename = "part")]
    Part,
}

/// A figure that isn't derived from others.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figure {
    /// Its name in formulas.
    pub key: String,
    /// What it is, for the page.
    pub what: String,
    /// Its unit.
    pub unit: Unit,
    /// Where it comes from. Only `None` by mistake, which [`Data::load`] refuses.
    pub how: Option<How>,
    /// Its value; measured figures have lines instead.
    pub value: Option<f64>,
    /// Who states it, or why it is taken to be so.
    pub source: Option<String>,
    /// The command that gave it.
    pub command: Option<String>,
    /// Measured: the lines that hold it, one a size.
    #[serde(default)]
    pub lines: Vec<MeasuredLine>,
}

/// Where one measured value stands.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeasuredLine {
    /// The size at which it was measured: routers, members, whatever the figure grows with. Absent: it does not grow.
    pub size: Option<f64>,
    /// A file of JSON lines, under the directory of documents.
    pub file: String,
    /// The one line of it that has these values.
    pub line: Map<String, Value>,
    /// The value's place in the line, as a JSON pointer; several are added up.
    pub fields: Vec<String>,
    /// The page's unit in units of the line's: 0.001 where the line has milliseconds and the page seconds.
    #[serde(default = "one")]
    pub times: f64,
}

fn one() -> f64 {
    1.0
}

/// The whole data file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Data {
    /// What the operators ask for.
    pub targets: Vec<Figure>,
    /// What is taken to be so.
    pub assumptions: Vec<Figure>,
    /// Constants and defaults of the code.
    pub bounds: Vec<Figure>,
    /// What runs gave.
    pub measured: Vec<Figure>,
}

/// What is wrong with the data file, a file that it names, or the page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A file that can't be read.
    File {
        /// Which.
        path: PathBuf,
        /// Why not.
        error: String,
    },
    /// A figure that doesn't say where it comes from.
    NoHow(String),
    /// A measured or modelled figure without the command that gave it.
    NoCommand(String),
    /// A stated or assumed figure without who states it or why.
    NoSource(String),
    /// A figure that has not what its `how` needs, a value or lines.
    NoValue(String),
    /// Two figures of one name.
    Twice(String),
    /// A formula names a figure that there is not.
    Unknown(String),
    /// A measured figure names a line that is there `found` times, not once.
    Line {
        /// The figure.
        key: String,
        /// The file.
        file: String,
        /// How many lines match.
        found: usize,
    },
    /// A measured line has no number in this place.
    Field {
        /// The figure.
        key: String,
        /// The place.
        field: String,
    },
    /// A limit has another unit than what is held against it.
    Units(String),
    /// The page lacks a marker, or has it twice.
    Marker(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::File { path, error } => write!(f, "{}: {error}", path.display()),
            Fault::NoHow(key) => write!(f, "{key}: lacks `how`"),
            Fault::NoCommand(key) => write!(f, "{key}: lacks its command"),
            Fault::NoSource(key) => write!(f, "{key}: lacks its source"),
            Fault::NoValue(key) => write!(f, "{key}: its `how` needs a value or measured lines"),
            Fault::Twice(key) => write!(f, "{key}: is there twice"),
            Fault::Unknown(key) => write!(f, "{key}: there is no such figure"),
            Fault::Line { key, file, found } => write!(f, "{key}: {found} lines of {file} match, not one"),
            Fault::Field { key, field } => write!(f, "{key}: its measured line has no number at {field}"),
            Fault::Units(key) => write!(f, "{key}: has another unit than its limit"),
            Fault::Marker(name) => write!(f, "the page has not exactly one pair of markers for {name}"),
        }
    }
}

impl std::error::Error for Fault {}

impl Data {
    /// Reads and checks a data file.
    pub fn load(path: &Path) -> Result<Self, Fault> {
        let unreadable = |error: String| Fault::File { path: path.to_owned(), error };
        let text = std::fs::read_to_string(path).map_err(|error| unreadable(error.to_string()))?;
        let data: Self = serde_json::from_str(&text).map_err(|error| unreadable(error.to_string()))?;
        data.figures().try_for_each(Figure::check)?;
        Ok(data)
    }

    /// All figures.
    pub fn figures(&self) -> impl Iterator<Item = &Figure> {
        [&self.targets, &self.assumptions, &self.bounds, &self.measured].into_iter().flatten()
    }
}

impl Figure {
    /// Whether it has all that its origin needs.
    pub fn check(&self) -> Result<(), Fault> {
        let key = || self.key.clone();
        let how = self.how.ok_or_else(|| Fault::NoHow(key()))?;
        let ran = matches!(how, How::Measured | How::Modelled | How::NotMeasuredYet);
        if ran && self.command.is_none() {
            return Err(Fault::NoCommand(key()));
        }
        if !ran && self.source.is_none() {
            return Err(Fault::NoSource(key()));
        }
        let valued = match how {
            How::Measured => self.value.is_none() && !self.lines.is_empty(),
            How::NotMeasuredYet => self.value.is_none() && self.lines.is_empty(),
            How::Fitted => false,
            How::Stated | How::Modelled | How::Assumed => self.value.is_some() && self.lines.is_empty(),
        };
        if valued { Ok(()) } else { Err(Fault::NoValue(key())) }
    }

    /// The sizes at which it was measured, and the values there.
    pub fn points(&self, docs: &Path) -> Result<Vec<(f64, f64)>, Fault> {
        self.lines.iter().map(|line| line.point(&self.key, docs)).collect()
    }
}

impl MeasuredLine {
    fn point(&self, key: &str, docs: &Path) -> Result<(f64, f64), Fault> {
        let path = docs.join(&self.file);
        let text = std::fs::read_to_string(&path)
            .map_err(|error| Fault::File { path: path.clone(), error: error.to_string() })?;
        let mut matching = Vec::new();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let value: Value = serde_json::from_str(line)
                .map_err(|error| Fault::File { path: path.clone(), error: error.to_string() })?;
            if self.line.iter().all(|(name, wanted)| value.get(name) == Some(wanted)) {
                matching.push(value);
            }
        }
        let [line] = &matching[..] else {
            return Err(Fault::Line { key: key.to_owned(), file: self.file.clone(), found: matching.len() });
        };
        let mut sum = 0.0;
        for field in &self.fields {
            let number = line.pointer(field).and_then(Value::as_f64);
            sum += number.ok_or_else(|| Fault::Field { key: key.to_owned(), field: field.clone() })?;
        }
        Ok((self.size.unwrap_or(0.0), sum * self.times))
    }
}
