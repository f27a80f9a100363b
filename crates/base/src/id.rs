//! Identifiers that travel between processes, and typed keys into arenas.

use std::{fmt, str};

slotmap::new_key_type! {
    /// Key of one organisation in this process's arena; never sent to another process.
    pub struct OrganisationKey;
    /// Key of one backend server in this process's arena; never sent to another process.
    pub struct ServerKey;
    /// Key of one entry VM in this process's arena; never sent to another process.
    pub struct VmKey;
    /// Key of one model in this process's arena; never sent to another process.
    pub struct ModelKey;
}

/// Parse error of an identifier that is not 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdError;

impl fmt::Display for IdError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an id is 32 hexadecimal digits; send it as it was given")
    }
}

impl std::error::Error for IdError {}

macro_rules! wide_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u128);

        impl $name {
            /// Draws a random identifier; 128 bits make a collision between processes negligible.
            pub fn draw<R: rand::Rng + ?Sized>(rng: &mut R) -> Self {
                let high = u128::from(rng.next_u64());
                Self((high << 64) | u128::from(rng.next_u64()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:032x}", self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                if text.len() != 32 {
                    return Err(IdError);
                }
                u128::from_str_radix(text, 16).map(Self).map_err(|_| IdError)
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <String as serde::Deserialize>::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

wide_id! {
    /// Identifies one caller's request; drawn by the entry VM that received it.
    RequestId
}

wide_id! {
    /// Identifies one generation on one model engine; each attempt of a request gets its own.
    GenerationId
}

wide_id! {
    /// Identifies one record of the log. The writer draws it, so that a record whose append answer
    /// was lost is recognised when it is read back.
    RecordId
}

wide_id! {
    /// Identifies one run of a process; a restarted process draws a new one.
    Incarnation
}
