//! The common derives of domain types, as one attribute.
//!
//! Domain types share one set of traits. Spelling that set out on each of them invites drift: one
//! type misses `Hash`, another is serialized under other names. `#[domain]` gives the set a name, so
//! that a reader sees at once what kind of type stands below it.
//!
//! The attribute only puts derives in front of the item, which it leaves as it is. That needs no
//! parser, so this crate has no dependencies.

use proc_macro::TokenStream;

const RECORD_ATTRIBUTES: &str =
    "#[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
     #[serde(rename_all = \"kebab-case\")]";

const VALUE_ATTRIBUTES: &str = "#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]
     #[serde(rename_all = \"kebab-case\")]";

const KEY_ATTRIBUTES: &str = "#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]
     #[serde(rename_all = \"kebab-case\")]";

/// Derives the common traits of a domain type.
///
/// - `#[domain]`: a record: `Clone`, `Debug`, `PartialEq`, `Eq` and serde with kebab-case names.
/// - `#[domain(value)]`: a small number or flag: also `Copy`, `PartialOrd`, `Ord` and `Hash`.
/// - `#[domain(key)]`: an owned name or identifier: also `PartialOrd`, `Ord` and `Hash`.
///
/// # Panics
///
/// Refuses any other word at compile time.
#[proc_macro_attribute]
pub fn domain(kind: TokenStream, item: TokenStream) -> TokenStream {
    let attributes = match kind.to_string().as_str() {
        "" => RECORD_ATTRIBUTES,
        "value" => VALUE_ATTRIBUTES,
        "key" => KEY_ATTRIBUTES,
        other => panic!("#[domain({other})]: expected nothing, `value` or `key`"),
    };
    let mut output: TokenStream = attributes.parse().expect("the derives above are valid Rust");
    output.extend(item);
    output
}
