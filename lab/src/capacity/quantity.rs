//! Named quantities: each is worked out by a plain function from earlier ones, with its formula as text beside it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use super::data::{Data, Fault, Figure, How, Unit};
use crate::data_path::Point;
use crate::data_path::fit::Power;

/// The command that recomputes what is arithmetic over stated and assumed figures.
pub const ARITHMETIC: &str = "silverspindle-lab capacity --check";

/// Whose row it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Every one of the routers.
    Router,
    /// A voter (elector) of the agreement.
    Voter,
    /// A source of the purge log.
    Source,
    /// A relay.
    Relay,
    /// The coordinator, as all that follow it load it.
    Coordinator,
    /// A cache, as all routers load it.
    Cache,
    /// A promise under a failure.
    Failure,
    /// What could ride on the relays later.
    Later,
}

impl Role {
    /// All, in the order of the page.
    pub const ALL: [Role; 8] = [
        Role::Router,
        Role::Voter,
        Role::Source,
        Role::Relay,
        Role::Coordinator,
        Role::Cache,
        Role::Failure,
        Role::Later,
    ];

    /// Its name, also of its table on the page.
    pub fn text(self) -> &'static str {
        match self {
            Role::Router => "router",
            Role::Voter => "voter",
            Role::Source => "source",
            Role::Relay => "relay",
            Role::Coordinator => "coordinator",
            Role::Cache => "cache",
            Role::Failure => "failure",
            Role::Later => "later",
        }
    }
}

/// With which way of distribution a row holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// With relays and without.
    Any,
    /// Each router follows the coordinator itself.
    Direct,
    /// Purges and list events come over relays.
    Relays,
    /// Not built.
    NotBuilt,
}

impl Way {
    /// As the page says it.
    pub fn text(self) -> &'static str {
        match self {
            Way::Any => "any",
            Way::Direct => "today",
            Way::Relays => "relays",
            Way::NotBuilt => "not built",
        }
    }
}

/// A quantity's row on the page.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Whose.
    pub role: Role,
    /// With which way of distribution.
    pub way: Way,
    /// The figure that it is held against; none is stated for some.
    pub limit: Option<&'static str>,
    /// What carries it.
    pub carried_by: &'static str,
}

/// A quantity: a formula over figures and earlier quantities.
#[derive(Clone, Copy, Debug)]
pub struct Quantity {
    /// Its name in later formulas.
    pub key: &'static str,
    /// What it is.
    pub what: &'static str,
    /// Its unit.
    pub unit: Unit,
    /// The formula; `{key}` stands for a figure.
    pub formula: &'static str,
    /// The same as a function.
    pub value: fn(&Inputs) -> f64,
    /// Its row, where it has one; others are steps on the way.
    pub row: Option<Row>,
}

impl Quantity {
    /// A step on the way to rows.
    pub const fn step(
        key: &'static str,
        what: &'static str,
        unit: Unit,
        formula: &'static str,
        value: fn(&Inputs) -> f64,
    ) -> Self {
        Self { key, what, unit, formula, value, row: None }
    }

    /// The same with a row, held against this limit.
    pub const fn held(self, role: Role, way: Way, limit: &'static str, carried_by: &'static str) -> Self {
        Self { row: Some(Row { role, way, limit: Some(limit), carried_by }), ..self }
    }

    /// The same with a row for which no limit is stated.
    pub const fn shown(self, role: Role, way: Way, carried_by: &'static str) -> Self {
        Self { row: Some(Row { role, way, limit: None, carried_by }), ..self }
    }
}

/// The figures that a formula asks for, noted as it asks.
pub struct Inputs<'a> {
    book: &'a Book,
    used: RefCell<BTreeSet<String>>,
}

impl Inputs<'_> {
    /// A figure or an earlier quantity; not a number where no run has given it yet, or there is none of this name.
    pub fn get(&self, key: &str) -> f64 {
        self.used.borrow_mut().insert(key.to_owned());
        self.book.values.get(key).map_or(f64::NAN, |value| value.value)
    }
}

/// What a name stands for, worked out.
#[derive(Clone, Debug)]
pub struct Known {
    /// What it is.
    pub what: String,
    /// Its unit.
    pub unit: Unit,
    /// Its value; not a number: not measured yet.
    pub value: f64,
    /// Where it comes from: the least sure of all that it is worked out from.
    pub how: How,
    /// The commands that gave it.
    pub commands: BTreeSet<String>,
    /// Where its value is a fit's: the power of the size with which it grows.
    pub power: Option<f64>,
}

/// All figures and quantities.
#[derive(Clone, Debug, Default)]
pub struct Book {
    values: BTreeMap<String, Known>,
    quantities: Vec<Quantity>,
}

impl Book {
    /// Works all out. The size at which measured slopes are taken is the target's number of routers.
    pub fn new(data: &Data, docs: &Path, quantities: &[Quantity]) -> Result<Self, Fault> {
        let mut book = Self { values: BTreeMap::new(), quantities: quantities.to_vec() };
        let routers = data.targets.iter().find(|figure| figure.key == "routers");
        let routers = routers.and_then(|figure| figure.value).unwrap_or(f64::NAN);
        for figure in data.figures() {
            let known = book.figure(figure, routers, docs)?;
            if book.values.insert(figure.key.clone(), known).is_some() {
                return Err(Fault::Twice(figure.key.clone()));
            }
        }
        for quantity in quantities {
            let known = book.quantity(quantity)?;
            if book.values.insert(quantity.key.to_owned(), known).is_some() {
                return Err(Fault::Twice(quantity.key.to_owned()));
            }
        }
        book.check_limits()?;
        Ok(book)
    }

    /// A figure or quantity by name.
    pub fn get(&self, key: &str) -> Option<&Known> {
        self.values.get(key)
    }

    /// All quantities, in order.
    pub fn quantities(&self) -> &[Quantity] {
        &self.quantities
    }

    /// How full the limit of a quantity's row is; not a number where either is not measured yet.
    pub fn fullness(&self, quantity: &Quantity) -> f64 {
        let value = |key| self.values.get(key).map_or(f64::NAN, |known| known.value);
        let limit = quantity.row.and_then(|row| row.limit);
        limit.map_or(f64::NAN, |limit| value(quantity.key) / value(limit))
    }

    /// The least sure of what a row and its limit stand on.
    pub fn surety(&self, quantity: &Quantity) -> How {
        let limit = quantity.row.and_then(|row| row.limit);
        let found = [Some(quantity.key), limit].into_iter().flatten().filter_map(|key| self.values.get(key));
        found.map(|known| known.how).max().unwrap_or(How::NotMeasuredYet)
    }

    fn figure(&self, figure: &Figure, routers: f64, docs: &Path) -> Result<Known, Fault> {
        figure.check()?;
        let points = figure.points(docs)?;
        let (value, power) = match figure.value {
            Some(value) => (value, None),
            None => at_size(&points, routers),
        };
        let how = figure.how.ok_or_else(|| Fault::NoHow(figure.key.clone()))?;
        let is_fitted = power.is_some() && points.iter().all(|(size, _)| *size != routers);
        let how = if is_fitted { How::Fitted } else { how };
        Ok(Known {
            what: figure.what.clone(),
            unit: figure.unit,
            value,
            how: if value.is_nan() { How::NotMeasuredYet } else { how },
            commands: figure.command.iter().cloned().collect(),
            power,
        })
    }

    fn quantity(&self, quantity: &Quantity) -> Result<Known, Fault> {
        let inputs = Inputs { book: self, used: RefCell::default() };
        let value = (quantity.value)(&inputs);
        let mut how = How::Stated;
        let mut commands = BTreeSet::new();
        for key in inputs.used.into_inner() {
            let known = self.values.get(&key).ok_or(Fault::Unknown(key))?;
            how = how.max(known.how);
            commands.extend(known.commands.iter().cloned());
        }
        if commands.is_empty() {
            commands.insert(ARITHMETIC.to_owned());
        }
        let (what, unit) = (quantity.what.to_owned(), quantity.unit);
        Ok(Known { what, unit, value, how, commands, power: None })
    }

    /// Names that a formula's function asks for, to be held against its text.
    pub fn asked(&self, quantity: &Quantity) -> BTreeSet<String> {
        let inputs = Inputs { book: self, used: RefCell::default() };
        (quantity.value)(&inputs);
        inputs.used.into_inner()
    }

    fn check_limits(&self) -> Result<(), Fault> {
        for quantity in &self.quantities {
            let Some(name) = quantity.row.and_then(|row| row.limit) else { continue };
            let limit = self.values.get(name).ok_or_else(|| Fault::Unknown(name.to_owned()))?;
            if limit.unit != quantity.unit {
                return Err(Fault::Units(quantity.key.to_owned()));
            }
        }
        Ok(())
    }
}

/// The value at a size: as measured there, else by a power of the size fitted to three points or more, with that power.
/// Not a number where there are fewer. A single point without a size holds for all.
pub fn at_size(points: &[(f64, f64)], size: f64) -> (f64, Option<f64>) {
    if let [(0.0, value)] = points {
        return (*value, None);
    }
    let whole: Vec<Point> = points.iter().map(|(at, value)| (*at as u64, *value)).collect();
    let fit = Power::through(&whole);
    let power = fit.map(|fit| fit.power);
    match points.iter().find(|(at, _)| *at == size) {
        Some((_, value)) => (*value, power),
        None => (fit.map_or(f64::NAN, |fit| fit.at(size)), power),
    }
}
