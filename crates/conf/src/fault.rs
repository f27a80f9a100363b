//! Faults of a file or of a change, each with its location and remedy.

use std::fmt;

/// A fault of a configuration or settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ConfigFault {
    /// Path of the invalid value, as field names from the root of the document.
    pub path: Vec<String>,
    /// Location in the file; `None` if the document was not read from a file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<FaultPlace>,
    /// Description of the fault.
    pub message: String,
    /// Instruction for correcting it.
    pub remedy: String,
}

/// Location of a fault in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FaultPlace {
    /// File name as given by the operator.
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

/// All faults of a document; never empty if returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FaultList {
    /// The faults, ordered by location.
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
    /// Creates a fault at a path, without a location in a file.
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
    /// Orders faults by location; faults without a location come last.
    #[must_use]
    pub fn in_order(mut faults: Vec<ConfigFault>) -> Self {
        faults.sort_by(|left, right| {
            (left.place.is_none(), &left.place).cmp(&(right.place.is_none(), &right.place))
        });
        Self { faults }
    }
}
