//! Faults of a file or of a change, each with its place and its remedy.

use std::fmt;

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ConfigFault {
    /// Names from the root of the document down to the value that is wrong.
    pub path: Vec<String>,
    /// Line in the file, counted from 1; absent when the document did not come from a file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<FaultPlace>,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
}

/// Where in a file a fault is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FaultPlace {
    /// The file as the operator named it.
    pub file: String,
    /// Counted from 1.
    pub line: usize,
    /// Counted from 1, in characters.
    pub column: usize,
}

/// All faults of one document; never empty when returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FaultList {
    /// The faults, in the order of their places.
    pub faults: Vec<ConfigFault>,
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(place) = &self.place {
            write!(
                formatter,
                "{}:{}:{}: ",
                place.file, place.line, place.column
            )?;
        }
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path.join("."))?;
        }
        write!(formatter, "{}; {}", self.message, self.remedy)
    }
}

impl fmt::Display for FaultList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, fault) in self.faults.iter().enumerate() {
            if position > 0 {
                formatter.write_str("\n")?;
            }
            fault.fmt(formatter)?;
        }
        Ok(())
    }
}

impl std::error::Error for FaultList {}

impl ConfigFault {
    /// A fault at a path, without a place in a file.
    pub fn at(path: &[&str], message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            path: path.iter().map(|name| (*name).to_owned()).collect(),
            place: None,
            message: message.into(),
            remedy: remedy.into(),
        }
    }
}

impl FaultList {
    /// The list in the order of places, faults without a place last.
    #[must_use]
    pub fn in_order(mut faults: Vec<ConfigFault>) -> Self {
        faults.sort_by(|left, right| {
            (left.place.is_none(), &left.place).cmp(&(right.place.is_none(), &right.place))
        });
        Self { faults }
    }
}
