//! The measured slopes, as the benchmarks print them.

use std::{
    collections::BTreeMap,
    io::{self, BufRead},
};

use snafu::{OptionExt, ResultExt, Snafu};

/// Why the slopes could not be had.
#[derive(Debug, Snafu)]
pub(crate) enum SlopeError {
    /// Standard input broke off.
    #[snafu(display("cannot read the benchmarks' output: {source}"))]
    Read { source: io::Error },
    /// A line was malformed.
    #[snafu(display("{line:?} is no line `slope NAME VALUE UNIT`"))]
    Malformed { line: String },
    /// A slope was not measured.
    #[snafu(display("slope {name} is missing; pipe the output of all benchmarks in"))]
    Missing { name: String },
}

/// One measured slope.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct MeasuredSlope {
    pub(crate) value: f64,
    pub(crate) unit: String,
}

/// The slopes by name.
#[derive(Debug, Default)]
pub(crate) struct SlopeTable(BTreeMap<String, MeasuredSlope>);

impl SlopeTable {
    /// Reads the lines that begin with `slope` and passes over all others.
    pub(crate) fn read(input: impl BufRead) -> Result<Self, SlopeError> {
        let mut slopes = BTreeMap::new();
        for line in input.lines() {
            let line = line.context(ReadSnafu)?;
            let Some(rest) = line.trim().strip_prefix("slope ") else { continue };
            let words: Vec<_> = rest.split_whitespace().collect();
            let [name, value, unit] = words[..] else { return MalformedSnafu { line }.fail() };
            let value = value.parse().ok().context(MalformedSnafu { line: line.as_str() })?;
            let slope = MeasuredSlope { value, unit: unit.to_owned() };
            slopes.insert(name.to_owned(), slope);
        }
        Ok(Self(slopes))
    }

    /// Returns a slope.
    pub(crate) fn get(&self, name: &str) -> Result<&MeasuredSlope, SlopeError> {
        self.0.get(name).context(MissingSnafu { name })
    }
}
