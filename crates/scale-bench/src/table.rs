//! Measurements of one benchmark, as a table for people and as CSV.

use crate::fit::{self, Curve, Fit, FitError, Point};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt::{self, Write as _};
use std::io;

/// What a value counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// A plain count: the same on every machine.
    Count,
    /// Bytes.
    Bytes,
    /// Bytes a second.
    BytesPerSecond,
    /// A count a second.
    PerSecond,
    /// Seconds.
    Seconds,
    /// Microseconds.
    Microseconds,
    /// A share of one core, 0 to 1 and above.
    Cores,
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Unit::Count => "count",
            Unit::Bytes => "bytes",
            Unit::BytesPerSecond => "bytes/s",
            Unit::PerSecond => "per second",
            Unit::Seconds => "s",
            Unit::Microseconds => "us",
            Unit::Cores => "cores",
        })
    }
}

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// What was measured, in a short phrase; the same at every size.
    pub quantity: String,
    /// Its unit.
    pub unit: Unit,
    /// The size it was measured at.
    pub size: u64,
    /// The value.
    pub value: f64,
}

impl Measurement {
    /// A measurement from its parts.
    pub fn new(quantity: &str, unit: Unit, size: u64, value: f64) -> Measurement {
        Measurement { quantity: quantity.to_owned(), unit, size, value }
    }
}

/// All measurements of one benchmark.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The benchmark's name.
    pub name: String,
    /// What the size counts, such as "servers".
    pub size_unit: String,
    /// The measurements, in the order in which they were made.
    pub measurements: Vec<Measurement>,
}

/// A quantity of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quantity<'a> {
    /// What is measured.
    pub name: &'a str,
    /// Its unit.
    pub unit: Unit,
}

/// Both fits of one quantity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fits {
    /// A line.
    pub line: Result<Fit, FitError>,
    /// A power law.
    pub power: Result<Fit, FitError>,
}

impl Table {
    /// The quantities, in the order of their first measurement.
    pub fn quantities(&self) -> Vec<Quantity<'_>> {
        let mut quantities: Vec<Quantity<'_>> = Vec::new();
        for measurement in &self.measurements {
            let quantity = Quantity { name: &measurement.quantity, unit: measurement.unit };
            if !quantities.iter().any(|known| known.name == quantity.name) {
                quantities.push(quantity);
            }
        }
        quantities
    }

    /// The points of one quantity, by size; repeated sizes stay apart.
    pub fn points(&self, quantity: &str) -> Vec<Point> {
        let of_quantity = self.measurements.iter().filter(|m| m.quantity == quantity);
        of_quantity.map(|m| Point { size: m.size as f64, value: m.value }).collect()
    }

    /// The first value of a quantity at a size.
    pub fn value(&self, quantity: &str, size: u64) -> Option<f64> {
        let found = self.measurements.iter().find(|m| m.quantity == quantity && m.size == size);
        found.map(|m| m.value)
    }

    /// Fits one quantity.
    pub fn fits(&self, quantity: &str) -> Fits {
        let points = self.points(quantity);
        Fits { line: fit::line(&points), power: fit::power(&points) }
    }

    /// The table for people: a line for each quantity, a column for each size, then the fits.
    pub fn text(&self) -> String {
        let sizes: BTreeSet<u64> = self.measurements.iter().map(|m| m.size).collect();
        let mut rows = vec![vec!["quantity".to_owned(), "unit".to_owned()]];
        rows[0].extend(sizes.iter().map(|size| format!("{size} {}", self.size_unit)));
        rows[0].extend(["line", "power law"].map(str::to_owned));
        for Quantity { name, unit } in self.quantities() {
            let mut row = vec![name.to_owned(), unit.to_string()];
            row.extend(sizes.iter().map(|size| self.value(name, *size).map_or("-".into(), format_value)));
            let fits = self.fits(name);
            row.extend([describe_fit(&fits.line), describe_fit(&fits.power)]);
            rows.push(row);
        }
        format!("{}\n{}", self.name, align_columns(&rows))
    }

    /// Writes one line for each measurement, under a line of column names.
    ///
    /// # Errors
    /// Errors of the writer.
    pub fn write_csv(&self, out: &mut dyn io::Write) -> io::Result<()> {
        writeln!(out, "slope,size_of,quantity,unit,size,value")?;
        for m in &self.measurements {
            let name = csv_field(&self.name);
            let size_unit = csv_field(&self.size_unit);
            let quantity = csv_field(&m.quantity);
            writeln!(out, "{name},{size_unit},{quantity},{},{},{}", m.unit, m.size, m.value)?;
        }
        Ok(())
    }
}

/// A value with four figures, without an exponent where people read it easily.
fn format_value(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        size if !(1e-3..1e9).contains(&size) => format!("{value:.3e}"),
        size if size >= 1_000.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

/// A fit and its spread as text, or why there is none.
fn describe_fit(fit: &Result<Fit, FitError>) -> String {
    match fit {
        Err(e) => e.to_string(),
        Ok(fit) => {
            let curve = match fit.curve {
                Curve::Line { intercept, slope } => {
                    format!("{} + {}*n", format_value(intercept), format_value(slope))
                }
                Curve::Power { factor, exponent } => format!("{}*n^{exponent:.2}", format_value(factor)),
            };
            let spread = fit.largest_residual * 100.0;
            format!("{curve} (residual {spread:.1}%, standard error {})", format_value(fit.standard_error))
        }
    }
}

/// A text as one CSV field, in quotes where it needs them.
fn csv_field(text: &str) -> String {
    if text.contains([',', '"', '\n']) { format!("\"{}\"", text.replace('"', "\"\"")) } else { text.into() }
}

/// The rows as lines with columns of one width each.
fn align_columns(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| rows.iter().filter_map(|r| r.get(column)).map(String::len).max();
    let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
    let mut text = String::new();
    for row in rows {
        for (cell, width) in row.iter().zip(&widths) {
            let _ = write!(text, "{cell:width$}  ");
        }
        text.truncate(text.trim_end().len());
        text.push('\n');
    }
    text
}
