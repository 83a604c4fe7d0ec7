//! Names that people choose: of services, upstreams, failure domains, VMs, routes and callers.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use snafu::Snafu;

/// The longest name accepted, in bytes. Names travel in every slot message, so their size is a cost.
pub const NAME_LIMIT: usize = 64;

/// Why a text is no name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// The text was empty.
    #[snafu(display("a name is empty; give 1 to {NAME_LIMIT} characters"))]
    Empty,
    /// The text was longer than [`NAME_LIMIT`].
    #[snafu(display("a name of {length} bytes is too long; at most {NAME_LIMIT} are allowed"))]
    TooLong {
        /// Its length in bytes.
        length: usize,
    },
    /// The text held a character outside of letters, digits, `-`, `_` and `.`.
    #[snafu(display("{found:?} may not stand in a name; use letters, digits, '-', '_' or '.'"))]
    Character {
        /// The first such character.
        found: char,
    },
}

fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_LIMIT {
        return Err(NameError::TooLong { length: text.len() });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|&c| !allowed(c)) {
        Some(found) => Err(NameError::Character { found }),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// The name of a service, a group of upstreams that answer the same calls.
    ServiceName
}
name_type! {
    /// The name of an upstream, unique within its service.
    UpstreamName
}
name_type! {
    /// The name of a failure domain: what is lost together.
    DomainName
}
name_type! {
    /// The name of a VM of the fleet.
    MemberName
}
name_type! {
    /// The name of a route.
    RouteName
}
name_type! {
    /// The name under which a caller's share of a saturated service is counted.
    CallerName
}
